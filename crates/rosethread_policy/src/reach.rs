//! Which targets a host reaches by its own links, and which other hosts help it to reach the others.
//!
//! A host that gets no connection to a target cannot tell whether the target or only the path to it is
//! gone. It therefore asks other hosts, and goes by way of one that reaches the target. See
//! `docs/design/paths.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rosethread_types::{NodeName, TargetName};

/// The time from the loss of a path to the first trial whether it is back; it doubles with each trial.
const MIN_TRIAL_DELAY: Duration = Duration::from_millis(250);

/// The upper limit of the time between two trials of a path.
const MAX_TRIAL_DELAY: Duration = Duration::from_secs(2);

/// How long a path must have been back until its next loss counts as the first one.
const STABLE_TIME: Duration = Duration::from_secs(5);

/// How long a host that could not help is asked only after the others.
const NO_HELP_TIME: Duration = Duration::from_secs(2);

/// How long a host that has helped is asked before those of which nothing is known.
const HELP_TIME: Duration = Duration::from_secs(10);

/// The number of hosts that have helped from which on no others are asked first. With fewer, they
/// would carry too much.
const MIN_HELPERS: usize = 4;

/// The number of different targets that a host fails to reach, one after the other and with no success
/// in between, from which on it takes its own link for the cause.
const CUT_OFF_TARGETS: usize = 2;

/// How a connection to a target failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathLoss {
    /// The address refused the connection. Packets go to and fro, so open connections may live on.
    Refused,
    /// Nothing came back, so open connections may be silent too.
    Silent,
}

/// Whether to connect to a target directly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectPath {
    /// Connect directly, and by way of another host only if that fails or takes long.
    Up,
    /// Connect both ways at once: the direct path may be lost, or back.
    Trial,
    /// Connect by way of another host only.
    Down,
}

/// A direct path that was lost; it is kept for a while after it is back.
#[derive(Clone, Copy, Debug)]
struct LostPath {
    next_trial: Duration,
    /// The time between two trials.
    delay: Duration,
    /// When the path was found to be back.
    restored: Option<Duration>,
}

/// What is known of another host's help.
#[derive(Clone, Copy, Debug)]
enum Help {
    Given(Duration),
    Denied(Duration),
}

/// The paths from one host to the targets. All times are durations since its start.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    lost: BTreeMap<TargetName, LostPath>,
    /// The targets that were not reached since one last was.
    failed: BTreeSet<TargetName>,
    /// When the last path was lost without a reply.
    doubt_since: Option<Duration>,
    helpers: BTreeMap<NodeName, Help>,
}

impl Reach {
    /// Returns how to connect to a target at `now`; `random` is a number from 0 to 1.
    ///
    /// Only one caller at a time is told to try a lost path.
    pub fn plan_direct(&mut self, target: &TargetName, now: Duration, random: f64) -> DirectPath {
        let is_cut_off = self.is_cut_off();
        match self.lost.get_mut(target).filter(|it| it.restored.is_none()) {
            Some(path) if now < path.next_trial => DirectPath::Down,
            Some(path) => {
                path.delay = (path.delay * 2).min(MAX_TRIAL_DELAY);
                path.next_trial = now + spread(path.delay, random);
                DirectPath::Trial
            }
            None if is_cut_off => DirectPath::Trial,
            None => DirectPath::Up,
        }
    }

    /// Records that a target took a direct connection; returns whether its path had been lost.
    pub fn record_reached(&mut self, target: &TargetName, now: Duration) -> bool {
        self.failed.clear();
        self.lost.retain(|_, it| it.restored.is_none_or(|at| now < at + STABLE_TIME));
        match self.lost.get_mut(target).filter(|it| it.restored.is_none()) {
            Some(path) => {
                path.restored = Some(now);
                true
            }
            None => false,
        }
    }

    /// Records that a direct connection failed, which does not tell whose fault it is.
    pub fn record_failed(&mut self, target: &TargetName) {
        self.failed.insert(target.clone());
    }

