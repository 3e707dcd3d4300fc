//! Builds the request that an entry host sends to a slot.

use std::net::SocketAddr;

use http_types::{Request, Url};

use crate::{
    ids::SwitchNumber,
    peer::PeerKey,
    request::{headers, quarantine::QuarantineStatus, validated_request::ValidatedRequest},
};

/// A caller's request with the values that the entry host sends to the slot in headers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotRequest<'a> {
    /// The caller's request.
    pub(crate) incoming: &'a ValidatedRequest,
    /// Customer of the request.
    pub(crate) customer: &'a str,
    /// Switch number that the slot must have to admit the request.
    pub(crate) switch_number: Option<SwitchNumber>,
    /// Quarantine status of the request; a suspect one must run alone at its backend server.
    pub(crate) quarantine_status: QuarantineStatus,
}

impl SlotRequest<'_> {
    /// Builds the HTTP request to the slot at `address`, authenticated with `key`.
    pub(crate) fn build(&self, address: SocketAddr, key: &PeerKey) -> Request {
        let incoming = self.incoming;
        let url = format!("http://{address}{}", incoming.path);
        let url = Url::parse(&url).expect("an address and a validated path form a URL");
        let mut request = Request::new(incoming.method, url);
        request.set_body(incoming.body.clone());
        let proof = key.keyed_hash(incoming.id.as_bytes());
        let time_left = incoming.time_left().as_millis().max(1);
        request.insert_header(headers::REQUEST_ID, incoming.id.as_str());
        request.insert_header(headers::PROOF, proof.to_hex().as_str());
        request.insert_header(headers::CUSTOMER, self.customer);
        request.insert_header(headers::DEADLINE_MS, time_left.to_string());
        if let Some(number) = self.switch_number {
            request.insert_header(headers::SWITCH, number.to_string());
        }
        if self.quarantine_status == QuarantineStatus::Suspect {
            request.insert_header(headers::SUSPECT, "1");
        }
        let forwarded = [
            ("Content-Type", &incoming.content_type),
            (headers::IDEMPOTENCY_KEY, &incoming.idempotency_key),
            (headers::PRIORITY, &incoming.priority),
        ];
        for (name, value) in forwarded {
            if let Some(value) = value {
                request.insert_header(name, value.as_str());
            }
        }
        request
    }
}
