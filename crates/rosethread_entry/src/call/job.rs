//! What is settled about a call before it goes to a target: route, deadline, history and budget.

use std::sync::{
    Arc, Mutex, MutexGuard,
    atomic::{AtomicU64, Ordering},
};

use bytes::{Bytes, BytesMut};
use rosethread_types::{Reason, Refusal, ServiceName, TargetName, Tokens};
use slog::info;
use std::time::Duration;
use tokio::time::Instant;

use crate::{
    call::{Call, ProgramContext, Tries},
    choose::overload,
    entry::Entry,
    grants::{self, AskedHosts},
    history,
    ledger::{GrantId, GrantRequest, Settlement, Verdict},
    routes::{Route, Routes},
    shards::shard_of,
};

/// What callers are told to wait until a host that has just started knows its routes.
const ROUTES_RETRY: Duration = Duration::from_millis(500);

/// What callers are told to wait until turns under way have ended.
const UNCERTAIN_RETRY: Duration = Duration::from_millis(500);

/// What callers are told to wait where another host can serve them at once.
const ELSEWHERE_RETRY: Duration = Duration::from_millis(20);

/// What the callers of new programs are told to wait while programs under way take all slots.
const CROWD_RETRY: Duration = Duration::from_millis(1_000);

/// The shortest time to come back that callers are told while the log is away.
const MIN_OUTAGE_RETRY: Duration = Duration::from_millis(500);

/// The longest time to come back that callers are told while the log is away.
const MAX_OUTAGE_RETRY: Duration = Duration::from_millis(2_000);

/// The longest time for a call without a deadline of its own.
const LONGEST: Duration = Duration::from_secs(600);

/// The lowest rank that an engine knows.
const LAST_RANK: u8 = 9;

/// A call with everything that has been decided about it.
pub(crate) struct Job {
    pub(crate) entry: Arc<Entry>,
    pub(crate) call: Call,
    pub(crate) route: Arc<Route>,
    pub(crate) routes: Arc<Routes>,
    pub(crate) service: ServiceName,
    pub(crate) deadline: Instant,
    /// The body for the target: all that was said before, and the call's own.
    pub(crate) body: Bytes,
    /// Whether the turn before is kept with another program, so that this one begins a new chain.
    pub(crate) is_root: bool,
    /// The shard of the call's program; zero without one.
    pub(crate) shard: u32,
    /// The target that most likely caches the prompt.
    pub(crate) home: Option<TargetName>,
    pub(crate) rank: u8,
    grant: Option<Grant>,
}

impl Job {
    /// Decides what has to be decided before a target is chosen, or refuses the call.
    pub(crate) async fn prepare(entry: &Arc<Entry>, call: Call) -> Result<Job, Refusal> {
        let routes = entry.routes();
        if routes.revision.0 == 0 {
            let detail = "no routes are known yet";
            return Err(Refusal::not_run(Reason::NoDocument, detail).retry_after(ROUTES_RETRY));
        }
        let path = call.path.split('?').next().unwrap_or_default();
        let Some(route) = routes.find(&call.host, path).cloned() else {
            let detail = format!("no route matches {} {path}", call.host);
            return Err(Refusal::not_run(Reason::UnknownRoute, detail));
        };
        let Some(service) = route.pick_service(entry.random.next_u64()).cloned() else {
            let detail = format!("route {} names no service", route.name);
            return Err(Refusal::not_run(Reason::NoTarget, detail));
        };
        let time = call.timeout.unwrap_or(LONGEST).min(route.timeout);
        let deadline = call.arrived + time;
        refuse_unkept(entry, &call, &route, time)?;
        let shard = call.program.as_ref().map_or(0, |it| shard_of(entry, &it.program));
        let (body, is_root) = whole_body(entry, &call, &route, shard, deadline).await?;
        let admitted = admit(entry, &call, &route, shard, deadline).await?;
        let is_new = admitted.grant.is_some() && !admitted.underway && call.previous.is_none();
        if let Some(load) = is_new.then(|| overload(entry, &service)).flatten() {
            let (running, slots) = (load.running, load.slots);
            let detail = format!("{running} calls use the {slots} slots of {service}");
            return Err(Refusal::not_run(Reason::Overloaded, detail).retry_after(CROWD_RETRY));
        }
        Ok(Job {
            entry: entry.clone(),
            rank: rank(&route, admitted.underway),
            home: admitted.home,
            grant: admitted.grant,
            call,
            route,
            routes,
            service,
            deadline,
            body,
            is_root,
            shard,
        })
    }

