//! Finds out at which version of the software a stream began, so that it goes on only there.
//!
//! The host that forwards the first event of a stream knows the version, but may be gone when the
//! caller takes the stream up at another host. While targets of a service run more than one version,
//! it therefore tells two other hosts, which all hosts can name: see [`select_replicas`]. See
//! `docs/design/versions.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use futures::{StreamExt, stream::FuturesUnordered};
use rosethread_membership::ClusterView;
use rosethread_policy::select_replicas;
use rosethread_types::{NodeName, Reason, Refusal, RequestId, ServiceName, SoftwareVersion};
use slog::{info, warn};
use tokio::time::timeout;

use crate::{
    call::Call,
    entry::Entry,
    fingerprint::Fingerprint,
    peers::{PeerReply, PeerRequest},
    registry::TargetStatus,
    software::{self, Certainty, Confirmation},
};

/// The hosts that are told of a stream's version, beside the one that forwards the stream.
const REPLICAS: usize = 2;

/// The hosts that are asked for it: one of those told may have been lost, or not be known here yet.
const ASKED_HOSTS: usize = REPLICAS + 2;

/// The time in which the asked hosts answer. A host that was lost a moment ago does not.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// The time in which they answer if they read the registry before.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a stream's version is kept: longer than callers wait for the end of a stream.
const ORIGIN_LIFETIME: Duration = Duration::from_secs(60);

/// The age up to which a stream may still be under way when a second version appears.
const MAX_STREAM_AGE: Duration = Duration::from_secs(15);

/// The most streams whose version is kept; beyond them the oldest quarter is dropped.
const MAX_ORIGINS: usize = 20_000;

/// The most streams in one request to another host.
const MAX_TOLD: usize = 1_000;

/// The retry delay for a caller whose stream cannot go on: only a new stream helps, so that the
/// next attempt should fail soon.
const LOST_STREAM_RETRY: Duration = Duration::from_millis(20);

/// A version of software; `None` for targets whose registration names none.
pub type Software = Option<SoftwareVersion>;

/// A version of a service's software.
pub type ServiceSoftware = (ServiceName, Software);

/// The versions that the targets of each service run or ran a short time ago.
pub(crate) type SoftwareByService = BTreeMap<ServiceName, BTreeSet<Software>>;

/// The versions that may run a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AllowedSoftware {
    /// Nothing of the stream has been sent yet.
    Any,
    /// The version that began the stream.
    Only(Software),
}

impl AllowedSoftware {
    /// Returns whether a target with this version may run the call.
    pub(crate) fn allows(&self, software: &Software) -> bool {
        match self {
            AllowedSoftware::Any => true,
            AllowedSoftware::Only(allowed) => allowed == software,
        }
    }
}

#[derive(Clone, Debug)]
struct Origin {
    software: Software,
    recorded: Duration,
    /// Whether this host forwarded the stream, rather than being told of it.
    is_own: bool,
}

/// The versions at which streams began, by a digest of the attempt that brought the first event.
#[derive(Default)]
pub(crate) struct Origins(Mutex<BTreeMap<u64, Origin>>);

impl Origins {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, Origin>> {
        self.0.lock().expect("no holder of the origins lock panics")
    }

    fn record(&self, key: u64, software: Software, is_own: bool, now: Duration) {
        let mut origins = self.lock();
        origins.insert(key, Origin { software, recorded: now, is_own });
        if MAX_ORIGINS < origins.len() {
            // A quarter at once, so that finding the oldest costs little per stream.
            let mut times: Vec<Duration> = origins.values().map(|it| it.recorded).collect();
            let (_, cutoff, _) = times.select_nth_unstable(MAX_ORIGINS / 4);
            let cutoff = *cutoff;
            origins.retain(|_, it| cutoff < it.recorded);
        }
    }

    /// Returns the version at which the stream `key` began, if this host knows it.
    pub(crate) fn find(&self, key: u64) -> Option<Software> {
        self.lock().get(&key).map(|it| it.software.clone())
    }

    /// Records what other hosts told.
    pub(crate) fn record_told(&self, told: Vec<(u64, Software)>, now: Duration) {
        told.into_iter().for_each(|(key, software)| self.record(key, software, false, now));
    }

    /// Removes the streams that are too old to be taken up, and returns how many are left.
    pub(crate) fn expire(&self, now: Duration) -> usize {
        let mut origins = self.lock();
        origins.retain(|_, it| now < it.recorded + ORIGIN_LIFETIME);
        origins.len()
    }

