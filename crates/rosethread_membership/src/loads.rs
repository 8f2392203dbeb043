//! Loads and limits of targets in reports of bounded size.
//!
//! A node may have requests at any number of targets, but a report must leave room for those about
//! other nodes. So a report holds the loads and limits of some targets only if they don't all fit,
//! other ones in each version, and its receiver keeps what earlier versions told. See
//! `docs/design/membership.md`.

use std::{collections::BTreeMap, time::Duration};

use rosethread_types::TargetName;

use crate::{NodeSummary, TargetLimit, TargetLoad, wire};

/// How long a load or a limit counts that partial reports have not repeated.
pub(crate) const LOAD_LIFETIME: Duration = Duration::from_secs(10);

/// Takes entries from `all`, starting at `first` and continuing at the beginning, while they fit.
fn take_window<T>(all: &[T], first: usize, room: &mut usize) -> Vec<T>
where
    T: Clone + serde::Serialize,
{
    let (before, after) = all.split_at(first);
    let mut window = Vec::new();
    for it in after.iter().chain(before) {
        let Some(left) = room.checked_sub(wire::encoded_bytes(it)) else {
            break;
        };
        *room = left;
        window.push(it.clone());
    }
    window
}

/// Cuts the summary that a node reports about itself down to the size of a report.
#[derive(Clone, Debug, Default)]
pub(crate) struct SummaryCutter {
    /// When each target last had requests; those without are reported for [`LOAD_LIFETIME`].
    last_busy: BTreeMap<TargetName, Duration>,
}

impl SummaryCutter {
    /// Returns `summary`, with a part of its loads and limits if all of them take more than `room`
    /// bytes. `random` decides which part.
    pub(crate) fn cut(
        &mut self,
        summary: &NodeSummary,
        room: usize,
        random: u64,
        now: Duration,
    ) -> NodeSummary {
        for load in &summary.targets {
            self.last_busy.insert(load.target.clone(), now);
        }
        self.last_busy.retain(|_, last_busy| now < *last_busy + LOAD_LIFETIME);
        let bytes = summary.targets.iter().map(wire::encoded_bytes).sum::<usize>()
            + summary.limits.iter().map(wire::encoded_bytes).sum::<usize>();
        if bytes <= room {
            return summary.clone();
        }
        let busy: BTreeMap<_, _> = summary.targets.iter().map(|it| (&it.target, it)).collect();
        let idle = |it: &TargetName| TargetLoad { target: it.clone(), running: 0, waiting: 0 };
        let load = |it: &TargetName| busy.get(it).map_or_else(|| idle(it), |it| (*it).clone());
        let loads: Vec<TargetLoad> = self.last_busy.keys().map(load).collect();
        // A random start, since receivers see some versions only, possibly at regular intervals.
        let start = |count: usize| random as usize % count.max(1);
        let mut limits_room = room / 2;
        let limits = take_window(&summary.limits, start(summary.limits.len()), &mut limits_room);
        let mut loads_room = room / 2 + limits_room;
        let targets = take_window(&loads, start(loads.len()), &mut loads_room);
        NodeSummary { targets, limits, is_partial: true, ..summary.clone() }
    }
}

/// What the partial reports of another node have told together, with the times of their arrival.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportedLoads {
    loads: BTreeMap<TargetName, (Duration, TargetLoad)>,
    limits: BTreeMap<TargetName, (Duration, TargetLimit)>,
}

impl ReportedLoads {
    /// Adds what a report tells; it replaces what earlier ones told of the same targets.
    pub(crate) fn add(&mut self, summary: &NodeSummary, now: Duration) {
        let loads = summary.targets.iter().map(|it| (it.target.clone(), (now, it.clone())));
        self.loads.extend(loads);
        let limits = summary.limits.iter().map(|it| (it.target.clone(), (now, it.clone())));
        self.limits.extend(limits);
    }

    /// Removes what no report has repeated for [`LOAD_LIFETIME`].
    pub(crate) fn expire(&mut self, now: Duration) {
        self.loads.retain(|_, (told, _)| now < *told + LOAD_LIFETIME);
        self.limits.retain(|_, (told, _)| now < *told + LOAD_LIFETIME);
    }

    /// Returns `summary` with all loads and limits that have been told.
    pub(crate) fn complete(&self, summary: &NodeSummary) -> NodeSummary {
        NodeSummary {
            targets: self.loads.values().map(|(_, it)| it.clone()).collect(),
            limits: self.limits.values().map(|(_, it)| it.clone()).collect(),
            ..summary.clone()
        }
    }
}
