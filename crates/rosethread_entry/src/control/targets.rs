//! Follows the registered targets, from the store or, while it is away, from another host.

use std::{sync::Arc, time::Duration};

use rosethread_platform::StoreError;
use rosethread_runtime::Tick;
use rosethread_types::TargetName;
use slog::{info, warn};

use crate::{
    entry::Entry,
    peers::{PeerReply, PeerRequest},
    ports::TargetChanges,
    registry::Target,
};

/// The time between two reads of the registry.
const PERIOD: Duration = Duration::from_millis(700);

/// The age of this host's knowledge from which it asks another host for its own.
const OLD: Duration = Duration::from_millis(1_000);

/// Takes changes of the registered targets until the process ends.
pub(super) async fn follow(entry: Arc<Entry>) {
    let mut ticks = entry.timer.every(PERIOD);
    let mut is_up = true;
    loop {
        match entry.targets_source.fetch_changes().await {
            Ok(changes) => {
                if !std::mem::replace(&mut is_up, true) {
                    info!(entry.logger, "store: regained"; "part" => "targets");
                }
                entry.record_log_response();
                take(&entry, changes);
            }
            Err(error) => {
                lose(&entry, std::mem::replace(&mut is_up, false), &error);
                if OLD < entry.targets_age() {
                    ask_peer(&entry).await;
                }
            }
        }
        if ticks.recv().await != Some(Tick) {
            return;
        }
    }
}

fn lose(entry: &Entry, was_up: bool, error: &StoreError) {
    if was_up {
        warn!(entry.logger, "store: lost"; "part" => "targets", "error" => %error);
    }
    let mut registry = entry.registry.lock().expect("no holder of the registry panics");
    registry.set_away(true, entry.now());
}

fn take(entry: &Entry, changes: TargetChanges) {
    let now = entry.now();
    let mut gone = Vec::new();
    {
        let mut registry = entry.registry.lock().expect("no holder of the registry panics");
        registry.set_away(false, now);
        if changes.is_complete {
            gone = registry.retain(changes.registered.iter().map(|it| &it.name), now);
        }
        for target in changes.registered {
            registry.put(target);
        }
        for name in changes.removed {
            if registry.remove(&name, now) {
                gone.push(name);
            }
        }
        gone.extend(registry.expire(now));
    }
    entry.set_targets_read(now);
    publish(entry, &gone);
}

/// Makes the registry's state the one that calls go by, and logs what has changed.
fn publish(entry: &Entry, gone: &[TargetName]) {
    let targets = entry.registry.lock().expect("no holder of the registry panics").targets();
    let old = entry.targets();
    for name in gone {
        info!(entry.logger, "targets: gone"; "target" => %name);
        entry.forget_target(name);
    }
    let mut is_changed = targets.len() != old.len();
    for (name, target) in &targets {
        let before = old.get(name);
        let is_same = before.is_some_and(|it| {
            it.status == target.status && it.start == target.start && it.address == target.address
        });
        if is_same {
            continue;
        }
        is_changed = true;
        if before.is_some_and(|it| it.start != target.start || it.address != target.address) {
            entry.forget_target(name);
        }
        info!(entry.logger, "targets: changed"; "target" => %name, "service" => %target.service,
            "status" => ?target.status, "start" => target.start.0, "version" => target.version,
            "address" => %target.address);
    }
    entry.metrics.targets.set(targets.len() as i64);
    if is_changed {
        entry.targets.send_replace(Arc::new(targets));
    }
}

/// Returns the targets that this host knows, for one that the store turns away.
pub(crate) fn targets_reply(entry: &Entry) -> PeerReply {
    let age = entry.registry.lock().expect("no holder of the registry panics").age(entry.now());
    let Some(age) = age else {
        return PeerReply::Unable("no targets are known yet".to_owned());
    };
    let targets: Vec<Target> = entry.targets().values().cloned().collect();
    PeerReply::Targets { targets, age_ms: age.as_millis() as u64 }
}

/// Takes over what another host knows, if that is newer.
async fn ask_peer(entry: &Entry) {
    let view = entry.view();
    let peers: Vec<_> = view.live().filter(|it| it.node != entry.settings.node).collect();
    if peers.is_empty() {
        return;
    }
    let peer = peers[entry.random.next_u64() as usize % peers.len()];
    let reply = entry.peers.request(peer.contact.peer, PeerRequest::Targets).await;
    let Ok(PeerReply::Targets { targets, age_ms }) = reply else {
        return;
    };
    let age = Duration::from_millis(age_ms);
    if entry.targets_age() <= age {
        return;
    }
    let now = entry.now();
    let gone;
    {
        let mut registry = entry.registry.lock().expect("no holder of the registry panics");
        registry.see_elsewhere(now.saturating_sub(age));
        gone = registry.retain_peers(targets.iter().map(|it| &it.name));
        for target in targets {
            registry.put(target);
        }
    }
    entry.set_targets_read(now.saturating_sub(age));
    publish(entry, &gone);
}