    /// Returns the time that is left.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the tokens in one event of the service's streams.
    pub(crate) fn event_tokens(&self) -> Tokens {
        let service = self.routes.services.get(&self.service);
        service.and_then(|it| it.engine).map_or(1, |it| it.event_tokens)
    }

    /// Counts tokens that have been handed to the caller.
    pub(crate) fn count_tokens(&self, tokens: Tokens) {
        if let Some(grant) = &self.grant {
            grant.used.fetch_add(tokens, Ordering::Relaxed);
        }
    }

    /// Takes note of the target that runs the call.
    pub(crate) fn set_target(&self, target: &TargetName) {
        if let Some(grant) = &self.grant {
            grant.visited().ran = Some(target.clone());
        }
    }

    /// Takes note of a target that failed the call.
    pub(crate) fn set_failed(&self, target: &TargetName) {
        if let Some(grant) = &self.grant {
            grant.visited().failed = Some(target.clone());
        }
    }

    /// Logs and counts the end of a call that reached a target.
    pub(crate) fn log_end(
        &self,
        outcome: &str,
        status: u16,
        target: &TargetName,
        tries: &Tries,
        first: Option<Duration>,
    ) {
        let (entry, call) = (&self.entry, &self.call);
        let kind = if self.route.is_stream() { "stream" } else { "whole" };
        let time = call.arrived.elapsed();
        entry.metrics.observe_call(kind, outcome, time);
        if let Some(first) = first {
            entry.metrics.first_seconds.observe(first.as_secs_f64());
        }
        let program = call.program.as_ref().map_or("", |it| it.program.as_str());
        let previous = call.previous.as_ref().map_or("", |it| it.as_str());
        let budget = call.program.as_ref().and_then(|it| it.budget).unwrap_or(0);
        info!(entry.logger, "call: ended"; "id" => %call.id, "program" => program,
            "previous" => previous, "budget" => budget, "route" => &*self.route.name, "routes" => self.routes.revision.0,
            "target" => %target, "home" => self.home.as_ref().map_or("", |it| it.as_str()),
            "outcome" => outcome, "status" => status, "sends" => tries.sends, "rank" => self.rank,
            "tokens" => self.grant.as_ref().map_or(0, Grant::used),
            "granted" => self.grant.as_ref().map_or(0, |it| it.tokens),
            "running" => tries.estimate.running, "to_read" => tries.estimate.uncached_tokens,
            "token_us" => (tries.estimate.per_token_s * 1e6) as u64,
            "first_ms" => first.map_or(0, |it| it.as_millis() as u64),
            "ms" => time.as_millis() as u64,
            "targets_age_ms" => entry.targets_age_ms());
    }
}

/// Refuses a new program whose turns have to be kept, if the log's outage outlasts its time.
///
/// The end of a kept turn is held back until it is in the log. How long the log stays away is not
/// known; an outage is expected to last as long again as it has lasted. A program that is to be
/// finished before that is told at once to come back. Programs under way go on: what was done for
/// them would be lost.
fn refuse_unkept(entry: &Entry, call: &Call, route: &Route, time: Duration) -> Result<(), Refusal> {
    let finish = call.program.as_ref().and_then(|it| it.finish_within).unwrap_or(time);
    let is_new = route.history.is_some() && call.previous.is_none();
    let outage = entry.log_outage().filter(|it| is_new && finish <= *it);
    let Some(outage) = outage else {
        return Ok(());
    };
    let detail = format!("no host has reached the log for {} ms", outage.as_millis());
    let refusal = Refusal::not_run(Reason::JournalUnavailable, detail);
    Err(refusal.retry_after(outage.clamp(MIN_OUTAGE_RETRY, MAX_OUTAGE_RETRY)))
}

/// Returns the body for the target, and whether it begins a chain.
async fn whole_body(
    entry: &Arc<Entry>,
    call: &Call,
    route: &Route,
    shard: u32,
    deadline: Instant,
) -> Result<(Bytes, bool), Refusal> {
    if route.history.is_none() {
        return Ok((call.body.clone(), true));
    }
    if call.resume_after.is_some() {
        let detail = "the events before the interruption are not kept, so the turn cannot go on";
        return Err(Refusal::not_run(Reason::HistoryNeeded, detail).retry_after(ROUTES_RETRY));
    }
    let Some(previous) = &call.previous else {
        return Ok((call.body.clone(), true));
    };
    let said = history::load_transcript(entry, shard, previous, deadline).await?;
    let mut body = BytesMut::with_capacity(said.text.len() + call.body.len());
    body.extend_from_slice(&said.text);
    body.extend_from_slice(&call.body);
    Ok((body.freeze(), said.cross_shard))
}

