//! The handles that the components of one process share.

use std::{
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use crate::{
    documents::DocumentStore,
    membership::{HostRole, HostState, MemberRecord, Membership, WeightsStatus},
    net::HttpClient,
    node::Drain,
    objects::PlatformClient,
    peer::{LinkCounters, PeerPool},
    report::RequestHistory,
    settings::{BackendKind, Settings},
    weights::LinkBudget,
};

/// The shared handles of one process: settings, documents, membership, connections and counters.
#[derive(Debug)]
pub struct Node {
    /// Settings of the process.
    pub settings: Settings,
    /// Charter, pools and quarantine, each with the greatest number received.
    pub documents: Arc<DocumentStore>,
    /// Membership view of this process.
    pub membership: Arc<Membership>,
    /// Pool of connections to other processes.
    pub peers: Arc<PeerPool>,
    /// Bytes sent to and received from other processes.
    pub counters: Arc<LinkCounters>,
    /// Limits on the network bandwidth that transfers of weights use.
    pub link_budget: Arc<LinkBudget>,
    /// HTTP client for backend servers, slots and the origin.
    pub http: HttpClient,
    /// Client for the platform's service.
    pub platform: PlatformClient,
    /// End of the requests in progress once the process leaves.
    pub drain: Drain,
    /// Outcomes of recent requests; empty on a backend server host.
    pub request_history: Arc<RequestHistory>,
}

impl Node {
    /// Creates the handles without starting a task or opening a connection.
    pub fn new(settings: Settings) -> Arc<Node> {
        let counters = Arc::new(LinkCounters::default());
        let key = settings.secrets.peer_key.clone();
        let http = HttpClient::new();
        let platform = PlatformClient::new(
            settings.platform.addresses.clone(),
            settings.platform.timeout_ms,
            http.clone(),
        );
        let documents = Arc::new(DocumentStore::new());
        Arc::new(Node {
            request_history: RequestHistory::new(documents.clone()),
            documents,
            drain: Drain::default(),
            membership: Arc::new(Membership::new(own_record(&settings))),
            peers: Arc::new(PeerPool::new(key, counters.clone())),
            counters,
            link_budget: Arc::new(link_budget(&settings)),
            http,
            platform,
            settings,
        })
    }
}

fn link_budget(settings: &Settings) -> LinkBudget {
    let weights = &settings.weights;
    LinkBudget::new(
        weights.send_bytes_per_s,
        weights.receive_bytes_per_s,
        weights.min_share_percent,
    )
}

fn own_record(settings: &Settings) -> MemberRecord {
    MemberRecord {
        host: settings.host.id.clone(),
        role: role_of(settings),
        region: settings.host.region.clone(),
        zone: settings.host.zone.clone(),
        peer_address: settings.listen.peer,
        request_address: settings.listen.request,
        operator_address: settings.listen.operator,
        incarnation: start_incarnation(),
        sequence: 0,
        state: HostState::Joining,
        weights: WeightsStatus::default(),
    }
}

fn role_of(settings: &Settings) -> HostRole {
    let Some(backend) = &settings.backend else { return HostRole::Entry };
    match backend.kind {
        BackendKind::Engine => HostRole::Engine(backend.name.clone()),
        BackendKind::Service => HostRole::Service(backend.name.clone()),
    }
}

/// Returns the current Unix time in milliseconds.
///
/// A host keeps no state across restarts, so the clock makes the incarnation greater than that of
/// the previous start.
fn start_incarnation() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.as_millis() as u64
}
