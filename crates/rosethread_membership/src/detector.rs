//! A failure detector with indirect probes, suspicion, and dissemination by gossip.
//!
//! Each period a node pings one other node, so its cost does not depend on the number of nodes. If
//! the acknowledgement is missing, several other nodes are asked to ping the node before it is
//! suspected, and a suspect has time to refute. This is the SWIM protocol (Das, Gupta and Motivala,
//! 2002).
//!
//! Reports also carry loads, which change all the time, so two nodes rarely hold the same version
//! of the report about a third. Two rules keep this from delaying the detection of a failure:
//! reports of changed statuses are sent before load updates, and a node that receives a report of a
//! suspect or dead node which is older than its own report of that node as alive probes it next.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use rosethread_types::{Incarnation, NodeName, ZoneName};

use crate::{
    AgedNotice, ClusterView, Contact, Message, MessageKind, NodeState, NodeSummary, Notice, Status,
    loads::{ReportedLoads, SummaryCutter},
    notices::NoticeBoard,
    wire,
};

/// The most nodes that are asked to probe a node which has not acknowledged a ping.
///
/// At 5% packet loss a relayed probe fails with a probability of 1 - 0.95^4 = 0.19. Five of them,
/// after two direct pings, keep false suspicions below one per node and day; see
/// `docs/design/membership.md`.
const MAX_RELAYS: usize = 5;

/// The number of nodes that hear of a new notice at once. The others hear of it by gossip.
const ANNOUNCE_FANOUT: usize = 8;

/// How many times a status change is sent with priority; after that it only fills spare room.
const MAX_TRANSMISSIONS: u32 = 8;

/// How long a dead node is remembered, in periods, so that the report of its death spreads.
const DEAD_RETENTION_PERIODS: u32 = 150;

/// The most nodes that are remembered after that; beyond them the oldest runs are forgotten.
const MAX_DEPARTED: usize = 256;

/// How long a node that has answered in another way than to a ping is not suspected, in periods.
const CONFIRMATION_PERIODS: u32 = 2;

/// The multiplier of Fibonacci hashing: an odd number near 2^64 divided by the golden ratio, which
/// spreads consecutive numbers over all bits.
const TIE_BREAK_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// The timing of a failure detector.
#[derive(Clone, Copy, Debug)]
pub struct DetectorConfig {
    /// The time between two probes.
    pub period: Duration,
    /// The time after which a suspect that has not refuted is declared dead.
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

/// A message to send, with its destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// The UDP address of the receiver's failure detector.
    pub to: SocketAddr,
    /// The message.
    pub message: Message,
}

struct Peer {
    /// The last report, as it is passed on.
    state: NodeState,
    /// What partial reports have told; absent after a report that is complete.
    reported: Option<ReportedLoads>,
    /// When the status last changed.
    status_since: Duration,
    /// How many times the current report has been sent.
    transmissions: u32,
    /// When the node last answered in another way than to a ping.
    confirmed: Option<Duration>,
}

struct PendingProbe {
    subject: NodeName,
    number: u64,
    sent: Duration,
}

impl Peer {
    fn new(state: NodeState, now: Duration, transmissions: u32) -> Peer {
        let mut peer =
            Peer { state, reported: None, status_since: now, transmissions, confirmed: None };
        peer.add_reported(None, now);
        peer
    }

    /// Returns whether the node has answered a short time ago, whatever others report.
    fn is_confirmed(&self, now: Duration, period: Duration) -> bool {
        self.confirmed.is_some_and(|it| now < it + period * CONFIRMATION_PERIODS)
    }

    /// Replaces the report by a newer one.
    fn update(&mut self, state: NodeState, now: Duration) {
        if self.state.status != state.status {
            self.status_since = now;
        }
        let is_same_run = self.state.incarnation == state.incarnation;
        let before = std::mem::replace(&mut self.state, state);
        self.transmissions = 0;
        self.add_reported(Some(before).filter(|_| is_same_run), now);
    }

