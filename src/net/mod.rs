//! An HTTP/1.1 client and server for callers, backend servers, the platform and operators.
//!
//! They are built on `async-h1`. Processes that run with `--platform` use `http1`
//! instead, and from this module only `listen`.

mod byte_stream;
mod http_client;
mod http_server;
pub(crate) mod listen;
mod request_body;
mod server_connection;

pub use crate::net::{
    byte_stream::ByteStream,
    http_client::{CallError, Exchange, HttpClient},
    http_server::{read_request_body, BodyError, Handler, HttpServer, ServerLimits},
};
