//! What an entry host goes by when it routes: the charter in force, backend servers and versions.

mod backend_server;
mod route;
mod routing_charter;
mod service;
mod target_version;

pub use crate::routing::{
    backend_server::{BackendServer, BackendState, HeldWeights},
    route::{Route, RouteKind, RouteTarget},
    routing_charter::{CallerLimits, RoutingCharter},
    service::{EngineFigures, ModelFigures, Origin, Service},
    target_version::TargetVersion,
};
