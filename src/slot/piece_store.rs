//! The verified pieces of one version of a model.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use crate::{ids::WeightsVersion, slot::Manifest};

/// The pieces of one version that a slot has, all verified against the manifest.
///
/// They are staged in the engine and served to other slots, which reduces the load on the origin.
#[derive(Clone, Debug)]
pub struct PieceStore {
    /// The name of the model.
    pub model: String,
    /// The version of the weights.
    pub version: WeightsVersion,
    /// The digests of all pieces.
    pub manifest: Manifest,
    pieces: Vec<Option<Rc<Vec<u8>>>>,
    last_stored_at: Instant,
}

impl PieceStore {
    /// Creates an empty piece store.
    pub fn new(model: &str, version: WeightsVersion, manifest: Manifest) -> PieceStore {
        let pieces = vec![None; manifest.digests.len()];
        PieceStore {
            model: model.to_owned(),
            version,
            manifest,
            pieces,
            last_stored_at: Instant::now(),
        }
    }

    /// Stores a piece if it matches the manifest; returns `false` if it does not.
    pub fn put(&mut self, number: u32, bytes: Vec<u8>) -> bool {
        if !self.manifest.matches(number, &bytes) {
            return false;
        }
        self.pieces[number as usize] = Some(Rc::new(bytes));
        self.last_stored_at = Instant::now();
        true
    }

    /// Returns a piece, or `None` if it is not stored.
    pub fn get(&self, number: u32) -> Option<Rc<Vec<u8>>> {
        self.pieces.get(number as usize)?.clone()
    }

    /// Returns the numbers of the stored pieces.
    pub fn piece_numbers(&self) -> Vec<u16> {
        (0..self.pieces.len()).filter(|it| self.pieces[*it].is_some()).map(|it| it as u16).collect()
    }

    /// Returns the time since the last piece was stored.
    pub fn idle_time(&self) -> Duration {
        self.last_stored_at.elapsed()
    }

    /// Returns `true` if every piece is stored.
    pub fn is_complete(&self) -> bool {
        self.pieces.iter().all(Option::is_some)
    }
}
