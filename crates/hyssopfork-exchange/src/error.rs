//! Why an exchange did not end with a whole answer.

use quick_error::quick_error;
use std::{io, net};

quick_error! {
    /// Why an exchange did not end with a whole answer.
    #[derive(Debug)]
    pub enum Error {
        /// No connection could be made: nothing was sent.
        Unreachable(address: net::SocketAddr, cause: io::Error) {
            display("cannot connect to {}: {}; check that it listens there", address, cause)
            source(cause)
        }
        /// The request cannot be written as HTTP: nothing was sent.
        Unsendable(part: &'static str) {
            display("the request's {} cannot be written as HTTP; correct it", part)
        }
        /// The connection ended or failed before the answer was whole.
        ConnectionLost {
            display("the connection broke off before the answer was whole; it may have run")
        }
        /// The answer is not HTTP/1.1.
        Malformed(text: String) {
            display("the answer is not HTTP/1.1 ({}); check what listens there", text)
        }
        /// The answer has neither length nor chunks: its end cannot be told from a cut.
        Unframed {
            display("the answer has neither length nor chunks; have the server send one of them")
        }
    }
}
