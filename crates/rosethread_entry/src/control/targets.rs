//! Keeps the list of registered targets up to date, from the store or, in an outage, from a peer.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use rosethread_platform::SharedLogError;
use rosethread_runtime::Tick;
use rosethread_types::{ServiceName, TargetName};
use slog::{info, warn};
use tokio::time::{Instant, sleep_until};

use crate::{
    entry::Entry,
    origins::{self, ServiceSoftware, SoftwareByService},
    peers::{PeerReply, PeerRequest},
    ports::TargetChanges,
    registry::Target,
};

/// The period at which the registry in the store is read.
const READ_PERIOD: Duration = Duration::from_millis(700);

/// The minimum time from one read of the registry to the next that calls wait for.
const MIN_READ_PERIOD: Duration = Duration::from_millis(50);

/// The age of the target list from which this host asks a peer for a newer one.
const MAX_AGE: Duration = Duration::from_millis(1_000);

/// Applies changes from the registry in the store until the process ends.
pub(super) async fn follow_store(entry: Arc<Entry>) {
    let mut ticks = entry.timer.every(READ_PERIOD);
    let mut was_reachable = true;
    loop {
        let began = Instant::now();
        let number = entry.registry_reads.begin();
        match entry.targets_source.fetch_changes().await {
            Ok(changes) => {
                if !std::mem::replace(&mut was_reachable, true) {
                    info!(entry.logger, "store: regained"; "part" => "targets");
                    entry.store_regained.notify_waiters();
                }
                entry.record_store_response();
                let has_more = changes.has_more;
                apply_changes(&entry, changes);
                if has_more {
                    continue;
                }
                entry.registry_reads.end(number, true);
            }
            Err(error) => {
                record_failure(&entry, std::mem::replace(&mut was_reachable, false), &error);
                entry.registry_reads.end(number, false);
                if MAX_AGE < entry.targets_age() {
                    fetch_from_peer(&entry).await;
                }
            }
        }
        tokio::select! {
            tick = ticks.recv() => if tick != Some(Tick) {
                return;
            },
            () = entry.registry_reads.wait_until_wanted() => {
                sleep_until(began + MIN_READ_PERIOD).await;
            }
        }
    }
}

/// Marks the store as unreachable; logs only the first failure of an outage.
fn record_failure(entry: &Entry, was_reachable: bool, error: &SharedLogError) {
    if was_reachable {
        warn!(entry.logger, "store: lost"; "part" => "targets", "error" => %error);
    }
    let mut registry = entry.registry.lock().expect("the lock is not poisoned");
    registry.set_unreachable(true, entry.now());
}

/// Updates the registry with changes from the store.
fn apply_changes(entry: &Arc<Entry>, changes: TargetChanges) {
    let now = entry.now();
    let mut removed = Vec::new();
    if changes.is_complete {
        entry.software_history.record_gap(now);
    }
    {
        let mut registry = entry.registry.lock().expect("the lock is not poisoned");
        registry.set_unreachable(false, now);
        if changes.is_complete {
            removed = registry.apply_listing(changes.registered.iter().map(|it| &it.name), now);
        }
        for target in changes.registered {
            registry.replace(target);
        }
        for name in changes.removed {
            if registry.handle_missing(&name, now) {
                removed.push(name);
            }
        }
        removed.extend(registry.remove_missing(now));
    }
    if !changes.has_more {
        entry.record_targets_read(now);
    }
    publish_targets(entry, &removed);
}

/// Makes the registry's targets the ones that calls can use, and logs the changes.
fn publish_targets(entry: &Arc<Entry>, removed: &[TargetName]) {
    // Held to the end, so that calls and the control thread don't publish in the wrong order.
    let mut registry = entry.registry.lock().expect("the lock is not poisoned");
    let targets = registry.targets();
    let old = entry.targets();
    for name in removed {
        info!(entry.logger, "targets: removed"; "target" => %name);
        entry.forget_target(name);
    }
    let mut is_changed = targets.len() != old.len();
    for (name, target) in &targets {
        let previous = old.get(name);
        // A target's reports change its registration's version all the time, and its warm-up time.
        let is_same = previous.is_some_and(|it| {
            *it == Target { version: it.version, cold: it.cold, ..target.clone() }
        });
        if is_same {
            continue;
        }
        is_changed = true;
        if previous.is_some_and(|it| it.start != target.start || it.address != target.address) {
            entry.forget_target(name);
        }
        info!(entry.logger, "targets: updated"; "target" => %name, "service" => %target.service,
            "status" => ?target.status, "start" => target.start.0, "version" => target.version,
            "address" => %target.address,
            "software" => target.software.as_ref().map_or("", |it| it.as_str()));
    }
    publish_software(entry, registry.software(entry.now()));
    entry.metrics.targets.set(targets.len() as i64);
    if is_changed {
        entry.targets.send_replace(Arc::new(targets));
    }
}

