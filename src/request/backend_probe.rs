//! Probes a backend server to distinguish a crash from a broken connection.

use std::{net::SocketAddr, time::Duration};

use async_net::TcpStream;
use http_types::{Method, Request, StatusCode, Url};
use serde::Deserialize;

use crate::{
    node::Node,
    request::headers,
    runtime,
    settings::{BackendKind, BackendSettings},
};

/// Path at which a slot reports whether its backend server is up.
pub(crate) const BACKEND_STATE_PATH: &str = "/backend-state";
/// Pause before a probe, in which an exiting process closes its listening socket.
const SOCKET_CLOSE_DELAY: Duration = Duration::from_millis(50);
/// Timeout of one probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of the response to a probe.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// The part of an engine's state that shows whether weights are loaded.
#[derive(Deserialize)]
struct EngineState {
    version: Option<String>,
}

/// Returns `true` if the slot at `address` reports that its backend server is up, after a pause in
/// which an exiting process closes its socket.
pub(crate) async fn is_up_via_slot(node: &Node, address: SocketAddr) -> bool {
    runtime::sleep(SOCKET_CLOSE_DELAY).await;
    let mut request = get_request(address, BACKEND_STATE_PATH);
    let id = uuid::Uuid::new_v4().to_string();
    let proof = node.settings.secrets.peer_key.keyed_hash(id.as_bytes());
    request.insert_header(headers::REQUEST_ID, id.as_str());
    request.insert_header(headers::PROOF, proof.to_hex().as_str());
    let res = node.http.fetch(address, request, PROBE_TIMEOUT * 2, MAX_RESPONSE_BYTES).await;
    res.is_ok_and(|(response, _)| response.status() == StatusCode::Ok)
}

/// Returns `true` if the backend server is up, after a pause in which an exiting process closes its
/// socket.
pub(crate) async fn is_up_after_pause(node: &Node, backend: &BackendSettings) -> bool {
    runtime::sleep(SOCKET_CLOSE_DELAY).await;
    is_up(node, backend).await
}

/// Returns `true` if the backend server responds and, in case of an engine, has weights loaded.
pub(crate) async fn is_up(node: &Node, backend: &BackendSettings) -> bool {
    let address = backend.address;
    match backend.kind {
        BackendKind::Service => {
            let connect = TcpStream::connect(address);
            runtime::timeout(PROBE_TIMEOUT, connect).await.is_ok_and(|it| it.is_ok())
        }
        BackendKind::Engine => {
            let request = get_request(address, "/admin/state");
            let res = node.http.fetch(address, request, PROBE_TIMEOUT, MAX_RESPONSE_BYTES).await;
            let Ok((_, body)) = res else { return false };
            serde_json::from_slice::<EngineState>(&body).is_ok_and(|it| it.version.is_some())
        }
    }
}

fn get_request(address: SocketAddr, path: &str) -> Request {
    let url = format!("http://{address}{path}");
    Request::new(Method::Get, Url::parse(&url).expect("an address and a path form a URL"))
}
