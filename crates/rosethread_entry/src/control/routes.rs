//! Keeps the routes up to date, from the store or from peers; the revision never decreases.

use std::{sync::Arc, time::Duration};

use rosethread_membership::{NodeState, Status};
use rosethread_runtime::Tick;
use slog::{debug, info, warn};
use tokio::time::{Instant, sleep};

use crate::{
    entry::Entry,
    peers::{PeerReply, PeerRequest},
    routes::Routes,
};

/// The delay before a retry after a failed read from the store.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The period at which the peers' revisions are compared with this host's own.
const PEER_PERIOD: Duration = Duration::from_millis(200);

/// Activates each new revision of the routes in the store.
///
/// The store's response to a long poll can be lost, and nothing on that connection tells it from a poll
/// without news. A poll is therefore no longer than a change may be late (see
/// [`TimeLimits::longest_read`](crate::TimeLimits::longest_read)), and one that was pending in an outage is
/// abandoned as soon as the store responds to another read.
pub(super) async fn follow_store(entry: Arc<Entry>) {
    let mut was_reachable = true;
    loop {
        let after = entry.routes().whole_revision();
        let started = Instant::now();
        let wait = entry.reloadable().bounds.longest_read();
        let fetched = tokio::select! {
            fetched = entry.routes_source.fetch_newer(after, wait) => fetched,
            () = entry.store_regained.notified() => {
                info!(entry.logger, "routes: reading again after an outage";
                    "pending_ms" => started.elapsed().as_millis() as u64);
                continue;
            }
        };
        match fetched {
            Ok(routes) => {
                entry.record_routes_read();
                if !std::mem::replace(&mut was_reachable, true) {
                    info!(entry.logger, "store: regained"; "part" => "routes");
                }
                if let Some(routes) = routes {
                    activate(&entry, routes, "store", started);
                }
            }
            Err(error) => {
                if std::mem::replace(&mut was_reachable, false) {
                    warn!(entry.logger, "store: lost"; "part" => "routes", "error" => %error,
                        "pending_ms" => started.elapsed().as_millis() as u64,
                        "routes_age_ms" => entry.routes_age().as_millis() as u64);
                }
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Fetches newer routes from a peer, for when this host does not reach the store.
pub(super) async fn follow_peers(entry: Arc<Entry>) {
    let mut ticks = entry.timer.every(PEER_PERIOD);
    let mut rounds = 0;
    while let Some(Tick) = ticks.recv().await {
        let own = entry.routes().whole_revision();
        let view = entry.view();
        let has_newer = |it: &&NodeState| own < it.summary.revision && it.status < Status::Suspect;
        let peers: Vec<&NodeState> = view.nodes.values().filter(has_newer).collect();
        // In turn, since some may not answer or not know who may use the routes.
        let Some(peer) = peers.get(rounds % peers.len().max(1)) else {
            continue;
        };
        rounds += 1;
        let started = Instant::now();
        match entry.peers.request(peer.contact.peer, PeerRequest::Routes).await {
            Ok(PeerReply::Routes(routes)) if may_need_access(&entry, &routes) => {
                debug!(entry.logger, "routes: a host of an earlier release does not know who may use them";
                    "peer" => %peer.node, "revision" => routes.revision.0);
            }
            Ok(PeerReply::Routes(routes)) => activate(&entry, routes, peer.node.as_str(), started),
            Ok(_) => warn!(entry.logger, "routes: unexpected reply"; "peer" => %peer.node),
            Err(error) => {
                warn!(entry.logger, "routes: failed to fetch from a peer"; "peer" => %peer.node,
                    "error" => %error);
            }
        }
    }
}

/// Returns whether routes lack who may use them, though they may name organisations: without that anyone
/// could use them.
fn may_need_access(entry: &Entry, routes: &Routes) -> bool {
    let own = entry.routes();
    routes.lacks_access && (own.revision.0 == 0 || own.organisations.is_some())
}

/// Returns whether routes are of the same revision as the active ones, and have what these lack.
fn completes(routes: &Routes, active: &Routes) -> bool {
    routes.revision == active.revision && active.lacks_access && !routes.lacks_access
}

/// Activates routes unless the active revision is as new or newer.
///
/// `source` is the name of the peer that sent the routes, or `store`, and `started` is when they were
/// requested. Both are only logged, so that a change which was late in the store can be told from one
/// whose read was pending across an outage.
fn activate(entry: &Entry, routes: Routes, source: &str, started: Instant) {
    let routes = routes.limited();
    let (revision, count) = (routes.revision, routes.count());
    let organisations = routes.organisations.as_ref().map_or(0, |it| it.iter().count());
    let ambiguous = routes.organisations.as_ref().map_or(0, |it| it.ambiguous_keys());
    let previous = entry.routes().revision;
    let is_activated = entry.routes.send_if_modified(|it| {
        let is_newer = it.revision < revision || completes(&routes, it);
        if is_newer {
            *it = Arc::new(routes);
        }
        is_newer
    });
    if is_activated {
        entry.metrics.revision.set(revision.0 as i64);
        info!(entry.logger, "routes: activated"; "revision" => revision.0, "before" => previous.0,
            "from" => source, "routes" => count, "organisations" => organisations,
            "ambiguous_keys" => ambiguous, "read_ms" => started.elapsed().as_millis() as u64,
            "store_silence_ms" => entry.time_since_store_response().as_millis() as u64);
    }
}
