//! Repeats claims and accounts in the log before it drops them by their age.
//!
//! A claimant that finds no claim can not know of its owner. So an owner repeats its claim in time, and
//! grants nothing once the log may have dropped it. See `docs/design/budgets.md`.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use rosethread_runtime::Tick;
use slog::{debug, info};
use tokio::time::timeout;

use crate::{
    control::program_retention,
    entry::Entry,
    grants::RECORD_TIMEOUT,
    ledger::LedgerRecord,
    shards::{NotOwned, Shard, Urgency},
};

/// A claim is repeated when it has this fraction of the age at which the log drops it.
const REPEAT_FRACTION: f64 = 0.25;

/// An owner whose last claim has this fraction of that age grants nothing before the log has taken another.
const MAX_AGE_FRACTION: f64 = 0.75;

/// How often owners look for claims to repeat, as a fraction of that age.
const CHECK_FRACTION: f64 = 0.0625;

/// Returns the age at which the log drops records, times `fraction`.
fn part_of_retention(entry: &Entry, fraction: f64) -> Duration {
    entry.settings.retention().mul_f64(fraction)
}

impl Shard {
    /// Returns the age of the last claim that the log has taken.
    fn claim_age(&self, entry: &Entry) -> Duration {
        let claimed = Duration::from_millis(self.claimed_ms.load(Ordering::Relaxed));
        entry.now().saturating_sub(claimed)
    }

    /// Returns whether the log still has the claim, so that whoever claims the shard knows of this owner.
    pub(crate) fn is_confirmed(&self, entry: &Entry) -> bool {
        self.claim_age(entry) < part_of_retention(entry, MAX_AGE_FRACTION)
    }

    /// Appends the claim once more, with the accounts whose records are getting old, and waits until the
    /// log has taken it. The log rejects it if another host has claimed the shard.
    async fn repeat_claim(&self, entry: &Entry) -> Result<(), &'static str> {
        // Records age from when the log takes them, which is later than this.
        let started = entry.now();
        let age = part_of_retention(entry, REPEAT_FRACTION);
        let mut records = self.ledger().aging_records(started, age, program_retention(entry) / 2);
        let (epoch, owner) = (self.epoch, entry.settings.node.clone());
        let claim = LedgerRecord::Claim { epoch, owner, run: entry.incarnation };
        records.extend([claim, LedgerRecord::Bounded { epoch }]);
        match self.record_all(&records, Urgency::Now).await {
            Ok(true) => {
                self.claimed_ms.fetch_max(started.as_millis() as u64, Ordering::Relaxed);
                Ok(())
            }
            Ok(false) => Err("the shard has another owner"),
            Err(_) => Err("the shard is lost, or was transferred without the log"),
        }
    }

    /// Waits until the log has taken another claim, after a time in which the last one may have aged.
    pub(crate) async fn confirm(&self, entry: &Entry, index: u32) -> Result<(), NotOwned> {
        info!(entry.logger, "shards: confirming an old claim"; "shard" => index,
            "epoch" => self.epoch, "age_ms" => self.claim_age(entry).as_millis() as u64);
        let repeated = timeout(RECORD_TIMEOUT, self.repeat_claim(entry)).await;
        let detail = match repeated {
            Ok(Ok(())) => return Ok(()),
            Ok(Err(detail)) => detail,
            Err(_) => "the log does not take an old claim once more",
        };
        Err(NotOwned { owner: None, detail: detail.to_owned() })
    }
}

/// Repeats the claims of the shards that this host owns, each before the log drops it.
pub(crate) async fn repeat_claims(entry: Arc<Entry>) {
    let mut ticks = entry.timer.every(part_of_retention(&entry, CHECK_FRACTION));
    while let Some(Tick) = ticks.recv().await {
        let due = part_of_retention(&entry, REPEAT_FRACTION);
        for (index, shard) in entry.shards.all() {
            if shard.writer.is_none()
                || shard.claim_age(&entry) < due
                || shard.is_repeating.swap(true, Ordering::Relaxed)
            {
                continue;
            }
            let entry = entry.clone();
            entry.tasks.clone().spawn(async move {
                if let Err(detail) = shard.repeat_claim(&entry).await {
                    debug!(entry.logger, "shards: a claim was not repeated"; "shard" => index,
                        "epoch" => shard.epoch, "why" => detail);
                }
                shard.is_repeating.store(false, Ordering::Relaxed);
            });
        }
    }
}
