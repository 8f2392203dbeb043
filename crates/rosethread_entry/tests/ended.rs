//! What a host remembers of turns that ended before they were granted.

use std::time::Duration;

use rosethread_entry::{EndedGrants, GrantId};

/// Ends come at one a period; the first one is asked for after the last.
fn check_first(count: u64, period_ms: u64, is_known: bool) {
    let mut ended = EndedGrants::default();
    for number in 0..count {
        // An owner may be told of an end more than once.
        for _ in 0..2 {
            ended.insert(GrantId(number), Duration::from_millis(number * period_ms));
        }
    }
    assert_eq!(ended.contains(GrantId(0)), is_known);
    assert!(ended.contains(GrantId(count - 1)));
    assert!(!ended.contains(GrantId(count)));
}

rosethread_cases::cases!(check_first {
    an_end_is_known: (1, 0, true);
    an_end_is_known_for_longer_than_a_claim_takes: (2, 30_000, true);
    an_end_is_forgotten_in_time: (2, 60_000, false);
    many_ends_are_known: (4_096, 1, true);
    the_oldest_of_too_many_ends_is_forgotten: (4_097, 1, false);
});
