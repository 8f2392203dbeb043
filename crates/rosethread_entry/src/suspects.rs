//! Refuses calls that crash the targets which run them, and finds out about them.
//!
//! A host that loses its connection to a target while a call is starting there asks whether the
//! target's process has ended (see [`paths::has_ended`]). If so, it tells all others that the call was
//! starting at that run of the target. The policy for
//! what follows from these reports is in [`rosethread_policy::Suspects`]. See `docs/design/suspects.md`.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use rosethread_membership::{ClusterView, NOTICE_LIFETIME, Notice};
use rosethread_policy::{Suspects, Suspicion, was_starting};
use rosethread_types::{Reason, Refusal, TargetName};
use slog::{info, warn};
use tokio::time::sleep;

use crate::{
    call::{Call, PreparedCall},
    entry::Entry,
    fingerprint::Fingerprint,
    paths,
    registry::{Target, TargetStatus},
};

/// The delay from a lost connection to the check of the target's address. A process that ends closes
/// its connections and its listener one after the other.
const PROBE_DELAY: Duration = Duration::from_millis(20);

/// The most reports that wait to be sent to the other hosts, which happens ten times a second. More
/// than these come from the loss of many targets at once, which shows nothing of single calls.
const MAX_PENDING: usize = 256;

/// The calls that are suspected of crashing targets, as far as this host knows.
#[derive(Default)]
pub(crate) struct SuspectedCalls {
    /// What follows from the reports of all hosts; replaced when they change.
    known: Mutex<Arc<Suspects>>,
    /// What this host has found out and not yet told the others.
    pending: Mutex<Vec<Notice>>,
}

impl SuspectedCalls {
    fn known(&self) -> Arc<Suspects> {
        self.known.lock().expect("no holder of the suspects lock panics").clone()
    }

    /// Queues a report for all hosts; returns false if too many are waiting.
    fn tell(&self, notice: Notice) -> bool {
        let mut pending = self.pending.lock().expect("no holder of the notices lock panics");
        if pending.contains(&notice) {
            return true;
        }
        let has_room = pending.len() < MAX_PENDING;
        if has_room {
            pending.push(notice);
        }
        has_room
    }

    /// Takes what this host has found out since the last time.
    pub(crate) fn take_pending(&self) -> Vec<Notice> {
        std::mem::take(&mut *self.pending.lock().expect("no holder of the notices lock panics"))
    }

    /// Draws the conclusions from the notices in a view. Returns the calls that are refused from now
    /// on, each with its number of crashes, and those that no longer are.
    pub(crate) fn update(
        &self,
        view: &ClusterView,
    ) -> (BTreeMap<u64, usize>, BTreeMap<u64, usize>) {
        let mut suspects = Suspects::default();
        for notice in &view.notices {
            match *notice {
                Notice::Crash { call, run } => suspects.add_crash(call, run),
                Notice::Completed { call } => suspects.add_completed(call),
            }
        }
        let mut known = self.known.lock().expect("no holder of the suspects lock panics");
        if **known == suspects {
            return Default::default();
        }
        let (before, after) = (known.deadly(), suspects.deadly());
        *known = Arc::new(suspects);
        let only_in = |some: &BTreeMap<u64, usize>, others: &BTreeMap<u64, usize>| {
            some.iter().filter(|(it, _)| !others.contains_key(it)).map(|(k, v)| (*k, *v)).collect()
        };
        (only_in(&after, &before), only_in(&before, &after))
    }
}

/// Returns what a call may be refused for: its path, if all calls for it crash targets, and the call
/// itself.
///
/// Calls for a path may crash targets although their bodies differ. A path that other calls use
/// without harm is cleared by them.
fn fingerprints(entry: &Entry, call: &Call) -> [(&'static str, Fingerprint); 2] {
    [("path", entry.path_fingerprint(call)), ("call", entry.fingerprint(call))]
}

/// Returns a refusal for a call that crashes targets.
///
/// The caller is told to come back when the reports of these crashes have expired: until then a
/// repetition can't succeed, and a call that was refused wrongly may run after that.
pub(crate) fn refuse_deadly(entry: &Entry, call: &Call) -> Result<(), Refusal> {
    let suspects = entry.suspects.known();
    // The digest takes time in proportion to the body, and nearly always there is no suspect.
    if suspects.is_empty() {
        return Ok(());
    }
    for (what, fingerprint) in fingerprints(entry, call) {
        if let Suspicion::Deadly(crashes) = suspects.suspicion(fingerprint.0) {
            entry.metrics.deadly_calls.inc();
            let detail = format!("{crashes} targets have crashed under this {what}, {fingerprint}");
            let refusal = Refusal::not_run(Reason::CrashesTargets, detail);
            return Err(refusal.retry_after(NOTICE_LIFETIME));
        }
    }
    Ok(())
}

/// Finds out whether a target that broke off a call has crashed, and reports the call if so.
///
/// `output_time` is for how long the target had been sending output.
pub(crate) fn inspect_failure(prepared: &PreparedCall, name: &TargetName, output_time: Duration) {
    let entry = prepared.entry.clone();
    let target = entry.targets().get(name).cloned();
    // A target that is leaving, or whose registration is gone, ends without a crash.
    let Some(target) = target.filter(|it| it.status == TargetStatus::Ready) else {
        return;
    };
    if !was_starting(output_time) {
        return;
    }
    let fingerprints = fingerprints(&entry, &prepared.call);
    let id = prepared.call.id.clone();
    // The caller may leave, which ends its own tasks.
    entry.tasks.clone().spawn(async move {
        sleep(PROBE_DELAY).await;
        if !paths::has_ended(&entry, &target).await {
            return;
        }
        info!(entry.logger, "targets: a target crashed while a call was starting";
            "id" => %id, "target" => %target.name, "start" => target.start.0,
            "output_ms" => output_time.as_millis() as u64,
            "path_fingerprint" => %fingerprints[0].1, "fingerprint" => %fingerprints[1].1);
        entry.metrics.crashes.inc();
        for (_, Fingerprint(call)) in fingerprints {
            if !entry.suspects.tell(Notice::Crash { call, run: hash_run(&target) }) {
                warn!(entry.logger, "suspects: too many reports, dropping one"; "id" => %id);
            }
        }
    });
}

/// Clears a call that ran to its end, if it is suspected.
pub(crate) fn clear_completed(prepared: &PreparedCall) {
    let suspects = prepared.entry.suspects.known();
    if suspects.is_empty() {
        return;
    }
    for (_, Fingerprint(call)) in fingerprints(&prepared.entry, &prepared.call) {
        let is_suspected = suspects.suspicion(call) != Suspicion::None;
        if is_suspected && !prepared.entry.suspects.tell(Notice::Completed { call }) {
            warn!(prepared.entry.logger, "suspects: too many reports, dropping one";
                "id" => %prepared.call.id);
        }
    }
}

/// Returns a hash of a target's run that is the same at all hosts.
fn hash_run(target: &Target) -> u32 {
    let text = format!("{}/{}", target.name, target.start.0);
    // FNV-1a: stable between releases, unlike the hashers of the standard library.
    text.bytes().fold(0x811c_9dc5, |hash: u32, it| (hash ^ u32::from(it)).wrapping_mul(0x0100_0193))
}
