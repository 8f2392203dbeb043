//! A simulated cluster of failure detectors, with packet loss, crashes, restarts and network
//! partitions.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use proptest::{prelude::*, test_runner::RngSeed};
use proptest_state_machine::{StateMachineTest, prop_state_machine};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rosethread_cases::{StatelessReference, StepStrategy};
use rosethread_membership::{
    ClusterView, Contact, Detector, DetectorConfig, NodeState, NodeSummary, OutgoingMessage,
    Status, TargetLoad, rank_nodes, target_owner,
};
use rosethread_types::{Incarnation, NodeName};

const CONFIG: DetectorConfig = DetectorConfig {
    period: Duration::from_millis(400),
    suspicion_timeout: Duration::from_millis(1_600),
};

struct Network {
    detectors: BTreeMap<usize, Detector>,
    size: usize,
    loss: f64,
    /// The zone, of the three, that is cut off from the others.
    cut_zone: Option<usize>,
    random: Pcg64,
    now: Duration,
}

fn name(index: usize) -> NodeName {
    format!("node-{index}").parse().unwrap()
}

fn contact(index: usize) -> Contact {
    let address = |kind: u8| SocketAddr::from(([127, 0, kind, 1], 1_000 + index as u16));
    Contact {
        zone: format!("zone-{}", index % 3).parse().unwrap(),
        caller: address(1),
        peer: address(2),
        heartbeat: address(3),
    }
}

impl Network {
    fn new(size: usize, loss: f64) -> Network {
        let mut network = Network {
            detectors: BTreeMap::new(),
            size,
            loss,
            cut_zone: None,
            random: Pcg64::seed_from_u64(42),
            now: Duration::ZERO,
        };
        for index in 0..size {
            network.start(index, 1);
        }
        network
    }

    fn start(&mut self, index: usize, incarnation: u64) {
        let seed = self.random.random();
        let incarnation = Incarnation(incarnation);
        let mut detector = Detector::new(name(index), incarnation, contact(index), CONFIG, seed);
        for other in 0..self.size {
            detector.add_node(self.now, name(other), contact(other));
        }
        self.detectors.insert(index, detector);
    }

    fn is_delivered(&mut self, from: usize, to: usize) -> bool {
        let is_cut = self.cut_zone.is_some_and(|it| (from % 3 == it) != (to % 3 == it));
        !is_cut && self.loss <= self.random.random::<f64>()
    }