    /// Records that the direct path to a target is lost; returns whether that is new. `random` is a
    /// number from 0 to 1.
    pub fn record_lost(
        &mut self,
        target: &TargetName,
        loss: PathLoss,
        now: Duration,
        random: f64,
    ) -> bool {
        if loss == PathLoss::Silent {
            self.doubt_since = Some(now);
        }
        let delay = match self.lost.get(target) {
            Some(path) if path.restored.is_none() => return false,
            Some(path) if path.restored.is_some_and(|at| now < at + STABLE_TIME) => {
                (path.delay * 2).min(MAX_TRIAL_DELAY)
            }
            _ => MIN_TRIAL_DELAY,
        };
        let next_trial = now + spread(delay, random);
        self.lost.insert(target.clone(), LostPath { next_trial, delay, restored: None });
        true
    }

    /// Records that a target is not reached by others either, so that its direct path is not the cause.
    pub fn record_unreachable(&mut self, target: &TargetName) {
        self.lost.remove(target);
    }

    /// Forgets a target that is gone or has restarted.
    pub fn forget(&mut self, target: &TargetName) {
        self.lost.remove(target);
        self.failed.remove(target);
    }

    /// Forgets all targets but those for which `is_known` holds.
    pub fn retain<F>(&mut self, is_known: F)
    where
        F: Fn(&TargetName) -> bool,
    {
        self.lost.retain(|it, _| is_known(it));
        self.failed.retain(|it| is_known(it));
    }

    /// Returns whether the direct path to a target is lost.
    pub fn is_lost(&self, target: &TargetName) -> bool {
        self.lost.get(target).is_some_and(|it| it.restored.is_none())
    }

    /// Returns the number of targets whose direct path is lost.
    pub fn lost_count(&self) -> usize {
        self.lost.values().filter(|it| it.restored.is_none()).count()
    }

    /// Returns whether this host most likely reaches no target at all.
    pub fn is_cut_off(&self) -> bool {
        CUT_OFF_TARGETS <= self.failed.len()
    }

    /// Returns the time before which connections were last used that may have gone silent since.
    pub fn doubt_since(&self) -> Option<Duration> {
        self.doubt_since
    }

    /// Orders the hosts that may help: those that have, those of which nothing is known, and those that
    /// could not. `random` returns a new number each time, and spreads the load.
    pub fn order_helpers<I, R>(&self, hosts: I, now: Duration, mut random: R) -> Vec<NodeName>
    where
        I: IntoIterator<Item = NodeName>,
        R: FnMut() -> u64,
    {
        let mut given = Vec::new();
        let mut unknown = Vec::new();
        let mut denied = Vec::new();
        for host in hosts {
            let group = match self.helpers.get(&host) {
                Some(Help::Given(at)) if now < *at + HELP_TIME => &mut given,
                Some(Help::Denied(at)) if now < *at + NO_HELP_TIME => &mut denied,
                _ => &mut unknown,
            };
            group.push((random(), host));
        }
        let mut groups = [given, unknown, denied];
        if groups[0].len() < MIN_HELPERS {
            groups.swap(0, 1);
        }
        groups.iter_mut().for_each(|it| it.sort());
        groups.into_iter().flatten().map(|(_, host)| host).collect()
    }

    /// Records that a host opened a path, or could not.
    pub fn record_help(&mut self, host: &NodeName, has_helped: bool, now: Duration) {
        let help = if has_helped { Help::Given(now) } else { Help::Denied(now) };
        self.helpers.insert(host.clone(), help);
        self.helpers.retain(|_, it| match it {
            Help::Given(at) => now < *at + HELP_TIME,
            Help::Denied(at) => now < *at + NO_HELP_TIME,
        });
    }
}

/// Returns a time from three to five quarters of `delay`, so that hosts that lost a path at the same
/// moment don't try it at the same moment.
fn spread(delay: Duration, random: f64) -> Duration {
    delay.mul_f64(0.75 + random / 2.0)
}