    /// Returns the streams that this host has forwarded of late.
    fn recent(&self, now: Duration) -> Vec<(u64, Software)> {
        let origins = self.lock();
        let is_recent = |it: &Origin| it.is_own && now < it.recorded + MAX_STREAM_AGE;
        let recent = origins.iter().filter(|(_, it)| is_recent(it));
        recent.map(|(key, it)| (*key, it.software.clone())).collect()
    }
}

/// The digest under which hosts keep the version of the stream that `attempt` began.
fn origin_key(entry: &Entry, attempt: &RequestId) -> u64 {
    let Fingerprint(key) = entry.attempt_fingerprint(attempt);
    key
}

/// Records the version of the target that sent the first event of a call's stream, and tells other
/// hosts if it matters.
pub(crate) fn record_start(
    entry: &Arc<Entry>,
    call: &Call,
    service: &ServiceName,
    software: Software,
) {
    let attempt = call.resumes.as_ref().unwrap_or(&call.turn);
    let key = origin_key(entry, attempt);
    entry.origins.record(key, software.clone(), true, entry.now());
    if 1 < entry.software(service).len() {
        tell(entry, vec![(key, software)]);
    }
}

/// Tells other hosts of the streams under way, as a service has more than one version from now on.
pub(crate) fn tell_recent(entry: &Arc<Entry>) {
    let recent = entry.origins.recent(entry.now());
    info!(entry.logger, "origins: a second version appeared"; "streams" => recent.len());
    for part in recent.chunks(MAX_TOLD) {
        tell(entry, part.to_vec());
    }
}

/// Sends the versions of streams to the hosts that keep them.
fn tell(entry: &Arc<Entry>, origins: Vec<(u64, Software)>) {
    let view = entry.view();
    let own = &entry.settings.node;
    let mut told: BTreeMap<&NodeName, Vec<(u64, Software)>> = BTreeMap::new();
    for (key, software) in &origins {
        let hosts = view.live().map(|it| &it.node).filter(|it| *it != own);
        for host in select_replicas(*key, hosts, REPLICAS) {
            told.entry(host).or_default().push((*key, software.clone()));
        }
    }
    for (host, origins) in told {
        let Some(to) = view.get(host).map(|it| it.contact.peer) else {
            continue;
        };
        let (entry, host) = (entry.clone(), host.clone());
        entry.tasks.clone().spawn(async move {
            let count = origins.len();
            if let Err(error) = entry.peers.request(to, PeerRequest::NoteOrigins { origins }).await
            {
                info!(entry.logger, "origins: a host was not told"; "host" => %host,
                    "streams" => count, "error" => %error);
            }
        });
    }
}

/// Returns the versions that may run a call: for a stream that its caller takes up, the one that
/// began it. Refuses a stream that cannot go on.
pub(crate) async fn find_allowed(
    entry: &Arc<Entry>,
    call: &Call,
    service: &ServiceName,
) -> Result<AllowedSoftware, Refusal> {
    if call.resume_after.is_none() {
        return Ok(AllowedSoftware::Any);
    }
    let found = find_software(entry, call, service).await;
    let attempt = call.resumes.as_ref().map_or("", |it| it.as_str());
    info!(entry.logger, "origins: a stream is taken up"; "id" => %call.id, "resumes" => attempt,
        "began_at" => ?found, "software" => ?entry.software(service),
        "certainty" => ?entry.software_history.certainty(entry.now()),
        "targets_age_ms" => entry.targets_age_ms(),
        "store_silence_ms" => entry.time_since_store_response().as_millis() as u64,
        "live_hosts" => entry.view().live().count());
    let refuse = |detail: String| {
        entry.metrics.lost_streams.inc();
        Err(Refusal::not_run(Reason::NoTarget, detail).retry_after(LOST_STREAM_RETRY))
    };
    let Some(software) = found else {
        return refuse(match &call.resumes {
            Some(_) => format!("no host knows the version of {service} that began {attempt}"),
            None => "the call does not say which attempt began the stream".to_owned(),
        });
    };
    if !has_target(entry, service, &software) {
        // It may have registered since the last read.
        software::confirm(entry).await;
    }
    if !has_target(entry, service, &software) {
        let version = software.as_ref().map_or("without a version", |it| it.as_str());
        return refuse(format!("no target of {service} runs {version}, which began {attempt}"));
    }
    // Also where there is one version: a target of another one may register before the call is sent.
    Ok(AllowedSoftware::Only(software))
}

