//! Commits changes of claims to one platform object, several changes in one write.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

use async_channel::{Receiver, Sender};
use async_lock::Mutex as AsyncMutex;

use crate::{
    ids::Revision,
    objects::{PlatformClient, PlatformError, Precondition},
    request::claim_bucket::{ClaimBucket, ClaimChange, ClaimResult},
    runtime,
    verdict::Verdict,
};

/// Pause before a retry after a failed call to the platform.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Maximum size of a value that is written, with a margin below the platform's limit.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// A platform object that stores claims.
///
/// Changes that arrive during a write are batched into the next write.
#[derive(Debug)]
pub(crate) struct ClaimObject {
    name: String,
    /// Age at which claims expire; `None` for an object of one span of issue times, in which no
    /// claim expires.
    max_age: Option<Duration>,
    pending: Mutex<Vec<Pending>>,
    state: AsyncMutex<ObjectState>,
}

/// The last known state of the object.
#[derive(Debug, Default)]
struct ObjectState {
    cached: Option<CachedBucket>,
    /// Greatest revision seen; a read that returns a smaller one is outdated and not used.
    newest_revision: Revision,
}

#[derive(Debug)]
struct Pending {
    change: ClaimChange,
    result_sender: Sender<ClaimResult>,
}

#[derive(Clone, Debug)]
struct CachedBucket {
    revision: Option<Revision>,
    bucket: ClaimBucket,
}

impl ClaimObject {
    /// Creates the state of the object `name` without reading it.
    pub(crate) fn new(name: &str, max_age: Option<Duration>) -> ClaimObject {
        ClaimObject {
            name: name.to_owned(),
            max_age,
            pending: Mutex::default(),
            state: AsyncMutex::default(),
        }
    }

    /// Makes `change` durable; after an error it may or may not be durable.
    pub(crate) async fn commit(
        &self,
        platform: &PlatformClient,
        change: ClaimChange,
        deadline: Instant,
    ) -> Result<ClaimResult, PlatformError> {
        let (sender, receiver) = async_channel::bounded(1);
        self.pending.lock().unwrap().push(Pending { change, result_sender: sender.clone() });
        let time_left = deadline.saturating_duration_since(Instant::now());
        let Ok(mut state) = runtime::timeout(time_left, self.state.lock()).await else {
            self.pending.lock().unwrap().retain(|it| !it.result_sender.same_channel(&sender));
            return try_result(&receiver).ok_or_else(|| missing_result(&self.name));
        };
        if let Some(result) = try_result(&receiver) {
            return Ok(result);
        }
        let batch = std::mem::take(&mut *self.pending.lock().unwrap());
        let res = self.write(platform, &mut state, &batch, deadline).await;
        if let Err(err) = res {
            let is_own = |it: &Pending| it.result_sender.same_channel(&sender);
            self.pending.lock().unwrap().extend(batch.into_iter().filter(|it| !is_own(it)));
            return Err(err);
        }
        try_result(&receiver).ok_or_else(|| missing_result(&self.name))
    }

    /// Discards the cached state, so that the next commit reads the object again.
    pub(crate) async fn refresh(&self) {
        self.state.lock().await.cached = None;
    }

    async fn write(
        &self,
        platform: &PlatformClient,
        state: &mut ObjectState,
        batch: &[Pending],
        deadline: Instant,
    ) -> Result<(), PlatformError> {
        let mut is_first_attempt = true;
        loop {
            let err = match self.write_once(platform, state, batch).await {
                Ok(()) => return Ok(()),
                Err(err) => err,
            };
            state.cached = None;
            let is_final = matches!(err, PlatformError::Refused(..));
            if is_final || Instant::now() + RETRY_PAUSE >= deadline {
                return Err(err);
            }
            let pause = if matches!(err, PlatformError::Conflict(_)) && is_first_attempt {
                Duration::ZERO
            } else {
                RETRY_PAUSE
            };
            is_first_attempt = false;
            runtime::sleep(pause).await;
        }
    }

    /// Reads the object if it is not cached and writes it conditionally.
    ///
    /// If the response to a write is lost, the next read shows whether the write took effect.
    async fn write_once(
        &self,
        platform: &PlatformClient,
        state: &mut ObjectState,
        batch: &[Pending],
    ) -> Result<(), PlatformError> {
        let current = match state.cached.take() {
            Some(current) => current,
            None => self.read(platform, state.newest_revision).await?,
        };
        let mut bucket = current.bucket.clone();
        if let Some(max_age) = self.max_age {
            bucket.expire(unix_time().saturating_sub(max_age));
        }
        let results: Vec<ClaimResult> = batch.iter().map(|it| bucket.apply(&it.change)).collect();
        let mut revision = current.revision;
        if bucket != current.bucket {
            let value = serde_json::to_vec(&bucket).expect("claims have only string keys");
            if value.len() > MAX_VALUE_BYTES {
                state.cached = Some(current);
                return Err(PlatformError::Refused(self.name.clone(), 413));
            }
            let precondition = match revision {
                Some(it) => Precondition::Revision(it),
                None => Precondition::Absent,
            };
            revision = Some(platform.put(&self.name, &value, precondition).await?);
        }
        state.newest_revision = revision.unwrap_or(0).max(state.newest_revision);
        state.cached = Some(CachedBucket { revision, bucket });
        for (pending, result) in batch.iter().zip(results) {
            let _ = pending.result_sender.try_send(result);
        }
        Ok(())
    }

    async fn read(
        &self,
        platform: &PlatformClient,
        newest_revision: Revision,
    ) -> Result<CachedBucket, PlatformError> {
        let object = platform.get(&self.name).await?;
        let revision = object.as_ref().map(|it| it.revision);
        if revision.unwrap_or(0) < newest_revision {
            let reason = format!("the platform returned an outdated revision of {}", self.name);
            return Err(PlatformError::Unavailable(Verdict::NotRun, reason));
        }
        let Some(object) = object else {
            return Ok(CachedBucket { revision: None, bucket: ClaimBucket::default() });
        };
        let bucket = serde_json::from_slice(&object.value).map_err(|err| {
            log::error!("claims: failed to decode an object object={} error=\"{err}\"", self.name);
            PlatformError::Refused(self.name.clone(), 422)
        })?;
        Ok(CachedBucket { revision, bucket })
    }
}

/// Returns the time since the Unix epoch.
pub(crate) fn unix_time() -> Duration {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default()
}

fn try_result(receiver: &Receiver<ClaimResult>) -> Option<ClaimResult> {
    receiver.try_recv().ok()
}

fn missing_result(name: &str) -> PlatformError {
    PlatformError::Unavailable(
        Verdict::MayHaveRun,
        format!("the result of the write to {name} is unknown"),
    )
}
