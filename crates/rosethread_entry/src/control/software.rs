//! Keeps a record of the versions of software that each service's targets run, in the platform's store.
//!
//! A host that has just started has not seen the targets that left before, but a stream that one of
//! them began may still be taken up. The record outlives all hosts. See `docs/design/versions.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use rosethread_platform::SharedLogError;
use rosethread_policy::select_replicas;
use rosethread_types::ServiceName;
use slog::{info, warn};
use tokio::time::{sleep, timeout};

use crate::{
    control::targets,
    entry::Entry,
    fingerprint::Fingerprint,
    origins::Software,
    software::{Certainty, RECORD_LAG},
};

/// The delay before a retry after a failed read or write.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The number of hosts that write changes of one service: a host may be lost before it does.
const WRITERS: usize = 3;

/// The time that each of them leaves to the one before it, at least.
const WRITER_DELAY: Duration = Duration::from_secs(1);

/// The time after which this host looks again for changes to record, although there are no new ones:
/// one of the writers may have been lost, or a write have failed.
const CHECK_PERIOD: Duration = Duration::from_secs(5);

/// The versions of each service that this host has last found, or made, equal to the record.
type Compared = BTreeMap<ServiceName, BTreeSet<Software>>;

/// Reads the record at the start, and whenever this host may have missed versions that came and went:
/// at once, and again when the other hosts have written what they had seen.
pub(super) async fn read_after_gaps(entry: Arc<Entry>) {
    let gap_found = &entry.software_history.gap_found;
    loop {
        read_record(&entry).await;
        if timeout(RECORD_LAG, gap_found.notified()).await.is_err() {
            read_record(&entry).await;
            gap_found.notified().await;
        }
    }
}

/// Writes what changes.
pub(super) async fn follow_record(entry: Arc<Entry>) {
    // Until it has read the record, this host does not know what is to be taken out of it.
    let is_unknown = || entry.software_history.certainty(entry.now()) == Certainty::Unknown;
    let mut changes = entry.software.subscribe();
    let mut compared = Compared::new();
    loop {
        while is_unknown() {
            sleep(RETRY_DELAY).await;
        }
        let current = changes.borrow_and_update().clone();
        // The changes that are this host's first come before those that it may leave to others.
        for rank in 0..WRITERS {
            let is_due = |it: &&ServiceName| {
                compared.get(*it) != current.get(*it) && writer_rank(&entry, it) == Some(rank)
            };
            let due: Vec<&ServiceName> = current.keys().filter(is_due).collect();
            if rank != 0 && !due.is_empty() {
                sleep(WRITER_DELAY).await;
            }
            for service in due {
                match record_service(&entry, service, &current[service]).await {
                    Ok(()) => {
                        compared.insert(service.clone(), current[service].clone());
                    }
                    Err(error) => {
                        warn!(entry.logger, "software: cannot record"; "service" => %service,
                            "error" => %error);
                        sleep(RETRY_DELAY).await;
                    }
                }
            }
        }
        // An error means that the entry is gone, and a timeout that nothing has changed.
        if let Ok(Err(_)) = timeout(CHECK_PERIOD, changes.changed()).await {
            return;
        }
    }
}

/// Returns this host's place among the writers of a service, if it is one.
fn writer_rank(entry: &Entry, service: &ServiceName) -> Option<usize> {
    let view = entry.view();
    let Fingerprint(key) = entry.service_fingerprint(service);
    let writers = select_replicas(key, view.live().map(|it| &it.node), WRITERS);
    writers.iter().position(|it| **it == entry.settings.node)
}

/// Reads the record, and counts the versions that it has.
async fn read_record(entry: &Arc<Entry>) {
    let mut is_first = true;
    loop {
        let began = entry.now();
        match entry.software_record.read().await {
            Ok(recorded) => {
                info!(entry.logger, "software: read the record"; "versions" => recorded.len());
                targets::add_recorded(entry, &recorded);
                entry.software_history.record_read(began);
                return;
            }
            Err(error) => {
                if std::mem::replace(&mut is_first, false) {
                    warn!(entry.logger, "software: cannot read the record"; "error" => %error);
                }
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Writes the versions of a service that differ from the record.
///
/// It reads the record first, as another writer has mostly been there before.
async fn record_service(
    entry: &Entry,
    service: &ServiceName,
    current: &BTreeSet<Software>,
) -> Result<(), SharedLogError> {
    let all = entry.software_record.read().await?;
    let of_service = all.into_iter().filter(|(it, _)| it == service);
    let recorded: BTreeSet<Software> = of_service.map(|(_, software)| software).collect();
    for software in current.symmetric_difference(&recorded) {
        let is_present = current.contains(software);
        entry.software_record.write(service, software, is_present).await?;
        info!(entry.logger, "software: recorded a version"; "service" => %service,
            "software" => software.as_ref().map_or("", |it| it.as_str()), "present" => is_present);
    }
    Ok(())
}
