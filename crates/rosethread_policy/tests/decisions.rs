//! Properties of the decisions for arbitrary inputs, and examples of each rule.

use std::time::Duration;

use proptest::{prelude::*, strategy::Strategy as _};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rosethread_policy::{
    AdmissionRequest, BreakerConfig, CacheRetention, Candidate, CircuitBreaker, DrainCandidate,
    FairShares, Forecast, HostLoad, PauseForecast, PlacementRequest, QueuedCall, RetryBudget,
    Strategy, TokenBucket, Weights, admit, backoff, choose_retention, choose_target, local_share,
    order_hosts, plan_drain, select_next_call, should_shed,
};
use rosethread_types::MemberName;

const STRATEGIES: [Strategy; 4] =
    [Strategy::Adaptive, Strategy::RoundRobin, Strategy::LeastLoaded, Strategy::Sticky];

fn member(index: usize) -> MemberName {
    format!("member-{index}").parse().unwrap()
}

fn candidates() -> impl proptest::strategy::Strategy<Value = Vec<Candidate>> {
    let one = (1_u32..16, 0_u32..40, 0_u32..40, 0_u64..9_000, any::<bool>());
    let one = one.prop_map(|(slots, running, waiting, cached, is_unavailable)| Candidate {
        slots,
        running,
        waiting,
        cached,
        is_unavailable,
        pressure: 0.5,
        prefill_rate: 8_000.0,
        service_s: 0.5,
        network_s: 0.0,
        batch_slowdown: 0.05,
        slowness: 0.0,
        has_share: false,
    });
    proptest::collection::vec(one, 0..20)
}

fn queued_call(member_index: usize, waited_s: f64, reserved: bool) -> QueuedCall {
    QueuedCall { member: member(member_index), priority: 0, reserved, waited_s }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(16),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn unavailable_targets_are_never_chosen(candidates in candidates(), random in 0_usize..99) {
        for strategy in STRATEGIES {
            let request = PlacementRequest { prompt_tokens: 9_000, home: Some(0), random };
            let placement = choose_target(strategy, &candidates, request, Weights::default());
            let has_usable = candidates.iter().any(|it| !it.is_unavailable);
            prop_assert_eq!(placement.is_some(), has_usable);
            prop_assert!(placement.is_none_or(|it| !candidates[it.index].is_unavailable));
        }
    }

    /// Members with queued calls get service in proportion to their shares, whatever their calls
    /// cost.
    #[test]
    fn service_follows_member_shares(
        shares in proptest::collection::vec(1_u32..5, 2..5),
        costs in proptest::collection::vec(1_u64..300, 16),
    ) {
        let mut state = FairShares::default();
        let mut served = vec![0_u64; shares.len()];
        for round in 0..4_000 {
            let queue: Vec<QueuedCall> =
                (0..shares.len()).map(|it| queued_call(it, 0.0, false)).collect();
            let index = select_next_call(Strategy::Adaptive, &queue, &state, 3, 4).unwrap();
            let cost = costs[round % costs.len()];
            state.advance(&queue[index].member);
            state.charge(&queue[index].member, shares[index], cost);
            served[index] += cost;
        }
        let total: u64 = served.iter().sum();
        let weight: u32 = shares.iter().sum();
        for (served, share) in served.iter().zip(&shares) {
            let fair = total as f64 * f64::from(*share) / f64::from(weight);
            prop_assert!(0.9 * fair <= *served as f64, "{served} of {fair}");
        }
    }

    /// Within a member, the call that has waited longest is chosen.
    #[test]
    fn longest_waiting_call_is_chosen(waits in proptest::collection::vec(0.0_f64..99.0, 1..40)) {
        let queue: Vec<QueuedCall> = waits.iter().map(|it| queued_call(0, *it, false)).collect();
        let index =
            select_next_call(Strategy::Adaptive, &queue, &FairShares::default(), 0, 4).unwrap();
        prop_assert!(waits.iter().all(|it| *it <= waits[index]));
    }

    /// The nodes' shares of a limit never sum to more than the limit.
    #[test]
    fn local_shares_sum_to_at_most_one(demands in proptest::collection::vec(0.0_f64..99.0, 1..40)) {
        let total: f64 = demands.iter().sum();
        let sum: f64 = demands.iter().map(|it| local_share(*it, total, demands.len())).sum();
        prop_assert!(sum <= 1.0 + 1e-9, "{}", sum);
    }

    #[test]
    fn token_bucket_never_exceeds_its_rate(
        steps in proptest::collection::vec((0_u64..500, 0.1_f64..5.0), 1..80)
    ) {
        let mut bucket = TokenBucket::new(10.0, Duration::ZERO);
        let (mut now, mut given) = (Duration::ZERO, 0.0);
        for (wait_ms, amount) in steps {
            now += Duration::from_millis(wait_ms);
            if bucket.take(now, 5.0, 10.0, amount).is_ok() {
                given += amount;
            }
        }
        prop_assert!(given <= 10.0 + 5.0 * now.as_secs_f64() + 1e-6);
    }

    #[test]
    fn drain_plan_respects_move_limit_and_capacity(
        loads in proptest::collection::vec((0_usize..6, 0_usize..9, any::<bool>()), 1..8),
        cap in 0_usize..8,
    ) {
        let loads: Vec<DrainCandidate> = loads
            .into_iter()
            .map(|(programs, room, can_drain)| DrainCandidate {
                programs: vec![100; programs],
                capacity: programs + room,
                can_drain,
            })
            .collect();
        if let Some(moves) = plan_drain(&loads, cap) {
            prop_assert!(moves.len() <= cap);
            let from = moves.first().map(|it| it.from);
            prop_assert!(moves.iter().all(|it| Some(it.from) == from && it.to != it.from));
            prop_assert!(from.is_none_or(|it| loads[it].can_drain));
            for (index, load) in loads.iter().enumerate() {
                let received = moves.iter().filter(|it| it.to == index).count();
                prop_assert!(load.programs.len() + received <= load.capacity);
            }
        }
    }
}

