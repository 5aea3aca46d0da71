//! Shell of the entry role.

pub mod attempt;
pub mod handler;
pub mod http_server;
pub mod role;
