//! The control role: server, journal, peers and the event loop around its core.

pub mod journal;
pub mod peers;
pub mod role;
pub mod server;
