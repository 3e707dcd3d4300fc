//! Which buffers are given up when all of them need too much memory.

use crocustiller::{
    ids::BackendId,
    memory::{BufferBudget, BufferId, BufferLimits, BufferSender},
};

const NONE: [BufferId; 0] = [];
const LIMITS: BufferLimits = BufferLimits { total_bytes: 100, sender_bytes: 60, buffer_bytes: 40 };

fn open(budget: &mut BufferBudget, backend: &str, n_bytes: usize) -> BufferId {
    let id = budget.open(BufferSender::Backend(BackendId::from(backend)));
    assert_eq!(budget.grow(id, n_bytes), NONE);
    id
}

#[test]
fn single_buffer_is_bounded() {
    let mut budget = BufferBudget::new(LIMITS);
    let id = open(&mut budget, "a", 40);
    assert_eq!(budget.grow(id, 1), [id]);
    assert_eq!(budget.total_bytes(), 0);
    assert_eq!(budget.grow(id, 1), [id], "it stays given up");
}

#[test]
fn flooding_sender_harms_itself() {
    let mut budget = BufferBudget::new(LIMITS);
    let sound = open(&mut budget, "sound", 40);
    let flood = open(&mut budget, "flood", 35);
    let second = open(&mut budget, "flood", 20);
    assert_eq!(budget.grow(second, 10), [flood]);
    assert_eq!(budget.grow(sound, 0), NONE);
}

/// A body without end can't make the short ones fail.
#[test]
fn longest_gives_way() {
    let mut budget = BufferBudget::new(LIMITS);
    let long = open(&mut budget, "a", 40);
    let short = open(&mut budget, "b", 30);
    let other = open(&mut budget, "c", 29);
    assert_eq!(budget.grow(short, 2), [long]);
    assert_eq!(budget.grow(other, 1), NONE);
    assert_eq!(budget.n_given_up(), 1);
}

#[test]
fn complete_message_is_kept() {
    let mut budget = BufferBudget::new(LIMITS);
    let complete = open(&mut budget, "a", 40);
    budget.complete(complete);
    let second = open(&mut budget, "b", 40);
    let third = budget.open(BufferSender::Callers);
    assert_eq!(budget.grow(third, 30), [second]);
    budget.close(complete);
    assert_eq!(budget.total_bytes(), 30);
    assert_eq!(budget.max_total_bytes(), 80);
}

/// Of several that are equally long, the oldest goes on.
#[test]
fn newest_gives_way_first() {
    let mut budget = BufferBudget::new(LIMITS);
    let first = open(&mut budget, "a", 35);
    let second = open(&mut budget, "b", 35);
    let third = open(&mut budget, "c", 30);
    assert_eq!(budget.grow(third, 1), [second]);
    assert_eq!(budget.grow(first, 5), NONE);
}

/// Callers that don't read their responses neither keep others from theirs nor make a backend server
/// look unsound.
#[test]
fn response_that_waits_gives_way() {
    let mut budget = BufferBudget::new(LIMITS);
    let waiting = ["a", "b", "c"].map(|it| open(&mut budget, it, 30));
    for id in waiting {
        budget.complete(id);
    }
    assert_eq!(budget.wait_for_caller(waiting[0]), NONE);
    assert_eq!(budget.wait_for_caller(waiting[1]), NONE);
    assert_eq!(budget.wait_for_caller(waiting[2]), [waiting[0]], "it waits longest");
    let next = open(&mut budget, "a", 30);
    assert_eq!(budget.grow(next, 9), NONE);
    assert!(budget.is_open(waiting[1]) && budget.is_open(waiting[2]));
}

/// A response makes room for others as it is written.
#[test]
fn written_part_counts_no_more() {
    let mut budget = BufferBudget::new(LIMITS);
    let first = open(&mut budget, "a", 40);
    let second = open(&mut budget, "b", 40);
    assert_eq!(budget.wait_for_caller(first), NONE);
    budget.shrink(first, 25);
    assert_eq!(budget.wait_for_caller(second), NONE);
    let third = open(&mut budget, "c", 20);
    assert_eq!(budget.wait_for_caller(third), [second]);
    assert_eq!(budget.total_bytes(), 35);
}

/// A long body of a sound server outlasts many short ones of faulty servers.
#[test]
fn sound_body_gives_way_to_short_ones() {
    let mut budget = BufferBudget::new(LIMITS);
    let sound = open(&mut budget, "sound", 30);
    let flood: Vec<BufferId> = (0..6).map(|it| open(&mut budget, ["a", "b"][it % 2], 11)).collect();
    let next = budget.open(BufferSender::Backend(BackendId::from("c")));
    assert_eq!(budget.grow(next, 5), [flood[5]]);
    assert!(budget.is_open(sound));
}