#[test]
fn reserved_class_goes_first_and_may_use_extra_slots() {
    let mut queue: Vec<QueuedCall> = (0..50).map(|it| queued_call(it, 60.0, false)).collect();
    queue.push(queued_call(99, 0.0, true));
    assert_eq!(
        select_next_call(Strategy::Adaptive, &queue, &FairShares::default(), 7, 8),
        Some(50)
    );
    assert_eq!(
        select_next_call(Strategy::Adaptive, &queue, &FairShares::default(), 8, 8),
        Some(50)
    );
    assert_eq!(select_next_call(Strategy::Adaptive, &queue, &FairShares::default(), 9, 8), None);
    queue.pop();
    assert_eq!(select_next_call(Strategy::Adaptive, &queue, &FairShares::default(), 8, 8), None);
}

#[test]
fn call_stays_with_its_cache_until_the_wait_costs_more() {
    let home = Candidate {
        slots: 4,
        running: 3,
        cached: 8_000,
        prefill_rate: 8_000.0,
        service_s: 0.5,
        ..Candidate::default()
    };
    let idle = Candidate { running: 0, cached: 0, ..home };
    let request = PlacementRequest { prompt_tokens: 8_000, home: Some(0), random: 0 };
    let choose = |waiting| {
        let candidates = [Candidate { waiting, ..home }, idle];
        choose_target(Strategy::Adaptive, &candidates, request, Weights::default()).unwrap().index
    };
    assert_eq!(choose(0), 0);
    assert_eq!(choose(2_000), 1);
}

fn check_shedding(running: u32, slots: u32, refused: std::ops::RangeInclusive<usize>) {
    let draws = (0..1_000).map(|it| f64::from(it) / 1_000.0);
    let count = draws.filter(|it| should_shed(running, slots, *it)).count();
    assert!(refused.contains(&count), "{count} of 1000");
}

rosethread_cases::cases!(check_shedding {
    normal_load_sheds_nothing: (80, 100, 0..=0);
    full_service_sheds_most: (100, 100, 700..=800);
    overload_sheds_all: (140, 100, 1_000..=1_000);
    service_without_slots_sheds_nothing: (0, 0, 0..=0);
});