    /// Adds the loads in the report to those of earlier ones of the same run, of which `before` is the
    /// last, unless the report is complete.
    fn add_reported(&mut self, before: Option<NodeState>, now: Duration) {
        if !self.state.summary.is_partial {
            self.reported = None;
            return;
        }
        let mut reported = self.reported.take().filter(|_| before.is_some()).unwrap_or_default();
        if let Some(before) = before.filter(|it| !it.summary.is_partial) {
            reported.add(&before.summary, now);
        }
        reported.add(&self.state.summary, now);
        reported.expire(now);
        self.reported = Some(reported);
    }

    /// Returns the state with all loads and limits that the node has told.
    fn known_state(&self) -> NodeState {
        let mut state = self.state.clone();
        if let Some(reported) = &self.reported {
            state.summary = reported.complete(&state.summary);
        }
        state
    }

    /// Returns the report to pass on. That of a node which takes no new work lacks the loads, as nobody
    /// uses them, so that news of statuses is short.
    fn report(&self) -> NodeState {
        if self.state.status == Status::Alive {
            return self.state.clone();
        }
        NodeState { summary: self.state.summary.without_loads(), ..self.state.clone() }
    }
}

/// A ping sent on behalf of another node, which awaits its acknowledgement.
struct RelayedProbe {
    origin: SocketAddr,
    origin_number: u64,
    sent: Duration,
}

/// The failure detector of one node.
///
/// Times are durations since the start of the detector.
pub struct Detector {
    config: DetectorConfig,
    own_state: NodeState,
    /// What this node reports about itself, which may be a part of `own_state`.
    own_summary: NodeSummary,
    cutter: SummaryCutter,
    /// The time of the last tick.
    last_tick: Duration,
    peers: BTreeMap<NodeName, Peer>,
    /// The last reports of nodes that were dead for so long that they are no longer probed.
    departed: Arc<BTreeMap<NodeName, NodeState>>,
    /// The nodes still to be probed in this round, in random order; taken from the end.
    probe_round: Vec<NodeName>,
    /// Nodes that others report as suspect or dead while this node has a newer report of them as
    /// alive; they are probed first.
    contested: Vec<NodeName>,
    pending_probe: Option<PendingProbe>,
    relayed: BTreeMap<u64, RelayedProbe>,
    last_number: u64,
    rng_state: u64,
    suspicions: u64,
    notices: NoticeBoard,
}

impl Detector {
    /// Creates the detector of `node`; `seed` determines the random choices of probes and relays.
    pub fn new(
        node: NodeName,
        incarnation: Incarnation,
        contact: Contact,
        config: DetectorConfig,
        seed: u64,
    ) -> Detector {
        let summary = NodeSummary::default();
        let own_state =
            NodeState { node, incarnation, version: 1, status: Status::Alive, contact, summary };
        Detector {
            config,
            own_state,
            own_summary: NodeSummary::default(),
            cutter: SummaryCutter::default(),
            last_tick: Duration::ZERO,
            peers: BTreeMap::new(),
            departed: Arc::default(),
            probe_round: Vec::new(),
            contested: Vec::new(),
            pending_probe: None,
            relayed: BTreeMap::new(),
            last_number: 0,
            rng_state: seed | 1,
            suspicions: 0,
            notices: NoticeBoard::default(),
        }
    }

    /// Replaces the data that this node reports about itself.
    ///
    /// If it doesn't fit into a report, each call makes another version, with another part of it.
    pub fn set_summary(&mut self, summary: NodeSummary) {
        if self.own_state.summary != summary || self.own_summary.is_partial {
            self.own_state.summary = summary;
            self.own_state.version += 1;
            let room = wire::load_room(&self.own_state);
            let random = self.next_random();
            let summary = &self.own_state.summary;
            self.own_summary = self.cutter.cut(summary, room, random, self.last_tick);
        }
    }

