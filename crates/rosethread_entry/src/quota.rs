//! Takes the tokens of an organisation's limit for calls, and grants them where this host owns the limit.
//!
//! The decisions are those of [`rosethread_policy`]'s pools and holders; nothing of them is stored. See
//! `docs/design/quotas.md`.

mod hosts;
mod messages;

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use rosethread_policy::{Holder, LocalShare, Pool, PoolAsk, PoolReply, QuotaLimit, QuotaRule};
use rosethread_runtime::Tick;
use rosethread_types::{
    Digest, NodeName, OrganisationName, ProgramLabel, Reason, Refusal, Revision,
};
use slog::info;
use tokio::time::{Instant, timeout_at};

use crate::{
    call::Call,
    entry::Entry,
    peers::{PeerReply, PeerRequest},
    routes::Routes,
};

use hosts::QuotaHosts;
pub use messages::{AskProgram, QuotaAsk, QuotaReply};

/// How long a call waits for the owner of its organisation's limit: one round trip.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);

/// The period at which pools are filled, and the hosts that share limits are read.
const UPDATE_PERIOD: Duration = Duration::from_millis(100);

/// The latest time at which the caller of a call that its owner didn't decide is told to return. By then
/// there is another owner.
const MAX_LOCAL_RETRY: Duration = Duration::from_secs(1);

/// The rule where the settings name none: the limit itself.
const EXACT_RULE: QuotaRule = QuotaRule { window_s: 5.0, overage: 0.0, slack: 0.0 };

/// The pool of a limit that this host owns.
struct OwnedPool {
    /// Tells the pool apart from earlier ones of the organisation, here or elsewhere.
    id: u32,
    /// The revision of the routes from which the limit comes.
    revision: Revision,
    pool: Pool,
}

#[derive(Default)]
struct QuotaState {
    hosts: QuotaHosts,
    pools: BTreeMap<OrganisationName, OwnedPool>,
    holders: BTreeMap<OrganisationName, Holder>,
}

/// The limits of organisations, as far as this host spends or grants them.
#[derive(Default)]
pub(crate) struct Quotas(Mutex<QuotaState>);

impl Quotas {
    fn lock(&self) -> MutexGuard<'_, QuotaState> {
        self.0.lock().expect("no holder of the quota lock panics")
    }
}

/// A token that a call has taken. It goes back if the call is not sent.
pub(crate) struct QuotaToken {
    entry: Arc<Entry>,
    organisation: OrganisationName,
    /// The pool from which it came and when it was asked for; `None` for this host's own share.
    source: Option<(u32, Duration)>,
    /// Whether a target may have run the call.
    is_spent: AtomicBool,
}

impl QuotaToken {
    /// Records whether a target may have run the call.
    pub(crate) fn set_spent(&self, is_spent: bool) {
        self.is_spent.store(is_spent, Ordering::Relaxed);
    }
}

impl Drop for QuotaToken {
    fn drop(&mut self) {
        let source = self.source.filter(|_| !self.is_spent.load(Ordering::Relaxed));
        if let Some((pool, asked)) = source {
            let now = self.entry.now();
            let mut state = self.entry.quotas.lock();
            state.holders.entry(self.organisation.clone()).or_default().give_back(pool, asked, now);
        }
    }
}

/// How a call came by its token.
enum Source {
    /// From a pool, at the time of the question.
    Pool(u32, Duration),
    /// From this host's own share.
    Local,
}

/// What a call asks of its organisation's limit.
struct Demand<'a> {
    organisation: &'a OrganisationName,
    limit: QuotaLimit,
    revision: Revision,
    program: Option<u64>,
    is_underway: bool,
}

/// Takes the token that a call needs; `None` if its organisation has no limit.
///
/// It waits no longer than a round trip to the limit's owner, which callers do beside their other checks.
///
/// # Errors
///
/// Returns the refusal of a call for which there is no room. It was not run.
pub(crate) async fn take_token(
    entry: &Arc<Entry>,
    routes: &Routes,
    call: &Call,
) -> Result<Option<QuotaToken>, Refusal> {
    let organisation = call.identity.organisation();
    let Some((organisation, limit)) = organisation.and_then(|it| Some((it, it.limit?))) else {
        return Ok(None);
    };
    let program = call.program.as_ref().map(|it| program_key(&it.program));
    let demand = Demand {
        organisation: &organisation.name,
        limit: QuotaLimit { per_s: limit.per_s, burst: limit.burst },
        revision: routes.revision,
        program,
        is_underway: call.previous.is_some() || call.resumes.is_some(),
    };
    let (result, label) = match find_token(entry, &demand).await {
        Ok((source, label)) => {
            let source = match source {
                Source::Pool(pool, asked) => Some((pool, asked)),
                Source::Local => None,
            };
            let (entry, organisation) = (entry.clone(), organisation.name.clone());
            let is_spent = AtomicBool::new(false);
            (Ok(Some(QuotaToken { entry, organisation, source, is_spent })), label)
        }
        Err((refusal, label)) => (Err(refusal), label),
    };
    entry.metrics.quota.with_label_values(&[label]).inc();
    result
}

