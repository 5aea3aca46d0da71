//! Shell of the agent role.

pub mod answer;
pub mod engine;
pub mod gate;
pub mod member;
pub mod role;
pub mod upstream;
