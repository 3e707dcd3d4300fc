//! Data that an entry host uses to route requests: the charter in force, backend servers and
//! versions.

mod backend_server;
mod charter_change;
mod charter_draft;
mod charter_finding;
mod cold_start;
mod customer;
mod queue_terms;
mod ranked_services;
mod request_regions;
mod route;
mod routing_charter;
mod service;
mod target_version;

pub(crate) use crate::routing::ranked_services::ranked_services;
pub use crate::routing::{
    backend_server::{BackendServer, BackendState, LoadedLayers},
    charter_change::{changes_of_charter, ChangeKind, CharterChange, CharterPart},
    charter_draft::{CharterDraft, DraftCustomer},
    charter_finding::{find_in_charter, CharterFinding},
    cold_start::ColdStart,
    customer::Customer,
    queue_terms::QueueTerms,
    request_regions::RequestRegions,
    route::{Route, RouteKind, RouteTarget},
    routing_charter::{CallerLimits, RoutingCharter},
    service::{EngineSpec, ModelSpec, Origin, Service},
    target_version::TargetVersion,
};
