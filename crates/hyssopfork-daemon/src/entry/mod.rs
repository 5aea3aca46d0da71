//! The entry role: HTTP server, attempts and the event loop around its core.

pub mod attempt;
pub mod handler;
pub mod http_server;
pub mod role;