    fn deliver_all(&mut self, from: usize, outgoing: Vec<OutgoingMessage>) {
        let mut queue: Vec<(usize, OutgoingMessage)> =
            outgoing.into_iter().map(|it| (from, it)).collect();
        while let Some((from, it)) = queue.pop() {
            let to = usize::from(it.to.port()) - 1_000;
            if !self.is_delivered(from, to) {
                continue;
            }
            let now = self.now;
            if let Some(detector) = self.detectors.get_mut(&to) {
                let answers = detector.receive(now, it.message);
                queue.extend(answers.into_iter().map(|it| (to, it)));
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.for_each_detector(Detector::tick);
            self.now += CONFIG.period / 2;
            self.for_each_detector(Detector::retry_probe);
            self.now += CONFIG.period / 2;
        }
    }

    /// Runs for `periods`, and changes the loads that all nodes report in each of them.
    fn run_with_loads(&mut self, periods: u32) {
        for _ in 0..periods {
            for detector in self.detectors.values_mut() {
                let running = self.random.random_range(1..40);
                let load = |it: usize| TargetLoad {
                    target: format!("i-{it:010}").parse().unwrap(),
                    running,
                    waiting: 0,
                };
                let targets = (0..self.random.random_range(2..8)).map(load).collect();
                detector.set_summary(NodeSummary { targets, ..NodeSummary::default() });
            }
            self.run(CONFIG.period);
        }
    }

    fn for_each_detector(
        &mut self,
        action: impl Fn(&mut Detector, Duration) -> Vec<OutgoingMessage>,
    ) {
        let now = self.now;
        for index in 0..self.size {
            let outgoing = self.detectors.get_mut(&index).map(|it| action(it, now));
            self.deliver_all(index, outgoing.unwrap_or_default());
        }
    }

    fn views(&self) -> impl Iterator<Item = ClusterView> {
        self.detectors.values().map(Detector::view)
    }

    fn status(&self, of: usize) -> Vec<Option<Status>> {
        self.views().map(|it| it.get(&name(of)).map(|it| it.status)).collect()
    }
}

/// Checks that no node considers the given one alive.
fn check_not_alive(network: &Network, node: usize) {
    for status in network.status(node) {
        let is_not_alive = status.is_none_or(|it| Status::Suspect <= it);
        assert!(is_not_alive, "{} nodes, {} loss: {status:?}", network.size, network.loss);
    }
}

/// Checks that a crashed node is at least suspected within 5 s, whatever the number of nodes.
fn check_death(size: usize, loss: f64) {
    let mut network = Network::new(size, loss);
    network.run(Duration::from_secs(4));
    network.detectors.remove(&1);
    network.run(Duration::from_secs(5));
    check_not_alive(&network, 1);
}

rosethread_cases::cases!(check_death {
    death_among_3: (3, 0.0);
    death_among_13: (13, 0.0);
    death_among_13_at_20_percent_loss: (13, 0.2);
});

/// Like [`check_death`], while the loads of all nodes change all the time.
///
/// Load reports compete with the report of the death for room in messages, and leave the nodes with
/// different versions of the crashed node's last report.
fn check_death_under_load(size: usize, loss: f64) {
    let mut network = Network::new(size, loss);
    for _ in 0..10 {
        network.run_with_loads(4);
    }
    network.detectors.remove(&1);
    network.run_with_loads(20);
    check_not_alive(&network, 1);
}

rosethread_cases::cases!(check_death_under_load {
    death_among_13_under_load: (13, 0.0);
    death_among_90_under_load: (90, 0.0);
    death_among_90_under_load_at_5_percent_loss: (90, 0.05);
    death_among_300_under_load: (300, 0.0);
});

#[test]
fn a_node_restarted_at_the_same_address_is_alive() {
    let mut network = Network::new(8, 0.0);
    network.run(Duration::from_secs(4));
    network.detectors.remove(&1);
    network.run(Duration::from_secs(8));
    network.start(1, 2);
    network.run(Duration::from_secs(6));
    assert!(network.status(1).iter().all(|it| *it == Some(Status::Alive)));
}

#[test]
fn a_leaving_node_gets_no_new_work() {
    let mut network = Network::new(8, 0.0);
    network.run(Duration::from_secs(4));
    network.detectors.get_mut(&1).unwrap().leave();
    network.run(Duration::from_secs(2));
    assert!(network.status(1).iter().all(|it| *it == Some(Status::Leaving)));
    assert!(network.views().all(|it| it.live().all(|it| it.node != name(1))));
}

#[test]
fn all_nodes_are_alive_after_a_partition_heals() {
    let mut network = Network::new(9, 0.0);
    network.run(Duration::from_secs(4));
    network.cut_zone = Some(0);
    network.run(Duration::from_secs(20));
    let zone = "zone-0".parse().unwrap();
    assert!(network.detectors[&1].is_zone_unreachable(&zone));
    network.cut_zone = None;
    network.run(Duration::from_secs(30));
    assert!(network.views().all(|it| it.live().count() == 9));
}

impl Network {
    /// Runs for `periods` in which all messages are lost, while node 0 gets answers of node 1 in another way.
    fn run_silent(&mut self, periods: u32, has_answers: bool) {
        self.loss = 1.0;
        for _ in 0..periods {
            if has_answers {
                self.detectors.get_mut(&0).unwrap().confirm(self.now, &name(1));
            }
            self.run(CONFIG.period);
        }
    }

