//! Command line tool for operators: the commands of `hyssopfork`, as a library for tests.

pub mod client;
pub mod command;
pub mod context;
pub mod declaration;
pub mod error;
pub mod explain;
pub mod history;
pub mod load;
pub mod outage;
pub mod output;
pub mod overview;
pub mod program;
pub mod submission;
pub mod traffic;
