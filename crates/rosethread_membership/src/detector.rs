//! A failure detector with indirect probes and suspicion, spreading reports by gossip.
//!
//! Each period a node pings one other, so its cost does not depend on the number of nodes. A
//! missing acknowledgement is checked through several others before the node is suspected, and a
//! suspect has time to refute. The scheme is that of SWIM (Das, Gupta and Motivala, 2002).
//!
//! Reports also carry loads, which change all the time, so two nodes rarely know a third by the same
//! version. Two rules keep that from delaying the news of a death: reports of changed statuses go
//! before loads, and whoever hears an older report of a death than its own of a life probes next.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use rosethread_types::{Incarnation, NodeName, ZoneName};

use crate::{ClusterView, Contact, Message, MessageKind, NodeState, NodeSummary, Status, wire};

/// The most relays asked to probe a silent node.
///
/// At 5% loss a relayed probe fails with a probability of 1 - 0.95^4 = 0.19. Five of them, after two
/// direct pings, keep false suspicions below one per node and day; see `docs/design/membership.md`.
const RELAYS: usize = 5;

/// How often a report is passed on before it only fills spare room.
const SPREAD: u32 = 8;

/// The length of time a dead node stays known, in periods, so that its death spreads.
const DEAD_PERIODS: u32 = 150;

/// An odd number that spreads consecutive numbers over all bits (2^64 by the golden ratio).
const DRAW_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// The settings of a detector.
#[derive(Clone, Copy, Debug)]
pub struct DetectorConfig {
    /// The time between two probes.
    pub period: Duration,
    /// The time from a suspicion to the verdict.
    pub suspicion_timeout: Duration,
}

impl Default for DetectorConfig {
    fn default() -> DetectorConfig {
        DetectorConfig {
            period: Duration::from_millis(400),
            suspicion_timeout: Duration::from_millis(1_600),
        }
    }
}

/// A message and where to send it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// The receiver's address for heartbeats.
    pub to: SocketAddr,
    /// The message.
    pub message: Message,
}

struct Peer {
    state: NodeState,
    /// When the status changed last.
    since: Duration,
    /// How often the current report has been passed on.
    spread: u32,
}

struct Outstanding {
    subject: NodeName,
    number: u64,
    sent: Duration,
}

/// A ping on behalf of another node.
struct Relay {
    origin: SocketAddr,
    origin_number: u64,
    sent: Duration,
}

/// The failure detector of one node; time is the duration since its start.
pub struct Detector {
    config: DetectorConfig,
    me: NodeState,
    peers: BTreeMap<NodeName, Peer>,
    /// The nodes still to be probed in this round, in a shuffled order.
    round: Vec<NodeName>,
    /// Nodes that others take for dead by an older report than this node has; probed first.
    doubted: Vec<NodeName>,
    outstanding: Option<Outstanding>,
    relays: BTreeMap<u64, Relay>,
    number: u64,
    random: u64,
    suspicions: u64,
}

impl Detector {
    /// Returns the detector of `node`; `seed` shuffles the order of its probes.
    pub fn new(
        node: NodeName,
        incarnation: Incarnation,
        contact: Contact,
        config: DetectorConfig,
        seed: u64,
    ) -> Detector {
        let summary = NodeSummary::default();
        let me =
            NodeState { node, incarnation, version: 1, status: Status::Alive, contact, summary };
        Detector {
            config,
            me,
            peers: BTreeMap::new(),
            round: Vec::new(),
            doubted: Vec::new(),
            outstanding: None,
            relays: BTreeMap::new(),
            number: 0,
            random: seed | 1,
            suspicions: 0,
        }
    }

    /// Replaces what this node tells about itself.
    pub fn set_summary(&mut self, summary: NodeSummary) {
        if self.me.summary != summary {
            self.me.summary = summary;
            self.me.version += 1;
        }
    }

    /// Tells the others that this node takes no new work.
    pub fn leave(&mut self) {
        self.me.status = Status::Leaving;
        self.me.version += 1;
    }

    /// Adds a node that the platform's host list names, unless it is known already.
    pub fn add_node(&mut self, now: Duration, node: NodeName, contact: Contact) {
        if node == self.me.node || self.peers.contains_key(&node) {
            return;
        }
        let state = NodeState {
            node: node.clone(),
            incarnation: Incarnation::default(),
            version: 0,
            status: Status::Alive,
            contact,
            summary: NodeSummary::default(),
        };
        self.peers.insert(node, Peer { state, since: now, spread: SPREAD });
    }

    /// Returns a ping to a host of which no more than the address is known.
    ///
    /// Its answer carries its report, by which it becomes known; a host that is gone never does.
    pub fn ping_address(&mut self, to: SocketAddr) -> OutgoingMessage {
        self.number += 1;
        self.outgoing(to, MessageKind::Ping, self.number)
    }

