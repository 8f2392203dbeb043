//! Shared prompt parts, many hosts and many engines, simulated without network or clock.
//!
//! The tests guard against the copies that fill the engines' memory: if a host knows only what it
//! sent itself, it sends the programs of one part to engines that other hosts don't use for it, and
//! each engine processes and keeps nearly every part. The more hosts there are, the less each one
//! knows.

use std::{collections::BTreeMap, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rosethread_policy::{
    Candidate, Holders, PartDemand, PlacementRequest, Strategy, Weights, choose_target, copy_count,
    rank_holders,
};
use rosethread_types::{ProgramLabel, PromptPart, TargetName};

/// The engines, and the number of parts that the memory of each holds beside the programs' own
/// prompts.
const ENGINES: usize = 63;
const PARTS_IN_MEMORY: usize = 6;

/// The parts, and the tokens of each and of a program's own prompt.
const PARTS: usize = 16;
const PART_TOKENS: u64 = 12_600;
const OWN_TOKENS: u64 = 1_700;

/// The exponent of the parts' Zipf distribution.
const SKEW: f64 = 0.7;

/// The programs that begin per second, and the simulated time, in seconds.
const PROGRAMS_PER_S: f64 = 90.0;
const SIMULATED_S: f64 = 60.0;

/// The default of the setting `part_copies`.
const HEADROOM: f64 = 3.0;

/// How long a host takes a part that it sent to an engine for cached.
const OWN_KNOWLEDGE: Duration = Duration::from_secs(20);

fn targets() -> Vec<TargetName> {
    (0..ENGINES).map(|it| format!("t-{it}").parse().unwrap()).collect()
}

fn part(index: usize) -> PromptPart {
    format!("{index:x}").parse().unwrap()
}

fn prompt(part_index: usize, program: usize) -> Vec<(PromptPart, u64)> {
    vec![(part(part_index), PART_TOKENS), (part(1_000 + program), OWN_TOKENS)]
}

fn draw_part(random: &mut Pcg64) -> usize {
    let weights: Vec<f64> = (1..=PARTS).map(|it| (it as f64).powf(-SKEW)).collect();
    let mut left = random.random::<f64>() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return index;
        }
    }
    PARTS - 1
}

#[derive(Default)]
struct Host {
    demand: PartDemand,
    /// When the host last sent a part to an engine.
    sent: BTreeMap<(usize, usize), Duration>,
}

/// The results of one simulation.
#[derive(Debug)]
struct Summary {
    /// The fraction of programs whose shared part was processed again.
    processed: f64,
    /// The calls of the busiest engine, as a multiple of the mean.
    busiest: f64,
    /// The mean number of parts in an engine's memory at the end.
    kept: f64,
}

/// Simulates programs that arrive at `host_count` hosts.
fn simulate(host_count: usize, headroom: f64, seed: u64) -> Summary {
    let mut random = Pcg64::seed_from_u64(seed);
    let names = targets();
    let names: Vec<&TargetName> = names.iter().collect();
    let mut hosts: Vec<Host> = (0..host_count).map(|_| Host::default()).collect();
    // The parts that each engine holds, the least recently used one first.
    let mut engines: Vec<Vec<usize>> = vec![Vec::new(); ENGINES];
    let mut calls = vec![0_u32; ENGINES];
    let total = (PROGRAMS_PER_S * SIMULATED_S) as usize;
    let (mut processed, mut measured) = (0, 0);
    for program in 0..total {
        let now = Duration::from_secs_f64(program as f64 / PROGRAMS_PER_S);
        let part_index = draw_part(&mut random);
        let prompt = prompt(part_index, program);
        let host = &mut hosts[random.random_range(0..host_count)];
        let label: ProgramLabel = format!("p{program}").parse().unwrap();
        host.demand.observe(Some(&label), &prompt, now);
        let holders = Holders::find(&host.demand, &prompt, &names, headroom, now);
        let holders = holders.filter(|_| 0.0 < headroom);
        let candidate = |engine: usize| {
            let sent = host.sent.get(&(part_index, engine));
            let is_known = sent.is_some_and(|it| now < *it + OWN_KNOWLEDGE);
            Candidate {
                slots: 6,
                cached: match &holders {
                    Some(holders) => holders.tokens(engine),
                    None if is_known => PART_TOKENS,
                    None => 0,
                },
                is_unavailable: holders
                    .as_ref()
                    .is_some_and(|it| !it.usable(|_| false).contains(&engine)),
                prefill_rate: 170_000.0,
                service_s: 0.5,
                ..Candidate::default()
            }
        };
        let candidates: Vec<Candidate> = (0..ENGINES).map(candidate).collect();
        let request = PlacementRequest {
            prompt_tokens: PART_TOKENS + OWN_TOKENS,
            home: None,
            random: random.random_range(0..usize::MAX),
        };
        let weights = Weights { latency: 1.0, waste: 0.0 };
        let engine =
            choose_target(Strategy::Adaptive, &candidates, request, weights).unwrap().index;
        host.sent.insert((part_index, engine), now);
        let memory = &mut engines[engine];
        let is_cached = memory.contains(&part_index);
        memory.retain(|it| *it != part_index);
        memory.push(part_index);
        if PARTS_IN_MEMORY < memory.len() {
            memory.remove(0);
        }
        // The first half fills the caches.
        if total / 2 <= program {
            measured += 1;
            processed += usize::from(!is_cached);
            calls[engine] += 1;
        }
    }
    let mean = f64::from(calls.iter().sum::<u32>()) / ENGINES as f64;
    Summary {
        processed: processed as f64 / measured as f64,
        busiest: f64::from(*calls.iter().max().unwrap()) / mean,
        kept: engines.iter().map(Vec::len).sum::<usize>() as f64 / ENGINES as f64,
    }
}

