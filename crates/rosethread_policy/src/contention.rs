//! Which new programs are refused where there is too little room for all.
//!
//! How many are refused follows from the load alone (`shed_share`). Which ones follows from two rules:
//! what an organisation sends far beyond its share goes first, then the least urgent programs. See
//! `docs/design/contention.md`.

use std::{collections::BTreeMap, time::Duration};

use rosethread_types::OrganisationName;

use crate::{
    Demand, FairShare, cut_excess,
    precedence::{MARGIN, MIN_PART},
    refuse_by_priority, shed_share,
};

/// Which rules hold; without any, all new programs are refused alike.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Contention {
    /// The less urgent programs are refused first.
    pub by_priority: bool,
    /// What organisations send far beyond their shares is refused first.
    pub by_organisation: bool,
}

/// Why a new program is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Its organisation sends far beyond its share.
    Organisation,
    /// More urgent programs go first.
    Priority,
    /// All new programs are refused alike.
    Load,
}

impl Cause {
    /// Returns the cause's name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Cause::Organisation => "organisation",
            Cause::Priority => "priority",
            Cause::Load => "load",
        }
    }
}

/// How likely a new program is to be refused, and why.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shedding {
    /// The part of all new programs that is refused because of the load.
    pub shed: f64,
    /// The part of the programs of this priority and organisation that is refused.
    pub own: f64,
    /// What its organisation sends, if it has any and the load calls for refusals.
    pub share: Option<FairShare>,
}

impl Shedding {
    /// Returns why to refuse the program, or `None` if it is admitted. `random` is a random number of
    /// at least 0 and below 1.
    pub fn decide(&self, random: f64) -> Option<Cause> {
        let beyond_share = self.share.map_or(0.0, |it| 1.0 - it.kept);
        if self.own <= random {
            None
        } else if random < beyond_share {
            Some(Cause::Organisation)
        } else if self.shed < self.own {
            Some(Cause::Priority)
        } else {
            Some(Cause::Load)
        }
    }
}

impl Contention {
    /// Returns how likely a new program is to be refused at a service with `running` calls and
    /// `slots`.
    ///
    /// `demand` includes the program itself.
    pub fn shed(
        self,
        (running, slots): (u32, u32),
        demand: &Demand,
        (organisation, priority): (Option<&OrganisationName>, u8),
        now: Duration,
    ) -> Shedding {
        let shed = shed_share(running, slots);
        let ahead = if self.by_organisation { demand.growth(now).max(1.0) } else { 1.0 };
        let predicted = shed_share((f64::from(running) * ahead) as u32, slots);
        if predicted <= 0.0 || self == Contention::default() {
            return Shedding { shed, own: shed, share: None };
        }
        let min_kept = MIN_PART * (1.0 - shed.clamp(0.0, 1.0));
        let mut kept: BTreeMap<Option<&OrganisationName>, FairShare> = BTreeMap::new();
        let mut left = shed;
        if self.by_organisation {
            let cut = cut_excess(&demand.by_organisation(now), predicted.min(1.0), min_kept);
            left = shed - (MARGIN * cut.refused).min(1.0);
            kept = cut.shares;
        }
        let share = kept.get(&organisation).copied();
        let own_kept = share.map_or(1.0, |it| it.kept);
        if self.by_priority {
            let weight =
                |it: Option<&OrganisationName>| kept.get(&it).map_or(1.0, |share| share.kept);
            left = refuse_by_priority(&demand.by_priority(now, weight), left, priority);
        }
        let admitted = (own_kept * (1.0 - left.clamp(0.0, 1.0))).max(min_kept);
        Shedding { shed, own: 1.0 - admitted, share }
    }
}
