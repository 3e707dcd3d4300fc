//! Answers that all stand-ins share.

use std::io;

use crocustiller::net::read_request_body;
use http_types::{Request, Response, StatusCode};
use serde::Serialize;

/// Longest body of a request.
const MAX_BODY_BYTES: usize = 16 << 20;

/// An answer with a JSON body.
pub(crate) fn json_response(status: u16, value: &impl Serialize) -> Response {
    let mut response = empty_response(status);
    response.set_body(serde_json::to_vec(value).expect("answers have string keys"));
    response.insert_header("Content-Type", "application/json");
    response
}

/// An answer without a body.
pub(crate) fn empty_response(status: u16) -> Response {
    Response::new(StatusCode::try_from(status).expect("a known status"))
}

/// An answer that says what is wrong.
pub(crate) fn error_response(status: u16, message: &str) -> Response {
    json_response(status, &serde_json::json!({ "error": { "message": message } }))
}

/// Closes the connection without an answer.
pub(crate) fn abort_connection() -> http_types::Result<Response> {
    Err(http_types::Error::new(
        StatusCode::InternalServerError,
        io::Error::from(io::ErrorKind::ConnectionAborted),
    ))
}

/// The whole body of `request`.
pub(crate) async fn read_body(request: &mut Request) -> http_types::Result<Vec<u8>> {
    let res = read_request_body(request, MAX_BODY_BYTES).await;
    res.map_err(|err| http_types::Error::new(StatusCode::BadRequest, err))
}

/// The value of a header.
pub(crate) fn header(request: &Request, name: &str) -> Option<String> {
    request.header(name).map(|it| it.as_str().to_owned())
}

/// The value of a query parameter.
pub(crate) fn query_parameter(request: &Request, name: &str) -> Option<String> {
    let mut pairs = request.url().query_pairs();
    pairs.find(|it| it.0 == name).map(|it| it.1.into_owned())
}