/// Checks that with agreed holders few programs process a shared part again, however little each
/// host knows, and that no engine gets several times its share of the calls.
fn check_agreement(host_count: usize) {
    for seed in 1..=3 {
        let agreed = simulate(host_count, HEADROOM, seed);
        assert!(agreed.processed < 0.05, "seed {seed}: {agreed:?}");
        assert!(agreed.busiest < 3.0, "seed {seed}: {agreed:?}");
        assert!(agreed.kept < PARTS_IN_MEMORY as f64, "seed {seed}: {agreed:?}");
    }
}

rosethread_cases::cases!(check_agreement {
    one_host: (1);
    ten_hosts: (10);
    hosts_of_a_large_fleet: (195);
    a_thousand_hosts: (1_000);
});

/// Shows the failure that the agreement prevents.
#[test]
fn hosts_of_a_large_fleet_fill_all_engines_without_agreement() {
    for host_count in [195, 1_000] {
        let alone = simulate(host_count, 0.0, 1);
        assert!(0.4 < alone.processed, "{host_count} hosts: {alone:?}");
        assert!(PARTS_IN_MEMORY as f64 - 0.1 < alone.kept, "{host_count} hosts: {alone:?}");
    }
}

fn check_copies(share: f64, target_count: usize, headroom: f64, expected: usize) {
    assert_eq!(copy_count(share, target_count, headroom), expected);
}

rosethread_cases::cases!(check_copies {
    copies_follow_the_share: (0.1, 100, 1.0, 10);
    copies_follow_the_headroom: (0.1, 100, 3.0, 30);
    a_rare_part_has_two: (0.001, 100, 1.0, 2);
    a_frequent_part_is_on_all_targets: (0.5, 100, 3.0, 100);
    a_single_target_holds_all_parts: (0.1, 1, 1.0, 1);
    without_targets_there_are_no_copies: (0.1, 0, 1.0, 0);
});

/// Checks that without one target the ranking of the others stays the same.
fn check_leaving_target(part_index: usize, leaving: usize) {
    let names = targets();
    let ranked = rank_holders(&part(part_index), names.iter());
    let others: Vec<&TargetName> =
        names.iter().enumerate().filter(|it| it.0 != leaving).map(|it| it.1).collect();
    let ranked_others = rank_holders(&part(part_index), others.iter().copied());
    let expected: Vec<&TargetName> =
        ranked.iter().filter(|it| **it != leaving).map(|it| &names[*it]).collect();
    let found: Vec<&TargetName> = ranked_others.iter().map(|it| others[*it]).collect();
    assert_eq!(found, expected);
}

rosethread_cases::cases!(check_leaving_target {
    the_first_target_leaves: (1, 0);
    a_middle_target_leaves: (2, 31);
    the_last_target_leaves: (3, ENGINES - 1);
});

