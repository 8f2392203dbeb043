//! The log behind a gate for each kind of call: while it fails, this host probes it instead of sending what
//! all its calls, claims and writers would. See `docs/design/outage.md`.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use prometheus::IntCounter;
use rosethread_platform::{
    FencingToken, KeyedValue, Partition, PartitionRead, SharedLog, SharedLogError,
};
use rosethread_policy::{CallGate, ReadWindow};
use rosethread_runtime::RandomSource;
use slog::{Logger, info};
use tokio::{sync::Semaphore, time::Instant};

/// The most reads of a host that are under way.
const MAX_READS: usize = 2;

/// What a response to a read holds beside one record, in bytes.
const FRAME_BYTES: usize = 1 << 10;

/// The kinds of calls, each of which may fail while others succeed.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Fence,
    Append,
    Read,
}

/// The number of kinds.
const KINDS: usize = 3;

/// A log that gets few calls from this host while it fails.
pub(crate) struct GatedLog {
    log: Arc<dyn SharedLog>,
    gates: Mutex<[CallGate; KINDS]>,
    window: Mutex<ReadWindow>,
    /// Bounds the reads under way: they share this host's link and the rate of the log.
    reads: Semaphore,
    started_at: Instant,
    random: RandomSource,
    /// The number of calls that were not sent.
    held: IntCounter,
    logger: Logger,
}

impl GatedLog {
    pub(crate) fn new(
        log: Arc<dyn SharedLog>,
        record_bytes: usize,
        random: RandomSource,
        held: IntCounter,
        logger: Logger,
    ) -> GatedLog {
        let window = ReadWindow::new(record_bytes + FRAME_BYTES);
        GatedLog {
            log,
            gates: Mutex::default(),
            window: Mutex::new(window),
            reads: Semaphore::new(MAX_READS),
            started_at: Instant::now(),
            random,
            held,
            logger,
        }
    }

    fn gates(&self) -> MutexGuard<'_, [CallGate; KINDS]> {
        self.gates.lock().expect("no code panics while it holds the gates")
    }

    fn window(&self) -> MutexGuard<'_, ReadWindow> {
        self.window.lock().expect("no code panics while it holds the read window")
    }

    /// Makes a call unless its kind has failed too recently.
    async fn call<T>(
        &self,
        kind: Kind,
        call: impl Future<Output = Result<T, SharedLogError>>,
    ) -> Result<T, SharedLogError> {
        let now = self.started_at.elapsed();
        // The upper 32 of 64 random bits, as a fraction.
        let jitter = (self.random.next_u64() >> 32) as f64 / f64::from(u32::MAX);
        let admitted = self.gates()[kind as usize].admit(now, jitter);
        if let Err(wait) = admitted {
            self.held.inc();
            let detail = format!("the log fails; next probe in {} ms", wait.as_millis());
            return Err(SharedLogError::NotExecuted(detail));
        }
        let result = call.await;
        let is_available = !result.as_ref().err().is_some_and(SharedLogError::is_unavailable);
        let change = self.gates()[kind as usize].record(is_available);
        if change {
            info!(self.logger, "log: calls are held back or let through again";
                "kind" => ?kind, "is_available" => is_available, "held" => self.held.get());
        }
        result
    }
}

#[async_trait]
impl SharedLog for GatedLog {
    async fn fence(&self, partition: &Partition, epoch: u64) -> Result<(), SharedLogError> {
        self.call(Kind::Fence, self.log.fence(partition, epoch)).await
    }

    async fn append(
        &self,
        partition: &Partition,
        records: &[Bytes],
        fence: Option<FencingToken>,
    ) -> Result<u64, SharedLogError> {
        self.call(Kind::Append, self.log.append(partition, records, fence)).await
    }

    async fn read(
        &self,
        partition: &Partition,
        from: u64,
        max_bytes: usize,
        wait: Duration,
    ) -> Result<PartitionRead, SharedLogError> {
        // The semaphore is never closed.
        let _permit = self.reads.acquire().await;
        let limit = self.window().limit(max_bytes);
        let read = async {
            let result = self.log.read(partition, from, limit, wait).await;
            self.window().record(!matches!(result, Err(SharedLogError::NoResponse(_))));
            result
        };
        self.call(Kind::Read, read).await
    }

    async fn write_values(
        &self,
        partition: &Partition,
        values: &[KeyedValue],
    ) -> Result<(), SharedLogError> {
        self.log.write_values(partition, values).await
    }

    async fn read_values(&self, partition: &Partition) -> Result<Vec<KeyedValue>, SharedLogError> {
        self.log.read_values(partition).await
    }
}
