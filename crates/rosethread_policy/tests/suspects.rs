//! A call that crashes targets is found, and the calls beside it are cleared.

use std::time::Duration;

use rosethread_policy::{Suspects, Suspicion, was_starting};

const CALL: u64 = 1;

fn check(crashed_runs: &[u32], is_completed: bool, expected: Suspicion) {
    let mut suspects = Suspects::default();
    crashed_runs.iter().for_each(|it| suspects.add_crash(CALL, *it));
    if is_completed {
        suspects.add_completed(CALL);
    }
    assert_eq!(suspects.suspicion(CALL), expected);
    assert_eq!(suspects.suspicion(CALL + 1), Suspicion::None);
    assert_eq!(suspects.deadly().contains_key(&CALL), matches!(expected, Suspicion::Deadly(_)));
}

rosethread_cases::cases!(check {
    an_unknown_call_is_not_suspected: (&[], false, Suspicion::None);
    one_crash_makes_a_suspect: (&[7], false, Suspicion::Suspect(1));
    a_crash_that_many_hosts_report_counts_once: (&[7, 7, 7, 7], false, Suspicion::Suspect(1));
    two_crashes_are_not_enough: (&[7, 8], false, Suspicion::Suspect(2));
    three_crashes_show_the_cause: (&[7, 8, 9], false, Suspicion::Deadly(3));
    a_call_that_ran_to_its_end_is_cleared: (&[7, 8, 9, 10], true, Suspicion::None);
    a_call_that_ran_to_its_end_before_is_not_suspected_after: (&[7], true, Suspicion::None);
});

fn check_start(output_ms: u64, expected: bool) {
    assert_eq!(was_starting(Duration::from_millis(output_ms)), expected);
}

rosethread_cases::cases!(check_start {
    a_call_without_output_was_starting: (0, true);
    a_call_with_its_first_output_was_starting: (80, true);
    a_call_well_under_way_was_not: (300, false);
});

/// Plays crashes that one call causes while `neighbours` other calls come again and again: each of
/// them is starting at a crash with probability 1 / `odds` and runs to its end otherwise. Returns how
/// many of them are refused.
fn refused_neighbours(neighbours: u64, odds: u64, crashes: u32) -> usize {
    let mut suspects = Suspects::default();
    let mut random = 1_u64;
    for run in 0..crashes {
        for call in 2..2 + neighbours {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            if (random >> 33).is_multiple_of(odds) {
                suspects.add_crash(call, run);
            } else {
                suspects.add_completed(call);
            }
        }
        suspects.add_crash(CALL, run);
    }
    assert_eq!(suspects.suspicion(CALL), Suspicion::Deadly(crashes as usize));
    suspects.deadly().len() - 1
}

// Guards against refusing the calls that a deadly one only ran beside.
#[test]
fn neighbours_of_a_deadly_call_are_not_refused() {
    // At most one in twenty, where each crash catches one in four of them as it starts.
    assert!(refused_neighbours(200, 4, 3) <= 10);
    assert_eq!(refused_neighbours(200, 10, 3), 0);
}
