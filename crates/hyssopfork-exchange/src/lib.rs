//! HTTP/1.1 client connection that distinguishes a complete response from a truncated one.
//!
//! The `awc` client ends a body's stream in the same way whether the response was complete or its
//! connection was lost, both with a `Content-Length` and in chunks, so a truncated response passes
//! for a complete one. The codec beneath it (`actix_http::h1`) distinguishes them. A connection is
//! opened before anything is sent, so that a request that was never sent is known from one whose
//! connection was lost afterwards.

pub mod connection;
pub mod error;
