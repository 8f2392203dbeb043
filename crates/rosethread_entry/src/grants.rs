//! Asks a program's owner whether a turn may run, and tells it how the turn ended.

use std::{sync::Arc, time::Duration};

use rosethread_types::{NodeName, Reason, Refusal};
use slog::{debug, warn};
use tokio::time::{Instant, sleep, timeout};

use crate::{
    entry::Entry,
    ledger::{Ask, Settlement, Verdict},
    peers::{PeerReply, PeerRequest},
    shards::{self, Shard, candidates_for, responsible_for},
};

/// The longest wait for an owner's decision before the turn is refused.
const GRANT_TIME: Duration = Duration::from_millis(1_200);

/// The pause before an owner is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(60);

/// The longest wait for a record that a turn needs.
const RECORD_TIME: Duration = Duration::from_millis(500);

/// What a caller is told to wait when no owner could decide.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// How often the end of a turn is told to the owner.
const SETTLE_TRIES: u32 = 4;

/// Asks for tokens, here or at the owner, until `deadline`.
pub(crate) async fn ask(
    entry: &Arc<Entry>,
    shard: u32,
    ask: &Ask,
    deadline: Instant,
) -> Result<Verdict, Refusal> {
    let started = Instant::now();
    let until = deadline.min(started + GRANT_TIME);
    loop {
        let reason = match ask_once(entry, shard, ask).await {
            Ok(verdict) => {
                entry.metrics.grant_seconds.observe(started.elapsed().as_secs_f64());
                entry.metrics.verdicts.with_label_values(&[label(&verdict)]).inc();
                return Ok(verdict);
            }
            Err(reason) => reason,
        };
        if until < Instant::now() + ASK_AGAIN {
            let detail = format!("no owner of shard {shard} could decide: {reason}");
            return Err(Refusal::not_run(Reason::NotOwner, detail).retry_after(RETRY_AFTER));
        }
        sleep(ASK_AGAIN).await;
    }
}

fn label(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Granted { .. } => "granted",
        Verdict::Record(_) => "record",
        Verdict::Spent => "spent",
        Verdict::Uncertain => "uncertain",
    }
}

async fn ask_once(entry: &Arc<Entry>, shard: u32, ask: &Ask) -> Result<Verdict, String> {
    let mut reasons = Vec::new();
    for owner in candidates_for(entry, shard) {
        match ask_owner(entry, shard, &owner, ask).await {
            Ok(verdict) => return Ok(verdict),
            Err(reason) => reasons.push(reason),
        }
    }
    Err(reasons.join("; "))
}

async fn ask_owner(
    entry: &Arc<Entry>,
    shard: u32,
    owner: &NodeName,
    ask: &Ask,
) -> Result<Verdict, String> {
    if *owner == entry.settings.node {
        return decide(entry, shard, ask).await;
    }
    let view = entry.view();
    let contact = view.get(owner).ok_or("the owner is not known")?.contact.peer;
    match entry.peers.ask(contact, PeerRequest::Ask { shard, ask: ask.clone() }).await {
        Ok(PeerReply::Verdict(verdict)) => Ok(verdict),
        Ok(PeerReply::Unable(reason)) => Err(format!("{owner}: {reason}")),
        Ok(_) => Err(format!("{owner} gave another kind of reply")),
        Err(error) => Err(format!("{owner}: {error}")),
    }
}

/// Decides as the owner; the reason of an error is for logs.
pub(crate) async fn decide(entry: &Arc<Entry>, index: u32, ask: &Ask) -> Result<Verdict, String> {
    let shard = shards::own(entry, index).await?;
    loop {
        let verdict = shard.ledger().ask(ask, entry.now());
        match verdict {
            Verdict::Record(ceiling) => record(&shard, ask, ceiling).await?,
            Verdict::Granted { .. } => {
                record_ahead(entry, &shard, ask);
                return Ok(verdict);
            }
            Verdict::Spent | Verdict::Uncertain => {
                debug!(entry.logger, "grants: no tokens"; "program" => %ask.program,
                    "request" => %ask.request, "budget" => ask.budget, "tokens" => ask.tokens,
                    "verdict" => label(&verdict));
                return Ok(verdict);
            }
        }
    }
}

/// Records a higher ceiling and waits for it.
async fn record(shard: &Shard, ask: &Ask, tokens: u64) -> Result<(), String> {
    let ceiling = shard.ledger().ceiling(&ask.program, tokens);
    let receiver = shard.record(ceiling);
    match timeout(RECORD_TIME, receiver).await {
        Ok(Ok(true)) => {
            shard.ledger().recorded(&ask.program, tokens);
            Ok(())
        }
        Ok(_) => Err("the shard has another owner".to_owned()),
        Err(_) => Err("the log does not take records".to_owned()),
    }
}

/// Records the ceiling that the program's next turn will need, without waiting.
fn record_ahead(entry: &Arc<Entry>, shard: &Arc<Shard>, ask: &Ask) {
    let (tokens, ceiling) = {
        let mut ledger = shard.ledger();
        let Some(tokens) = ledger.ahead(&ask.program, ask.tokens) else {
            return;
        };
        (tokens, ledger.ceiling(&ask.program, tokens))
    };
    let receiver = shard.record(ceiling);
    let (shard, program) = (shard.clone(), ask.program.clone());
    entry.tasks.spawn(async move {
        match receiver.await {
            Ok(true) => shard.ledger().recorded(&program, tokens),
            Ok(false) | Err(_) => shard.ledger().unrecorded(&program),
        }
    });
}

/// Takes note of a turn's end, as the owner.
pub(crate) fn settle(entry: &Entry, index: u32, settlement: &Settlement) {
    match entry.shards.get(index) {
        Some(shard) => shard.ledger().settle(settlement, entry.now()),
        None => debug!(entry.logger, "grants: a turn ended under another owner";
            "program" => %settlement.program, "request" => %settlement.request),
    }
}

/// Tells the owner how a turn ended, without waiting for it.
///
/// An owner that never hears of it counts the grant in full.
pub(crate) fn report(entry: &Arc<Entry>, shard: u32, settlement: Settlement) {
    let entry = entry.clone();
    entry.tasks.clone().spawn(async move {
        for attempt in 0..SETTLE_TRIES {
            let Some(owner) = responsible_for(&entry, shard) else {
                return;
            };
            if owner == entry.settings.node {
                settle(&entry, shard, &settlement);
                return;
            }
            let contact = entry.view().get(&owner).map(|it| it.contact.peer);
            let Some(contact) = contact else {
                return;
            };
            let request = PeerRequest::Settle { shard, settlement: settlement.clone() };
            match entry.peers.ask(contact, request).await {
                Ok(_) => return,
                Err(error) if attempt + 1 == SETTLE_TRIES => {
                    warn!(entry.logger, "grants: the owner was not told of a turn's end";
                        "program" => %settlement.program, "request" => %settlement.request,
                        "owner" => %owner, "error" => %error);
                }
                Err(_) => sleep(ASK_AGAIN * (attempt + 1)).await,
            }
        }
    });
}
