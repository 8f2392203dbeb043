//! Reports the end of a granted turn, and settles it at the owner of its program's shard.
//!
//! The host that carried a stored turn holds the grant until the log has the settlement. If the owner is
//! lost before that, the next one settles the turn, although it knows of no grant. See "Turns whose owner is
//! lost" in `docs/design/budgets.md`.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use futures::future::join_all;
use rosethread_types::NodeName;
use slog::{debug, info, warn};
use tokio::time::{Instant, sleep, timeout_at};

use crate::{
    entry::{Entry, Phase},
    grants::{Asked, Granted, RECORD_TIMEOUT, record_ceiling},
    ledger::{HeldGrant, HeldState, Settlement},
    peers::{PeerError, PeerReply, PeerRequest},
    shards::{Shard, Urgency, next_owner, responsible_for},
};

/// The delay before a settlement is sent again; it grows with each attempt.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// The maximum number of attempts to send a settlement to the hosts that were asked.
const SETTLE_ATTEMPTS: u32 = 4;

/// The longest delay before a host that holds a grant asks for its owner again.
const MAX_OWNER_DELAY: Duration = Duration::from_secs(1);

/// How long a grant is held after its turn has ended.
const MAX_HOLD_TIME: Duration = Duration::from_secs(60);

/// The part of the age at which the log drops records for which a grant is held at most. An owner must find
/// the record of an earlier settlement as long as it may be sent another.
const HOLD_FRACTION: f64 = 0.25;

/// What has become of a settlement at one host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Settled {
    /// It counts, or it did not have to be held.
    Done,
    /// This host does not have the accounts; another one may.
    OwnedBy(NodeName),
    /// It is held, and does not count here, or is not in the log yet.
    NotHere,
}

/// Settles a turn's grant, as the owner or as a host that was asked for its tokens.
///
/// A held grant is settled once the log has that, for which this waits.
pub(crate) async fn settle(
    entry: &Arc<Entry>,
    index: u32,
    settlement: &Settlement,
    held: Option<HeldGrant>,
) -> Settled {
    match held {
        Some(held) => settle_held(entry, index, settlement, held).await,
        None => settle_at_once(entry, index, settlement),
    }
}

fn settle_at_once(entry: &Entry, index: u32, settlement: &Settlement) -> Settled {
    let now = entry.now();
    let (is_new, was_open) = {
        let mut ended = entry.shards.ended();
        let ended = ended.entry(index).or_default();
        let is_new = ended.insert(settlement.grant, now);
        // A settlement that is sent again, since its reply was lost, counts once.
        let shard = entry.shards.get(index).filter(|_| is_new);
        let was_open = shard.as_ref().is_some_and(|it| it.ledger().settle(settlement, now));
        match &shard {
            Some(shard) => shard.settled.notify_waiters(),
            None if is_new => ended.keep_early(settlement.clone(), None, now),
            None => (),
        }
        if let Some(shard) = shard.filter(|_| was_open) {
            record_end(entry, &shard, settlement);
        }
        (is_new, was_open)
    };
    if !was_open && Phase::Serving < entry.phase() {
        return other_owner(entry, index).map_or(Settled::Done, Settled::OwnedBy);
    }
    // A turn that was refused has no open grant and has used nothing, so it is not logged.
    if is_new && !was_open && settlement.used != 0 {
        info!(entry.logger, "grants: a turn ended under another owner"; "shard" => index,
            "program" => %settlement.program, "id" => %settlement.request,
            "used" => settlement.used);
    }
    Settled::Done
}

async fn settle_held(
    entry: &Arc<Entry>,
    index: u32,
    settlement: &Settlement,
    held: HeldGrant,
) -> Settled {
    let owner = {
        let now = entry.now();
        let mut ended = entry.shards.ended();
        let ended = ended.entry(index).or_default();
        ended.insert(settlement.grant, now);
        let owned = entry.shards.get(index);
        let state = owned.as_ref().map_or(HeldState::NotHere, |shard| {
            let state = shard.ledger().settle_held(settlement, held, now);
            shard.settled.notify_waiters();
            record_end(entry, shard, settlement);
            state
        });
        if state == HeldState::Inherited {
            entry.metrics.inherited_settlements.inc();
            info!(entry.logger, "grants: settling a turn that an earlier owner granted";
                "shard" => index, "program" => %settlement.program, "id" => %settlement.request,
                "used" => settlement.used, "tokens" => held.tokens, "granted_at" => held.epoch);
        }
        if owned.is_none() && !held.is_kept {
            ended.keep_early(settlement.clone(), Some(held), now);
        }
        owned.filter(|_| state != HeldState::NotHere)
    };
    let Some(shard) = owner else {
        return other_owner(entry, index).map_or(Settled::NotHere, Settled::OwnedBy);
    };
    if is_recorded(&shard, settlement).await { Settled::Done } else { Settled::NotHere }
}

