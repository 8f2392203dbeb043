//! Ended grants: how long and how many a host remembers, for requests that arrive after the end.

use std::time::Duration;

use rosethread_entry::{EndedGrants, GrantId};

/// Records one ended grant a period, and checks whether the first is still known after the last.
fn check_oldest(count: u64, period_ms: u64, is_known: bool) {
    let mut ended = EndedGrants::default();
    for number in 0..count {
        // Settlements may be delivered more than once.
        for _ in 0..2 {
            ended.insert(GrantId(number), Duration::from_millis(number * period_ms));
        }
    }
    assert_eq!(ended.contains(GrantId(0)), is_known);
    assert!(ended.contains(GrantId(count - 1)));
    assert!(!ended.contains(GrantId(count)));
}

rosethread_cases::cases!(check_oldest {
    an_end_is_known: (1, 0, true);
    an_end_is_known_for_longer_than_a_claim_takes: (2, 30_000, true);
    an_old_end_expires: (2, 60_000, false);
    many_ends_are_known: (4_096, 1, true);
    the_oldest_of_too_many_ends_is_dropped: (4_097, 1, false);
});
