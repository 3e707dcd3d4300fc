//! The options of the command line.

use std::path::PathBuf;

use argh::FromArgs;

use crate::fault::Fault;

/// Starts the processes of a deployment on loopback, runs live requests and prints figures.
///
/// Exit codes: 0 when every guarantee was met, 1 when one was violated, 2 for an invalid command
/// line or a failed start.
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

/// Measures how one customer's overload of a pool affects the other customers, and compares with
/// first come, first served.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "load")]
pub(crate) struct LoadOptions {
    /// number of backend server hosts (default 3)
    #[argh(option, default = "3")]
    pub(crate) hosts: usize,
    /// number of entry hosts (default 3)
    #[argh(option, default = "3")]
    pub(crate) entry_hosts: usize,
    /// load of each quiet customer as a share of the capacity (default 0.15)
    #[argh(option, default = "0.15")]
    pub(crate) load: f64,
    /// load of the busy customer as a multiple of the capacity (default 3)
    #[argh(option, default = "3.0")]
    pub(crate) overload: f64,
    /// duration of each of the three phases in seconds (default 20)
    #[argh(option, default = "20.0")]
    pub(crate) seconds: f64,
    /// seed of the request arrival times (default 1)
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
    /// process to kill half way through the overload phase, such as entry-0 or backend-1
    #[argh(option)]
    pub(crate) kill: Option<String>,
    /// print the figures as one JSON object in the last line
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Distributes a new version to every backend server host while callers send live requests.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "burst")]
pub(crate) struct BurstOptions {
    /// number of backend server hosts (default 60)
    #[argh(option, default = "60")]
    pub(crate) hosts: usize,
    /// number of entry hosts (default 7)
    #[argh(option, default = "7")]
    pub(crate) entry_hosts: usize,
    /// number of regions (default 3)
    #[argh(option, default = "3")]
    pub(crate) regions: usize,
    /// size of the weights in MiB (default 64)
    #[argh(option, default = "64")]
    pub(crate) size_mib: u64,
    /// file to use as the weights instead of random bytes
    #[argh(option)]
    pub(crate) weights: Option<PathBuf>,
    /// rollout mode: time-first or origin-first (default time-first)
    #[argh(option, default = "String::from(\"time-first\")")]
    pub(crate) mode: String,
    /// window in seconds, which sets the link rates: in one window a host's link carries 2 copies
    /// of the weights each way, the origin's link 4 (default 20)
    #[argh(option, default = "20.0")]
    pub(crate) window_s: f64,
    /// seed of the weights and of random choices (default 1)
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
    /// faults to apply, comma-separated
    #[argh(option, default = "List(Vec::new())", from_str_fn(parse_faults))]
    pub(crate) fault: List<Fault>,
    /// print the figures as one JSON object in the last line
    #[argh(switch)]
    pub(crate) json: bool,
    /// keep the folder with settings and logs, and print its path
    #[argh(switch)]
    pub(crate) keep_logs: bool,
}

/// Measures the processor time, memory and traffic of idle processes at several deployment sizes.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "scale")]
pub(crate) struct ScaleOptions {
    /// numbers of backend server hosts to measure, comma-separated (default 10,30,100)
    #[argh(option, default = "List(vec![10, 30, 100])", from_str_fn(parse_sizes))]
    pub(crate) hosts: List<usize>,
    /// duration of the measurement in seconds (default 20)
    #[argh(option, default = "20.0")]
    pub(crate) rest_s: f64,
    /// seed of the weights and of random choices (default 1)
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
    /// print one JSON object per size
    #[argh(switch)]
    pub(crate) json: bool,
}

impl BurstOptions {
    /// Returns the options of a deployment with small weights, for the commands that run no burst.
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

/// The values of a comma-separated option.
#[derive(Clone, Debug)]
pub(crate) struct List<T>(pub(crate) Vec<T>);

fn parse_faults(text: &str) -> Result<List<Fault>, String> {
    let names = text.split(',').map(str::trim).filter(|it| !it.is_empty());
    names.map(Fault::parse).collect::<Result<_, _>>().map(List)
}

fn parse_sizes(text: &str) -> Result<List<usize>, String> {
    let numbers = text.split(',').map(|it| it.trim().parse::<usize>());
    let list = numbers.collect::<Result<_, _>>().map(List);
    list.map_err(|err| format!("invalid list, use comma-separated numbers such as 10,30: {err}"))
}