/// Records the calls, each given by its program and the parts of its prompt, and compares whether
/// `asked` is known to be shared.
fn check_shared(calls: &[(&str, &[usize])], asked: usize, expected: bool) {
    let mut demand = PartDemand::default();
    for (program, parts) in calls {
        let program: ProgramLabel = program.parse().unwrap();
        let prompt: Vec<(PromptPart, u64)> = parts.iter().map(|it| (part(*it), 10)).collect();
        demand.observe(Some(&program), &prompt, Duration::ZERO);
    }
    assert_eq!(demand.share(&part(asked), Duration::ZERO).is_some(), expected);
}

rosethread_cases::cases!(check_shared {
    the_first_part_is_shared: (&[("p", &[1, 2])], 1, true);
    the_last_part_is_not_shared: (&[("p", &[1, 2]), ("q", &[1, 2])], 2, false);
    a_single_part_is_not_shared: (&[("p", &[1])], 1, false);
    a_middle_part_of_one_program_is_not_shared: (&[("p", &[1, 2, 3]), ("p", &[1, 2, 4])], 2, false);
    a_middle_part_of_two_programs_is_shared: (&[("p", &[1, 2, 3]), ("q", &[1, 2, 4])], 2, true);
    an_unknown_part_is_not_shared: (&[("p", &[1, 2])], 9, false);
});

/// Records `count` calls of one part at 0 s, and the same number of another one at `later_s`.
fn check_decay(later_s: u64, shares: std::ops::Range<f64>) {
    let mut demand = PartDemand::default();
    let later = Duration::from_secs(later_s);
    for number in 0..200 {
        let program: ProgramLabel = format!("p{number}").parse().unwrap();
        let (index, now) = if number < 100 { (1, Duration::ZERO) } else { (2, later) };
        demand.observe(Some(&program), &prompt(index, number), now);
    }
    let share = demand.share(&part(1), later).unwrap();
    assert!(shares.contains(&share), "{share}");
}

rosethread_cases::cases!(check_decay {
    equally_old_calls_count_the_same: (0, 0.45..0.55);
    calls_of_a_while_ago_count_less: (20, 0.2..0.35);
    old_calls_hardly_count: (100, 0.0..0.05);
});

/// A later part is held by some of the targets that hold the part before it, and by no other.
#[test]
fn holders_of_a_later_part_hold_the_part_before() {
    let mut demand = PartDemand::default();
    let prompt = vec![(part(1), 100), (part(2), 10), (part(3), 1)];
    for number in 0..50 {
        let program: ProgramLabel = format!("p{number}").parse().unwrap();
        let first =
            if number % 2 == 0 { prompt.clone() } else { vec![(part(1), 100), (part(4), 1)] };
        demand.observe(Some(&program), &first, Duration::ZERO);
    }
    let names = targets();
    let names: Vec<&TargetName> = names.iter().collect();
    let holders = Holders::find(&demand, &prompt, &names, 0.4, Duration::ZERO).unwrap();
    let count = |tokens: u64| (0..ENGINES).filter(|it| holders.tokens(*it) == tokens).count();
    assert_eq!(holders.shared_tokens(), 110);
    assert!(0 < count(110) && count(110) < count(110) + count(100));
    assert_eq!(count(110) + count(100) + count(0), ENGINES);
    assert_eq!(holders.usable(|_| false).len(), count(110));
}

/// While all holders are busy, further targets are used in the order of the ranking, which all
/// hosts share.
#[test]
fn further_targets_are_used_where_all_holders_are_busy() {
    let mut demand = PartDemand::default();
    let prompt = prompt(1, 1);
    demand.observe(None, &prompt, Duration::ZERO);
    let names = targets();
    let names: Vec<&TargetName> = names.iter().collect();
    let holders = Holders::find(&demand, &prompt, &names, 1.0, Duration::ZERO).unwrap();
    let first = holders.usable(|_| false).to_vec();
    assert_eq!(holders.usable(|it| it == first[0]), &first[..]);
    let more = holders.usable(|it| first.contains(&it));
    assert_eq!(more.len(), 2 * first.len());
    assert_eq!(&more[..first.len()], &first[..]);
    assert_eq!(holders.usable(|_| true).len(), ENGINES);
}