    /// Returns the status of node 1 as node 0 has it.
    fn status_at_first(&self) -> Option<Status> {
        self.detectors[&0].view().get(&name(1)).map(|it| it.status)
    }
}

// Guards against hosts that take each other for dead though they answer each other's requests.
#[test]
fn a_node_that_answers_requests_stays_alive_without_heartbeats() {
    let mut network = Network::new(4, 0.0);
    network.run(Duration::from_secs(4));
    network.run_silent(50, true);
    assert_eq!(network.status_at_first(), Some(Status::Alive));
    assert!(network.detectors[&0].doubted().iter().any(|(node, _)| *node == name(2)));
    network.run_silent(13, false);
    assert_eq!(network.status_at_first(), Some(Status::Dead));
}

// Others that have no answers report the death again and again.
#[test]
fn a_reported_death_does_not_outweigh_answers() {
    let mut network = Network::new(4, 0.0);
    network.run(Duration::from_secs(4));
    network.detectors.remove(&1);
    for _ in 0..50 {
        network.detectors.get_mut(&0).unwrap().confirm(network.now, &name(1));
        network.run(CONFIG.period);
        assert_eq!(network.status_at_first(), Some(Status::Alive));
    }
    network.run(Duration::from_secs(5));
    check_not_alive(&network, 1);
}

// Guards against hosts that are gone coming back to life, where another host has got their address.
#[test]
fn a_host_at_the_address_of_a_dead_one_does_not_answer_for_it() {
    let mut network = Network::new(4, 0.0);
    network.run(Duration::from_secs(4));
    network.detectors.remove(&1);
    network.run(Duration::from_secs(8));
    let is_doubted = |network: &Network| {
        network.detectors[&0].doubted().iter().any(|(node, _)| *node == name(1))
    };
    assert!(is_doubted(&network));
    let now = network.now;
    network.detectors.get_mut(&0).unwrap().add_node(now, name(7), contact(1));
    assert!(!is_doubted(&network));
}

#[test]
fn a_node_that_was_dead_for_long_is_remembered() {
    let mut network = Network::new(4, 0.0);
    network.run(Duration::from_secs(4));
    network.run_silent(200, false);
    let view = network.detectors[&0].view();
    assert_eq!(view.get(&name(1)), None);
    assert_eq!(view.last_state(&name(1)).map(|it| it.contact.clone()), Some(contact(1)));
    network.run_silent(1, true);
    assert_eq!(network.status_at_first(), Some(Status::Alive));
    assert!(!network.detectors[&0].view().departed.contains_key(&name(1)));
}

/// At 5% loss there may be at most one false suspicion per node and day, which is measured over two
/// simulated hours of 13 nodes.
#[test]
fn false_suspicions_at_5_percent_loss() {
    let hours = 2;
    let mut network = Network::new(13, 0.05);
    network.run(Duration::from_secs(3_600 * hours));
    let suspicions: u64 = network.detectors.values().map(Detector::suspicions).sum();
    let per_node_day = suspicions as f64 / 13.0 * 24.0 / hours as f64;
    assert!(per_node_day <= 1.0, "{suspicions} suspicions, {per_node_day} per node and day");
    assert!(network.views().all(|it| it.live().count() == 13));
}

/// When a node goes, only the targets that it owned get another owner.
#[test]
fn only_the_targets_of_a_removed_node_move() {
    let view = |without: Option<usize>| {
        let nodes = (0..13).filter(|it| Some(*it) != without).map(|index| {
            let state = NodeState {
                node: name(index),
                incarnation: Incarnation(1),
                version: 1,
                status: Status::Alive,
                contact: contact(index),
                summary: Default::default(),
            };
            (name(index), state)
        });
        ClusterView { nodes: nodes.collect(), ..ClusterView::default() }
    };
    let (before, after) = (view(None), view(Some(4)));
    let zone = "zone-1".parse().unwrap();
    let mut moved = 0;
    for target in 0..600 {
        let target = format!("engine-{target}");
        let old = target_owner(&before, &target, &zone).unwrap();
        let new = target_owner(&after, &target, &zone).unwrap();
        if old != new {
            assert_eq!(old, name(4));
            moved += 1;
        }
    }
    // Zone 1 has the nodes 1, 4, 7 and 10, so a quarter of the targets belonged to node 4.
    assert!((100..200).contains(&moved), "{moved} of 600 moved");
    let nodes: Vec<NodeName> = (0..13).map(name).collect();
    assert_eq!(rank_nodes("program", nodes.iter()).len(), 13);
}

/// An event in the simulated cluster.
#[derive(Clone, Debug)]
enum Step {
    /// Time passes.
    Run { seconds: u64 },
    /// A node crashes.
    Crash { node: usize },
    /// A node starts, unless one with its name is running.
    Start { node: usize },
    /// A node announces that it leaves, and stops after a second.
    Leave { node: usize },
    /// The nodes of a zone are cut off from the others, or the partition heals.
    CutZone { zone: Option<usize> },
    /// From now on this percentage of the messages is lost.
    SetLoss { percent: u8 },
    /// All faults end, and 30 s pass.
    Settle,
}

impl StepStrategy for Cluster {
    type Step = Step;

