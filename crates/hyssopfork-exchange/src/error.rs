//! Errors of an exchange that did not end with a complete response.

use quick_error::quick_error;
use std::{io, net};

quick_error! {
    /// Error of an exchange that did not end with a complete response.
    #[derive(Debug)]
    pub enum Error {
        /// The connection could not be opened: nothing was sent.
        Unreachable(address: net::SocketAddr, cause: io::Error) {
            display("cannot connect to {}: {}; check that a server listens there", address, cause)
            source(cause)
        }
        /// A part of the request is not valid in HTTP: nothing was sent.
        Unsendable(part: &'static str) {
            display("the request's {} is not valid HTTP; correct it", part)
        }
        /// The connection was closed or failed before the response was complete.
        ConnectionLost {
            display("connection lost before the response was complete; the request may have run")
        }
        /// The server stopped reading the request; it may have run a part of it.
        NotRead {
            display("the server stopped reading the request; check whether it is overloaded")
        }
        /// The response is not HTTP/1.1.
        Malformed(text: String) {
            display("the response is not HTTP/1.1 ({}); check which server listens there", text)
        }
        /// The body is longer than the limit, in bytes.
        TooLong(limit: usize) {
            display("the response is longer than {} bytes; check which server listens there", limit)
        }
        /// The response has neither a length nor chunks: its end looks like a lost connection.
        Unframed {
            display("the response has neither a length nor chunks; have the server send either")
        }
    }
}
