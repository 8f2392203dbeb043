//! Placement among targets of uneven speed: a quarter of the engines at half the speed of the others,
//! and engines that are slow for a moment.

use std::{collections::VecDeque, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rosethread_policy::{
    Candidate, PlacementRequest, Strategy, TargetSpeeds, Weights, choose_target,
};
use rosethread_types::TargetName;

const SLOTS: u32 = 12;
const ENGINES: usize = 16;
/// Every fourth engine is slow.
const SLOW_EVERY: usize = 4;
const MEAN_PAUSE_MS: f64 = 26.0;
const EVENTS: f64 = 8.0;

fn name(index: usize) -> TargetName {
    format!("t-{index}").parse().unwrap()
}

fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn pause(factor: f64) -> Duration {
    at(MEAN_PAUSE_MS * factor / 1_000.0)
}

/// Returns speeds after `count` streams at each of four targets, the first of which takes `factor` as long.
fn observed(factor: f64, count: usize) -> TargetSpeeds {
    let mut speeds = TargetSpeeds::default();
    for index in 0..4 * count {
        let factor = if index.is_multiple_of(4) { factor } else { 1.0 };
        speeds.observe(&name(index % 4), pause(factor), at(index as f64 * 0.05));
    }
    speeds
}

/// Plays calls at engines of which a quarter takes twice as long, and returns the share of calls that
/// took over one and a half times as long as at an idle fast engine.
fn late_share(is_adaptive: bool, calls_per_s: f64, seed: u64) -> f64 {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut speeds = TargetSpeeds::default();
    let mut running: Vec<VecDeque<f64>> = vec![VecDeque::new(); ENGINES];
    let factor = |index: usize| if index.is_multiple_of(SLOW_EVERY) { 2.0 } else { 1.0 };
    let base_s = MEAN_PAUSE_MS * EVENTS / 1_000.0;
    let mut ended: Vec<(f64, usize)> = Vec::new();
    let (mut late, mut all) = (0, 0);
    for call in 0..(20.0 * calls_per_s) as usize {
        let now = call as f64 / calls_per_s;
        ended.sort_by(|a, b| a.0.total_cmp(&b.0));
        while ended.first().is_some_and(|it| it.0 <= now) {
            let (time, index) = ended.remove(0);
            speeds.observe(&name(index), pause(factor(index)), at(time));
        }
        for calls in &mut running {
            calls.retain(|it| now < *it);
        }
        let candidates: Vec<Candidate> = (0..ENGINES)
            .map(|index| Candidate {
                slots: SLOTS,
                running: running[index].len() as u32,
                prefill_rate: 100_000.0,
                service_s: base_s,
                slowness: if is_adaptive { speeds.slowness(&name(index), at(now)) } else { 0.0 },
                ..Candidate::default()
            })
            .collect();
        let request = PlacementRequest {
            random: random.random::<u32>() as usize,
            ..PlacementRequest::default()
        };
        let placed =
            choose_target(Strategy::Adaptive, &candidates, request, Weights::default()).unwrap();
        let calls = &mut running[placed.index];
        // A full engine starts a call when its first one ends.
        let start = if calls.len() < SLOTS as usize { now } else { calls[0].max(now) };
        let end = start + base_s * factor(placed.index);
        calls.push_back(end);
        ended.push((end, placed.index));
        if 5.0 < now {
            all += 1;
            late += usize::from(1.5 * base_s < end - now);
        }
    }
    f64::from(late as u32) / f64::from(all as u32)
}

// The load: half of what the engines carry, a quarter of which takes twice as long.
#[test]
fn calls_avoid_slow_engines_while_fast_ones_have_room() {
    let per_s = 0.5 * ENGINES as f64 * f64::from(SLOTS) / (MEAN_PAUSE_MS * EVENTS / 1_000.0);
    for seed in 1..=3 {
        let (before, after) = (late_share(false, per_s, seed), late_share(true, per_s, seed));
        // Of two drawn engines both are slow once in sixteen times; a fraction more while it is learned.
        assert!(after <= 0.10, "seed {seed}: {after:.3} late, {before:.3} without speeds");
        assert!(0.15 <= before, "seed {seed}: the load shows nothing, {before:.3}");
    }
}

// Guards against a herd at the fast engines: above what they carry the slow ones have to take their part.
#[test]
fn slow_engines_take_the_rest_when_fast_ones_are_full() {
    let mut candidate = Candidate { slots: SLOTS, running: SLOTS * 2, ..Candidate::default() };
    candidate.service_s = 0.2;
    let slow = Candidate { running: 1, slowness: 1.0, ..candidate };
    let request = PlacementRequest { random: 1, ..PlacementRequest::default() };
    let placed = choose_target(Strategy::Adaptive, &[candidate, slow], request, Weights::default());
    assert_eq!(placed.unwrap().index, 1);
}

#[test]
fn a_target_of_half_the_speed_is_known_after_a_few_streams() {
    let slowness = observed(2.0, 8).slowness(&name(0), at(1.6));
    assert!((0.4..=1.0).contains(&slowness), "{slowness}");
}

#[test]
fn small_differences_count_for_nothing() {
    let speeds = observed(1.15, 50);
    for index in 0..4 {
        assert_eq!(speeds.slowness(&name(index), at(10.0)), 0.0, "target {index}");
    }
}

// An engine that other work slows down for half a second must not be avoided for long.
#[test]
fn a_short_slowdown_is_forgotten() {
    let mut speeds = observed(1.0, 50);
    for stream in 0..4 {
        speeds.observe(&name(0), pause(2.5), at(10.0 + f64::from(stream) * 0.1));
    }
    assert!(0.25 < speeds.slowness(&name(0), at(10.4)));
    for stream in 0..8 {
        speeds.observe(&name(0), pause(1.0), at(11.0 + f64::from(stream) * 0.2));
    }
    assert_eq!(speeds.slowness(&name(0), at(12.6)), 0.0);
}

#[test]
fn a_target_without_streams_counts_as_one_of_the_mean_speed_after_a_while() {
    assert_eq!(observed(2.0, 20).slowness(&name(0), at(60.0)), 0.0);
}

// A target that starts again may be another machine; what was known of it is worth nothing.
#[test]
fn a_target_that_starts_again_is_unknown() {
    let mut speeds = observed(2.0, 20);
    speeds.forget(&name(0));
    assert_eq!(speeds.slowness(&name(0), at(4.0)), 0.0);
}