/// Returns the token of a call, or its refusal, each with the value of the `result` label in metrics.
async fn find_token(
    entry: &Arc<Entry>,
    demand: &Demand<'_>,
) -> Result<(Source, &'static str), (Refusal, &'static str)> {
    let asked = entry.now();
    let (owner, ask) = {
        let mut state = entry.quotas.lock();
        state.hosts.refresh(entry, asked);
        let holder = state.holders.entry(demand.organisation.clone()).or_default();
        holder.count_call(asked);
        if let Some((pool, asked)) = holder.spend(demand.program, asked) {
            return Ok((Source::Pool(pool, asked), "leased"));
        }
        let refused_until = holder.refused_until(asked).filter(|_| !demand.is_underway);
        if let Some(room) = refused_until {
            let detail = format!("{} begins more than its limit carries", demand.organisation);
            return Err((limit_refusal(detail, room - asked), "refused-new"));
        }
        let (want, returned, spent) = holder.prepare_ask(asked);
        let ask = QuotaAsk::new(demand, want, returned, spent);
        (state.hosts.owner(demand.organisation), ask)
    };
    let reply = match &owner {
        Some(owner) => ask_owner(entry, owner, ask).await,
        None => Err("no owner is known".to_owned()),
    };
    let now = entry.now();
    let mut state = entry.quotas.lock();
    let holder = state.holders.entry(demand.organisation.clone()).or_default();
    let detail = match reply {
        Ok(QuotaReply::Granted { pool, tokens }) => {
            if holder.receive(pool, tokens, asked, now) {
                return Ok((Source::Pool(pool, asked), "granted"));
            }
            "the reply came late".to_owned()
        }
        Ok(QuotaReply::Refused { retry_ms, level_milli, reserve_milli, is_new }) => {
            let retry_after = Duration::from_millis(retry_ms.into());
            let (kind, label) =
                if is_new { ("new", "refused-new") } else { ("under way", "refused") };
            if is_new {
                holder.record_refusal(now + retry_after, now);
            }
            let detail = format!(
                "{} is at its limit of {} a second and {} at once: {} tokens at {}, {} of them for \
                 programs under way, and the call's program is {kind}",
                demand.organisation,
                demand.limit.per_s,
                demand.limit.burst,
                f64::from(level_milli) / 1_000.0,
                owner.as_ref().map_or("", |it| it.as_str()),
                f64::from(reserve_milli) / 1_000.0,
            );
            return Err((limit_refusal(detail, retry_after), label));
        }
        Ok(QuotaReply::NotOwner(_)) => "the host asked is not its owner".to_owned(),
        Err(detail) => detail,
    };
    let share = LocalShare {
        rule: rule(entry),
        limit: demand.limit,
        hosts: state.hosts.known(),
        is_orphaned: owner.is_none(),
        phase: phase(&entry.settings.node, demand.organisation),
    };
    let holder = state.holders.entry(demand.organisation.clone()).or_default();
    match holder.take_local(&share, now) {
        Ok(()) => Ok((Source::Local, "local")),
        Err(wait) => {
            let detail = format!(
                "the owner of the limit of {} did not decide, and this host's share is used up: {detail}",
                demand.organisation
            );
            Err((limit_refusal(detail, wait.min(MAX_LOCAL_RETRY)), "refused"))
        }
    }
}

fn limit_refusal(detail: String, retry_after: Duration) -> Refusal {
    Refusal::not_run(Reason::LimitReached, detail).retry_after(retry_after)
}

/// Asks the owner of a limit, and the one that it names if it isn't, within one round trip's time.
async fn ask_owner(
    entry: &Arc<Entry>,
    owner: &NodeName,
    ask: QuotaAsk,
) -> Result<QuotaReply, String> {
    let deadline = Instant::now() + ASK_TIMEOUT;
    match ask_host(entry, owner, ask.clone(), deadline).await? {
        QuotaReply::NotOwner(Some(other)) if other != *owner => {
            ask_host(entry, &other, ask, deadline).await
        }
        reply => Ok(reply),
    }
}