    /// Tells all nodes of facts that this node has learned just now, a few of them at once.
    pub fn announce(&mut self, now: Duration, notices: &[Notice]) -> Vec<OutgoingMessage> {
        let mut is_news = false;
        for notice in notices {
            is_news |= self.notices.add(now, AgedNotice { notice: *notice, age: Duration::ZERO });
        }
        if !is_news {
            return Vec::new();
        }
        let to = self.pick_alive(ANNOUNCE_FANOUT, None);
        to.into_iter().map(|it| self.ping_address(now, it)).collect()
    }

    /// Announces that this node takes no new work.
    pub fn leave(&mut self) {
        self.own_state.status = Status::Leaving;
        self.own_state.version += 1;
    }

    /// Adds a node from the platform's host list, unless it is already known.
    pub fn add_node(&mut self, now: Duration, node: NodeName, contact: Contact) {
        if node == self.own_state.node || self.peers.contains_key(&node) {
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
        self.peers.insert(node, Peer::new(state, now, MAX_TRANSMISSIONS));
    }

    /// Returns a ping to a host of which only the address is known.
    ///
    /// The acknowledgement carries the host's report, which adds it to the known nodes. A host that
    /// is gone doesn't answer and is never added.
    pub fn ping_address(&mut self, now: Duration, to: SocketAddr) -> OutgoingMessage {
        self.last_number += 1;
        self.build_message(now, to, MessageKind::Ping, self.last_number)
    }

    /// Marks `node` as leaving, as the platform's host list says, so that it gets no new work.
    pub fn mark_leaving(&mut self, now: Duration, node: &NodeName) {
        if let Some(peer) = self.peers.get_mut(node)
            && peer.state.status == Status::Alive
        {
            peer.state.status = Status::Leaving;
            peer.status_since = now;
        }
    }

    /// Returns the number of suspicions that this node raised after its own probes.
    pub fn suspicions(&self) -> u64 {
        self.suspicions
    }

    /// Returns a snapshot of all known nodes, including this one.
    pub fn view(&self) -> ClusterView {
        let mut nodes: BTreeMap<NodeName, NodeState> =
            self.peers.iter().map(|(name, it)| (name.clone(), it.known_state())).collect();
        nodes.insert(self.own_state.node.clone(), self.own_state.clone());
        let (notices, departed) = (self.notices.list(), self.departed.clone());
        ClusterView { nodes, notices, departed }
    }

    /// Returns whether all nodes of another zone, at least two, are suspect or dead.
    ///
    /// That is taken for a network partition, which is no reason to take programs over.
    pub fn is_zone_unreachable(&self, zone: &ZoneName) -> bool {
        let mut peers = self.peers.values().filter(|it| it.state.contact.zone == *zone);
        let count = peers.clone().count();
        2 <= count
            && *zone != self.own_state.contact.zone
            && peers.all(|it| Status::Suspect <= it.state.status)
    }

    /// Returns the nodes that have yet to answer a ping, or are held for suspect or dead, with the
    /// addresses for requests between nodes.
    ///
    /// A node whose address another one uses by now is left out: that one would answer in its place.
    pub fn doubted(&self) -> Vec<(NodeName, SocketAddr)> {
        let peers = || self.peers.values().map(|it| &it.state);
        let working = || peers().filter(|it| it.status < Status::Suspect);
        let in_use: BTreeSet<SocketAddr> = working().map(|it| it.contact.peer).collect();
        let failed = peers().filter(|it| Status::Suspect <= it.status);
        let failed = failed.chain(self.departed.values());
        let failed = failed.filter(|it| !in_use.contains(&it.contact.peer));
        let pending = self.pending_probe.as_ref().map(|it| &it.subject);
        let doubted = working().filter(|it| pending == Some(&it.node)).chain(failed);
        doubted.map(|it| (it.node.clone(), it.contact.peer)).collect()
    }

    /// Records that `node` has answered a request over another connection than that of the datagrams.
    ///
    /// It ends a suspicion, so that lost heartbeats alone don't make nodes take each other for dead. Others
    /// may still report the death, which is ignored for a short time.
    pub fn confirm(&mut self, now: Duration, node: &NodeName) {
        if let Some(state) = self.take_departed(node) {
            self.peers.entry(node.clone()).or_insert_with(|| Peer::new(state, now, 0));
        }
        self.pending_probe.take_if(|it| it.subject == *node);
        let Some(peer) = self.peers.get_mut(node) else {
            return;
        };
        peer.confirmed = Some(now);
        if Status::Suspect <= peer.state.status {
            peer.state.status = Status::Alive;
            peer.status_since = now;
        }
    }

    /// Removes `node` from those that were dead for long. The map is copied only if it holds the node.
    fn take_departed(&mut self, node: &NodeName) -> Option<NodeState> {
        let is_departed = self.departed.contains_key(node);
        is_departed.then(|| Arc::make_mut(&mut self.departed).remove(node))?
    }

    /// Remembers the last reports of nodes that are no longer probed.
    fn add_departed(&mut self, states: Vec<NodeState>) {
        if states.is_empty() {
            return;
        }
        let departed = Arc::make_mut(&mut self.departed);
        departed.extend(states.into_iter().map(|it| (it.node.clone(), it)));
        while MAX_DEPARTED < departed.len()
            && let Some(oldest) = departed.values().min_by_key(|it| it.incarnation)
        {
            let oldest = oldest.node.clone();
            departed.remove(&oldest);
        }
    }

    /// Evaluates the pending probe and starts the next one.
    ///
    /// Call it once a period.
    pub fn tick(&mut self, now: Duration) -> Vec<OutgoingMessage> {
        self.last_tick = now;
        self.check_pending_probe(now);
        self.expire_suspects(now);
        self.prune(now);
        self.notices.expire(now);
        let Some(subject) = self.next_probe_subject() else {
            return Vec::new();
        };
        self.last_number += 1;
        let number = self.last_number;
        self.pending_probe = Some(PendingProbe { subject: subject.clone(), number, sent: now });
        let to = self.peers[&subject].state.contact.heartbeat;
        vec![self.build_message(now, to, MessageKind::Ping, number)]
    }

    /// Repeats the ping of a node that has not acknowledged, and asks other nodes to probe it.
    ///
    /// Call it half a period after each [`tick`](Detector::tick).
    pub fn retry_probe(&mut self, now: Duration) -> Vec<OutgoingMessage> {
        let Some(pending_probe) = &self.pending_probe else {
            return Vec::new();
        };
        let (subject, number) = (pending_probe.subject.clone(), pending_probe.number);
        let Some(to) = self.peers.get(&subject).map(|it| it.state.contact.heartbeat) else {
            return Vec::new();
        };
        let mut outgoing = vec![self.build_message(now, to, MessageKind::Ping, number)];
        let kind = MessageKind::Probe { subject: subject.clone() };
        for relay in self.pick_alive(MAX_RELAYS, Some(&subject)) {
            outgoing.push(self.build_message(now, relay, kind.clone(), number));
        }
        outgoing
    }

    /// Processes a received message, and returns the messages to send in response.
    pub fn receive(&mut self, now: Duration, message: Message) -> Vec<OutgoingMessage> {
        let Some(sender) = message.states.first() else {
            return Vec::new();
        };
        let sender_name = sender.node.clone();
        let from = sender.contact.heartbeat;
        for state in message.states {
            self.merge_report(now, state);
        }
        for notice in message.notices {
            self.notices.add(now, notice);
        }
        match message.kind {
            MessageKind::Ping => {
                let kind = MessageKind::Ack { subject: self.own_state.node.clone() };
                vec![self.build_message(now, from, kind, message.number)]
            }
            MessageKind::Ack { subject } => {
                self.handle_ack(now, &sender_name, &subject, message.number)
            }
            MessageKind::Probe { subject } => self.relay_probe(now, from, &subject, message.number),
        }
    }

    fn handle_ack(
        &mut self,
        now: Duration,
        sender: &NodeName,
        subject: &NodeName,
        number: u64,
    ) -> Vec<OutgoingMessage> {
        let is_expected = self
            .pending_probe
            .as_ref()
            .is_some_and(|it| it.number == number && it.subject == *subject);
        if is_expected {
            self.pending_probe = None;
            self.clear_suspicion(now, subject);
            return Vec::new();
        }
        if sender != subject {
            return Vec::new();
        }
        match self.relayed.remove(&number) {
            Some(relay) => {
                let kind = MessageKind::Ack { subject: subject.clone() };
                vec![self.build_message(now, relay.origin, kind, relay.origin_number)]
            }
            None => Vec::new(),
        }
    }

    /// Ends the suspicion of `subject`, which has acknowledged a probe.
    fn clear_suspicion(&mut self, now: Duration, subject: &NodeName) {
        if let Some(peer) = self.peers.get_mut(subject)
            && peer.state.status == Status::Suspect
        {
            peer.state.status = Status::Alive;
            peer.status_since = now;
        }
    }

    fn relay_probe(
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
        self.last_number += 1;
        let number = self.last_number;
        self.relayed.insert(number, RelayedProbe { origin, origin_number, sent: now });
        vec![self.build_message(now, to, MessageKind::Ping, number)]
    }

    /// Suspects the probed node if it has not acknowledged within the period.
    fn check_pending_probe(&mut self, now: Duration) {
        let Some(pending_probe) = self.pending_probe.take() else {
            return;
        };
        if now < pending_probe.sent + self.config.period {
            self.pending_probe = Some(pending_probe);
            return;
        }
        if let Some(peer) = self.peers.get_mut(&pending_probe.subject)
            && peer.state.status < Status::Suspect
        {
            peer.state.status = Status::Suspect;
            peer.status_since = now;
            peer.transmissions = 0;
            self.suspicions += 1;
        }
    }

    fn expire_suspects(&mut self, now: Duration) {
        for peer in self.peers.values_mut() {
            let is_due = peer.status_since + self.config.suspicion_timeout <= now;
            if peer.state.status == Status::Suspect && is_due {
                peer.state.status = Status::Dead;
                peer.status_since = now;
                peer.transmissions = 0;
            }
        }
    }

    fn prune(&mut self, now: Duration) {
        let ttl = self.config.period * DEAD_RETENTION_PERIODS;
        let is_old = |it: &Peer| it.state.status == Status::Dead && it.status_since + ttl <= now;
        let old: Vec<NodeState> =
            self.peers.values().filter(|it| is_old(it)).map(|it| it.state.clone()).collect();
        self.peers.retain(|_, it| !is_old(it));
        self.add_departed(old);
        self.peers.values_mut().filter_map(|it| it.reported.as_mut()).for_each(|it| it.expire(now));
        let relay_timeout = self.config.period;
        self.relayed.retain(|_, it| now < it.sent + relay_timeout);
    }

    /// Returns the next node to probe. Dead nodes are probed too, so that the end of a network
    /// partition is noticed.
    fn next_probe_subject(&mut self) -> Option<NodeName> {
        while let Some(subject) = self.contested.pop() {
            if self.peers.get(&subject).is_some_and(|it| it.state.status < Status::Suspect) {
                return Some(subject);
            }
        }
        loop {
            if self.probe_round.is_empty() {
                if self.peers.is_empty() {
                    return None;
                }
                self.probe_round = self.peers.keys().cloned().collect();
                self.shuffle_probe_round();
            }
            let subject = self.probe_round.pop()?;
            if self.peers.contains_key(&subject) {
                return Some(subject);
            }
        }
    }

    fn shuffle_probe_round(&mut self) {
        for index in (1..self.probe_round.len()).rev() {
            let other = self.next_random() as usize % (index + 1);
            self.probe_round.swap(index, other);
        }
    }

    /// Returns the addresses of up to `max` random nodes that are alive, other than `subject`.
    fn pick_alive(&mut self, max: usize, subject: Option<&NodeName>) -> Vec<SocketAddr> {
        let mut candidates: Vec<SocketAddr> = self
            .peers
            .values()
            .filter(|it| it.state.status == Status::Alive && Some(&it.state.node) != subject)
            .map(|it| it.state.contact.heartbeat)
            .collect();
        let count = max.min(candidates.len());
        for index in 0..count {
            let other = index + self.next_random() as usize % (candidates.len() - index);
            candidates.swap(index, other);
        }
        candidates.truncate(count);
        candidates
    }

    /// Returns the next xorshift number. The order of probes needs no better generator.
    fn next_random(&mut self) -> u64 {
        self.rng_state ^= self.rng_state << 13;
        self.rng_state ^= self.rng_state >> 7;
        self.rng_state ^= self.rng_state << 17;
        self.rng_state
    }

    fn merge_report(&mut self, now: Duration, state: NodeState) {
        if state.node == self.own_state.node {
            self.refute(&state);
            return;
        }
        match self.peers.get_mut(&state.node) {
            Some(peer) if state.supersedes(&peer.state) => {
                let is_same_run = state.incarnation == peer.state.incarnation;
                let is_refuted = is_same_run && peer.is_confirmed(now, self.config.period);
                if !(is_refuted && Status::Suspect <= state.status) {
                    peer.update(state, now);
                }
            }
            Some(peer) => {
                let is_same_run = state.incarnation == peer.state.incarnation;
                let is_contested =
                    Status::Suspect <= state.status && peer.state.status < Status::Suspect;
                if is_same_run && is_contested && !self.contested.contains(&state.node) {
                    self.contested.push(state.node);
                }
            }
            None if state.status == Status::Dead => (),
            None => {
                self.take_departed(&state.node);
                self.peers.insert(state.node.clone(), Peer::new(state, now, 0));
            }
        }
    }

    /// Refutes a suspicion of this node by raising its version above that of the report.
    fn refute(&mut self, state: &NodeState) {
        let is_current = state.incarnation == self.own_state.incarnation;
        if is_current && Status::Suspect <= state.status && self.own_state.version <= state.version
        {
            self.own_state.version = state.version + 1;
        }
    }

    /// Builds a message with as many reports as fit: recent status changes first, then the reports
    /// that were sent least often. Notices go before other nodes' reports, of which one always fits, if
    /// need be without its loads.
    fn build_message(
        &mut self,
        now: Duration,
        to: SocketAddr,
        kind: MessageKind,
        number: u64,
    ) -> OutgoingMessage {
        let own = NodeState { summary: self.own_summary.clone(), ..self.own_state.clone() };
        let mut room = wire::MAX_STATES_BYTES.saturating_sub(wire::encoded_bytes(&own));
        let mut states = vec![own];
        let notices = self.notices.pick(now, room.saturating_sub(wire::MAX_STATUS_BYTES));
        room -= wire::notices_bytes(&notices);
        let seed = self.next_random();
        let rank = |(index, (name, it)): (u64, (&NodeName, &Peer))| {
            let is_status_news =
                it.state.status != Status::Alive && it.transmissions < MAX_TRANSMISSIONS;
            // Break ties at random, so that equal ranks don't favour the first names.
            let tie_break = (seed ^ index).wrapping_mul(TIE_BREAK_FACTOR);
            (!is_status_news, it.transmissions, tie_break, name.clone())
        };
        let mut order: Vec<_> = (0..).zip(&self.peers).map(rank).collect();
        order.sort();
        for (.., name) in order {
            let Some(peer) = self.peers.get_mut(&name) else {
                continue;
            };
            let mut report = peer.report();
            if states.len() == 1 && room < wire::encoded_bytes(&report) {
                report.summary = report.summary.without_loads();
            }
            let Some(left) = room.checked_sub(wire::encoded_bytes(&report)) else {
                break;
            };
            room = left;
            peer.transmissions = peer.transmissions.saturating_add(1);
            states.push(report);
        }
        OutgoingMessage { to, message: Message { kind, number, states, notices } }
    }
}
