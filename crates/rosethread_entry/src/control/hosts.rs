//! Meets the other hosts: by the seeds of the settings, and by what each writes to the shared log.
//!
//! Neither says that a host runs. Addresses are greeted, and whoever answers becomes known.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use kameo::actor::ActorRef;
use rosethread_platform::{Partition, StoreError};
use rosethread_runtime::{MembershipActor, PingAddresses, Tick};
use slog::{debug, warn};

use crate::entry::Entry;

/// The time between two greetings of the seeds.
const SEED_PERIOD: Duration = Duration::from_secs(1);

/// The time between two reads of the hosts' topic.
const READ_PERIOD: Duration = Duration::from_secs(5);

/// Reads after which a host writes its address once more, well before the record expires.
const WRITE_EVERY: u32 = 12;

/// Bytes asked for by one read.
const READ_BYTES: usize = 64 << 10;

/// Greets the hosts that the settings name, again and again, so that parted groups meet again.
pub(super) async fn greet_seeds(entry: Arc<Entry>, members: ActorRef<MembershipActor>) {
    let port = entry.settings.addresses.heartbeat.port();
    let seeds: Vec<SocketAddr> =
        entry.settings.seeds.iter().map(|it| SocketAddr::new(it.ip(), port)).collect();
    let mut ticks = entry.timer.every(SEED_PERIOD);
    loop {
        if members.tell(PingAddresses(seeds.clone())).await.is_err()
            || ticks.recv().await != Some(Tick)
        {
            return;
        }
    }
}

/// Writes this host's address to the log, and greets those that others wrote.
pub(super) async fn follow_hosts(entry: Arc<Entry>, members: ActorRef<MembershipActor>) {
    let topic = "rosethread-hosts".parse().expect("the name is valid");
    let partition = Partition { topic, index: 0 };
    let own = entry.settings.addresses.heartbeat.to_string();
    let mut ticks = entry.timer.every(READ_PERIOD);
    let mut next = 0;
    for round in 0_u32.. {
        if round % WRITE_EVERY == 0 {
            let record = Bytes::from(own.clone());
            if let Err(error) = entry.shared_log.append(&partition, &[record], None).await {
                warn!(entry.logger, "hosts: the address was not written"; "error" => %error);
            }
        }
        let addresses = match read(&entry, &partition, &mut next).await {
            Ok(addresses) => addresses,
            Err(error) => {
                debug!(entry.logger, "hosts: the log was not read"; "error" => %error);
                Vec::new()
            }
        };
        if members.tell(PingAddresses(addresses)).await.is_err() || ticks.recv().await != Some(Tick)
        {
            return;
        }
    }
}

async fn read(
    entry: &Entry,
    partition: &Partition,
    next: &mut u64,
) -> Result<Vec<SocketAddr>, StoreError> {
    let read = match entry.shared_log.read(partition, *next, READ_BYTES, Duration::ZERO).await {
        Err(StoreError::Expired { first }) => {
            *next = first;
            return Ok(Vec::new());
        }
        read => read?,
    };
    if let Some(last) = read.entries.last() {
        *next = last.offset + 1;
    }
    let text = |it: &rosethread_platform::LogEntry| {
        std::str::from_utf8(&it.data).ok().and_then(|it| it.parse().ok())
    };
    Ok(read.entries.iter().filter_map(text).collect())
}
