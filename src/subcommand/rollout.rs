//! `crocustiller rollout`: shows the progress of a rollout.

use std::time::{Duration, Instant};

use argh::FromArgs;
use indicatif::{HumanBytes, ProgressBar, ProgressStyle};

use crate::{
    charter::Charter,
    error::CommandError,
    ids::PoolId,
    membership::{HostRole, HostState, MemberRecord},
    operator::ProcessReport,
    runtime,
    subcommand::{
        operator_client::OperatorClient,
        pools,
        process_query::{self, ProcessTarget, Responses},
        rollout_view::{PoolSnapshot, RolloutView},
    },
    verdict::Verdict,
};

/// Template of the progress bar.
const BAR_TEMPLATE: &str = "{prefix} {bar:32} {pos}/{len} hosts  {msg}";

/// Shows the progress of a rollout.
#[derive(FromArgs)]
#[argh(subcommand, name = "rollout")]
pub(crate) struct RolloutCommand {
    #[argh(subcommand)]
    action: RolloutAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum RolloutAction {
    Watch(WatchRollout),
}

/// Shows a progress bar until every host of a pool has loaded the pool's version.
#[derive(FromArgs)]
#[argh(subcommand, name = "watch")]
struct WatchRollout {
    /// pool whose rollout is shown
    #[argh(positional)]
    pool: PoolId,
    /// rate of the origin's link in bytes per second, for the ratio of the elapsed time to the
    /// shortest possible time
    #[argh(option)]
    origin_bytes_per_s: Option<u64>,
    /// interval between two polls in milliseconds (default 1000)
    #[argh(option, default = "1000")]
    interval_ms: u64,
    /// timeout of the command in seconds (default 1800)
    #[argh(option, default = "1800")]
    timeout_s: u64,
}

impl RolloutCommand {
    /// Runs the command.
    pub(crate) async fn run(self, client: &OperatorClient) -> Result<(), CommandError> {
        let RolloutAction::Watch(it) = self.action;
        it.run(client).await
    }
}

impl WatchRollout {
    async fn run(self, client: &OperatorClient) -> Result<(), CommandError> {
        let bar = progress_bar(client.is_json, &self.pool);
        let started = Instant::now();
        let mut previous: Option<(Instant, u64)> = None;
        loop {
            let Some(view) = self.read_view(client).await? else {
                self.wait_for_start(&bar, client.is_json, started).await?;
                continue;
            };
            let rate = bytes_per_s(previous, view.held_bytes);
            previous = Some((Instant::now(), view.held_bytes));
            show_progress(&bar, client.is_json, &view, rate);
            if view.is_complete() {
                bar.abandon();
                return Ok(());
            }
            if started.elapsed() > Duration::from_secs(self.timeout_s) {
                bar.abandon();
                return Err(self.timeout_error(&view));
            }
            runtime::sleep(Duration::from_millis(self.interval_ms)).await;
        }
    }

    /// Queries the hosts of the pool and returns the progress of its rollout.
    ///
    /// Returns `None` if the pool is in the charter but its rollout has not started.
    async fn read_view(
        &self,
        client: &OperatorClient,
    ) -> Result<Option<RolloutView>, CommandError> {
        let pools = pools::read_pools(client).await?;
        let pool = pools.iter().find(|it| it.pool == self.pool);
        let target = pool.and_then(|it| it.target.as_ref().or(it.serving.as_ref()));
        let (Some(pool), Some(target)) = (pool, target) else {
            let charter: Charter = client.read("/v1/charter").await?;
            let is_in_charter = charter.pools.contains_key(&self.pool);
            return if is_in_charter {
                Ok(None)
            } else {
                Err(pools::unknown_pool_error(&self.pool))
            };
        };
        let members = process_query::members(client).await?;
        let hosts: Vec<&MemberRecord> =
            members.iter().filter(|it| self.is_active_in_pool(it)).collect();
        let targets: Vec<ProcessTarget> =
            hosts.iter().map(|it| process_query::process_target(it)).collect();
        let responses: Responses<ProcessReport> =
            process_query::query_all(client, &targets, "/v1/process").await;
        let reports: Vec<ProcessReport> = responses.by_host.into_iter().map(|it| it.1).collect();
        let manifest = Some(target.manifest_digest);
        Ok(Some(RolloutView::new(PoolSnapshot {
            pool,
            target,
            reports: &reports,
            loaded: hosts.iter().filter(|it| it.weights.loaded == manifest).count(),
            missing: responses.missing,
            origin_bytes_per_s: self.origin_bytes_per_s,
        })))
    }

    async fn wait_for_start(
        &self,
        bar: &ProgressBar,
        is_json: bool,
        started: Instant,
    ) -> Result<(), CommandError> {
        if started.elapsed() > Duration::from_secs(self.timeout_s) {
            let message = format!(
                "no rollout of {} has started; search for `rollout:` in the logs of entry hosts",
                self.pool
            );
            return Err(CommandError::Refused(408, message, Verdict::NotRun));
        }
        bar.set_message("waiting for the first step");
        if bar.is_hidden() && !is_json {
            println!("{}: waiting for the first step", self.pool);
        }
        runtime::sleep(Duration::from_millis(self.interval_ms)).await;
        Ok(())
    }

    fn is_active_in_pool(&self, member: &MemberRecord) -> bool {
        let is_in_service = !matches!(member.state, HostState::Leaving | HostState::Gone);
        is_in_service && member.role == HostRole::Engine(self.pool.clone())
    }

    fn timeout_error(&self, view: &RolloutView) -> CommandError {
        let message = format!(
            "{} of {} hosts have loaded {} after {} s; `crocustiller hosts list` shows which ones",
            view.loaded, view.hosts, view.version, self.timeout_s
        );
        CommandError::Refused(408, message, Verdict::NotRun)
    }
}

fn progress_bar(is_json: bool, pool: &str) -> ProgressBar {
    if is_json {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template(BAR_TEMPLATE).expect("the template is valid");
    let bar = ProgressBar::new(0).with_style(style);
    bar.set_prefix(pool.to_owned());
    bar
}

/// Returns the growth of the bytes stored on all hosts since the previous poll, in bytes per second.
///
/// It is 0 at the first poll.
fn bytes_per_s(previous: Option<(Instant, u64)>, held_bytes: u64) -> u64 {
    let Some((polled_at, previous_bytes)) = previous else { return 0 };
    (held_bytes.saturating_sub(previous_bytes) as f64
        / polled_at.elapsed().as_secs_f64().max(0.001)) as u64
}

fn show_progress(bar: &ProgressBar, is_json: bool, view: &RolloutView, rate: u64) {
    if is_json {
        println!("{}", serde_json::json!(view));
        return;
    }
    let over_bound = view.time_over_bound.map(|it| format!("  {it:.2} x bound"));
    let message = format!(
        "{} {}: {} staged, {}/s, {:.2} origin copies, {:.1} s{}",
        view.version,
        view.step,
        view.staged,
        HumanBytes(rate),
        view.origin_copies,
        view.elapsed_s,
        over_bound.unwrap_or_default()
    );
    bar.set_length(view.hosts as u64);
    bar.set_position(view.loaded as u64);
    if bar.is_hidden() {
        println!("{}: {}/{} hosts  {message}", view.pool, view.loaded, view.hosts);
    } else {
        bar.set_message(message);
    }
}