async fn ask_host(
    entry: &Arc<Entry>,
    host: &NodeName,
    ask: QuotaAsk,
    deadline: Instant,
) -> Result<QuotaReply, String> {
    if *host == entry.settings.node {
        return Ok(decide(entry, &ask));
    }
    let peer = entry.view().get(host).map(|it| it.contact.peer);
    let peer = peer.ok_or_else(|| format!("{host} is not known here"))?;
    entry.metrics.quota_asks.inc();
    let request = entry.peers.request(peer, PeerRequest::AskQuota(ask));
    match timeout_at(deadline, request).await {
        Ok(Ok(PeerReply::Quota(reply))) => Ok(reply),
        // The last release knows no such question.
        Ok(Ok(PeerReply::Unable(reason))) => Err(format!("{host}: {reason}")),
        Ok(Ok(_)) => Err(format!("{host}: unexpected kind of reply")),
        Ok(Err(error)) => Err(format!("{host}: {error}")),
        Err(_) => Err(format!("{host} did not reply within {} ms", ASK_TIMEOUT.as_millis())),
    }
}

/// Decides on a question as the owner of the limit, or names the owner.
pub(crate) fn decide(entry: &Entry, ask: &QuotaAsk) -> QuotaReply {
    let now = entry.now();
    let mut state = entry.quotas.lock();
    let state = &mut *state;
    state.hosts.refresh(entry, now);
    let owner = state.hosts.owner(&ask.organisation);
    if owner.as_ref() != Some(&entry.settings.node) {
        return QuotaReply::NotOwner(owner);
    }
    let rule = rule(entry);
    let part = state.hosts.part(&rule);
    let owned = state.pools.entry(ask.organisation.clone()).or_insert_with(|| {
        let pool = Pool::new(rule, ask.limit(), part, now);
        let id = entry.random.next_u64() as u32;
        info!(entry.logger, "quota: this host owns a limit"; "organisation" => %ask.organisation,
            "pool" => id, "per_s" => ask.limit().per_s, "burst" => ask.limit().burst,
            "level" => pool.level(), "part" => part, "revision" => ask.revision.0);
        OwnedPool { id, revision: ask.revision, pool }
    });
    if owned.revision < ask.revision {
        owned.revision = ask.revision;
        owned.pool.set_limit(ask.limit(), now);
    }
    for program in &ask.spent {
        owned.pool.record_spent(*program, now);
    }
    let returned = if ask.pool == owned.id { ask.returned } else { 0 };
    let AskProgram { program, is_underway } = ask.program;
    match owned.pool.ask(&PoolAsk { want: ask.want, program, is_underway, returned }, now) {
        PoolReply::Granted { tokens } => QuotaReply::Granted { pool: owned.id, tokens },
        PoolReply::Refused { retry_after, level, reserve, is_new } => QuotaReply::Refused {
            // Rounded up, so that there is room by then.
            retry_ms: u32::try_from(retry_after.as_millis() + 1).unwrap_or(u32::MAX),
            level_milli: (level * 1_000.0) as u32,
            reserve_milli: (reserve * 1_000.0) as u32,
            is_new,
        },
    }
}

/// Fills the pools, and gives those up that another host owns now. What it granted meanwhile is not
/// known here if the limit comes back.
pub(crate) async fn update_pools(entry: Arc<Entry>) {
    let mut ticks = entry.timer.every(UPDATE_PERIOD);
    while let Some(Tick) = ticks.recv().await {
        let now = entry.now();
        let rule = rule(&entry);
        let routes = entry.routes();
        let mut state = entry.quotas.lock();
        let state = &mut *state;
        if state.holders.is_empty() && state.pools.is_empty() && routes.organisations.is_none() {
            continue;
        }
        state.hosts.refresh(&entry, now);
        let part = state.hosts.part(&rule);
        let (hosts, own) = (&mut state.hosts, &entry.settings.node);
        state.pools.retain(|organisation, owned| {
            let is_owned = hosts.owner(organisation).as_ref() == Some(own);
            if is_owned {
                owned.pool.set_part(part, now);
            }
            is_owned
        });
        state.holders.retain(|_, it| !it.is_idle(now));
    }
}

fn rule(entry: &Entry) -> QuotaRule {
    let rule = entry.reloadable().quota.as_ref().map(|it| QuotaRule {
        window_s: it.window_s,
        overage: it.overage,
        slack: it.slack,
    });
    rule.unwrap_or(EXACT_RULE)
}

fn first_bytes(parts: &[&[u8]]) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&Digest::default().chain(parts).0[..8]);
    u64::from_le_bytes(bytes)
}

/// Returns what owners know a program by.
fn program_key(program: &ProgramLabel) -> u64 {
    first_bytes(&[program.as_str().as_bytes()])
}

/// Returns this host's place among the hosts for an organisation, from 0 to 1.
fn phase(node: &NodeName, organisation: &OrganisationName) -> f64 {
    let hash = first_bytes(&[node.as_str().as_bytes(), organisation.as_str().as_bytes()]);
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
