//! Tests of the numbers of a stream's events, over the targets that send them.

use rosethread_entry::{EventOrder, EventSequence};

use EventOrder::{Missing, Next, Repeated};

/// Checks the order of events that one target sends behind those of another.
fn check_take_up(
    resume_after: Option<u64>,
    before: &[Option<u64>],
    after: &[(Option<u64>, EventOrder)],
) {
    let mut sequence = EventSequence::new(resume_after);
    for id in before {
        assert_eq!(sequence.check(*id), Next, "{id:?}");
        sequence.record(*id);
    }
    sequence.take_up();
    for (id, order) in after {
        assert_eq!(sequence.check(*id), *order, "{id:?}");
        if *order == Next {
            sequence.record(*id);
        }
    }
}

/// Checks whether another target can go on behind events with these numbers.
fn check_can_be_taken_up(resume_after: Option<u64>, ids: &[Option<u64>], expected: bool) {
    let mut sequence = EventSequence::new(resume_after);
    ids.iter().for_each(|it| sequence.record(*it));
    assert_eq!(sequence.can_be_taken_up(), expected);
}

rosethread_cases::cases!(check_can_be_taken_up {
    no_event: (None, &[], true);
    numbered_events: (None, &[Some(1), Some(2)], true);
    // Guards against a stream that begins again, or goes on behind an older event than the caller's last.
    events_without_numbers: (None, &[None, None], false);
    a_last_event_without_a_number: (Some(3), &[Some(4), None], false);
});

rosethread_cases::cases!(check_take_up {
    the_next_event: (None, &[Some(1), Some(2)], &[(Some(3), Next), (Some(4), Next)]);
    events_that_the_caller_has: (None, &[Some(1), Some(2)], &[(Some(1), Repeated), (Some(2), Repeated), (Some(3), Next)]);
    an_event_is_missing: (None, &[Some(1), Some(2)], &[(Some(4), Missing)]);
    an_event_is_missing_behind_one_event: (None, &[Some(1)], &[(Some(3), Missing)]);
    an_event_is_missing_later: (None, &[Some(0), Some(1)], &[(Some(2), Next), (Some(4), Missing)]);
    an_event_without_a_number: (None, &[Some(1), Some(2)], &[(None, Missing)]);
    an_event_is_missing_behind_those_of_an_earlier_call: (Some(6), &[Some(7)], &[(Some(9), Missing)]);
    // Guards against streams being held for broken off whose targets number by more than one.
    numbers_that_go_up_by_more: (None, &[Some(4), Some(8)], &[(Some(12), Next), (Some(20), Next)]);
    numbers_that_skip_one: (None, &[Some(1), Some(3)], &[(Some(6), Next)]);
    a_stream_without_events: (None, &[], &[(Some(5), Next), (Some(9), Next)]);
    a_stream_of_an_earlier_call_without_events: (Some(6), &[], &[(Some(9), Next)]);
    the_last_number: (Some(u64::MAX - 1), &[Some(u64::MAX)], &[(Some(u64::MAX), Repeated)]);
});
