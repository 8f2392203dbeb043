//! Which new programs this host refuses under load, and when their callers should come back.
//!
//! The decisions are `rosethread_policy`'s. This module keeps what they go by: the load of each service,
//! and the demand that this host sees. See `docs/design/contention.md`.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use rosethread_policy::{Backlog, Cause, Contention, Demand, Shedding, excess_calls, return_delay};
use rosethread_types::{Reason, Refusal, ServiceName};
use tokio::time::Instant;

use crate::{
    call::Call,
    choose::{ServiceLoad, service_load},
    entry::Entry,
    routes::Route,
};

/// Retry delay sent to callers of new programs while running programs use the slots.
const OVERLOAD_RETRY: Duration = Duration::from_millis(1_000);

/// The weight of the newest program in the mean number of calls.
const CALLS_EWMA_WEIGHT: f64 = 0.01;

/// What this host has seen of the programs at one service.
#[derive(Debug, Default)]
struct ServiceDemand {
    demand: Demand,
    /// Since when the load has called for refusals.
    refused_since: Option<Duration>,
    /// The part of the admitted calls that begin a program; 0 before the first call.
    new_part: f64,
}

impl ServiceDemand {
    fn observe_admitted(&mut self, is_new: bool) {
        let sample = f64::from(u8::from(is_new));
        if self.new_part == 0.0 {
            self.new_part = 1.0;
        }
        self.new_part += (sample - self.new_part) * CALLS_EWMA_WEIGHT;
    }

    /// Returns the mean number of calls of a program.
    fn calls(&self) -> f64 {
        if self.new_part == 0.0 { 1.0 } else { 1.0 / self.new_part }
    }
}

/// The demand at all services, as this host sees it.
#[derive(Debug, Default)]
pub(crate) struct Demands(Mutex<BTreeMap<ServiceName, ServiceDemand>>);

impl Demands {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServiceName, ServiceDemand>> {
        self.0.lock().expect("no holder of the demands lock panics")
    }
}

/// Refuses a call that begins a program, if the load of the service calls for it; counts all calls.
pub(crate) fn refuse_overload(
    entry: &Entry,
    call: &Call,
    route: &Route,
    service: &ServiceName,
    deadline: Instant,
    is_new: bool,
) -> Result<(), Refusal> {
    let now = entry.now();
    if !is_new {
        entry.demands.lock().entry(service.clone()).or_default().observe_admitted(false);
        return Ok(());
    }
    let settings = entry.reloadable().admission;
    let rules =
        Contention { by_priority: settings.by_priority, by_organisation: settings.by_organisation };
    let load = service_load(entry, service);
    let organisation = call.identity.organisation().map(|it| &it.name);
    let priority = call.priority(route);
    let mut demands = entry.demands.lock();
    let seen = demands.entry(service.clone()).or_default();
    seen.demand.observe(organisation, priority, now);
    let own = (organisation, priority);
    let shedding = rules.shed((load.running, load.slots), &seen.demand, own, now);
    if 0.0 < shedding.shed {
        seen.refused_since.get_or_insert(now);
    } else {
        seen.refused_since = None;
    }
    let Some(cause) = shedding.decide(entry.random.next_f64()) else {
        seen.observe_admitted(true);
        return Ok(());
    };
    let backlog = Backlog {
        excess: excess_calls(load.running, load.slots),
        running: load.running,
        service_s: load.service_s,
        calls: seen.calls(),
        lasted: seen.refused_since.map_or(Duration::ZERO, |it| now.saturating_sub(it)),
    };
    let rank = seen.demand.rank(priority, now);
    drop(demands);
    entry.metrics.shed.with_label_values(&[cause.label()]).inc();
    let mut detail = load.describe(service);
    if rules != Contention::default() {
        detail.push_str(&describe(cause, shedding, priority));
    }
    let mut delay = OVERLOAD_RETRY;
    if settings.forecast {
        delay = return_delay(backlog, rank, entry.random.next_f64());
        let finish = call.program.as_ref().and_then(|it| it.finish_within);
        let left = deadline.saturating_duration_since(Instant::now());
        let left = finish.map_or(left, |it| it.saturating_sub(call.arrived.elapsed()));
        detail.push_str(&format!(
            "; room is expected within {} ms, and the caller has {} ms left",
            backlog.time().as_millis(),
            left.as_millis()
        ));
    }
    Err(Refusal::not_run(Reason::Overloaded, detail).retry_after(delay))
}

/// Describes what a refusal went by, apart from the load.
fn describe(cause: Cause, shedding: Shedding, priority: u8) -> String {
    let percent = |part: f64| (part.clamp(0.0, 1.0) * 100.0).round();
    let share = shedding.share.map_or(String::new(), |it| {
        format!(", whose organisation sends {:.1} times its share", it.multiple)
    });
    format!(
        "; {}% of all new programs and {}% of those of priority {priority}{share} are refused, this one \
         because of its {}",
        percent(shedding.shed),
        percent(shedding.own),
        cause.label()
    )
}

impl ServiceLoad {
    fn describe(&self, service: &ServiceName) -> String {
        let ServiceLoad { running, slots, .. } = self;
        format!("{running} calls are running on the {slots} slots of {service}")
    }
}
