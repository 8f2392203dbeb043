//! Tells calls that crash targets from calls that were beside them.
//!
//! A crash ends everything that a target is running, so each of its calls is a suspect, nearly always
//! wrongly. Two facts tell most of them apart: a call that had been getting output for a while before
//! the crash had started without harm, and a call that runs to its end elsewhere does no harm
//! either. A suspect that neither clears, crash after crash, is taken for the cause.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// The crashes of different runs of targets after which an uncleared call counts as their cause. With
/// two, a call that a burst of crashes hits twice would be refused.
pub const MAX_CRASHES: usize = 3;

/// For how long a target may have been sending output of a call that its crash still makes a suspect.
/// Output may begin shortly before the start of a call crashes the target.
const START_TIME: Duration = Duration::from_millis(200);

/// Returns whether a call makes a suspect if its target crashes after `output_time` of output.
pub fn was_starting(output_time: Duration) -> bool {
    output_time < START_TIME
}

/// What the crashes of a call so far say about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// It was not starting at any target that crashed, or has run to its end since it first was.
    None,
    /// It was starting at this many targets as they crashed.
    Suspect(usize),
    /// It crashes targets, and must not be sent to one; so many have crashed under it.
    Deadly(usize),
}

/// The calls that were starting as targets crashed, by a digest that all attempts of a call share.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Suspects {
    /// The runs of targets that crashed, by call.
    crashes: BTreeMap<u64, BTreeSet<u32>>,
    /// The calls that ran to their end.
    completed: BTreeSet<u64>,
}

impl Suspects {
    /// Adds a crash of the target run `run` while `call` was starting there.
    ///
    /// A crash that several hosts saw, or that is reported again, counts once.
    pub fn add_crash(&mut self, call: u64, run: u32) {
        self.crashes.entry(call).or_default().insert(run);
    }

    /// Adds a call that ran to its end, which clears it.
    pub fn add_completed(&mut self, call: u64) {
        self.completed.insert(call);
    }

    /// Returns whether no call is suspected.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Returns what is known of a call.
    pub fn suspicion(&self, call: u64) -> Suspicion {
        match self.crashes.get(&call).map(BTreeSet::len) {
            _ if self.completed.contains(&call) => Suspicion::None,
            Some(crashes) if MAX_CRASHES <= crashes => Suspicion::Deadly(crashes),
            Some(crashes) => Suspicion::Suspect(crashes),
            None => Suspicion::None,
        }
    }

    /// Returns the calls that must not be sent to a target, each with its number of crashes.
    pub fn deadly(&self) -> BTreeMap<u64, usize> {
        let deadly = self.crashes.iter().filter_map(|(call, crashes)| {
            matches!(self.suspicion(*call), Suspicion::Deadly(_)).then_some((*call, crashes.len()))
        });
        deadly.collect()
    }
}
