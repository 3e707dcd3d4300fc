//! Why a connection can't be used further.

use std::io;

use quick_error::quick_error;

quick_error! {
    /// Why an exchange on a connection failed.
    #[derive(Debug)]
    pub enum HttpError {
        /// The connection failed.
        Io(err: io::Error) {
            from()
            source(err)
            display("the connection failed: {err}")
        }
        /// The other side ended the connection between two messages.
        Closed {
            display("the connection ended")
        }
        /// The other side ended the connection in the middle of a message.
        Truncated {
            display("the message was cut off")
        }
        /// The bytes are not HTTP/1.1.
        Malformed(reason: &'static str) {
            display("not HTTP/1.1: {reason}")
        }
        /// A head is longer than its limit.
        HeadTooLong {
            display("the head is too long")
        }
        /// A body is longer than its limit.
        BodyTooLong {
            display("the body is too long")
        }
        /// The time limit passed.
        TimedOut {
            display("the time limit passed")
        }
    }
}