    fn step_strategy() -> BoxedStrategy<Step> {
        let node = || 0..CLUSTER_SIZE;
        prop_oneof![
            4 => (1_u64..12).prop_map(|seconds| Step::Run { seconds }),
            2 => node().prop_map(|node| Step::Crash { node }),
            3 => node().prop_map(|node| Step::Start { node }),
            1 => node().prop_map(|node| Step::Leave { node }),
            2 => prop::option::of(0_usize..3).prop_map(|zone| Step::CutZone { zone }),
            1 => (0_u8..30).prop_map(|percent| Step::SetLoss { percent }),
            1 => Just(Step::Settle),
        ]
        .boxed()
    }
}

/// The number of node names in the cluster.
const CLUSTER_SIZE: usize = 6;

/// The cluster, and how many times each node was started.
struct Cluster {
    network: Network,
    starts: [u64; CLUSTER_SIZE],
    is_settled: bool,
}

impl Cluster {
    /// Ends all faults, and lets the cluster run until all nodes should know of each other.
    fn settle(&mut self) {
        self.network.cut_zone = None;
        self.network.loss = 0.0;
        self.network.run(Duration::from_secs(30));
        self.is_settled = true;
    }
}

impl StateMachineTest for Cluster {
    type SystemUnderTest = Cluster;
    type Reference = StatelessReference<Cluster>;

    fn init_test(_state: &()) -> Cluster {
        Cluster {
            network: Network::new(CLUSTER_SIZE, 0.0),
            starts: [1; CLUSTER_SIZE],
            is_settled: false,
        }
    }

    fn apply(mut cluster: Cluster, _state: &(), step: Step) -> Cluster {
        cluster.is_settled = false;
        match step {
            Step::Run { seconds } => cluster.network.run(Duration::from_secs(seconds)),
            Step::Crash { node } => drop(cluster.network.detectors.remove(&node)),
            Step::Start { node } if cluster.network.detectors.contains_key(&node) => (),
            Step::Start { node } => {
                cluster.starts[node] += 1;
                cluster.network.start(node, cluster.starts[node]);
            }
            Step::Leave { node } => {
                if let Some(detector) = cluster.network.detectors.get_mut(&node) {
                    detector.leave();
                    cluster.network.run(Duration::from_secs(1));
                    cluster.network.detectors.remove(&node);
                }
            }
            Step::CutZone { zone } => cluster.network.cut_zone = zone,
            Step::SetLoss { percent } => cluster.network.loss = f64::from(percent) / 100.0,
            Step::Settle => cluster.settle(),
        }
        cluster
    }

    fn check_invariants(cluster: &Cluster, _state: &()) {
        let running: Vec<NodeName> = cluster.network.detectors.keys().map(|it| name(*it)).collect();
        for (index, detector) in &cluster.network.detectors {
            let view = detector.view();
            let own = view.get(&name(*index)).expect("a node knows itself");
            assert_eq!(own.incarnation, Incarnation(cluster.starts[*index]));
            for state in view.nodes.values() {
                let started = (0..CLUSTER_SIZE).find(|it| name(*it) == state.node);
                let started = started.map_or(0, |it| cluster.starts[it]);
                assert!(state.incarnation <= Incarnation(started), "{state:?} was never started");
            }
            if cluster.is_settled {
                let live: Vec<NodeName> = view.live().map(|it| it.node.clone()).collect();
                assert_eq!(live, running, "as node {index} sees it");
            }
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 100,
        rng_seed: RngSeed::Fixed(15),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// After any sequence of crashes, starts, leaves, partitions and losses, all nodes agree on
    /// which nodes are live once the faults have ended.
    #[test]
    fn all_nodes_agree_on_the_live_nodes(sequential 1..30 => Cluster);
}
