//! Helpers for HTTP requests and responses that all stand-ins share.

use std::io;

use crocustiller::net::read_request_body;
use http_types::{Request, Response, StatusCode};
use serde::Serialize;

/// The maximum size of a request body.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Returns a response with a JSON body.
pub(crate) fn json_response(status: u16, value: &impl Serialize) -> Response {
    let mut response = empty_response(status);
    response.set_body(serde_json::to_vec(value).expect("response bodies have string keys"));
    response.insert_header("Content-Type", "application/json");
    response
}

/// Returns a response without a body.
pub(crate) fn empty_response(status: u16) -> Response {
    Response::new(StatusCode::try_from(status).expect("the status is a valid HTTP status code"))
}

/// Returns a response whose JSON body has `message` under `error`.
pub(crate) fn error_response(status: u16, message: &str) -> Response {
    json_response(status, &serde_json::json!({ "error": { "message": message } }))
}

/// Returns the error that closes the connection without a response.
pub(crate) fn abort_connection() -> http_types::Result<Response> {
    Err(http_types::Error::new(
        StatusCode::InternalServerError,
        io::Error::from(io::ErrorKind::ConnectionAborted),
    ))
}

/// Reads the complete body of `request`.
pub(crate) async fn read_body(request: &mut Request) -> http_types::Result<Vec<u8>> {
    let res = read_request_body(request, MAX_BODY_BYTES).await;
    res.map_err(|err| http_types::Error::new(StatusCode::BadRequest, err))
}

/// Returns the value of a header.
pub(crate) fn header(request: &Request, name: &str) -> Option<String> {
    request.header(name).map(|it| it.as_str().to_owned())
}

/// Returns the value of a query parameter.
pub(crate) fn query_parameter(request: &Request, name: &str) -> Option<String> {
    let mut pairs = request.url().query_pairs();
    pairs.find(|it| it.0 == name).map(|it| it.1.into_owned())
}
