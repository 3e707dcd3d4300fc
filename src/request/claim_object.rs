//! Commits changes of claims to one platform object, many in one write.

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

/// Pause after a failed call of the platform.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Longest value that is written; a margin under the platform's limit.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// One object of claims; changes that arrive during a write go into the next one together.
#[derive(Debug)]
pub(crate) struct ClaimObject {
    name: String,
    /// Age at which claims are dropped from the object; `None` where the whole object is deleted.
    max_age: Option<Duration>,
    pending: Mutex<Vec<Pending>>,
    state: AsyncMutex<ObjectState>,
}

/// What is known of the object.
#[derive(Debug, Default)]
struct ObjectState {
    cached: Option<CachedBucket>,
    /// Greatest revision seen; an answer with a smaller one lags and is not used.
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
    /// Prepares the object `name`; nothing is read yet.
    pub(crate) fn new(name: &str, max_age: Option<Duration>) -> ClaimObject {
        ClaimObject {
            name: name.to_owned(),
            max_age,
            pending: Mutex::default(),
            state: AsyncMutex::default(),
        }
    }

    /// Makes `change` durable; an error says that it may or may not have been.
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

    /// Reads the object again before the next answer.
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

    /// One read, if needed, and one conditional write; a lost answer shows at the next read.
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
            let reason = format!("the answer about {} lags", self.name);
            return Err(PlatformError::Unavailable(Verdict::NotRun, reason));
        }
        let Some(object) = object else {
            return Ok(CachedBucket { revision: None, bucket: ClaimBucket::default() });
        };
        let bucket = serde_json::from_slice(&object.value).map_err(|err| {
            log::error!("claims: object can't be read object={} error=\"{err}\"", self.name);
            PlatformError::Refused(self.name.clone(), 422)
        })?;
        Ok(CachedBucket { revision, bucket })
    }
}

/// Time since 1970.
pub(crate) fn unix_time() -> Duration {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default()
}

fn try_result(receiver: &Receiver<ClaimResult>) -> Option<ClaimResult> {
    receiver.try_recv().ok()
}

fn missing_result(name: &str) -> PlatformError {
    PlatformError::Unavailable(Verdict::MayHaveRun, format!("no answer about {name}"))
}
