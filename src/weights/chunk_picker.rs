//! Chooses the next chunk to request from a neighbour.

/// The state of one neighbour, as the choice of a chunk uses it.
#[derive(Clone, Copy, Debug)]
pub struct PeerView<'a> {
    /// Whether the neighbour has each chunk.
    pub has_chunk: &'a [bool],
    /// Number of requests at the neighbour: those queued at its last response and the own ones.
    pub load: u32,
    /// Whether the neighbour may get a request now.
    pub is_available: bool,
}

/// A chunk and the neighbour to request it from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pick {
    /// Index of the chunk.
    pub chunk: u32,
    /// Index of the neighbour in the view.
    pub peer: usize,
}

/// Returns the rarest wanted chunk that an available neighbour has, and its least loaded holder.
///
/// Ties are broken at random, so that hosts that choose at the same time choose differently.
pub fn next_chunk(
    is_wanted: &[bool],
    peers: &[PeerView<'_>],
    random: &mut fastrand::Rng,
) -> Option<Pick> {
    let chunk = rarest_chunk(is_wanted, peers, random)?;
    let peer = least_loaded(chunk, peers, random)?;
    Some(Pick { chunk: chunk as u32, peer })
}

fn rarest_chunk(
    is_wanted: &[bool],
    peers: &[PeerView<'_>],
    random: &mut fastrand::Rng,
) -> Option<usize> {
    let mut best: Option<usize> = None;
    let mut fewest_holders = usize::MAX;
    let mut n_ties = 0;
    for chunk in (0..is_wanted.len()).filter(|it| is_wanted[*it]) {
        let holders = peers.iter().filter(|it| it.has_chunk[chunk]);
        let n_holders = holders.clone().count();
        if n_holders > fewest_holders || !holders.clone().any(|it| it.is_available) {
            continue;
        }
        if n_holders < fewest_holders {
            fewest_holders = n_holders;
            n_ties = 0;
        }
        n_ties += 1;
        if random.u32(0..n_ties) == 0 {
            best = Some(chunk);
        }
    }
    best
}

fn least_loaded(chunk: usize, peers: &[PeerView<'_>], random: &mut fastrand::Rng) -> Option<usize> {
    let holders = peers.iter().enumerate().filter(|(_, it)| it.is_available && it.has_chunk[chunk]);
    holders.min_by_key(|(_, it)| (it.load, random.u32(..))).map(|(idx, _)| idx)
}
