//! Shell of the control role.

pub mod journal;
pub mod peers;
pub mod role;
pub mod server;
