//! Decides which buffers may grow when all of them together need too much memory.
//!
//! Load pattern: one faulty sender, or many at once, send bodies that are long or never end, while
//! others send short ones. The short ones must still fit, so the longest buffer gives way.

use std::collections::BTreeMap;

use crate::ids::BackendId;

/// Share of a process's memory that buffers may use. Copies of a body, unused capacity of a growing
/// buffer and everything else need the rest.
const TOTAL_SHARE: f64 = 0.25;
/// Share of that which the buffers of one sender may use.
const SENDER_SHARE: f64 = 0.5;
/// Share of it that a single buffer may use.
const BUFFER_SHARE: f64 = 0.125;

/// Identifies a buffer within a process.
pub type BufferId = u64;

/// The peer that sends the bytes of a buffer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BufferSender {
    /// A backend server.
    Backend(BackendId),
    /// Any caller.
    Callers,
    /// Any caller that sends more while its request is being served. Such bytes are kept, so they have a
    /// share of their own: the requests of others could give up none of them.
    ReadAhead,
    /// Any backend server whose complete response waits until its caller has read it: how long that
    /// takes is no fault of the backend server.
    Responses,
}

/// The sizes that buffers may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BufferLimits {
    /// Size of all buffers together.
    pub total_bytes: usize,
    /// Size of all buffers of one sender together.
    pub sender_bytes: usize,
    /// Size of a single buffer for a response; a request of a caller may be as long as all of them.
    pub buffer_bytes: usize,
}

/// The buffers of a process and their sizes.
#[derive(Clone, Debug)]
pub struct BufferBudget {
    limits: BufferLimits,
    buffers: BTreeMap<BufferId, Buffer>,
    sender_bytes: BTreeMap<BufferSender, usize>,
    total_bytes: usize,
    max_total_bytes: usize,
    n_given_up: u64,
    next_id: BufferId,
}

#[derive(Clone, Debug)]
struct Buffer {
    sender: BufferSender,
    size_bytes: usize,
    /// Whether the message is needed as it is complete; it is then not given up for others.
    is_kept: bool,
}

impl BufferLimits {
    /// Returns the limits of a process that may use `memory_bytes`.
    pub fn of_process(memory_bytes: usize) -> BufferLimits {
        let share = |of: usize, share: f64| (of as f64 * share) as usize;
        let total_bytes = share(memory_bytes, TOTAL_SHARE);
        BufferLimits {
            total_bytes,
            sender_bytes: share(total_bytes, SENDER_SHARE),
            buffer_bytes: share(total_bytes, BUFFER_SHARE),
        }
    }

    /// Returns the size that a single buffer of a sender may have. The charter bounds the requests of
    /// callers, and only what the host can't hold is too long besides.
    pub fn max_bytes(&self, sender: &BufferSender) -> usize {
        match sender {
            BufferSender::Callers | BufferSender::ReadAhead => self.sender_bytes,
            BufferSender::Backend(_) | BufferSender::Responses => self.buffer_bytes,
        }
    }
}

impl BufferBudget {
    /// Creates a budget without buffers.
    pub fn new(limits: BufferLimits) -> BufferBudget {
        BufferBudget {
            limits,
            buffers: BTreeMap::new(),
            sender_bytes: BTreeMap::new(),
            total_bytes: 0,
            max_total_bytes: 0,
            n_given_up: 0,
            next_id: 0,
        }
    }

    /// Adds an empty buffer.
    pub fn open(&mut self, sender: BufferSender) -> BufferId {
        let id = self.next_id;
        self.next_id += 1;
        self.buffers.insert(id, Buffer { sender, size_bytes: 0, is_kept: false });
        id
    }

    /// Lets a buffer grow by `n_bytes`; returns the buffers that are given up for it, which no longer
    /// count. At a limit this is the longest one that may be, possibly itself.
    pub fn grow(&mut self, id: BufferId, n_bytes: usize) -> Vec<BufferId> {
        let Some(buffer) = self.buffers.get_mut(&id) else { return vec![id] };
        buffer.size_bytes += n_bytes;
        *self.sender_bytes.entry(buffer.sender.clone()).or_default() += n_bytes;
        self.total_bytes += n_bytes;
        self.make_room(id)
    }

    /// Lets a buffer shrink by `n_bytes`, which were dropped.
    pub fn shrink(&mut self, id: BufferId, n_bytes: usize) {
        let Some(mut buffer) = self.buffers.remove(&id) else { return };
        self.subtract(&buffer);
        buffer.size_bytes = buffer.size_bytes.saturating_sub(n_bytes);
        self.add(id, buffer);
    }

    /// Records that the message of a buffer is complete, so that it isn't given up for others.
    pub fn complete(&mut self, id: BufferId) {
        if let Some(buffer) = self.buffers.get_mut(&id) {
            buffer.is_kept = true;
        }
    }

