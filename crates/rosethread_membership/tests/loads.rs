//! Reports of nodes with requests at many targets: heartbeats stay within a datagram, nodes don't take
//! each other for dead, and what reports leave out is told by later ones.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use proptest::{prelude::*, test_runner::RngSeed};
use rosethread_membership::{
    AuthKeys, ClusterView, Contact, Detector, DetectorConfig, MAX_DATAGRAM, NodeSummary, Notice,
    OutgoingMessage, Status, TargetLimit, TargetLoad,
};
use rosethread_types::Incarnation;

const CONFIG: DetectorConfig = DetectorConfig {
    period: Duration::from_millis(400),
    suspicion_timeout: Duration::from_millis(1_600),
};

/// The longest name of a node, a zone or a target, in bytes.
const MAX_NAME_BYTES: usize = 64;

fn keys() -> AuthKeys {
    AuthKeys::new(vec![vec![7; 16]])
}

/// A cluster whose messages pass through datagrams as receivers accept them.
struct Cluster {
    detectors: BTreeMap<SocketAddr, Detector>,
    now: Duration,
    /// The number of datagrams that were too long or not accepted.
    dropped: usize,
}

fn contact(index: usize, name_bytes: usize) -> Contact {
    let address = SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16));
    let zone = format!("{:z>name_bytes$}", index % 3).parse().unwrap();
    Contact { zone, caller: address, peer: address, heartbeat: address }
}

