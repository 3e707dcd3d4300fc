//! Chooses the next chunk to ask a neighbour for.

/// What the choice knows of one neighbour.
#[derive(Clone, Copy, Debug)]
pub struct PeerView<'a> {
    /// Whether the neighbour holds each chunk.
    pub holds: &'a [bool],
    /// Requests that wait at the neighbour, as far as known.
    pub load: u32,
    /// Whether the neighbour may be asked now.
    pub is_available: bool,
}

/// A chunk and the neighbour to ask for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pick {
    /// Index of the chunk.
    pub chunk: u32,
    /// Index of the neighbour in the view.
    pub peer: usize,
}

/// The rarest wanted chunk that an available neighbour holds, from the least loaded such neighbour.
///
/// Ties are broken at random, so that neighbours that choose at the same time choose differently.
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
        let holders = peers.iter().filter(|it| it.holds[chunk]);
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
    let holders = peers.iter().enumerate().filter(|(_, it)| it.is_available && it.holds[chunk]);
    holders.min_by_key(|(_, it)| (it.load, random.u32(..))).map(|(idx, _)| idx)
}
