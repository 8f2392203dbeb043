//! Who is refused where there is too little room, simulated without network or clock.
//!
//! Many hosts, each of which sees a part of the callers, send programs to one service. They know its
//! load as it was a second ago, all the same value, so that it may look free to all at once.

use std::{collections::BTreeMap, ops::Range, time::Duration};

use proptest::{collection::vec, prelude::*};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rosethread_policy::{Backlog, Contention, Demand, excess_calls, return_delay, should_shed};
use rosethread_types::OrganisationName;

/// The time that one step covers, in seconds.
const STEP_S: f64 = 0.005;

/// The usual load.
const LOAD: f64 = 1.15;

const SLOTS: usize = 360;
const SIMULATED_S: f64 = 45.0;

/// The burst, and the arrivals for which what is served is compared, in seconds.
const BURST_S: Range<f64> = 25.0..30.0;
const COMPARED_S: Range<f64> = 25.0..33.0;

/// The time of a call at an idle engine, the fraction that a full batch adds to it, and the pause
/// between the calls of a program, in seconds.
const CALL_S: f64 = 0.25;
const BATCH_SLOWDOWN: f64 = 0.4;
const PAUSE_S: f64 = 0.03;

/// A program has to end within this multiple of its time at idle engines.
const OBJECTIVE: f64 = 2.0;

/// A kind of program: its priority, how many begin per second, and its calls.
#[derive(Clone, Copy)]
struct Kind {
    priority: u8,
    per_s: f64,
    calls: u32,
}

const URGENT: Kind = Kind { priority: 0, per_s: 76.0, calls: 3 };
const LESS_URGENT: Kind = Kind { priority: 1, per_s: 41.0, calls: 11 };

/// The organisations, of which the largest sends a fifth of all, and the smallest a few per mille.
const ORGANISATIONS: usize = 73;

fn organisation(index: usize) -> OrganisationName {
    format!("organisation-{index}").parse().unwrap()
}

fn part(index: usize) -> f64 {
    let size = |it: usize| 1.0 / (it + 1) as f64;
    size(index) / (0..ORGANISATIONS).map(size).sum::<f64>()
}

/// By how much the arrivals of a kind or of an organisation rise during the burst.
#[derive(Clone, Copy, Default)]
struct Burst {
    priority: Option<(u8, f64)>,
    organisation: Option<(usize, f64)>,
}

impl Burst {
    fn factor(self, priority: u8, organisation: usize) -> f64 {
        let by_kind = self.priority.filter(|it| it.0 == priority).map_or(1.0, |it| it.1);
        let by_organisation =
            self.organisation.filter(|it| it.0 == organisation).map_or(1.0, |it| it.1);
        by_kind * by_organisation
    }
}

struct Program {
    kind: Kind,
    organisation: usize,
    start_s: f64,
    calls: u32,
    attempts: u32,
    end_s: Option<f64>,
}

struct Call {
    program: usize,
    work_left: f64,
}

/// What was served of what began in [`COMPARED_S`].
#[derive(Debug, Default)]
struct Served {
    /// The programs that began, and those that ended in time, by priority and organisation.
    counts: BTreeMap<(u8, usize), (f64, f64)>,
}

impl Served {
    fn part<F>(&self, matches: F) -> f64
    where
        F: Fn(u8, usize) -> bool,
    {
        let counts = self.counts.iter().filter(|(key, _)| matches(key.0, key.1));
        let (began, served) = counts.fold((0.0, 0.0), |sum, (_, it)| (sum.0 + it.0, sum.1 + it.1));
        served / f64::max(began, 1.0)
    }

    fn all(&self) -> f64 {
        self.part(|_, _| true)
    }
}

/// The hosts, and how old their views of the load are, in steps.
#[derive(Clone, Copy)]
struct Hosts {
    count: usize,
    view_steps: usize,
}

const MANY_HOSTS: Hosts = Hosts { count: 87, view_steps: 200 };
const FEW_HOSTS: Hosts = Hosts { count: 10, view_steps: 60 };

/// The delay after which refused callers come back, unless they are told a forecast.
const FIXED_RETURN_S: f64 = 1.0;

