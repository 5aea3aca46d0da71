//! Shell of the entry role.

pub mod attempt;
pub mod caller;
pub mod conversation;
pub mod role;
