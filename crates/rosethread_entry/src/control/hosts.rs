//! Discovers other hosts, from the seeds in the settings and from addresses in the shared log.
//!
//! An address does not prove that a host runs there. Each one is contacted, and a host becomes a
//! member once it responds.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use kameo::actor::ActorRef;
use rosethread_platform::{Partition, SharedLogError};
use rosethread_runtime::{MembershipActor, PingAddresses, Tick};
use slog::{debug, warn};

use crate::entry::Entry;

/// The period at which the seeds are contacted.
const SEED_PERIOD: Duration = Duration::from_secs(1);

/// The period at which the hosts' topic is read.
const READ_PERIOD: Duration = Duration::from_secs(5);

/// The number of reads after which a host writes its address again.
///
/// It is chosen so that the address is renewed well before its record expires.
const READS_PER_WRITE: u32 = 12;

/// The maximum number of bytes in one read.
const READ_BYTES: usize = 64 << 10;

/// Contacts the seeds periodically, so that groups of hosts find each other again after a network
/// partition.
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

/// Writes this host's address to the log, and contacts the addresses that other hosts wrote.
pub(super) async fn follow_hosts(entry: Arc<Entry>, members: ActorRef<MembershipActor>) {
    let topic = "rosethread-hosts".parse().expect("the name is valid");
    let partition = Partition { topic, index: 0 };
    let own_address = entry.settings.addresses.heartbeat.to_string();
    let mut ticks = entry.timer.every(READ_PERIOD);
    let mut next_offset = 0;
    for round in 0_u32.. {
        if round % READS_PER_WRITE == 0 {
            let record = Bytes::from(own_address.clone());
            if let Err(error) = entry.shared_log.append(&partition, &[record], None).await {
                warn!(entry.logger, "hosts: failed to write the address"; "error" => %error);
            }
        }
        let addresses = match read_addresses(&entry, &partition, &mut next_offset).await {
            Ok(addresses) => addresses,
            Err(error) => {
                debug!(entry.logger, "hosts: failed to read the log"; "error" => %error);
                Vec::new()
            }
        };
        if members.tell(PingAddresses(addresses)).await.is_err() || ticks.recv().await != Some(Tick)
        {
            return;
        }
    }
}

/// Reads the next addresses and advances `next_offset`, the offset to read from.
///
/// If records at `next_offset` have expired, it continues with the oldest one in the next round.
async fn read_addresses(
    entry: &Entry,
    partition: &Partition,
    next_offset: &mut u64,
) -> Result<Vec<SocketAddr>, SharedLogError> {
    let read =
        match entry.shared_log.read(partition, *next_offset, READ_BYTES, Duration::ZERO).await {
            Err(SharedLogError::Expired { first }) => {
                *next_offset = first;
                return Ok(Vec::new());
            }
            read => read?,
        };
    if let Some(last) = read.entries.last() {
        *next_offset = last.offset + 1;
    }
    let parse = |it: &rosethread_platform::LogEntry| {
        std::str::from_utf8(&it.data).ok().and_then(|it| it.parse().ok())
    };
    Ok(read.entries.iter().filter_map(parse).collect())
}