    /// Takes note that the platform's host list says `node` is leaving, which wins for new work.
    pub fn mark_leaving(&mut self, now: Duration, node: &NodeName) {
        if let Some(peer) = self.peers.get_mut(node)
            && peer.state.status == Status::Alive
        {
            peer.state.status = Status::Leaving;
            peer.since = now;
        }
    }

    /// Returns the number of suspicions that this node raised itself.
    pub fn suspicions(&self) -> u64 {
        self.suspicions
    }

    /// Returns what is known about all nodes, this one included.
    pub fn view(&self) -> ClusterView {
        let mut nodes: BTreeMap<NodeName, NodeState> =
            self.peers.iter().map(|(name, it)| (name.clone(), it.state.clone())).collect();
        nodes.insert(self.me.node.clone(), self.me.clone());
        ClusterView { nodes }
    }

    /// Tells whether a whole zone other than this node's own has fallen silent.
    ///
    /// That is taken for a partition: no programs are taken over because of it.
    pub fn is_zone_silent(&self, zone: &ZoneName) -> bool {
        let mut peers = self.peers.values().filter(|it| it.state.contact.zone == *zone);
        let count = peers.clone().count();
        2 <= count
            && *zone != self.me.contact.zone
            && peers.all(|it| Status::Suspect <= it.state.status)
    }

    /// Goes on by one period: judges the last probe and starts the next.
    pub fn tick(&mut self, now: Duration) -> Vec<OutgoingMessage> {
        self.judge_probe(now);
        self.judge_suspects(now);
        self.forget(now);
        let Some(subject) = self.next_subject() else {
            return Vec::new();
        };
        self.number += 1;
        let number = self.number;
        self.outstanding = Some(Outstanding { subject: subject.clone(), number, sent: now });
        let to = self.peers[&subject].state.contact.heartbeat;
        vec![self.outgoing(to, MessageKind::Ping, number)]
    }

    /// Goes on by half a period: pings a node that has not answered once more, and asks others to
    /// probe it.
    pub fn retry_probe(&mut self, _now: Duration) -> Vec<OutgoingMessage> {
        let Some(outstanding) = &self.outstanding else {
            return Vec::new();
        };
        let (subject, number) = (outstanding.subject.clone(), outstanding.number);
        let Some(to) = self.peers.get(&subject).map(|it| it.state.contact.heartbeat) else {
            return Vec::new();
        };
        let mut outgoing = vec![self.outgoing(to, MessageKind::Ping, number)];
        let kind = MessageKind::Probe { subject: subject.clone() };
        for relay in self.pick_relays(&subject) {
            outgoing.push(self.outgoing(relay, kind.clone(), number));
        }
        outgoing
    }

    /// Takes a message in and returns the answers.
    pub fn receive(&mut self, now: Duration, message: Message) -> Vec<OutgoingMessage> {
        let Some(sender) = message.states.first() else {
            return Vec::new();
        };
        let sender_name = sender.node.clone();
        let from = sender.contact.heartbeat;
        for state in message.states {
            self.merge(now, state);
        }
        match message.kind {
            MessageKind::Ping => {
                let kind = MessageKind::Ack { subject: self.me.node.clone() };
                vec![self.outgoing(from, kind, message.number)]
            }
            MessageKind::Ack { subject } => {
                self.on_ack(now, &sender_name, &subject, message.number)
            }
            MessageKind::Probe { subject } => self.relay(now, from, &subject, message.number),
        }
    }

    fn on_ack(
        &mut self,
        now: Duration,
        sender: &NodeName,
        subject: &NodeName,
        number: u64,
    ) -> Vec<OutgoingMessage> {
        let is_awaited = self
            .outstanding
            .as_ref()
            .is_some_and(|it| it.number == number && it.subject == *subject);
        if is_awaited {
            self.outstanding = None;
            self.confirm(now, subject);
            return Vec::new();
        }
        if sender != subject {
            return Vec::new();
        }
        match self.relays.remove(&number) {
            Some(relay) => {
                let kind = MessageKind::Ack { subject: subject.clone() };
                vec![self.outgoing(relay.origin, kind, relay.origin_number)]
            }
            None => Vec::new(),
        }
    }

    /// Takes note of direct evidence that `subject` runs.
    fn confirm(&mut self, now: Duration, subject: &NodeName) {
        if let Some(peer) = self.peers.get_mut(subject)
            && peer.state.status == Status::Suspect
        {
            peer.state.status = Status::Alive;
            peer.since = now;
        }
    }

    fn relay(
        &mut self,
        now: Duration,
        origin: SocketAddr,
        subject: &NodeName,
        origin_number: u64,
    ) -> Vec<OutgoingMessage> {
        let Some(peer) = self.peers.get(subject) else {
            return Vec::new();
        };
        let to = peer.state.contact.heartbeat;
        self.number += 1;
        let number = self.number;
        self.relays.insert(number, Relay { origin, origin_number, sent: now });
        vec![self.outgoing(to, MessageKind::Ping, number)]
    }

