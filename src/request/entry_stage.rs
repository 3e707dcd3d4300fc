//! The pipeline of an entry host: from a caller's request to the relayed answer.

use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    time::{Duration, Instant},
};

use http_types::{Method, Request, Response, StatusCode};

use crate::{
    charter::Charter,
    digest::Digest,
    ids::CustomerId,
    membership::HostState,
    node::Node,
    request::{
        account::Account,
        attempt::{Attempt, AttemptError, Retry},
        entry_hosts,
        failure::Failure,
        in_progress::{InProgress, InProgressGuard},
        incoming::{check_framing, request_id_of, text_of, Incoming, IncomingLimits},
        quarantine_stage::QuarantineStage,
        retry_budget::RetryBudget,
        route::{Route, ENTRY_HOSTS_PATH},
        slot_loads::SlotLoads,
    },
    runtime,
    verdict::Verdict,
};

/// First pause before a request goes to another slot.
const FIRST_PAUSE: Duration = Duration::from_millis(5);
/// Longest pause before a request goes to another slot.
const MAX_PAUSE: Duration = Duration::from_millis(250);
/// Pause that a refused customer is asked to make.
const LIMIT_PAUSE: Duration = Duration::from_secs(1);

/// Answers callers.
pub(crate) struct EntryStage {
    pub(crate) node: Arc<Node>,
    pub(crate) loads: Arc<SlotLoads>,
    budget: Mutex<RetryBudget>,
    in_progress: Arc<InProgress>,
    pub(crate) quarantine: Arc<QuarantineStage>,
    refuses_new: AtomicBool,
}

impl EntryStage {
    /// Prepares the pipeline and follows the own life cycle.
    pub(crate) fn new(node: Arc<Node>) -> Arc<EntryStage> {
        let stage = Arc::new(EntryStage {
            quarantine: QuarantineStage::new(node.clone()),
            node,
            loads: SlotLoads::new(),
            budget: Mutex::new(RetryBudget::new()),
            in_progress: Arc::default(),
            refuses_new: AtomicBool::new(false),
        });
        runtime::spawn(stage.clone().follow_leaving()).detach();
        stage
    }

    /// Answers one request.
    pub(crate) async fn answer(&self, request: Request) -> Response {
        let id = match request_id_of(&request) {
            Ok(id) => id,
            Err((id, failure)) => return failure.closing().into_response(&id),
        };
        let mut response = match self.run(id.clone(), request).await {
            Ok(response) => response,
            Err(failure) => {
                log::debug!(
                    "request: failed id={id} status={} verdict={} reason=\"{}\"",
                    failure.status,
                    failure.verdict,
                    failure.message
                );
                failure.into_response(&id)
            }
        };
        if self.is_leaving() {
            response.insert_header("Connection", "close");
        }
        response
    }

    async fn run(&self, id: String, request: Request) -> Result<Response, Failure> {
        let arrived = Instant::now();
        check_framing(&request)?;
        if request.url().path() == ENTRY_HOSTS_PATH && request.method() == Method::Get {
            return Ok(entry_hosts::response(&self.node, &id));
        }
        if self.refuses_new.load(Ordering::Relaxed) {
            return Err(self.leaving());
        }
        let charter = self.node.documents.charter().ok_or_else(no_charter)?;
        let customer = customer_of(&charter, &request).map_err(Failure::closing)?;
        let guard = self.limit(&charter, &customer).map_err(Failure::closing)?;
        let limits = IncomingLimits {
            max_body_bytes: self.node.settings.limits.max_body_bytes,
            request_timeout_ms: self.node.settings.limits.request_timeout_ms,
        };
        let incoming = Incoming::read(id, request, limits).await?;
        let route = Route::of(&incoming)?;
        let accounts = self.node.request_history.clone();
        let account = Account::new(accounts, &incoming, &customer, route.target(), arrived);
        let mut attempt = Attempt::new(self, &incoming, &route, &customer, guard, account);
        let res = self.forward(&mut attempt).await;
        if let (Err(failure), Some(account)) = (&res, attempt.account.take()) {
            account.failed(failure.verdict);
        }
        res
    }

    /// Sends the request to one slot after the other until one answers.
    ///
    /// Once a try may have run, the failure of a later one no longer says that nothing ran.
    async fn forward(&self, attempt: &mut Attempt<'_>) -> Result<Response, Failure> {
        self.budget.lock().unwrap().deposit();
        let mut pause = FIRST_PAUSE;
        let mut may_have_run = false;
        loop {
            let AttemptError { mut failure, retry } = match attempt.run().await {
                Ok(response) => return Ok(response),
                Err(err) => err,
            };
            may_have_run |= failure.verdict != Verdict::NotRun;
            if may_have_run && failure.verdict == Verdict::NotRun {
                failure.verdict = Verdict::MayHaveRun;
            }
            let may_go_on = match retry {
                Retry::Never => false,
                Retry::AfterChange => true,
                Retry::WithinBudget => self.budget.lock().unwrap().try_withdraw(),
            };
            if !may_go_on || attempt.incoming.time_left() <= pause {
                return Err(failure);
            }
            runtime::sleep(pause).await;
            pause = (pause * 2).min(MAX_PAUSE);
        }
    }

    fn leaving(&self) -> Failure {
        let message = "this entry host is leaving; send the request to one of entry_hosts";
        let mut failure = Failure::not_run(StatusCode::ServiceUnavailable, message).closing();
        failure.entry_hosts = entry_hosts::addresses(&self.node);
        failure
    }

    /// Refuses new requests once callers no longer keep an address list with this host.
    async fn follow_leaving(self: Arc<Self>) {
        loop {
            let changed = self.node.membership.listen();
            if self.is_leaving() {
                break;
            }
            changed.await;
        }
        runtime::sleep(self.node.settings.limits.entry_hosts_max_age_s).await;
        self.refuses_new.store(true, Ordering::Relaxed);
        log::info!("request: new requests are refused, the host is leaving");
    }

    fn is_leaving(&self) -> bool {
        self.node.membership.own().state == HostState::Leaving
    }

    fn limit(&self, charter: &Charter, customer: &str) -> Result<InProgressGuard, Failure> {
        let limit = charter.customers[customer].max_in_progress;
        self.in_progress.begin(customer, limit).ok_or_else(|| {
            let message = format!("{limit} requests of the customer are in progress; send fewer");
            Failure::not_run(StatusCode::TooManyRequests, message).retry_after(LIMIT_PAUSE)
        })
    }
}

fn customer_of(charter: &Charter, request: &Request) -> Result<CustomerId, Failure> {
    let refuse = |message: &str| Failure::not_run(StatusCode::Unauthorized, message);
    let Some(text) = text_of(request, "Authorization") else {
        return Err(refuse("no token; send \"Authorization: Bearer <token>\""));
    };
    let Some(token) = text.strip_prefix("Bearer ") else {
        return Err(refuse("unknown kind of token; send \"Authorization: Bearer <token>\""));
    };
    let digest = blake3::Hash::from(*Digest::of(token.trim().as_bytes()).as_bytes());
    let is_of = |it: &Digest| blake3::Hash::from(*it.as_bytes()) == digest;
    let found = charter.customers.iter().find(|(_, terms)| is_of(&terms.token_digest));
    let (customer, _) = found.ok_or_else(|| {
        refuse("the token belongs to no customer of the charter; ask an operator for a valid one")
    })?;
    Ok(customer.clone())
}

fn no_charter() -> Failure {
    let message = "this entry host has no charter yet; ask another one";
    Failure::not_run(StatusCode::ServiceUnavailable, message).retry_after(LIMIT_PAUSE).closing()
}