impl Cluster {
    fn new(size: usize, name_bytes: usize) -> Cluster {
        let name = |index: usize| format!("{index:n>name_bytes$}").parse().unwrap();
        let start = |index: usize| {
            let own = contact(index, name_bytes);
            let seed = (index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let mut detector =
                Detector::new(name(index), Incarnation(1), own.clone(), CONFIG, seed);
            for other in 0..size {
                detector.add_node(Duration::ZERO, name(other), contact(other, name_bytes));
            }
            (own.heartbeat, detector)
        };
        let detectors = (0..size).map(start).collect();
        Cluster { detectors, now: Duration::ZERO, dropped: 0 }
    }

    fn deliver(&mut self, mut queue: Vec<OutgoingMessage>) {
        while let Some(it) = queue.pop() {
            let bytes = keys().encode(&it.message, 0);
            let Ok(message) = keys().decode(&bytes, 0) else {
                self.dropped += 1;
                continue;
            };
            let detector = self.detectors.get_mut(&it.to).unwrap();
            queue.extend(detector.receive(self.now, message));
        }
    }

    /// Runs for `periods`, in each of which all nodes report `summary`.
    fn run(&mut self, periods: u32, summary: &NodeSummary) {
        let addresses: Vec<SocketAddr> = self.detectors.keys().copied().collect();
        for _ in 0..periods {
            for step in [Detector::tick, Detector::retry_probe] {
                for it in &addresses {
                    let detector = self.detectors.get_mut(it).unwrap();
                    detector.set_summary(summary.clone());
                    let outgoing = step(detector, self.now);
                    self.deliver(outgoing);
                }
                self.now += CONFIG.period / 2;
            }
        }
    }

    fn views(&self) -> impl Iterator<Item = ClusterView> {
        self.detectors.values().map(Detector::view)
    }
}

fn load(target: usize, running: u16) -> TargetLoad {
    TargetLoad { target: format!("i-{target:08x}").parse().unwrap(), running, waiting: 0 }
}

fn limit(target: usize) -> TargetLimit {
    let target = format!("i-{target:08x}").parse().unwrap();
    TargetLimit { target, start: Incarnation(1), milli_per_s: 4_300 }
}

fn summary(targets: usize, limits: usize) -> NodeSummary {
    NodeSummary {
        has_log: true,
        targets: (0..targets).map(|it| load(it, 3)).collect(),
        limits: (0..limits).map(limit).collect(),
        ..NodeSummary::default()
    }
}

/// All nodes have requests at `targets` targets, `limits` of which named limits.
fn check_alive(size: usize, name_bytes: usize, targets: usize, limits: usize) {
    let mut cluster = Cluster::new(size, name_bytes);
    cluster.run(50, &summary(targets, limits));
    assert_eq!(cluster.dropped, 0);
    for view in cluster.views() {
        assert_eq!(view.nodes.len(), size);
        assert!(view.nodes.values().all(|it| it.status == Status::Alive && it.summary.has_log));
    }
    let suspicions: u64 = cluster.detectors.values().map(Detector::suspicions).sum();
    assert_eq!(suspicions, 0);
}

rosethread_cases::cases!(check_alive {
    // Guards against hosts that take each other for dead: the heartbeats of a host with requests at more
    // than about 60 targets were longer than receivers accept.
    hosts_with_84_busy_targets_stay_alive: (3, 12, 84, 0);
    hosts_with_6700_busy_targets_stay_alive: (3, 12, 6_700, 0);
    hosts_with_limits_at_many_targets_stay_alive: (3, 12, 0, 84);
    hosts_with_busy_targets_and_limits_stay_alive: (13, 12, 89, 89);
    hosts_with_the_longest_names_stay_alive: (3, MAX_NAME_BYTES, 84, 84);
});

// Guards against loads that are never told: a report has room for some of them only.
#[test]
fn all_loads_and_limits_are_told_in_turn() {
    let mut cluster = Cluster::new(3, 12);
    cluster.run(50, &summary(84, 20));
    for view in cluster.views() {
        let others = view.nodes.values().filter(|it| it.summary.is_partial);
        let told: Vec<usize> = others.clone().map(|it| it.summary.targets.len()).collect();
        assert!(told.len() == 2 && told.iter().all(|it| 60 <= *it), "{told:?} of 84 loads");
        let limits: Vec<usize> = others.map(|it| it.summary.limits.len()).collect();
        assert!(limits.iter().all(|it| 15 <= *it), "{limits:?} of 20 limits");
    }
}

/// Checks what others know of a node whose requests at all targets but `left` have ended.
fn check_ended(left: usize) {
    let mut cluster = Cluster::new(3, 12);
    cluster.run(50, &summary(84, 0));
    cluster.run(50, &summary(left, 0));
    for view in cluster.views() {
        let running: u32 = view
            .nodes
            .values()
            .flat_map(|it| &it.summary.targets)
            .filter(|it| load(left, 0).target <= it.target)
            .map(|it| u32::from(it.running))
            .sum();
        assert_eq!(running, 0);
    }
}

rosethread_cases::cases!(check_ended {
    // Guards against loads that stay for good: a target that a report leaves out may be idle.
    loads_of_requests_that_have_ended_are_told: (40);
    a_report_that_is_complete_again_replaces_all_loads: (2);
});

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(15),
        failure_persistence: None,
        cases: 200,
        ..ProptestConfig::default()
    })]

    // Guards against heartbeats that nobody accepts, whatever a host has to report.
    #[test]
    fn all_messages_fit_into_a_datagram(
        name_bytes in 2..=MAX_NAME_BYTES,
        target_bytes in 5..=MAX_NAME_BYTES,
        targets in 0_usize..300,
        limits in 0_usize..300,
        notices in 0_u64..30,
    ) {
        let name = |index: usize| format!("{index:i>target_bytes$}").parse().unwrap();
        let running = |it: usize| TargetLoad { target: name(it), running: u16::MAX, waiting: 0 };
        let limit = |it: usize| {
            TargetLimit { target: name(it), start: Incarnation(u64::MAX), milli_per_s: u32::MAX }
        };
        let summary = NodeSummary {
            calls: u32::MAX,
            power: u16::MAX,
            targets: (0..targets).map(running).collect(),
            limits: (0..limits).map(limit).collect(),
            ..NodeSummary::default()
        };
        let mut cluster = Cluster::new(4, name_bytes);
        let crashes: Vec<_> = (0..notices).map(|call| Notice::Crash { call, run: 1 }).collect();
        for detector in cluster.detectors.values_mut() {
            detector.set_summary(summary.clone());
            for it in detector.announce(Duration::ZERO, &crashes) {
                prop_assert!(keys().encode(&it.message, u64::MAX).len() <= MAX_DATAGRAM);
                // The receiver's own report and one of another host.
                prop_assert!(2 <= it.message.states.len());
            }
        }
        cluster.run(6, &summary);
        prop_assert_eq!(cluster.dropped, 0);
    }
}
