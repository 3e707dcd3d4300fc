//! Crocustiller brings new model weights to every serving host in a burst.
//!
//! This file is the map: it lists every module and all that is public.

pub mod charter;
pub mod digest;
pub mod documents;
pub mod ids;
pub mod membership;
pub mod net;
pub mod node;
pub mod peer;
pub mod platform;
pub mod request;
pub mod rollout;
pub mod runtime;
pub mod settings;
pub mod verdict;
pub mod weights;
