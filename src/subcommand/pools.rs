//! `crocustiller pools`: shows the rollout state of each pool.

use argh::FromArgs;
use serde::Deserialize;

use crate::{
    error::CommandError,
    ids::PoolId,
    rollout::{PoolDocument, RolloutStep, WeightsTarget},
    subcommand::{operator_client::OperatorClient, table::Table},
    verdict::Verdict,
};

/// Shows the rollout state of each pool.
#[derive(FromArgs)]
#[argh(subcommand, name = "pools")]
pub(crate) struct PoolsCommand {
    #[argh(subcommand)]
    action: PoolsAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum PoolsAction {
    Show(ShowPools),
}

/// Shows the serving version, the target version and the rollout step of each pool.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
struct ShowPools {
    /// show only this pool
    #[argh(positional)]
    pool: Option<PoolId>,
}

/// The response to `GET /v1/pools`.
#[derive(Debug, Deserialize)]
struct PoolList {
    pools: Vec<PoolDocument>,
}

impl PoolsCommand {
    /// Runs the command.
    pub(crate) async fn run(self, client: &OperatorClient) -> Result<(), CommandError> {
        let PoolsAction::Show(it) = self.action;
        let mut pools = read_pools(client).await?;
        if let Some(pool) = it.pool {
            pools.retain(|it| it.pool == pool);
            if pools.is_empty() {
                return Err(unknown_pool_error(&pool));
            }
        }
        if client.is_json {
            println!("{}", serde_json::json!({ "pools": pools }));
            return Ok(());
        }
        print_pools(&pools);
        Ok(())
    }
}

/// Returns the pool documents of the first entry host that responds.
pub(crate) async fn read_pools(client: &OperatorClient) -> Result<Vec<PoolDocument>, CommandError> {
    Ok(client.read::<PoolList>("/v1/pools").await?.pools)
}

/// Returns the error for a pool that isn't in the charter.
pub(crate) fn unknown_pool_error(pool: &str) -> CommandError {
    let message = format!("no pool {pool}; `crocustiller pools show` lists all pools");
    CommandError::Refused(404, message, Verdict::NotRun)
}

/// Returns the name of a rollout step.
pub(crate) fn step_text(step: &RolloutStep) -> &'static str {
    match step {
        RolloutStep::Steady => "steady",
        RolloutStep::Stage => "stage",
        RolloutStep::FirstWave { .. } => "first wave",
        RolloutStep::Prepare { .. } => "prepare",
    }
}

fn print_pools(pools: &[PoolDocument]) {
    let mut table = Table::new(&["POOL", "SERVING", "TARGET", "STEP", "SWITCH", "NUMBER"]);
    for pool in pools {
        table.add(vec![
            pool.pool.clone(),
            version_text(pool.serving.as_ref()),
            version_text(pool.target.as_ref()),
            step_text(&pool.step).to_owned(),
            pool.switch_number.to_string(),
            pool.number.to_string(),
        ]);
    }
    table.print();
}

fn version_text(target: Option<&WeightsTarget>) -> String {
    target.map_or("-".to_owned(), |it| it.version.clone())
}