/// Returns the owner of a shard that this host does not own, as far as it knows.
fn other_owner(entry: &Entry, index: u32) -> Option<NodeName> {
    let is_leaving = Phase::Serving < entry.phase();
    let owner = entry.shards.last_owner(index);
    let owner = owner.or_else(|| is_leaving.then(|| next_owner(entry, index)).flatten());
    owner.filter(|it| *it != entry.settings.node)
}

/// Waits until the log has the settlement of a held grant, and returns whether it has.
async fn is_recorded(shard: &Shard, settlement: &Settlement) -> bool {
    let give_up_at = Instant::now() + RECORD_TIMEOUT;
    loop {
        let changed = shard.settled.notified();
        match shard.ledger().held_state(settlement) {
            HeldState::Recorded => return true,
            HeldState::NotHere => return false,
            HeldState::Pending | HeldState::Inherited => (),
        }
        if shard.is_lost() || timeout_at(give_up_at, changed).await.is_err() {
            return false;
        }
    }
}

/// Records the end of a turn, and the ceiling that follows from it.
fn record_end(entry: &Entry, shard: &Arc<Shard>, settlement: &Settlement) {
    if shard.has_writer() {
        let program = &settlement.program;
        record_ceiling(entry, shard, program, Urgency::Soon, |it| it.plan_settled_ceiling(program));
    }
}

/// Records the ends of turns that came before this host owned the shard.
pub(crate) fn record_ends(entry: &Entry, shard: &Arc<Shard>) {
    let programs = shard.ledger().unqueued_ends();
    for program in &programs {
        record_ceiling(entry, shard, program, Urgency::Soon, |it| it.plan_settled_ceiling(program));
    }
}

/// Sends a settlement to the owner and to all hosts that were asked, in the background.
///
/// An owner that never receives it counts the grant as spent in full.
pub(crate) fn report(entry: &Arc<Entry>, shard: u32, asked: Asked, settlement: Settlement) {
    let Asked { hosts, granted } = asked;
    let granted = granted.filter(|it| is_held(entry, it, &settlement));
    let report = Report { entry: entry.clone(), shard, hosts, granted, settlement };
    entry.tasks.spawn(report.run());
}

/// Returns whether the settlement of a granted turn is held until the log has it.
///
/// A turn that has used nothing returns its tokens at once, without a record, where its owner runs: a call
/// that was refused under load comes back soon. No later owner may return them a second time.
fn is_held(entry: &Entry, granted: &Granted, settlement: &Settlement) -> bool {
    let view = entry.view();
    let is_same_run = view.is_running(&granted.owner)
        && view.get(&granted.owner).map(|it| it.incarnation) == granted.run;
    settlement.used != 0 || !is_same_run
}

/// The report of one turn's end.
struct Report {
    entry: Arc<Entry>,
    shard: u32,
    /// The hosts that may have granted the tokens, or may own the shard.
    hosts: BTreeSet<NodeName>,
    /// The grant, if it is held.
    granted: Option<Granted>,
    settlement: Settlement,
}

impl Report {
    async fn run(mut self) {
        if self.granted.is_none() {
            self.tell_hosts().await;
            return;
        }
        let held = self.entry.metrics.held_settlements.clone();
        held.inc();
        self.hold().await;
        held.dec();
    }

