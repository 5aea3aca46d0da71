//! The agent role: servers, the upstream's connections and the event loop around its core.

pub mod engine;
pub mod http_server;
pub mod member;
pub mod response;
pub mod role;
pub mod upstream;
