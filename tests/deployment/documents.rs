//! The charter and the pool document of a deployment.

use std::time::Duration;

use crocustiller::{
    charter::{Charter, CustomerSpec, PoolSpec, ServiceSpec},
    digest::Digest,
    peer::{Document, DocumentName},
    rollout::{PoolDocument, RolloutStep, WeightsTarget},
};
use serde_bytes::ByteBuf;

/// Returns the document of the pool `chat` with the version `v1` at `switch_number`.
pub fn pool_document(number: u64, switch_number: u64) -> Document {
    let target = WeightsTarget { version: "v1".to_owned(), manifest_digest: weights_digest() };
    let pool = PoolDocument {
        number,
        pool: "chat".to_owned(),
        serving: Some(target.clone()),
        target: Some(target),
        switch_number,
        step: RolloutStep::Steady,
    };
    let json = ByteBuf::from(serde_json::to_vec(&pool).unwrap());
    Document { name: DocumentName::Pool("chat".to_owned()), number, json }
}

/// Returns the manifest digest of `v1`, the only version of the weights.
pub fn weights_digest() -> Digest {
    Digest::of(b"v1")
}

/// Returns the charter with the pool `chat`, the service `ledger` and four customers.
pub fn charter_document() -> Document {
    let customer = |name: &str| {
        let token_digest = Digest::of(format!("token-{name}").as_bytes());
        (name.to_owned(), CustomerSpec { weight: 1, token_digest, max_in_progress: 1000 })
    };
    let names = ["a", "b", "c", "d"];
    let pool = PoolSpec {
        version: "v1".to_owned(),
        customers: names[..3].iter().map(|it| it.to_string()).collect(),
        hosts: Vec::new(),
        min_serving_percent: 70,
    };
    let service = ServiceSpec {
        repeatable: false,
        customers: Vec::new(),
        claim_shards: 4,
        claim_window_s: Duration::from_secs(3600),
    };
    let charter = Charter {
        number: 1,
        pools: [("chat".to_owned(), pool)].into(),
        services: [("ledger".to_owned(), service)].into(),
        customers: names.into_iter().map(customer).collect(),
        ..Charter::default()
    };
    let json = ByteBuf::from(serde_json::to_vec(&charter).unwrap());
    Document { name: DocumentName::Charter, number: 1, json }
}
