//! Shell of the agent role.

pub mod engine;
pub mod http_server;
pub mod member;
pub mod response;
pub mod role;
pub mod upstream;
