//! Tests of the memory that the requests and the responses in progress share.

use std::time::Duration;

use proptest::prelude::*;
use rosethread_entry::{BodyMemory, BodyReservation, MemoryPool};
use tokio::time::{Instant, timeout};

/// Grows a reservation in steps and compares which of them succeed, and what is left then.
fn check_growth(pool_bytes: usize, steps: &[usize], expected: &[bool], left: usize) {
    let pool = MemoryPool::new(pool_bytes);
    let mut reservation = pool.reserve();
    let grown: Vec<bool> = steps.iter().map(|it| reservation.grow_to(*it)).collect();
    assert_eq!(grown, expected);
    assert_eq!(pool.free_bytes(), left);
    drop(reservation);
    assert_eq!(pool.free_bytes(), pool_bytes);
}

rosethread_cases::cases!(check_growth {
    growth_takes_only_what_is_missing: (100, &[10, 30, 60], &[true, true, true], 40);
    a_smaller_size_takes_nothing: (100, &[50, 20], &[true, true], 50);
    growth_beyond_the_pool_changes_nothing: (100, &[90, 101, 100], &[true, false, true], 0);
});

#[test]
fn reservations_share_their_pool() {
    let pool = MemoryPool::new(100);
    let (mut a, mut b) = (pool.reserve(), pool.reserve());
    assert!(a.grow_to(70));
    assert!(!b.grow_to(40));
    drop(a);
    assert!(b.grow_to(40));
}

/// A step of [`bodies_never_hold_more_than_there_is`].
#[derive(Clone, Debug)]
enum BodyStep {
    Open,
    /// Grows the body at this position to this size.
    Grow(usize, usize),
    /// Completes the body at this position, which keeps its memory.
    Finish(usize),
    /// Drops the body at this position.
    Drop(usize),
}

fn any_step() -> impl Strategy<Value = BodyStep> {
    prop_oneof![
        Just(BodyStep::Open),
        (0..8_usize, 0..200_000_usize).prop_map(|(at, bytes)| BodyStep::Grow(at, bytes)),
        (0..8_usize).prop_map(BodyStep::Finish),
        (0..8_usize).prop_map(BodyStep::Drop),
    ]
}

proptest! {
    #[test]
    fn bodies_never_hold_more_than_there_is(steps in prop::collection::vec(any_step(), 0..60)) {
        let memory = BodyMemory::new(400_000);
        let now = Instant::now();
        // Each body with the bytes that it holds.
        let mut arriving: Vec<(BodyReservation, usize)> = Vec::new();
        let mut finished = Vec::new();
        let mut finished_bytes = 0;
        for step in steps {
            match step {
                BodyStep::Open => arriving.push((memory.open(now), 0)),
                BodyStep::Grow(at, bytes) => if let Some((body, held)) = arriving.get_mut(at)
                    && body.grow_to(bytes, now)
                {
                    *held = bytes.max(*held);
                },
                BodyStep::Finish(at) if at < arriving.len() => {
                    let (body, held) = arriving.swap_remove(at);
                    finished.push(body.finish());
                    finished_bytes += held;
                }
                BodyStep::Drop(at) if at < arriving.len() => drop(arriving.swap_remove(at)),
                _ => (),
            }
            let held: usize = arriving.iter().map(|it| it.1).sum();
            prop_assert_eq!(memory.used_bytes(), held + finished_bytes);
            prop_assert!(memory.used_bytes() <= memory.total_bytes());
        }
        drop((arriving, finished));
        prop_assert_eq!(memory.used_bytes(), 0);
    }
}

/// Returns whether a body has to give up its memory.
async fn is_evicted(body: &BodyReservation) -> bool {
    timeout(Duration::ZERO, body.evicted()).await.is_ok()
}

#[tokio::test]
async fn the_largest_stalled_body_yields_and_one_that_moves_does_not() {
    let memory = BodyMemory::new(1 << 20);
    let start = Instant::now();
    let (mut small, mut large) = (memory.open(start), memory.open(start));
    let (mut moving, mut new) = (memory.open(start), memory.open(start));
    assert!(small.grow_to(100_000, start));
    assert!(large.grow_to(200_000, start));
    assert!(moving.grow_to(400_000, start));
    let later = start + Duration::from_secs(6);
    moving.record_progress(later);
    assert!(!new.grow_to(300_000, later));
    assert!(is_evicted(&large).await);
    assert!(!is_evicted(&small).await);
    assert!(!is_evicted(&moving).await);
}

#[test]
fn large_bodies_leave_room_for_small_ones() {
    let memory = BodyMemory::new(4 << 20);
    let now = Instant::now();
    let mut large = memory.open(now);
    assert!(!large.grow_to((3 << 20) + 1, now));
    assert!(large.grow_to(3 << 20, now));
    assert!(memory.open(now).grow_to(8, now));
}
