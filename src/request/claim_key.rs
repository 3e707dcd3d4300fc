//! Maps an idempotency key to the only platform object that may store its claim.

use std::time::Duration;

use quick_error::quick_error;
use uuid::Uuid;

use crate::digest::Digest;

/// Length of the span of issue times whose keys share one object.
pub const BUCKET_SPAN: Duration = Duration::from_secs(60);
/// Time by which a key's issue time may be ahead of the slot's clock.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(60);

quick_error! {
    /// The reason why an idempotency key is refused.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum KeyError {
        /// The key was issued before the claim window.
        TooOld {
            display("the idempotency key is older than the claim window; check at the service whether the call ran, then use a new key")
        }
        /// The key's issue time is further in the future than the allowed clock skew.
        TooNew {
            display("the idempotency key's issue time is in the future; check the clock and use a new key")
        }
    }
}

/// The location of the claim on an idempotency key, in the scope of its service and customer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimKey {
    /// Shard of the key; the calls of a shard are sent to its owner.
    pub shard: u32,
    /// Name of the object that stores the claim.
    pub object: String,
    /// Key of the claim in the object.
    pub entry_key: String,
    /// Start of the object's span of issue times, since the Unix epoch; `None` for the object of
    /// keys without issue time.
    pub bucket_start: Option<Duration>,
}

impl ClaimKey {
    /// Returns the shard of a key, among `n_shards`.
    pub fn shard_of(customer: &str, key: &str, n_shards: u32) -> u32 {
        let hash = Digest::of(entry_key_of(customer, key).as_bytes());
        let first: [u8; 8] = hash.as_bytes()[..8].try_into().expect("a digest has 32 bytes");
        (u64::from_le_bytes(first) % u64::from(n_shards.max(1))) as u32
    }

    /// Returns the location of the claim on `key` at the time `now` since the Unix epoch.
    ///
    /// A UUIDv7 key contains its issue time, which determines its span. All other keys of a shard
    /// share one object. If two slots both act as the owner of a shard, the conditional update of
    /// that one object decides which of them gets the claim.
    pub fn new(
        service: &str,
        customer: &str,
        key: &str,
        n_shards: u32,
        window: Duration,
        now: Duration,
    ) -> Result<ClaimKey, KeyError> {
        let shard = ClaimKey::shard_of(customer, key, n_shards);
        let entry_key = entry_key_of(customer, key);
        let Some(issued) = issue_time(key) else {
            let object = format!("claims/{service}/{shard}/undated");
            return Ok(ClaimKey { shard, object, entry_key, bucket_start: None });
        };
        if issued + window < now {
            return Err(KeyError::TooOld);
        }
        if issued > now + MAX_CLOCK_SKEW {
            return Err(KeyError::TooNew);
        }
        let span_s = BUCKET_SPAN.as_secs();
        let start_s = issued.as_secs() / span_s * span_s;
        Ok(ClaimKey {
            shard,
            object: format!("claims/{service}/{shard}/{start_s}"),
            entry_key,
            bucket_start: Some(Duration::from_secs(start_s)),
        })
    }
}

/// Returns the key of the rendezvous hash that ranks hosts as the owner of a shard.
pub fn shard_rank_key(service: &str, shard: u32) -> String {
    format!("claims/{service}/{shard}")
}

fn entry_key_of(customer: &str, key: &str) -> String {
    let key = Uuid::parse_str(key).map_or_else(|_| key.to_owned(), |it| it.to_string());
    format!("{customer} {key}")
}

fn issue_time(key: &str) -> Option<Duration> {
    let uuid = Uuid::parse_str(key).ok()?;
    if uuid.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanoseconds) = uuid.get_timestamp()?.to_unix();
    Some(Duration::new(seconds, nanoseconds))
}