    /// Records that a message is a complete response that waits until its caller has read it; returns
    /// the buffers that are given up for it. It may itself be given up from now on, but for later ones, as
    /// its caller may read at once.
    pub fn wait_for_caller(&mut self, id: BufferId) -> Vec<BufferId> {
        let Some(mut buffer) = self.buffers.remove(&id) else { return vec![id] };
        self.subtract(&buffer);
        buffer.sender = BufferSender::Responses;
        buffer.is_kept = true;
        self.add(id, buffer);
        let given_up = self.make_room(id);
        if let Some(buffer) = self.buffers.get_mut(&id) {
            buffer.is_kept = false;
        }
        given_up
    }

    /// Removes a buffer; one that was given up is no longer there.
    pub fn close(&mut self, id: BufferId) {
        if let Some(buffer) = self.buffers.remove(&id) {
            self.subtract(&buffer);
        }
    }

    /// Returns the sizes that buffers may have.
    pub fn limits(&self) -> BufferLimits {
        self.limits
    }

    /// Returns `true` unless the buffer was given up or closed.
    pub fn is_open(&self, id: BufferId) -> bool {
        self.buffers.contains_key(&id)
    }

    /// Returns the size of all buffers together.
    pub fn total_bytes(&self) -> usize {
        self.total_bytes
    }

    /// Returns the greatest size that all buffers together have had.
    pub fn max_total_bytes(&self) -> usize {
        self.max_total_bytes
    }

    /// Returns the number of buffers that were given up.
    pub fn n_given_up(&self) -> u64 {
        self.n_given_up
    }

    /// Gives up buffers until those that are left fit, after the buffer `grown` has grown.
    fn make_room(&mut self, grown: BufferId) -> Vec<BufferId> {
        let mut given_up = Vec::new();
        while let Some(next) = self.next_to_give_up(grown) {
            self.close(next);
            given_up.push(next);
        }
        self.n_given_up += given_up.len() as u64;
        self.max_total_bytes = self.max_total_bytes.max(self.total_bytes);
        given_up
    }

    fn add(&mut self, id: BufferId, buffer: Buffer) {
        *self.sender_bytes.entry(buffer.sender.clone()).or_default() += buffer.size_bytes;
        self.total_bytes += buffer.size_bytes;
        self.buffers.insert(id, buffer);
    }

    fn subtract(&mut self, buffer: &Buffer) {
        self.total_bytes -= buffer.size_bytes;
        let Some(sender_bytes) = self.sender_bytes.get_mut(&buffer.sender) else { return };
        *sender_bytes -= buffer.size_bytes;
        if *sender_bytes == 0 {
            self.sender_bytes.remove(&buffer.sender);
        }
    }

    /// Returns the buffer to give up next after the buffer `grown` has grown; `None` if no limit is
    /// exceeded.
    fn next_to_give_up(&self, grown: BufferId) -> Option<BufferId> {
        let Buffer { sender, size_bytes, .. } = self.buffers.get(&grown)?;
        if *size_bytes > self.limits.max_bytes(sender) {
            return Some(grown);
        }
        if self.sender_bytes.get(sender).is_some_and(|it| *it > self.limits.sender_bytes) {
            return Some(self.longest(|it| it.sender == *sender).unwrap_or(grown));
        }
        if self.total_bytes > self.limits.total_bytes {
            return Some(self.longest(|_| true).unwrap_or(grown));
        }
        None
    }

    /// Returns the buffer that is given up next: the longest one of the backend server that uses most, of
    /// several the newest one. If it is a response that waits for its caller, this is instead the oldest
    /// such response that is at least half as long.
    fn longest(&self, is_included: impl Fn(&Buffer) -> bool) -> Option<BufferId> {
        let is_candidate = |it: &(&BufferId, &Buffer)| !it.1.is_kept && is_included(it.1);
        let candidates = || self.buffers.iter().filter(is_candidate);
        let rank = |it: &Buffer| (self.weight_bytes(it), it.size_bytes);
        let (longest_id, longest) = candidates().max_by_key(|it| rank(it.1))?;
        if longest.sender != BufferSender::Responses {
            return Some(*longest_id);
        }
        let is_long = |it: &Buffer| it.size_bytes * 2 >= longest.size_bytes;
        let mut waiting = candidates().filter(|it| it.1.sender == BufferSender::Responses);
        waiting.find(|it| is_long(it.1)).map(|it| *it.0)
    }

    /// Returns what a buffer is compared by: all that its backend server uses, as each of many bodies of a
    /// faulty one may be short. Callers, whose buffers are counted together, are compared one by one.
    fn weight_bytes(&self, buffer: &Buffer) -> usize {
        match buffer.sender {
            BufferSender::Backend(_) => self.sender_bytes.get(&buffer.sender).copied().unwrap_or(0),
            BufferSender::Callers | BufferSender::ReadAhead | BufferSender::Responses => {
                buffer.size_bytes
            }
        }
    }
}
