//! The executor of the process, and timers.

use std::{
    future::Future,
    thread,
    time::{Duration, Instant},
};

use async_executor::{LocalExecutor, StaticExecutor, Task};
use async_io::Timer;
use futures_lite::FutureExt;

static EXECUTOR: StaticExecutor = StaticExecutor::new();

/// The number of threads that run tasks besides the main thread.
const HELPER_THREADS: usize = 1;

/// The error of an operation that did not end within its timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedOut;

/// Runs `future` and spawned tasks on the calling thread until `future` ends.
///
/// Helper threads run spawned tasks too.
pub fn run_until<T>(future: impl Future<Output = T>) -> T {
    for idx in 0..HELPER_THREADS {
        let name = format!("executor-{idx}");
        let run = || async_io::block_on(EXECUTOR.run(std::future::pending::<()>()));
        if let Err(err) = thread::Builder::new().name(name).spawn(run) {
            log::warn!("runtime: failed to start a helper thread error={err}");
        }
    }
    async_io::block_on(EXECUTOR.run(Box::pin(future)))
}

/// Spawns a task; dropping the returned handle cancels it, `detach` keeps it running.
pub fn spawn<T: Send + 'static>(future: impl Future<Output = T> + Send + 'static) -> Task<T> {
    EXECUTOR.spawn(future)
}

thread_local! {
    /// The executor of a process with one thread; it is leaked so that its tasks can spawn others.
    static LOCAL: &'static LocalExecutor<'static> = Box::leak(Box::new(LocalExecutor::new()));
}

/// Runs `future` and the tasks of `spawn_local` on the calling thread until `future` ends.
pub fn run_local<T>(future: impl Future<Output = T>) -> T {
    let executor = LOCAL.with(|it| *it);
    async_io::block_on(executor.run(Box::pin(future)))
}

/// Spawns a task on the calling thread; dropping the handle cancels it, `detach` keeps it running.
pub fn spawn_local<T: 'static>(future: impl Future<Output = T> + 'static) -> Task<T> {
    LOCAL.with(|it| it.spawn(future))
}

/// Waits for `duration`.
pub async fn sleep(duration: Duration) {
    Timer::after(duration).await;
}

/// Waits until `instant`.
pub async fn sleep_until(instant: Instant) {
    Timer::at(instant).await;
}

/// Returns the result of `future`, or drops it and returns `TimedOut` once `duration` has passed.
pub async fn timeout<T>(
    duration: Duration,
    future: impl Future<Output = T>,
) -> Result<T, TimedOut> {
    let timer = async {
        Timer::after(duration).await;
        Err(TimedOut)
    };
    async { Ok(future.await) }.or(timer).await
}