/// Equal targets get about equally many calls, for even and odd numbers of targets.
fn check_even_placement(count: usize) {
    let candidates = vec![Candidate { slots: 4, ..Candidate::default() }; count];
    let mut random = Pcg64::seed_from_u64(3);
    let mut counts = vec![0_u32; count];
    for _ in 0..count * 1_000 {
        let request = PlacementRequest {
            random: random.random_range(0..usize::MAX),
            ..PlacementRequest::default()
        };
        let placement = choose_target(Strategy::Adaptive, &candidates, request, Weights::default());
        counts[placement.unwrap().index] += 1;
    }
    assert!(counts.iter().all(|it| (850..1_150).contains(it)), "{counts:?}");
}

rosethread_cases::cases!(check_even_placement {
    two_equal_targets: (2);
    five_equal_targets: (5);
    twelve_equal_targets: (12);
});

#[test]
fn less_loaded_of_two_targets_is_chosen() {
    let busy = Candidate { slots: 4, running: 3, ..Candidate::default() };
    let idle = Candidate { running: 0, ..busy };
    for random in 0..100 {
        let request = PlacementRequest { random, ..PlacementRequest::default() };
        let chosen = choose_target(Strategy::Adaptive, &[busy, idle], request, Weights::default());
        assert_eq!(chosen.unwrap().index, 1, "random {random}");
    }
}

fn check_admission(deadline_s: u64, is_underway: bool, wait_s: f64, is_accepted: bool) {
    let demand = AdmissionRequest { deadline: Duration::from_secs(deadline_s), is_underway };
    let forecast = Forecast { wait_s, service_s: 1.0 };
    assert_eq!(admit(demand, forecast).is_ok(), is_accepted);
}

rosethread_cases::cases!(check_admission {
    idle: (10, false, 0.0, true);
    new_program_that_would_wait_long: (10, false, 6.0, false);
    program_in_progress_may_wait_longer: (10, true, 6.0, true);
    deadline_that_cannot_be_met: (10, true, 20.0, false);
});

#[test]
fn breaker_opens_allows_one_trial_and_closes() {
    let config = BreakerConfig::default();
    let mut breaker = CircuitBreaker::default();
    let start = Duration::from_secs(10);
    for _ in 0..config.failure_threshold {
        assert!(!breaker.is_open(start));
        breaker.record_start();
        breaker.record_failure(start, config);
    }
    assert!(breaker.is_open(start));
    let later = start + config.min_open;
    assert!(!breaker.is_open(later));
    breaker.record_start();
    assert!(breaker.is_open(later), "one trial at a time");
    breaker.record_failure(later, config);
    assert!(breaker.is_open(later + config.min_open), "the open time doubles");
    breaker.record_start();
    breaker.record_success();
    assert!(!breaker.is_open(later));
}

#[test]
fn retries_are_limited_by_successes() {
    let mut budget = RetryBudget::default();
    while budget.try_take() {}
    for _ in 0..100 {
        budget.record_success();
    }
    let retries = std::iter::from_fn(|| budget.try_take().then_some(())).count();
    assert!(retries <= 20);
    assert!(backoff(40, 1.0) <= Duration::from_secs(2));
}

#[test]
fn hosts_with_less_load_are_drawn_more_often() {
    let loads = [10, 10, 30];
    let hosts: Vec<HostLoad> = loads
        .iter()
        .enumerate()
        .map(|(index, calls)| HostLoad {
            node: format!("node-{index}").parse().unwrap(),
            calls: *calls,
            is_same_zone: false,
        })
        .collect();
    let mut random = 0.0_f64;
    let mut first = [0; 3];
    for _ in 0..30_000 {
        let order = order_hosts(&hosts, 2, || {
            random = (random + 0.618_033_988_749_895).fract();
            random
        });
        first[order[0]] += 1;
    }
    assert!(first[2] < first[0] && 0 < first[2], "{first:?}");
}

#[test]
fn cache_is_held_where_prefill_costs_more() {
    let cost = PauseForecast {
        expected_s: 1.0,
        cached_tokens: 10_000,
        pressure: 0.8,
        memory_tokens: 100_000,
        prefill_rate: 8_000.0,
    };
    assert!(matches!(choose_retention(cost), CacheRetention::Hold(_)));
    let long = PauseForecast { expected_s: 600.0, pressure: 1.0, ..cost };
    assert_eq!(choose_retention(long), CacheRetention::Release);
}
