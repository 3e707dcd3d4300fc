//! An entry host on the platform: takes callers, finds backend servers, relays answers.

mod attempt_end;
mod beacon_exchange;
mod beliefs;
mod caller_connection;
mod counted;
mod directory;
mod entry_host;
mod exchange;
mod life;
mod metrics_page;
mod news_server;
mod place;
mod refusal;
mod request_trace;
mod stream_relay;
mod whole_relay;

pub(crate) use crate::entry::life::run;