fn simulate(rules: Contention, forecast: bool, hosts: Hosts, burst: Burst, seed: u64) -> Served {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut demands = vec![Demand::default(); hosts.count];
    let mut programs: Vec<Program> = Vec::new();
    let mut due: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
    let mut calls: Vec<Call> = Vec::new();
    let mut loads: Vec<u32> = Vec::new();
    let names: Vec<OrganisationName> = (0..ORGANISATIONS).map(organisation).collect();
    let parts: Vec<f64> = (0..ORGANISATIONS).map(part).collect();
    let mut refused_since = None;
    for now in 0..(SIMULATED_S / STEP_S) as usize {
        let now_s = now as f64 * STEP_S;
        let time = Duration::from_secs_f64(now_s);
        for kind in [URGENT, LESS_URGENT] {
            let is_burst = BURST_S.contains(&now_s);
            let burst = if is_burst { burst } else { Burst::default() };
            let mut draw = random.random::<f64>() / (LOAD * kind.per_s * STEP_S);
            for (index, part) in parts.iter().enumerate() {
                draw -= part * burst.factor(kind.priority, index);
                if draw < 0.0 {
                    due.entry(now).or_default().push(programs.len());
                    let (calls, attempts, end_s) = (0, 0, None);
                    let (organisation, start_s) = (index, now_s);
                    programs.push(Program { kind, organisation, start_s, calls, attempts, end_s });
                    break;
                }
            }
        }
        loads.push(calls.len() as u32);
        let running = loads[now.saturating_sub(hosts.view_steps)];
        let slots = SLOTS as u32;
        if excess_calls(running, slots) <= 0.0 {
            refused_since = None;
        } else {
            refused_since.get_or_insert(time);
        }
        for index in due.remove(&now).unwrap_or_default() {
            let Program { kind, organisation, .. } = programs[index];
            if programs[index].calls == 0 {
                let demand = &mut demands[random.random_range(0..hosts.count)];
                let name = &names[organisation];
                demand.observe(Some(name), kind.priority, time);
                let own = (Some(name), kind.priority);
                let shedding = rules.shed((running, slots), demand, own, time);
                if shedding.decide(random.random()).is_some() {
                    programs[index].attempts += 1;
                    let backlog = Backlog {
                        excess: excess_calls(running, slots),
                        running,
                        service_s: CALL_S,
                        calls: 6.0,
                        lasted: time - refused_since.unwrap_or(time),
                    };
                    let rank = f64::from(kind.priority);
                    let delay = return_delay(backlog, rank, random.random()).as_secs_f64();
                    let delay = if forecast { delay } else { FIXED_RETURN_S };
                    if programs[index].attempts < 2 {
                        due.entry(now + (delay / STEP_S) as usize).or_default().push(index);
                    }
                    continue;
                }
            }
            // A program that was refused counts from when it was admitted.
            if programs[index].calls == 0 {
                programs[index].start_s = now_s;
            }
            calls.push(Call { program: index, work_left: CALL_S * random.random_range(0.6..1.4) });
        }
        let batch = calls.len().min(SLOTS);
        let progress = STEP_S / (1.0 + BATCH_SLOWDOWN * batch as f64 / SLOTS as f64);
        calls[..batch].iter_mut().for_each(|it| it.work_left -= progress);
        calls.retain(|call| {
            if 0.0 < call.work_left {
                return true;
            }
            let program = &mut programs[call.program];
            program.calls += 1;
            if program.calls == program.kind.calls {
                program.end_s = Some(now_s);
            } else {
                due.entry(now + (PAUSE_S / STEP_S) as usize).or_default().push(call.program);
            }
            false
        });
    }
    let mut served = Served::default();
    for program in programs.iter().filter(|it| COMPARED_S.contains(&it.start_s)) {
        let count = served.counts.entry((program.kind.priority, program.organisation)).or_default();
        let objective_s = OBJECTIVE * f64::from(program.kind.calls) * (CALL_S + PAUSE_S);
        count.0 += 1.0;
        if program.end_s.is_some_and(|it| it - program.start_s < objective_s) {
            count.1 += 1.0;
        }
    }
    served
}

const ALL_RULES: Contention = Contention { by_priority: true, by_organisation: true };

/// The most that a burst may take of the part served of those who have not caused it.
const MAX_LOSS: f64 = 0.02;

/// How often each kind and organisation is served at least, as a part of how often all are.
const MIN_PART: f64 = 0.25;

const SEEDS: Range<u64> = 1..5;

/// Returns what is served with each seed.
fn simulate_all(hosts: Hosts, burst: Burst) -> Vec<Served> {
    SEEDS.map(|seed| simulate(ALL_RULES, true, hosts, burst, seed)).collect()
}

/// Returns the mean over the seeds.
fn mean<F>(results: &[Served], part: F) -> f64
where
    F: Fn(&Served) -> f64,
{
    results.iter().map(part).sum::<f64>() / results.len() as f64
}