/// What the owner of a call's program has decided.
#[derive(Default)]
struct Admitted {
    grant: Option<Grant>,
    home: Option<TargetName>,
    underway: bool,
}

/// Asks the program's owner for the tokens of a turn.
async fn admit(
    entry: &Arc<Entry>,
    call: &Call,
    route: &Route,
    shard: u32,
    deadline: Instant,
) -> Result<Admitted, Refusal> {
    let (Some(tag), Some(prompt), true) = (&call.program, &call.prompt, route.is_stream()) else {
        return Ok(Admitted::default());
    };
    let Some(budget) = tag.budget else {
        return Ok(Admitted::default());
    };
    if entry.is_isolated() {
        let detail = "this host reaches neither the store nor any other host";
        return Err(Refusal::not_run(Reason::NotOwner, detail).retry_after(ELSEWHERE_RETRY));
    }
    let ask = GrantRequest {
        program: tag.program.clone(),
        session: tag.session.clone(),
        request: call.id.clone(),
        budget,
        tokens: prompt.max_output,
        grant: GrantId(entry.random.next_u64()),
    };
    // The grant is returned if the caller leaves while the owner decides.
    let grant = Grant::new(entry, shard, tag, &ask);
    match grants::request_grant(entry, shard, &ask, &grant.asked, deadline).await {
        Ok(Verdict::Granted { home, underway }) => {
            Ok(Admitted { grant: Some(grant), home, underway })
        }
        Ok(Verdict::Spent) => {
            let detail = format!("the budget of {budget} does not hold {} more", ask.tokens);
            Err(Refusal::not_run(Reason::BudgetSpent, detail))
        }
        Ok(Verdict::Record(_) | Verdict::Uncertain | Verdict::Closed) => {
            let detail = "other turns may have used the rest of the budget";
            let refusal = Refusal::not_run(Reason::BudgetNotJournalled, detail);
            Err(refusal.retry_after(UNCERTAIN_RETRY))
        }
        Err(refusal) => Err(refusal),
    }
}

/// Returns the rank among an engine's requests: by priority, programs under way first.
fn rank(route: &Route, is_underway: bool) -> u8 {
    (route.priority.saturating_mul(2) + u8::from(!is_underway)).min(LAST_RANK)
}

/// The targets that a call was sent to, as far as its program's owner needs to know them.
#[derive(Clone, Debug, Default)]
struct Visited {
    /// The last one that ran it.
    ran: Option<TargetName>,
    /// The last one that failed it.
    failed: Option<TargetName>,
}

/// Tokens that the owner has granted; what was not used goes back when it is dropped.
struct Grant {
    entry: Arc<Entry>,
    shard: u32,
    ask: GrantRequest,
    tokens: Tokens,
    asked: AskedHosts,
    used: AtomicU64,
    visited: Mutex<Visited>,
}

impl Grant {
    fn new(entry: &Arc<Entry>, shard: u32, tag: &ProgramContext, ask: &GrantRequest) -> Grant {
        debug_assert_eq!(tag.program, ask.program);
        Grant {
            entry: entry.clone(),
            shard,
            ask: ask.clone(),
            tokens: ask.tokens,
            asked: AskedHosts::default(),
            used: AtomicU64::new(0),
            visited: Mutex::default(),
        }
    }

    fn visited(&self) -> MutexGuard<'_, Visited> {
        self.visited.lock().expect("no holder of the visited targets panics")
    }

    fn used(&self) -> Tokens {
        self.used.load(Ordering::Relaxed)
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        let Visited { ran, failed } = self.visited().clone();
        let settlement = Settlement {
            program: self.ask.program.clone(),
            session: self.ask.session.clone(),
            request: self.ask.request.clone(),
            used: self.used(),
            target: ran,
            failed,
            grant: self.ask.grant,
        };
        grants::report_settlement(&self.entry, self.shard, &self.asked, settlement);
    }
}
