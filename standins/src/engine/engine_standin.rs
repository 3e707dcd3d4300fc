//! A stand-in of a model engine, as tests and the program start it.

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

/// A running stand-in of a model engine.
#[derive(Debug)]
pub struct EngineStandin {
    engine: Arc<Engine>,
    address: SocketAddr,
}

impl EngineStandin {
    /// Listens on `address`, without weights; a crash closes the address and all connections.
    pub async fn start(address: SocketAddr) -> io::Result<EngineStandin> {
        EngineStandin::start_with(address, false).await
    }

    /// Like `start`; with `exits_on_crash` a crash ends the process.
    pub async fn start_with(
        address: SocketAddr,
        exits_on_crash: bool,
    ) -> io::Result<EngineStandin> {
        let engine = Engine::new(exits_on_crash);
        let address = engine.listen(address).await?;
        Ok(EngineStandin { engine, address })
    }

    /// The address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces timing and faults.
    pub fn set_behaviour(&self, behaviour: EngineBehaviour) {
        self.engine.behaviour.set(behaviour);
        self.engine.batch.wake_waiting();
    }

    /// What the engine did so far.
    pub fn counts(&self) -> EngineCounts {
        self.engine.counts.lock().unwrap().clone()
    }

    /// Digest of the weights that answer now.
    pub fn content_digest(&self) -> Option<Digest> {
        self.engine.weights.lock().unwrap().content_digest
    }

    /// Fills the memory with the weights of `content_digest`, without a load order.
    pub fn preload(&self, version: &str, content_digest: Digest) {
        let mut weights = self.engine.weights.lock().unwrap();
        weights.version = Some(version.to_owned());
        weights.content_digest = Some(content_digest);
    }

    /// Whether the engine has crashed and does not listen.
    pub fn is_crashed(&self) -> bool {
        self.engine.is_crashed.load(Ordering::Relaxed)
    }

    /// Listens again after a crash, without weights.
    pub async fn restart(&self) -> io::Result<()> {
        self.engine.clone().restart(self.address).await
    }

    /// Ends the engine as a crash does.
    pub async fn close(self) {
        self.engine.stop();
    }
}
