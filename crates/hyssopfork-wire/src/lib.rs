//! Plain types and services that every other package shares.
//!
//! Nothing here decides: the types carry what processes of the system say to each other and what
//! operators declare. Every message between processes travels in an [`envelope::Envelope`] that
//! names the protocol's version.

pub mod attempt;
pub mod change;
pub mod claim;
pub mod clock;
pub mod configuration;
pub mod consensus;
pub mod control;
pub mod envelope;
pub mod fleet;
pub mod frame;
pub mod level;
pub mod member;
pub mod name;
pub mod number;
pub mod patch;
pub mod refusal;
pub mod timing;
