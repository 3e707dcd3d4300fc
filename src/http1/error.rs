//! Errors of HTTP connections.

use std::io;

use quick_error::quick_error;

quick_error! {
    /// An error after which a connection cannot be used any more.
    #[derive(Debug)]
    pub enum HttpError {
        /// Opening, reading or writing the connection failed.
        Io(err: io::Error) {
            from()
            source(err)
            display("the connection failed: {err}")
        }
        /// The peer closed the connection between two messages.
        Closed {
            display("the connection was closed")
        }
        /// The peer closed the connection in the middle of a message.
        Truncated {
            display("the connection was closed in the middle of a message")
        }
        /// The peer sent bytes that are not valid HTTP/1.1.
        Malformed(reason: &'static str) {
            display("invalid HTTP/1.1: {reason}")
        }
        /// A head is longer than the size limit or has too many header fields.
        HeadTooLong {
            display("the head is longer than the limit, or has too many fields")
        }
        /// A body is longer than the size limit.
        BodyTooLong {
            display("the body is longer than the limit")
        }
        /// Too many bytes are buffered, and this message is the longest.
        BuffersFull {
            display("too much is buffered, and this body is the longest")
        }
        /// An operation did not finish within its timeout.
        TimedOut {
            display("timed out")
        }
    }
}