/// Checks that a burst of the less urgent kind takes nothing from the urgent one, and starves nobody.
fn check_priority(hosts: Hosts) {
    let burst = Burst { priority: Some((LESS_URGENT.priority, 2.5)), ..Burst::default() };
    let (during, without) = (simulate_all(hosts, burst), simulate_all(hosts, Burst::default()));
    let served = |results, of| mean(results, |it| it.part(|priority, _| priority == of));
    let (urgent, usual) = (served(&during, 0), served(&without, 0));
    assert!(usual - urgent <= MAX_LOSS, "urgent: {urgent} against {usual}");
    let (less_urgent, all) = (served(&during, 1), mean(&during, Served::all));
    assert!(MIN_PART * all <= less_urgent, "less urgent: {less_urgent}, all {all}");
}

rosethread_cases::cases!(check_priority {
    a_burst_of_a_less_urgent_kind_at_many_hosts: (MANY_HOSTS);
    a_burst_of_a_less_urgent_kind_at_few_hosts: (FEW_HOSTS);
});

/// Checks that an organisation at eight times its usual takes nothing from the others, and isn't starved.
fn check_organisation(hosts: Hosts, hot: usize) {
    let burst = Burst { organisation: Some((hot, 8.0)), ..Burst::default() };
    let (during, without) = (simulate_all(hosts, burst), simulate_all(hosts, Burst::default()));
    let served = |results| mean(results, |it: &Served| it.part(|_, index| index != hot));
    let (others, usual) = (served(&during), served(&without));
    assert!(usual - others <= MAX_LOSS, "others: {others} against {usual}");
    let own = mean(&during, |it| it.part(|_, index| index == hot));
    let all = mean(&during, Served::all);
    assert!(MIN_PART * all <= own, "hot: {own}, all {all}");
}

rosethread_cases::cases!(check_organisation {
    a_hot_organisation_at_few_hosts: (FEW_HOSTS, 3);
    a_hot_organisation_at_many_hosts: (MANY_HOSTS, 3);
    the_largest_organisation_is_hot_at_few_hosts: (FEW_HOSTS, 0);
    the_largest_organisation_is_hot_at_many_hosts: (MANY_HOSTS, 0);
});

/// Returns a demand with `arrivals`, each an organisation and a priority.
fn demand(arrivals: &[(usize, u8)]) -> Demand {
    let mut demand = Demand::default();
    for (index, (organisation, priority)) in arrivals.iter().enumerate() {
        let now = Duration::from_millis(20 * index as u64);
        demand.observe(Some(&self::organisation(*organisation)), *priority, now);
    }
    demand
}

const NOW: Duration = Duration::from_secs(5);

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(55),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn without_rules_all_are_refused_as_before(
        arrivals in vec((0_usize..5, 0_u8..4), 0..99),
        running in 0_u32..700,
        random in 0.0..1.0,
    ) {
        let own = (Some(&organisation(0)), 0);
        let shedding = Contention::default().shed((running, 360), &demand(&arrivals), own, NOW);
        prop_assert_eq!(shedding.decide(random).is_some(), should_shed(running, 360, random));
    }

    #[test]
    fn a_single_priority_is_refused_as_before(
        count in 1_usize..99,
        running in 0_u32..700,
        random in 0.0..1.0,
    ) {
        let rules = Contention { by_priority: true, by_organisation: false };
        let demand = demand(&vec![(0, 3); count]);
        let shedding = rules.shed((running, 360), &demand, (Some(&organisation(0)), 3), NOW);
        prop_assert_eq!(shedding.decide(random).is_some(), should_shed(running, 360, random));
    }

    #[test]
    fn more_urgent_programs_are_refused_no_more_often_and_none_starves(
        arrivals in vec((0_usize..5, 0_u8..4), 1..99),
        running in 0_u32..700,
    ) {
        let demand = demand(&arrivals);
        for index in 0..5 {
            let name = organisation(index);
            let shed = |priority| {
                ALL_RULES.shed((running, 360), &demand, (Some(&name), priority), NOW)
            };
            for priority in 1..4 {
                prop_assert!(shed(priority - 1).own <= shed(priority).own + 1e-9);
            }
            let least = shed(3);
            let admitted = 1.0 - least.shed.clamp(0.0, 1.0);
            prop_assert!(MIN_PART * admitted <= 1.0 - least.own + 1e-9);
        }
    }
}

/// Checks that urgent callers come back before others, and that the time told is never zero.
#[test]
fn urgent_callers_come_back_first() {
    let backlog =
        Backlog { excess: 90.0, running: 360, service_s: 1.0, calls: 8.0, lasted: Duration::ZERO };
    assert_eq!(backlog.time(), Duration::from_secs(2));
    for random in [0.0, 0.5, 0.99] {
        let urgent = return_delay(backlog, 0.0, random);
        assert!(!urgent.is_zero() && urgent <= return_delay(backlog, 1.0, 0.0));
        assert!(!return_delay(Backlog { excess: 0.0, ..backlog }, 0.0, random).is_zero());
    }
}