/// Publishes the versions of the software of all services. Other hosts hear of the streams under way
/// when a service has a second one.
fn publish_software(entry: &Arc<Entry>, software: SoftwareByService) {
    let before = entry.software.borrow().clone();
    if *before == software {
        return;
    }
    let count = |all: &SoftwareByService, it: &ServiceName| all.get(it).map_or(0, BTreeSet::len);
    let is_mixed_now = |it: &ServiceName| count(&before, it) == 1 && 1 < count(&software, it);
    let has_news = software.keys().any(is_mixed_now);
    for (service, versions) in &software {
        info!(entry.logger, "targets: versions of a service"; "service" => %service,
            "software" => ?versions);
    }
    entry.software.send_replace(Arc::new(software));
    if has_news {
        origins::tell_recent(entry);
    }
}

/// Counts the versions in the record as if their targets had just left.
pub(super) fn add_recorded(entry: &Arc<Entry>, recorded: &BTreeSet<ServiceSoftware>) {
    let mut registry = entry.registry.lock().expect("the lock is not poisoned");
    registry.add_software(recorded, entry.now());
    publish_software(entry, registry.software(entry.now()));
}

/// Excludes a target from new calls because it said in a response that it is leaving.
pub(crate) fn exclude_leaving(entry: &Arc<Entry>, target: &Target) {
    let is_new = {
        let mut registry = entry.registry.lock().expect("the lock is not poisoned");
        registry.record_leaving(&target.name, target.start, entry.now())
    };
    if is_new {
        info!(entry.logger, "targets: a target says that it is leaving"; "target" => %target.name,
            "start" => target.start.0, "registered" => ?target.status);
        entry.metrics.leaving_targets.inc();
        publish_targets(entry, &[]);
    }
}

/// Returns the reply to a peer that does not reach the store and asks for this host's targets.
pub(crate) fn targets_reply(entry: &Entry) -> PeerReply {
    let registry = entry.registry.lock().expect("the lock is not poisoned");
    let Some(age) = registry.listing_age(entry.now()) else {
        return PeerReply::Unable("this host has no target list yet".to_owned());
    };
    let targets: Vec<Target> = registry.registered().into_values().collect();
    PeerReply::Targets { targets, age_ms: age.as_millis() as u64 }
}

/// Asks a random peer for its targets, and applies them if its list is newer.
async fn fetch_from_peer(entry: &Arc<Entry>) {
    let view = entry.view();
    let peers: Vec<_> = view.live().filter(|it| it.node != entry.settings.node).collect();
    if peers.is_empty() {
        return;
    }
    let peer = peers[entry.random.next_u64() as usize % peers.len()];
    let reply = entry.peers.request(peer.contact.peer, PeerRequest::Targets).await;
    let Ok(PeerReply::Targets { mut targets, age_ms }) = reply else {
        return;
    };
    // A peer of an earlier release lists them, and each peer those at this host's own addresses.
    let own_addresses = &entry.settings.addresses;
    targets.retain(|it| it.has_usable_address() && !own_addresses.accepts_at(it.address));
    let age = Duration::from_millis(age_ms);
    if entry.targets_age() <= age {
        return;
    }
    let now = entry.now();
    let removed;
    {
        let mut registry = entry.registry.lock().expect("the lock is not poisoned");
        registry.record_peer_response(now.saturating_sub(age));
        removed = registry.apply_peer_listing(targets.iter().map(|it| &it.name));
        for target in targets {
            registry.upsert(target);
        }
    }
    entry.record_targets_read(now.saturating_sub(age));
    publish_targets(entry, &removed);
}
