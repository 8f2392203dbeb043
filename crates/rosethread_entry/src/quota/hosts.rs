//! The hosts that share limits, and the owner of each limit among them.

use std::{collections::BTreeMap, time::Duration};

use rosethread_membership::{ClusterView, Status, rank_nodes};
use rosethread_policy::QuotaRule;
use rosethread_types::{NodeName, OrganisationName};

use crate::entry::Entry;

/// How long a read of the hosts is used.
const READ_TTL: Duration = Duration::from_millis(100);

/// How long a host that is not seen any more counts as one that may still send. Membership forgets it
/// earlier, and a network may be split for longer.
const KNOWN_TIME: Duration = Duration::from_secs(600);

/// What one host knows of those that share limits.
#[derive(Default)]
pub(super) struct QuotaHosts {
    read: Option<Duration>,
    /// When each host was last seen that has not left.
    seen: BTreeMap<NodeName, Duration>,
    live: usize,
    known: usize,
    /// The hosts that may own limits.
    eligible: Vec<NodeName>,
    /// The owners of the limits that were looked up since `eligible` changed. Ranking hundreds of hosts for
    /// each call takes too long.
    owners: BTreeMap<OrganisationName, NodeName>,
}

impl QuotaHosts {
    /// Reads the hosts anew if the last read is too old.
    pub(super) fn refresh(&mut self, entry: &Entry, now: Duration) {
        if self.read.is_some_and(|it| now < it + READ_TTL) {
            return;
        }
        self.read = Some(now);
        self.update(&entry.view(), &entry.settings.node, entry.settings.seeds.len(), now);
    }

    fn update(&mut self, view: &ClusterView, own: &NodeName, seeds: usize, now: Duration) {
        for state in view.nodes.values() {
            match state.status {
                Status::Alive | Status::Suspect => {
                    self.seen.insert(state.node.clone(), now);
                }
                Status::Leaving => {
                    self.seen.remove(&state.node);
                }
                Status::Dead => (),
            }
        }
        self.seen.insert(own.clone(), now);
        self.seen.retain(|_, it| now < *it + KNOWN_TIME);
        self.live = view.live().count().max(1);
        self.known = self.seen.len().max(seeds).max(self.live);
        let max_power = view.live().map(|it| it.summary.power).max().unwrap_or(0);
        let is_strong = |power: u16| max_power <= power.saturating_mul(2);
        let eligible = view.live().filter(|it| is_strong(it.summary.power));
        let eligible: Vec<NodeName> = eligible.map(|it| it.node.clone()).collect();
        if eligible != self.eligible {
            self.eligible = eligible;
            self.owners.clear();
        }
    }

    /// Returns the host that owns an organisation's limit.
    pub(super) fn owner(&mut self, organisation: &OrganisationName) -> Option<NodeName> {
        if let Some(owner) = self.owners.get(organisation) {
            return Some(owner.clone());
        }
        let key = format!("quota-{organisation}");
        let owner = rank_nodes(&key, self.eligible.iter()).into_iter().next()?;
        self.owners.insert(organisation.clone(), owner.clone());
        Some(owner)
    }

    /// Returns the number of hosts that may be sending.
    pub(super) fn known(&self) -> usize {
        self.known
    }

    /// Returns the part of each limit that an owner here may grant.
    pub(super) fn part(&self, rule: &QuotaRule) -> f64 {
        rule.part(self.live, self.known)
    }
}