/// Returns whether a ready target of a service runs a version.
fn has_target(entry: &Entry, service: &ServiceName, software: &Software) -> bool {
    let targets = entry.targets();
    let mut ready = targets.values().filter(|it| it.status == TargetStatus::Ready);
    ready.any(|it| it.service == *service && it.software == *software)
}

/// Returns the version that began the stream which a call takes up: what a host knows of the stream, or
/// the service's only version.
async fn find_software(entry: &Arc<Entry>, call: &Call, service: &ServiceName) -> Option<Software> {
    let key = call.resumes.as_ref().map(|it| origin_key(entry, it));
    if let Some(software) = key.and_then(|it| entry.origins.find(it)) {
        return Some(software);
    }
    if entry.software(service).len() <= 1 {
        let confirmation = software::confirm(entry).await;
        let known = entry.software(service);
        if known.len() <= 1 {
            if confirmation.is_certain() {
                return known.into_iter().next();
            }
            return confirm_with_hosts(entry, call, service, key, confirmation).await;
        }
    }
    let found = ask_hosts(entry, key?).await;
    if found.is_none() {
        warn!(entry.logger, "origins: no host knows where a stream began"; "id" => %call.id);
    }
    found
}

/// Asks other hosts for a service's versions and for the one at which a stream began, as this host counts
/// one version and cannot be certain that there is no other.
///
/// A host that is certain decides. Where none is, as no host reaches the store, a stream goes on if enough
/// hosts say that they don't know it: a host that had read of a second version has told two of them.
async fn confirm_with_hosts(
    entry: &Arc<Entry>,
    call: &Call,
    service: &ServiceName,
    key: Option<u64>,
    own: Confirmation,
) -> Option<Software> {
    let view = entry.view();
    let contacts =
        replica_contacts(entry, &view, key.unwrap_or_else(|| origin_key(entry, &call.turn)));
    let asked = contacts.len();
    let request = || PeerRequest::ConfirmSoftware { service: service.clone(), key };
    let mut replies: FuturesUnordered<_> =
        contacts.into_iter().map(|to| entry.peers.request(to, request())).collect();
    let mut known = entry.software(service);
    let (mut answered, mut is_certain) = (0, false);
    let collecting = async {
        while let Some(reply) = replies.next().await {
            let Ok(PeerReply::Software { origin, software, is_certain: is_certain_there }) = reply
            else {
                continue;
            };
            if origin.is_some() {
                return origin;
            }
            answered += 1;
            is_certain |= is_certain_there;
            if is_certain_there && software.len() == 1 {
                return software.into_iter().next();
            }
            known.extend(software);
        }
        None
    };
    if let Ok(Some(software)) = timeout(CONFIRM_TIMEOUT, collecting).await {
        return Some(software);
    }
    let quorum = (asked + 1).saturating_sub(REPLICAS).max(1);
    let is_alone = view.nodes.len() <= 1;
    let is_enough = quorum <= answered || is_alone && own.is_fresh;
    let may_decide = is_enough && !is_certain && Certainty::Likely <= own.certainty;
    let may_go_on = may_decide && known.len() == 1;
    info!(entry.logger, "origins: no host is certain of a service's only version"; "id" => %call.id,
        "asked" => asked, "answered" => answered, "software" => ?known, "is_fresh" => own.is_fresh,
        "certainty" => ?own.certainty, "may_go_on" => may_go_on);
    if may_go_on { known.pop_first() } else { None }
}

/// Returns the addresses of the hosts that may keep the version of the stream `key`.
fn replica_contacts(entry: &Entry, view: &ClusterView, key: u64) -> Vec<SocketAddr> {
    let own = &entry.settings.node;
    let hosts = view.live().map(|it| &it.node).filter(|it| *it != own);
    let asked = select_replicas(key, hosts, ASKED_HOSTS);
    asked.into_iter().filter_map(|it| view.get(it)).map(|it| it.contact.peer).collect()
}

/// Asks the hosts that may keep a stream's version, all at once, and returns the first answer.
async fn ask_hosts(entry: &Arc<Entry>, key: u64) -> Option<Software> {
    let contacts = replica_contacts(entry, &entry.view(), key);
    let request = |to| entry.peers.request(to, PeerRequest::FindOrigin { key });
    let mut replies: FuturesUnordered<_> = contacts.into_iter().map(request).collect();
    let first = async {
        while let Some(reply) = replies.next().await {
            if let Ok(PeerReply::Origin(Some(software))) = reply {
                return Some(software);
            }
        }
        None
    };
    timeout(ANSWER_TIMEOUT, first).await.unwrap_or(None)
}
