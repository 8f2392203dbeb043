//! Tests of the memory that the responses in progress share.

use rosethread_entry::MemoryPool;

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
