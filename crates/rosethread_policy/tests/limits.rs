//! Hosts that share the request rate of a target in need, simulated without network or clock.
//!
//! The tests guard against hosts that each keep to the target's limit alone, so that the target gets
//! a multiple of it: the more hosts there are, the more.

use std::{collections::VecDeque, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rosethread_policy::{
    Candidate, PlacementRequest, RateShare, Strategy, TokenBucket, Weights, choose_target,
    rate_share,
};
use rosethread_types::{NodeName, TargetName};

/// The users' rule: in any 4 s a target gets at most 1.5 times its limit, and 5 requests more.
const WINDOW: Duration = Duration::from_secs(4);

fn allowed(per_s: f64) -> f64 {
    1.5 * per_s * WINDOW.as_secs_f64() + 5.0
}

/// The time between two steps, at which each host sends all that it may.
const STEP: Duration = Duration::from_millis(50);

/// The simulated time, in steps.
const STEPS: u32 = 1_200;

/// Hosts that send to one target. Their views may lag: of every `lag` hosts one misses some others.
#[derive(Clone, Copy)]
struct Fleet {
    hosts: usize,
    per_s: f64,
    lag: Option<usize>,
}

impl Fleet {
    fn shares(self) -> Vec<Option<RateShare>> {
        let mut random = Pcg64::seed_from_u64(self.hosts as u64);
        let target: TargetName = "t-1".parse().unwrap();
        let names: Vec<NodeName> =
            (0..self.hosts).map(|it| format!("host-{it}").parse().unwrap()).collect();
        let share = |(index, own): (usize, &NodeName)| {
            let is_behind = self.lag.is_some_and(|it| index % it == 0);
            let known: Vec<&NodeName> =
                names.iter().filter(|_| !is_behind || random.random_bool(0.9)).collect();
            rate_share(self.per_s, &target, known.into_iter(), own)
        };
        names.iter().enumerate().map(share).collect()
    }

    /// Returns the most requests that the target gets in a window, and the mean rate.
    fn simulate(self) -> (usize, f64) {
        let shares = self.shares();
        let mut buckets = vec![TokenBucket::new(0.0, Duration::ZERO); self.hosts];
        let (mut recent, mut most, mut total) = (VecDeque::new(), 0, 0);
        for step in 1..=STEPS {
            let now = STEP * step;
            for (share, bucket) in shares.iter().zip(&mut buckets) {
                let Some(RateShare { per_s, burst }) = *share else {
                    continue;
                };
                // All hosts hold their requests back for a while, and then send what they may.
                while STEPS / 2 < step && bucket.take(now, per_s, burst, 1.0).is_ok() {
                    recent.push_back(now);
                    total += 1;
                }
            }
            while recent.front().is_some_and(|it| *it + WINDOW < now) {
                recent.pop_front();
            }
            most = most.max(recent.len());
        }
        (most, f64::from(total) / (STEP * (STEPS / 2)).as_secs_f64())
    }
}

fn check(hosts: usize, per_s: f64, lag: Option<usize>) {
    let (most, rate) = Fleet { hosts, per_s, lag }.simulate();
    assert!(most as f64 <= allowed(per_s), "{most} of {}", allowed(per_s));
    // The target gets the work that it takes, too.
    assert!(0.9 * per_s <= rate, "{rate} of {per_s} a second");
}

rosethread_cases::cases!(check {
    a_single_host_keeps_the_limit: (1, 4.4, None);
    ten_hosts_keep_the_limit: (10, 4.4, None);
    ten_hosts_keep_a_large_limit: (10, 250.0, None);
    ten_hosts_keep_a_tiny_limit: (10, 0.1, None);
    ten_hosts_keep_a_limit_of_zero: (10, 0.0, None);
    many_hosts_keep_the_limit: (195, 4.4, None);
    many_hosts_keep_a_tiny_limit: (195, 0.1, None);
    a_thousand_hosts_keep_the_limit: (1_000, 1.3, None);
    hosts_with_lagging_views_keep_the_limit: (13, 4.4, Some(4));
    many_hosts_with_lagging_views_keep_the_limit: (195, 4.4, Some(5));
    a_thousand_hosts_with_lagging_views_keep_the_limit: (1_000, 9.8, Some(5));
});

/// The targets among which a host chooses.
const TARGETS: usize = 63;

/// Chooses among targets of which all but one are full, and checks that the other one, in whose rate
/// the host has a share, is chosen whatever targets are drawn.
fn check_share_is_used(cached: u64, prompt_tokens: u64) {
    let full = Candidate {
        slots: 6,
        running: 6,
        cached,
        prefill_rate: 100_000.0,
        service_s: 1.0,
        batch_slowdown: 0.4,
        ..Candidate::default()
    };
    let mut candidates = vec![full; TARGETS];
    candidates[17] = Candidate { running: 1, has_share: true, ..full };
    let weights = Weights { latency: 1.0, waste: 0.0 };
    for random in 0..TARGETS * TARGETS {
        let request = PlacementRequest { prompt_tokens, home: None, random };
        let placement = choose_target(Strategy::Adaptive, &candidates, request, weights).unwrap();
        assert_eq!(placement.index, 17, "with {random}");
    }
}

rosethread_cases::cases!(check_share_is_used {
    // Guards against shares of a rate that expire because few hosts have them and draw other targets.
    a_new_program_uses_the_share_of_a_limited_target: (0, 1_700);
    a_program_with_a_shared_prompt_uses_the_share_of_a_limited_target: (12_600, 14_300);
});
