//! Crocustiller brings new model weights to every serving host in a burst, while live requests
//! are answered.
//!
//! This file lists all modules; each of them is public.

pub mod charter;
pub mod daemon;
pub mod digest;
pub mod documents;
pub mod engine;
pub mod entry;
pub mod error;
pub mod fleet;
pub mod http1;
pub mod ids;
pub mod logging;
pub mod membership;
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
pub mod subcommand;
pub mod verdict;
pub mod weights;
