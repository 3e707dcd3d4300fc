//! HTTP/1.1 connections, clients and servers that expose the exact framing of messages.
//!
//! The relay must detect whether a body was complete, whether bytes follow it, and how the
//! connection was closed. `async-h1` hides all three, so heads are parsed by `httparse` and the
//! framing of bodies is implemented here. Processes that run without `--platform` use `net` instead.

mod acceptor;
mod ack_status;
mod body;
mod chunk_decoder;
mod client;
mod connection;
mod connection_limits;
mod error;
mod head;
mod headers;
mod http_endpoint;
mod peer_silence;
mod peer_watch;
mod port_connections;

pub(crate) use crate::http1::{
    acceptor::{accept_all, is_out_of_descriptors},
    connection_limits::{descriptor_limit, MAX_DESCRIPTORS},
    port_connections::{ConnectionSlot, PortConnections},
};
pub use crate::http1::{
    ack_status::AckStatus,
    body::{BodyLength, BodyReader},
    chunk_decoder::ChunkDecoder,
    client::{Call, Client, Response},
    connection::{Connection, ConnectionWriter},
    connection_limits::ConnectionLimits,
    error::HttpError,
    head::{RequestHead, ResponseHead},
    headers::Headers,
    http_endpoint::{HttpEndpoint, SmallResponse},
    peer_silence::PeerSilence,
};
