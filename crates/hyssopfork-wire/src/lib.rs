//! Types and service definitions that all other packages share.
//!
//! They describe the messages between processes and the configuration that operators declare, and
//! hold no logic of their own. Every message between processes is wrapped in an
//! [`envelope::Envelope`] with the protocol version.

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
