//! How many programs each organisation begins at each priority, as one host sees it.
//!
//! Counts decay with time: fast ones tell what is sent now, and follow a burst of a few seconds; slow
//! ones tell what is usual. Hosts don't exchange them. Callers spread over all hosts, so that each host
//! sees a sample of the demand, and only ratios are used.

use std::{collections::BTreeMap, time::Duration};

use rosethread_types::OrganisationName;

/// The half-life of the counts that tell what is sent now.
const RECENT_HALF_LIFE: Duration = Duration::from_millis(2_500);

/// The half-life of the counts that tell what is usual.
const USUAL_HALF_LIFE: Duration = Duration::from_secs(30);

/// The number of counts above which those that have decayed are dropped.
const MAX_COUNTS: usize = 4_096;

/// The slow count below which a count has decayed.
const DECAYED: f64 = 0.05;

/// The programs that began, decayed to one point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Arrivals {
    /// The programs that began within the last seconds.
    pub recent: f64,
    /// The programs that would have begun within the same time at the usual rate.
    pub usual: f64,
}

/// Decaying counts as of the time of the last arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Count {
    recent: f64,
    slow: f64,
    updated: Duration,
}

impl Count {
    fn decayed(self, now: Duration) -> Count {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        let factor = |half_life: Duration| (-age / half_life.as_secs_f64()).exp2();
        Count {
            recent: self.recent * factor(RECENT_HALF_LIFE),
            slow: self.slow * factor(USUAL_HALF_LIFE),
            updated: now,
        }
    }

    fn arrivals(self, now: Duration) -> Arrivals {
        let Count { recent, slow, .. } = self.decayed(now);
        let usual = slow * RECENT_HALF_LIFE.as_secs_f64() / USUAL_HALF_LIFE.as_secs_f64();
        Arrivals { recent, usual }
    }
}

/// The programs that callers begin at one service, admitted or not.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    counts: BTreeMap<(Option<OrganisationName>, u8), Count>,
}

impl Demand {
    /// Counts a program that begins at `now`, the time since the host's start.
    pub fn observe(
        &mut self,
        organisation: Option<&OrganisationName>,
        priority: u8,
        now: Duration,
    ) {
        let count = self.counts.entry((organisation.cloned(), priority)).or_default();
        *count = count.decayed(now);
        count.recent += 1.0;
        count.slow += 1.0;
        if MAX_COUNTS < self.counts.len() {
            self.counts.retain(|_, it| DECAYED < it.decayed(now).slow);
        }
    }

    /// Returns the arrivals of each organisation; `None` stands for the calls of none.
    pub(crate) fn by_organisation(
        &self,
        now: Duration,
    ) -> BTreeMap<Option<&OrganisationName>, Arrivals> {
        let mut sums: BTreeMap<Option<&OrganisationName>, Arrivals> = BTreeMap::new();
        for ((organisation, _), count) in &self.counts {
            let arrivals = count.arrivals(now);
            let sum = sums.entry(organisation.as_ref()).or_default();
            sum.recent += arrivals.recent;
            sum.usual += arrivals.usual;
        }
        sums
    }

    /// Returns the rank of a priority among those that callers begin programs at: 0 for the most urgent
    /// one, and 1 for the least urgent one unless it is the only one.
    pub fn rank(&self, priority: u8, now: Duration) -> f64 {
        let in_use = self.by_priority(now, |_| 1.0);
        let more_urgent = in_use.range(..priority).count();
        more_urgent as f64 / in_use.len().saturating_sub(1).max(1) as f64
    }

    /// Returns the recent arrivals as a multiple of the usual ones.
    pub(crate) fn growth(&self, now: Duration) -> f64 {
        let all = self.by_organisation(now);
        let (recent, usual) =
            all.values().fold((0.0, 0.0), |sum, it| (sum.0 + it.recent, sum.1 + it.usual));
        if 0.0 < usual { recent / usual } else { 1.0 }
    }

    /// Returns the recent arrivals at each priority, with those of each organisation multiplied by
    /// `weight`.
    pub(crate) fn by_priority<F>(&self, now: Duration, weight: F) -> BTreeMap<u8, f64>
    where
        F: Fn(Option<&OrganisationName>) -> f64,
    {
        let mut sums: BTreeMap<u8, f64> = BTreeMap::new();
        for ((organisation, priority), count) in &self.counts {
            let recent = count.arrivals(now).recent;
            *sums.entry(*priority).or_default() += recent * weight(organisation.as_ref());
        }
        sums
    }
}