    /// Suspects the node whose acknowledgement did not come within the period.
    fn judge_probe(&mut self, now: Duration) {
        let Some(outstanding) = self.outstanding.take() else {
            return;
        };
        if now < outstanding.sent + self.config.period {
            self.outstanding = Some(outstanding);
            return;
        }
        if let Some(peer) = self.peers.get_mut(&outstanding.subject)
            && peer.state.status < Status::Suspect
        {
            peer.state.status = Status::Suspect;
            peer.since = now;
            peer.spread = 0;
            self.suspicions += 1;
        }
    }

    fn judge_suspects(&mut self, now: Duration) {
        for peer in self.peers.values_mut() {
            let is_due = peer.since + self.config.suspicion_timeout <= now;
            if peer.state.status == Status::Suspect && is_due {
                peer.state.status = Status::Dead;
                peer.since = now;
                peer.spread = 0;
            }
        }
    }

    fn forget(&mut self, now: Duration) {
        let keep = self.config.period * DEAD_PERIODS;
        self.peers.retain(|_, it| it.state.status != Status::Dead || now < it.since + keep);
        let patience = self.config.period;
        self.relays.retain(|_, it| now < it.sent + patience);
    }

    /// Returns the next node to probe; dead ones are probed too, so that a healed partition shows.
    fn next_subject(&mut self) -> Option<NodeName> {
        while let Some(subject) = self.doubted.pop() {
            if self.peers.get(&subject).is_some_and(|it| it.state.status < Status::Suspect) {
                return Some(subject);
            }
        }
        loop {
            if self.round.is_empty() {
                if self.peers.is_empty() {
                    return None;
                }
                self.round = self.peers.keys().cloned().collect();
                self.shuffle_round();
            }
            let subject = self.round.pop()?;
            if self.peers.contains_key(&subject) {
                return Some(subject);
            }
        }
    }

    fn shuffle_round(&mut self) {
        for index in (1..self.round.len()).rev() {
            let other = self.next_random() as usize % (index + 1);
            self.round.swap(index, other);
        }
    }

    fn pick_relays(&mut self, subject: &NodeName) -> Vec<SocketAddr> {
        let mut candidates: Vec<SocketAddr> = self
            .peers
            .values()
            .filter(|it| it.state.status == Status::Alive && it.state.node != *subject)
            .map(|it| it.state.contact.heartbeat)
            .collect();
        let count = RELAYS.min(candidates.len());
        for index in 0..count {
            let other = index + self.next_random() as usize % (candidates.len() - index);
            candidates.swap(index, other);
        }
        candidates.truncate(count);
        candidates
    }

    /// A xorshift step: probe order needs no more than an even spread.
    fn next_random(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }

    fn merge(&mut self, now: Duration, state: NodeState) {
        if state.node == self.me.node {
            self.refute(&state);
            return;
        }
        match self.peers.get_mut(&state.node) {
            Some(peer) if state.supersedes(&peer.state) => {
                if peer.state.status != state.status {
                    peer.since = now;
                }
                peer.state = state;
                peer.spread = 0;
            }
            Some(peer) => {
                let is_same_run = state.incarnation == peer.state.incarnation;
                let is_doubt =
                    Status::Suspect <= state.status && peer.state.status < Status::Suspect;
                if is_same_run && is_doubt && !self.doubted.contains(&state.node) {
                    self.doubted.push(state.node);
                }
            }
            None if state.status == Status::Dead => (),
            None => {
                self.peers.insert(state.node.clone(), Peer { state, since: now, spread: 0 });
            }
        }
    }

    /// Answers a suspicion of this node itself with a newer report.
    fn refute(&mut self, state: &NodeState) {
        let is_current = state.incarnation == self.me.incarnation;
        if is_current && Status::Suspect <= state.status && self.me.version <= state.version {
            self.me.version = state.version + 1;
        }
    }

    /// Returns a message with as many reports as fit: news of statuses first, then the least spread.
    fn outgoing(&mut self, to: SocketAddr, kind: MessageKind, number: u64) -> OutgoingMessage {
        let mut states = vec![self.me.clone()];
        let mut room = wire::STATE_ROOM.saturating_sub(wire::state_bytes(&self.me));
        let seed = self.next_random();
        let rank = |(index, (name, it)): (u64, (&NodeName, &Peer))| {
            let is_news = it.state.status != Status::Alive && it.spread < SPREAD;
            // Equal ranks must not favour the first names.
            let draw = (seed ^ index).wrapping_mul(DRAW_FACTOR);
            (!is_news, it.spread, draw, name.clone())
        };
        let mut order: Vec<_> = (0..).zip(&self.peers).map(rank).collect();
        order.sort();
        for (.., name) in order {
            let Some(peer) = self.peers.get_mut(&name) else {
                continue;
            };
            let bytes = wire::state_bytes(&peer.state);
            if room < bytes {
                break;
            }
            room -= bytes;
            peer.spread = peer.spread.saturating_add(1);
            states.push(peer.state.clone());
        }
        OutgoingMessage { to, message: Message { kind, number, states } }
    }
}
