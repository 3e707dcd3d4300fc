//! The headers that an entry host adds to a caller's request.

use http_types::{Request, StatusCode};

use crate::{
    ids::SwitchNumber,
    node::Node,
    request::{failure::Failure, headers, validated_request::header_value},
};

/// The headers that an entry host adds to a caller's request.
pub(crate) struct EntryHeaders {
    /// Customer of the request.
    pub(crate) customer: String,
    /// Switch number that the slot must have to admit the request.
    pub(crate) switch_number: Option<SwitchNumber>,
    /// Whether the request may have crashed a backend server and must run alone.
    pub(crate) is_suspect: bool,
}

impl EntryHeaders {
    /// Reads the headers of the request `id`; refuses senders that do not have the shared key.
    pub(crate) fn read(node: &Node, id: &str, request: &Request) -> Result<EntryHeaders, Failure> {
        check_proof(node, id, request)?;
        let customer = header_value(request, headers::CUSTOMER).ok_or_else(|| {
            Failure::not_run(
                StatusCode::BadRequest,
                "X-Customer is missing; send the request to an entry host",
            )
        })?;
        let switch_number = header_value(request, headers::SWITCH).and_then(|it| it.parse().ok());
        let is_suspect = request.header(headers::SUSPECT).is_some();
        Ok(EntryHeaders { customer, switch_number, is_suspect })
    }
}

/// Refuses senders that do not have the shared key.
pub(crate) fn check_proof(node: &Node, id: &str, request: &Request) -> Result<(), Failure> {
    let refuse = |message: &str| Err(Failure::not_run(StatusCode::Unauthorized, message));
    let text = header_value(request, headers::PROOF).unwrap_or_default();
    let Ok(proof) = blake3::Hash::from_hex(text) else {
        return refuse("X-Proof is missing or malformed; send the request to an entry host");
    };
    if proof != node.settings.secrets.peer_key.keyed_hash(id.as_bytes()) {
        return refuse("X-Proof is wrong; check peer_key_file on both hosts");
    }
    Ok(())
}
