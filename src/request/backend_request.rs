//! Builds the request that a slot sends to its backend server, and checks that a response belongs
//! to it.

use std::net::SocketAddr;

use http_types::{Request, Response, StatusCode, Url};

use crate::request::{
    failure::Failure, headers, route::Route, validated_request::ValidatedRequest,
};

/// A caller's request as the slot sends it to its backend server.
#[derive(Clone, Copy)]
pub(crate) struct BackendRequest<'a> {
    /// The caller's request.
    pub(crate) incoming: &'a ValidatedRequest,
    /// The pool or service of the request.
    pub(crate) route: &'a Route,
    /// Customer of the request.
    pub(crate) customer: &'a str,
}

impl BackendRequest<'_> {
    /// Builds the HTTP request to the backend server at `address`.
    pub(crate) fn build(&self, address: SocketAddr) -> Request {
        let incoming = self.incoming;
        let path = match self.route {
            Route::Chat { .. } => incoming.path.as_str(),
            Route::Service { path, .. } => path.as_str(),
        };
        let url = format!("http://{address}{path}");
        let url = Url::parse(&url).expect("an address and a validated path form a URL");
        let mut request = Request::new(incoming.method, url);
        request.set_body(incoming.body.clone());
        if let Some(content_type) = &incoming.content_type {
            request.insert_header("Content-Type", content_type.as_str());
        }
        request.insert_header(headers::REQUEST_ID, incoming.id.as_str());
        request.insert_header(headers::CUSTOMER, self.customer);
        if let Some(priority) = &incoming.priority {
            request.insert_header(headers::PRIORITY, priority.as_str());
        }
        if let Some(key) = &incoming.idempotency_key {
            request.insert_header(headers::IDEMPOTENCY_KEY, key.as_str());
        }
        request
    }

    /// Checks that the response echoes the request id; a service may omit it, an engine must not.
    pub(crate) fn check_echo(&self, response: &Response) -> Result<(), Failure> {
        let echo = response.header(headers::REQUEST_ID).map(|it| it.as_str());
        let is_same_id = echo == Some(self.incoming.id.as_str());
        let may_omit_id = matches!(self.route, Route::Service { .. }) && echo.is_none();
        if is_same_id || may_omit_id {
            return Ok(());
        }
        log::warn!("slot: dropped the response to another request id={}", self.incoming.id);
        let message =
            "the backend server sent the response to another request, which was dropped; \
             retry only if the request may run twice";
        Err(Failure::may_have_run(StatusCode::BadGateway, message))
    }
}
