//! A stand-in for a model engine, started by tests or by the `crocustiller-standins` program.

use std::{
    io,
    net::SocketAddr,
    sync::{atomic::Ordering, Arc},
};

use crocustiller::digest::Digest;

use crate::engine::{
    engine::Engine,
    engine_behaviour::{EngineBehaviour, EngineCounts},
};

/// A running stand-in for a model engine, which computes answers from the prompt alone.
#[derive(Debug)]
pub struct EngineStandin {
    engine: Arc<Engine>,
    address: SocketAddr,
}

impl EngineStandin {
    /// Starts to listen on `address`, without weights; a crash closes the listener and all
    /// connections.
    pub async fn start(address: SocketAddr) -> io::Result<EngineStandin> {
        EngineStandin::start_with(address, false).await
    }

    /// Starts like `start`, except that a crash ends the process if `exits_on_crash` is set.
    pub async fn start_with(
        address: SocketAddr,
        exits_on_crash: bool,
    ) -> io::Result<EngineStandin> {
        let engine = Engine::new(exits_on_crash);
        let address = engine.listen(address).await?;
        Ok(EngineStandin { engine, address })
    }

    /// Returns the address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the timing and the injected faults.
    pub fn set_behaviour(&self, behaviour: EngineBehaviour) {
        self.engine.behaviour.set(behaviour);
        self.engine.batch.wake_waiting();
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> EngineCounts {
        self.engine.counts.lock().unwrap().clone()
    }

    /// Returns the digest of the loaded weights, or `None` without weights.
    pub fn content_digest(&self) -> Option<Digest> {
        self.engine.weights.lock().unwrap().content_digest
    }

    /// Sets the loaded weights to those of `content_digest`, without a load order.
    pub fn preload(&self, version: &str, content_digest: Digest) {
        let mut weights = self.engine.weights.lock().unwrap();
        weights.version = Some(version.to_owned());
        weights.content_digest = Some(content_digest);
    }

    /// Returns `true` if the engine has crashed and does not listen.
    pub fn is_crashed(&self) -> bool {
        self.engine.is_crashed.load(Ordering::Relaxed)
    }

    /// Listens again after a crash, without weights.
    pub async fn restart(&self) -> io::Result<()> {
        self.engine.clone().restart(self.address).await
    }

    /// Closes the listener and all connections, as a crash does.
    pub async fn close(self) {
        self.engine.stop();
    }
}
