//! The verified pieces of one version of a model.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use crate::{ids::WeightsVersion, slot::Manifest};

/// Pieces that match their manifest.
#[derive(Clone, Debug)]
pub struct PieceStore {
    /// The model.
    pub model: String,
    /// The version.
    pub version: WeightsVersion,
    /// Digests of all pieces.
    pub manifest: Manifest,
    pieces: Vec<Option<Rc<Vec<u8>>>>,
    last_put: Instant,
}

impl PieceStore {
    /// An empty piece_store.
    pub fn new(model: &str, version: WeightsVersion, manifest: Manifest) -> PieceStore {
        let pieces = vec![None; manifest.digests.len()];
        PieceStore { model: model.to_owned(), version, manifest, pieces, last_put: Instant::now() }
    }

    /// Keeps a piece if it matches the manifest; says whether it does.
    pub fn put(&mut self, number: u32, bytes: Vec<u8>) -> bool {
        if !self.manifest.matches(number, &bytes) {
            return false;
        }
        self.pieces[number as usize] = Some(Rc::new(bytes));
        self.last_put = Instant::now();
        true
    }

    /// A piece that is held.
    pub fn get(&self, number: u32) -> Option<Rc<Vec<u8>>> {
        self.pieces.get(number as usize)?.clone()
    }

    /// Numbers of the pieces that are held.
    pub fn piece_numbers(&self) -> Vec<u16> {
        (0..self.pieces.len()).filter(|it| self.pieces[*it].is_some()).map(|it| it as u16).collect()
    }

    /// Time since the last piece came.
    pub fn idle_time(&self) -> Duration {
        self.last_put.elapsed()
    }

    /// Whether every piece is held.
    pub fn is_complete(&self) -> bool {
        self.pieces.iter().all(Option::is_some)
    }
}
