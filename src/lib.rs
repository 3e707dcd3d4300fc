//! Crocustiller brings new model weights to every serving host in a burst, while live requests
//! are answered.
//!
//! `daemon` starts a process in one of two ways:
//!
//! - With `--platform`, processes share their state through the platform's metadata store. The roles
//!   are `entry` and `slot`, which use `fleet`, `http1`, `memory`, `placement`, `platform`, `relay` and
//!   `routing`.
//! - Without it, processes share their state by gossip and through an object service. `request` and
//!   `rollout` serve requests and roll out versions, with `charter`, `documents`, `engine`,
//!   `membership`, `net`, `node`, `objects`, `operator`, `peer`, `report` and `weights`.
//!
//! `subcommand` is the command-line tool for operators.

pub mod charter;
pub mod clock;
pub mod daemon;
pub mod digest;
pub mod documents;
pub mod engine;
pub mod entry;
pub mod error;
pub mod fleet;
pub mod http1;
pub mod ids;
pub mod json_parts;
pub mod logging;
pub mod membership;
pub mod memory;
pub mod metric_names;
pub mod net;
pub mod node;
pub mod objects;
pub mod operator;
pub mod peer;
pub mod placement;
pub mod platform;
pub mod relay;
pub mod report;
pub mod request;
pub mod rollout;
pub mod routing;
pub mod runtime;
pub mod settings;
pub mod slot;
mod stop_signals;
pub mod subcommand;
pub mod verdict;
pub mod weights;
