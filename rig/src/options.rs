//! The command line.

use std::path::PathBuf;

use argh::FromArgs;

use crate::fault::Fault;

/// Starts the processes of a deployment on loopback, runs live requests and prints figures.
///
/// Exit codes: 0 when every promise held, 1 when one broke, 2 for a bad command line or start.
#[derive(FromArgs)]
pub(crate) struct Options {
    #[argh(subcommand)]
    pub(crate) command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Burst(BurstOptions),
    Scale(ScaleOptions),
    Load(LoadOptions),
}

/// Lets one customer overload a pool beside the others, and compares with first come, first served.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "load")]
pub(crate) struct LoadOptions {
    /// backend server hosts (default 3)
    #[argh(option, default = "3")]
    pub(crate) hosts: usize,
    /// entry hosts (default 3)
    #[argh(option, default = "3")]
    pub(crate) entry_hosts: usize,
    /// load of each quiet customer as a share of the capacity (default 0.15)
    #[argh(option, default = "0.15")]
    pub(crate) load: f64,
    /// load of the busy customer as a multiple of the capacity (default 3)
    #[argh(option, default = "3.0")]
    pub(crate) overload: f64,
    /// seconds of each of the three phases (default 20)
    #[argh(option, default = "20.0")]
    pub(crate) seconds: f64,
    /// seed of the arrivals (default 1)
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
    /// process that is killed half way through the overload, such as entry-0 or backend-1
    #[argh(option)]
    pub(crate) kill: Option<String>,
    /// print one JSON object as the last line
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Brings one new version to every backend server host while live requests are answered.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "burst")]
pub(crate) struct BurstOptions {
    /// backend server hosts (default 60)
    #[argh(option, default = "60")]
    pub(crate) hosts: usize,
    /// entry hosts (default 7)
    #[argh(option, default = "7")]
    pub(crate) entry_hosts: usize,
    /// regions (default 3)
    #[argh(option, default = "3")]
    pub(crate) regions: usize,
    /// size of the weights in MiB (default 64)
    #[argh(option, default = "64")]
    pub(crate) size_mib: u64,
    /// file with the weights, in place of random bytes
    #[argh(option)]
    pub(crate) weights: Option<PathBuf>,
    /// time-first or origin-first (default time-first)
    #[argh(option, default = "String::from(\"time-first\")")]
    pub(crate) mode: String,
    /// window in seconds: a machine's link carries 2 copies in it each way, the origin's 4 (default 20)
    #[argh(option, default = "20.0")]
    pub(crate) window_s: f64,
    /// seed of weights and choices (default 1)
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
    /// faults, with commas between them
    #[argh(option, default = "List(Vec::new())", from_str_fn(parse_faults))]
    pub(crate) fault: List<Fault>,
    /// print one JSON object as the last line
    #[argh(switch)]
    pub(crate) json: bool,
    /// keep settings and logs, and print their folder
    #[argh(switch)]
    pub(crate) keep_logs: bool,
}

/// Measures what processes need at several sizes.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "scale")]
pub(crate) struct ScaleOptions {
    /// numbers of backend server hosts, with commas between them (default 10,30,100)
    #[argh(option, default = "List(vec![10, 30, 100])", from_str_fn(parse_sizes))]
    pub(crate) hosts: List<usize>,
    /// seconds at rest that are measured (default 20)
    #[argh(option, default = "20.0")]
    pub(crate) rest_s: f64,
    /// seed of weights and choices (default 1)
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
    /// print one JSON object a size
    #[argh(switch)]
    pub(crate) json: bool,
}

impl BurstOptions {
    /// Small defaults that measure a deployment at rest.
    pub(crate) fn without_burst(hosts: usize, seed: u64) -> BurstOptions {
        BurstOptions {
            hosts,
            entry_hosts: 7,
            regions: 3,
            size_mib: 4,
            weights: None,
            mode: "time-first".to_owned(),
            window_s: 20.0,
            seed,
            fault: List(Vec::new()),
            json: false,
            keep_logs: false,
        }
    }
}

/// Values with commas between them.
#[derive(Clone, Debug)]
pub(crate) struct List<T>(pub(crate) Vec<T>);

fn parse_faults(text: &str) -> Result<List<Fault>, String> {
    let names = text.split(',').map(str::trim).filter(|it| !it.is_empty());
    names.map(Fault::parse).collect::<Result<_, _>>().map(List)
}

fn parse_sizes(text: &str) -> Result<List<usize>, String> {
    let numbers = text.split(',').map(|it| it.trim().parse::<usize>());
    let list = numbers.collect::<Result<_, _>>().map(List);
    list.map_err(|err| format!("give numbers such as 10,30: {err}"))
}
