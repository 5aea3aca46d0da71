//! HTTP/1.1 exchanges over a connection of one's own, for callers that must know whether an answer
//! came whole.
//!
//! `awc` ends the body's stream in the same way whether the answer was complete or its connection
//! broke off, with a length and in chunks alike, so a caller takes a cut answer for a whole one.
//! The codec beneath it (`actix_http::h1`) tells them apart. A connection also opens before
//! anything is sent, so that "never sent" and "sent, then broken" are known for sure.

pub mod connection;
pub mod error;
