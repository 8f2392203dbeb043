//! Notices reach all nodes soon, expire everywhere, and stay within the room of a datagram.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use rosethread_membership::{
    AuthKeys, Contact, Detector, DetectorConfig, MAX_DATAGRAM, NOTICE_LIFETIME, Notice,
    OutgoingMessage,
};
use rosethread_types::Incarnation;

const CONFIG: DetectorConfig = DetectorConfig {
    period: Duration::from_millis(200),
    suspicion_timeout: Duration::from_millis(800),
};

/// The share of datagrams that are lost: each one whose number is divisible by this.
const LOSS_PERIOD: usize = 20;

struct Cluster {
    detectors: BTreeMap<SocketAddr, Detector>,
    /// When each node started, from which its clock counts.
    starts: BTreeMap<SocketAddr, Duration>,
    now: Duration,
    sent: usize,
}

fn contact(index: usize) -> Contact {
    let address = SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16));
    Contact { zone: "z".parse().unwrap(), caller: address, peer: address, heartbeat: address }
}

impl Cluster {
    fn new(size: usize) -> Cluster {
        let (detectors, starts) = (BTreeMap::new(), BTreeMap::new());
        let mut cluster = Cluster { detectors, starts, now: Duration::ZERO, sent: 0 };
        (0..size).for_each(|index| cluster.start(index, size));
        cluster
    }

    fn start(&mut self, index: usize, size: usize) {
        let name = |index: usize| format!("n-{index}").parse().unwrap();
        let seed = (index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let mut detector = Detector::new(name(index), Incarnation(1), contact(index), CONFIG, seed);
        for other in 0..size {
            detector.add_node(Duration::ZERO, name(other), contact(other));
        }
        self.detectors.insert(contact(index).heartbeat, detector);
        self.starts.insert(contact(index).heartbeat, self.now);
    }

    fn clock(&self, node: &SocketAddr) -> Duration {
        self.now - self.starts[node]
    }

    fn deliver(&mut self, mut queue: Vec<OutgoingMessage>) {
        let keys = AuthKeys::new(vec![vec![7; 16]]);
        while let Some(it) = queue.pop() {
            assert!(keys.encode(&it.message, 0).len() <= MAX_DATAGRAM);
            self.sent += 1;
            if self.sent.is_multiple_of(LOSS_PERIOD) {
                continue;
            }
            let now = self.clock(&it.to);
            let detector = self.detectors.get_mut(&it.to).unwrap();
            queue.extend(detector.receive(now, it.message));
        }
    }

    fn announce(&mut self, index: usize, notices: &[Notice]) {
        let node = contact(index).heartbeat;
        let now = self.clock(&node);
        let outgoing = self.detectors.get_mut(&node).unwrap().announce(now, notices);
        self.deliver(outgoing);
    }

    fn run_periods(&mut self, count: u32) {
        for _ in 0..count {
            self.now += CONFIG.period;
            let addresses: Vec<SocketAddr> = self.detectors.keys().copied().collect();
            for it in addresses {
                let now = self.clock(&it);
                let outgoing = self.detectors.get_mut(&it).unwrap().tick(now);
                self.deliver(outgoing);
            }
        }
    }

    /// Returns how many nodes know all of these notices.
    fn informed(&self, notices: &[Notice]) -> usize {
        let is_informed = |it: &&Detector| {
            let known = it.view().notices;
            notices.iter().all(|it| known.contains(it))
        };
        self.detectors.values().filter(is_informed).count()
    }
}

/// Checks that a notice reaches all nodes within a second and a half.
fn spread(size: usize) {
    let mut cluster = Cluster::new(size);
    let notices = [Notice::Crash { call: 1, run: 2 }, Notice::Completed { call: 3 }];
    cluster.announce(0, &notices);
    cluster.run_periods(7);
    assert_eq!(cluster.informed(&notices), size);
}

rosethread_cases::cases!(spread {
    one_node_keeps_its_notices: (1);
    ten_nodes_know_a_notice_soon: (10);
    two_hundred_nodes_know_a_notice_soon: (200);
    a_thousand_nodes_know_a_notice_soon: (1_000);
});

#[test]
fn a_node_that_restarts_hears_of_earlier_notices() {
    let mut cluster = Cluster::new(10);
    let notices: Vec<Notice> = (0..60).map(|call| Notice::Crash { call, run: 1 }).collect();
    cluster.announce(0, &notices);
    cluster.run_periods(20);
    cluster.start(4, 10);
    cluster.run_periods(15);
    assert_eq!(cluster.informed(&notices), 10);
}

// Guards against a notice that is sent back and forth and lives for ever.
#[test]
fn notices_expire_at_all_nodes() {
    let mut cluster = Cluster::new(10);
    cluster.announce(0, &[Notice::Crash { call: 1, run: 2 }]);
    let lifetime = (NOTICE_LIFETIME.as_millis() / CONFIG.period.as_millis()) as u32;
    cluster.run_periods(lifetime / 2);
    // A node that has just started has a clock that is younger than the notice.
    cluster.start(4, 10);
    cluster.run_periods(lifetime / 2 + 1);
    assert!(cluster.detectors.values().all(|it| it.view().notices.is_empty()));
}

// Guards against a sender of ever new deadly calls who fills the hosts' memory.
#[test]
fn the_number_of_notices_is_bounded() {
    let mut cluster = Cluster::new(2);
    for call in 0..2_000 {
        cluster.announce(0, &[Notice::Crash { call, run: 1 }]);
        cluster.now += Duration::from_millis(1);
    }
    let known = cluster.detectors[&contact(0).heartbeat].view().notices;
    assert_eq!(known.len(), 512);
    assert!(known.contains(&Notice::Crash { call: 1_999, run: 1 }));
}
