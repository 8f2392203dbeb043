//! The fault plan of a run, drawn from its seed.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64;

/// The earliest start of a fault, counted from the start of the load.
const EARLIEST_START: Duration = Duration::from_secs(3);

/// The window after [`EARLIEST_START`] in which all faults start, in milliseconds.
const START_WINDOW_MS: u64 = 9_000;

/// The range of fault durations, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 500..9_000;

/// A kind of fault, which lasts for a while and is then undone.
///
/// The fuzz test derives its seeds from the position of a value, so the order must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// A node is killed, and restarted at the end of the fault.
    Kill,
    /// A node's tasks are paused, as when its process or virtual machine is suspended.
    Pause,
    /// A node is drained, and restarted at the end of the fault.
    Drain,
    /// A node cannot reach the log.
    NodeLogCut,
    /// A zone is partitioned from all others.
    ZoneCut,
    /// A zone receives no messages from other zones, but its own messages reach them.
    ZoneInboundCut,
    /// 20% of all datagrams are lost, and 10% of the others are duplicated.
    DatagramLoss,
    /// The log refuses every request.
    LogDown,
    /// The log delays its responses by 300 ms.
    LogSlow,
    /// The log loses the acknowledgement of every third append, after it took effect.
    LogLostAck,
    /// An engine is unreachable.
    EngineDown,
    /// An engine accepts requests and never responds.
    EngineHang,
    /// An engine truncates every stream after five tokens.
    EngineTruncate,
    /// An engine is slower by a factor of 20.
    EngineSlow,
    /// An engine sends each event to the stream of another request.
    EngineMisroute,
    /// An engine generates 100 tokens more than a request allows.
    EngineOverrun,
    /// A service executes requests and never responds.
    ServiceHang,
    /// A service loses the response to every second request, after executing it.
    ServiceReplyLoss,
    /// An operator marks an engine as leaving in the document, and as active again later.
    TargetDrain,
    /// Two operators publish different documents based on the same revision.
    ConcurrentPublish,
    /// The host list is unavailable.
    HostsDown,
}

/// All kinds of faults; a plan draws from them by position.
pub(super) const ALL_FAULTS: [Fault; 21] = [
    Fault::Kill,
    Fault::Pause,
    Fault::Drain,
    Fault::NodeLogCut,
    Fault::ZoneCut,
    Fault::ZoneInboundCut,
    Fault::DatagramLoss,
    Fault::LogDown,
    Fault::LogSlow,
    Fault::LogLostAck,
    Fault::EngineDown,
    Fault::EngineHang,
    Fault::EngineTruncate,
    Fault::EngineSlow,
    Fault::EngineMisroute,
    Fault::EngineOverrun,
    Fault::ServiceHang,
    Fault::ServiceReplyLoss,
    Fault::TargetDrain,
    Fault::ConcurrentPublish,
    Fault::HostsDown,
];

/// One fault of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PlannedFault {
    pub(super) fault: Fault,
    /// The time from the start of the load to the start of the fault.
    pub(super) start: Duration,
    pub(super) duration: Duration,
    /// Selects the affected node, zone, engine or service, modulo their number.
    pub(super) selector: usize,
}

/// Draws one or two faults, of which one is `required_fault` if that is given.
pub(super) fn draw_plan(random: &mut Pcg64, required_fault: Option<Fault>) -> Vec<PlannedFault> {
    let count = if random.random::<bool>() { 1 } else { 2 };
    let mut plan: Vec<PlannedFault> = (0..count).map(|_| draw_fault(random)).collect();
    if let Some(fault) = required_fault {
        plan[0].fault = fault;
    }
    plan.sort_by_key(|it| it.start);
    plan
}

fn draw_fault(random: &mut Pcg64) -> PlannedFault {
    PlannedFault {
        fault: ALL_FAULTS[random.random_range(0..ALL_FAULTS.len())],
        start: EARLIEST_START + Duration::from_millis(random.random_range(0..START_WINDOW_MS)),
        duration: Duration::from_millis(random.random_range(DURATION_MS)),
        selector: random.random_range(0..1_000),
    }
}