    /// Reports the end until an owner has recorded it.
    async fn hold(&mut self) {
        let ended = (Instant::now(), self.entry.clock.now_ms());
        if self.tell_hosts().await {
            return;
        }
        let hold_time = MAX_HOLD_TIME.min(self.entry.settings.retention().mul_f64(HOLD_FRACTION));
        let mut delay = RETRY_DELAY;
        // The steady clock does not count the time for which a host is suspended.
        while ended.0.elapsed() < hold_time
            && u128::from(self.entry.clock.now_ms().saturating_sub(ended.1)) < hold_time.as_millis()
        {
            sleep(delay).await;
            delay = (delay * 2).min(MAX_OWNER_DELAY);
            if self.find_owner().await || Phase::Serving < self.entry.phase() {
                return;
            }
        }
        warn!(self.entry.logger, "grants: no owner has recorded the end of a turn";
            "shard" => self.shard, "program" => %self.settlement.program,
            "id" => %self.settlement.request, "used" => self.settlement.used);
    }

    /// Tells the owner and all hosts that were asked, and returns whether the settlement counts.
    async fn tell_hosts(&mut self) -> bool {
        let mut notified = BTreeSet::new();
        let mut is_settled = false;
        for attempt in 0..SETTLE_ATTEMPTS {
            // The shard may have changed its owner since the last attempt.
            self.hosts.extend(self.likely_owner());
            let remaining: Vec<NodeName> = self.hosts.difference(&notified).cloned().collect();
            let results = join_all(remaining.iter().map(|it| self.send(it))).await;
            let mut is_done = true;
            for (host, result) in remaining.iter().zip(results) {
                match result {
                    Ok(reply) => {
                        notified.insert(host.clone());
                        is_settled |= reply == Settled::Done;
                        if let Settled::OwnedBy(next) = reply {
                            is_done &= notified.contains(&next);
                            self.hosts.insert(next);
                        }
                    }
                    Err(error) if attempt + 1 == SETTLE_ATTEMPTS => {
                        warn!(self.entry.logger, "grants: could not send a settlement to a host";
                            "program" => %self.settlement.program, "id" => %self.settlement.request,
                            "host" => %host, "error" => %error);
                    }
                    Err(_) => is_done = false,
                }
            }
            if is_done {
                break;
            }
            sleep(RETRY_DELAY * (attempt + 1)).await;
        }
        is_settled
    }

    /// Tells the hosts that may own the shard by now, those that they name included, and returns whether the
    /// settlement counts.
    async fn find_owner(&self) -> bool {
        let mut hosts: BTreeSet<NodeName> = self.likely_owner().into_iter().collect();
        hosts.extend(responsible_for(&self.entry, self.shard));
        let mut told = BTreeSet::new();
        while let Some(host) = hosts.difference(&told).next().cloned() {
            match self.send(&host).await {
                Ok(Settled::Done) => return true,
                Ok(Settled::OwnedBy(next)) => drop(hosts.insert(next)),
                Ok(Settled::NotHere) | Err(_) => (),
            }
            told.insert(host);
        }
        false
    }

    /// Returns the last known owner if it runs, else the host that will claim the shard.
    fn likely_owner(&self) -> Option<NodeName> {
        let last = self.entry.shards.last_owner(self.shard);
        let last = last.filter(|it| self.entry.view().is_running(it));
        last.or_else(|| responsible_for(&self.entry, self.shard))
    }

    /// Sends the settlement to one host; one that is no longer known does not need it.
    async fn send(&self, host: &NodeName) -> Result<Settled, PeerError> {
        let Report { entry, shard, settlement, .. } = self;
        let is_kept = entry.phase() == Phase::Serving;
        let held = self.granted.as_ref();
        let held = held.map(|it| HeldGrant { tokens: it.tokens, epoch: it.epoch, is_kept });
        if *host == entry.settings.node {
            return Ok(settle(entry, *shard, settlement, held).await);
        }
        let Some(contact) = entry.view().get(host).map(|it| it.contact.peer) else {
            debug!(entry.logger, "grants: skipped a settlement for a host that is no longer known";
                "host" => %host, "program" => %settlement.program, "id" => %settlement.request);
            return Ok(Settled::NotHere);
        };
        let request = PeerRequest::Settle { shard: *shard, settlement: settlement.clone(), held };
        match entry.peers.request(contact, request).await? {
            PeerReply::OwnedBy(next) => Ok(Settled::OwnedBy(next)),
            PeerReply::Unable(_) => Ok(Settled::NotHere),
            _ => Ok(Settled::Done),
        }
    }
}
