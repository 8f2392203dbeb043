//! A host finds out which targets it reaches, and whom to ask for the others.

use std::time::Duration;

use rosethread_policy::{DirectPath, PathLoss, Reach};
use rosethread_types::{NodeName, TargetName};

fn target(number: u32) -> TargetName {
    format!("t-{number}").parse().unwrap()
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// What happens to the path to the target 1, at a time in milliseconds.
#[derive(Clone, Copy)]
enum Event {
    Lost(u64),
    Reached(u64),
    Forgotten,
    /// Other hosts don't reach it either.
    Unreachable,
    /// Other targets are not reached either.
    OthersFail(u32),
}

fn check_plan(events: &[Event], at_ms: u64, expected: DirectPath) {
    let mut reach = Reach::default();
    for event in events {
        match *event {
            Event::Lost(at) => {
                reach.record_failed(&target(1));
                reach.record_lost(&target(1), PathLoss::Silent, ms(at), 0.5);
            }
            Event::Reached(at) => {
                reach.record_reached(&target(1), ms(at));
            }
            Event::Forgotten => reach.forget(&target(1)),
            Event::Unreachable => {
                reach.record_failed(&target(1));
                reach.record_unreachable(&target(1));
            }
            Event::OthersFail(count) => {
                (2..2 + count).for_each(|it| reach.record_failed(&target(it)));
            }
        }
    }
    assert_eq!(reach.plan_direct(&target(1), ms(at_ms), 0.5), expected);
}

rosethread_cases::cases!(check_plan {
    a_path_is_up_at_first: (&[], 0, DirectPath::Up);
    a_lost_path_is_not_used: (&[Event::Lost(0)], 100, DirectPath::Down);
    a_lost_path_is_tried_after_a_while: (&[Event::Lost(0)], 250, DirectPath::Trial);
    a_path_that_is_back_is_used: (&[Event::Lost(0), Event::Reached(300)], 301, DirectPath::Up);
    // Guards against a link that comes and goes being tried again and again.
    a_path_that_is_lost_again_is_tried_later:
        (&[Event::Lost(0), Event::Reached(300), Event::Lost(400)], 850, DirectPath::Down);
    a_path_that_was_back_for_long_is_tried_as_soon_as_at_first:
        (&[Event::Lost(0), Event::Reached(300), Event::Lost(6_000)], 6_250, DirectPath::Trial);
    a_target_that_restarted_is_reached_directly:
        (&[Event::Lost(0), Event::Forgotten], 100, DirectPath::Up);
    one_failed_target_says_nothing_of_others: (&[Event::OthersFail(1)], 10, DirectPath::Up);
    a_host_that_reaches_no_target_tries_both_ways: (&[Event::OthersFail(2)], 10, DirectPath::Trial);
    a_host_that_reaches_one_again_is_not_cut_off:
        (&[Event::OthersFail(2), Event::Reached(5)], 10, DirectPath::Up);
    a_target_that_no_host_reaches_is_tried_directly:
        (&[Event::Lost(0), Event::Unreachable], 10, DirectPath::Up);
    // Guards against hosts that never find out that they are cut off, as those they ask are cut off too.
    targets_that_others_fail_to_reach_count_too:
        (&[Event::Unreachable, Event::OthersFail(1)], 10, DirectPath::Trial);
});

// Guards against many calls that all wait for a path that is still lost.
#[test]
fn one_call_at_a_time_tries_a_lost_path() {
    let mut reach = Reach::default();
    reach.record_lost(&target(1), PathLoss::Refused, ms(0), 0.5);
    let plans = (0..3).map(|_| reach.plan_direct(&target(1), ms(300), 0.5));
    let expected = [DirectPath::Trial, DirectPath::Down, DirectPath::Down];
    assert!(plans.eq(expected));
}

#[test]
fn trials_come_at_most_two_seconds_apart() {
    let mut reach = Reach::default();
    reach.record_lost(&target(1), PathLoss::Refused, ms(0), 1.0);
    let trials = (0..600)
        .map(|it| ms(it * 100))
        .filter(|at| reach.plan_direct(&target(1), *at, 1.0) == DirectPath::Trial);
    let trials: Vec<Duration> = trials.collect();
    assert!(trials.windows(2).all(|it| it[1] - it[0] <= ms(2_600)), "{trials:?}");
    assert!((24..60).contains(&trials.len()), "{trials:?}");
}

#[test]
fn only_a_loss_without_a_reply_puts_connections_in_doubt() {
    let mut reach = Reach::default();
    reach.record_lost(&target(1), PathLoss::Refused, ms(5), 0.5);
    reach.record_failed(&target(2));
    assert_eq!(reach.doubt_since(), None);
    reach.record_lost(&target(2), PathLoss::Silent, ms(7), 0.5);
    assert_eq!(reach.doubt_since(), Some(ms(7)));
}

fn host(number: u64) -> NodeName {
    format!("host-{number}").parse().unwrap()
}

/// Checks the first of the hosts asked where these have helped or refused, at the time zero.
fn check_order(helped: &[u64], refused: &[u64], at_ms: u64, expected: &[u64]) {
    let mut reach = Reach::default();
    helped.iter().for_each(|it| reach.record_help(&host(*it), true, ms(0)));
    refused.iter().for_each(|it| reach.record_help(&host(*it), false, ms(0)));
    let mut random = 0_u64;
    let order = reach.order_helpers((1..=6).map(host), ms(at_ms), || {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(99);
        random
    });
    assert_eq!(order.len(), 6);
    let mut first: Vec<NodeName> = order[..expected.len()].to_vec();
    first.sort();
    assert_eq!(first, expected.iter().map(|it| host(*it)).collect::<Vec<_>>());
}

rosethread_cases::cases!(check_order {
    hosts_that_have_helped_are_asked_first: (&[1, 2, 3, 4], &[], 100, &[1, 2, 3, 4]);
    few_helpers_do_not_carry_all: (&[1, 2], &[], 100, &[3, 4, 5, 6]);
    hosts_that_could_not_help_are_asked_last: (&[], &[1, 2], 100, &[3, 4, 5, 6]);
    hosts_that_could_not_help_are_asked_again: (&[], &[1, 2, 3, 4, 5], 100, &[6]);
    help_is_forgotten: (&[1, 2, 3, 4], &[5], 10_000, &[1, 2, 3, 4, 5, 6]);
});
