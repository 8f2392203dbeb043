//! The faults of one run, drawn from its seed.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64;

/// When the first fault may come.
const EARLIEST_START: Duration = Duration::from_secs(3);

/// The time within which all faults begin.
const START_WINDOW_MS: u64 = 9_000;

/// The shortest and the longest fault.
const DURATION_MS: std::ops::Range<u64> = 500..9_000;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// A node dies and comes back later.
    Kill,
    /// A node is frozen and wakes.
    Pause,
    /// A node is drained and replaced.
    Drain,
    /// A node loses the log.
    NodeLogCut,
    /// A zone loses the others.
    ZoneCut,
    /// A zone hears nothing but is heard.
    ZoneInboundCut,
    /// A fifth of all datagrams is lost, a tenth doubled.
    DatagramLoss,
    /// The log refuses everything.
    LogDown,
    /// The log is slow.
    LogSlow,
    /// The log loses every third acknowledgement.
    LogLostAck,
    /// An engine dies and comes back.
    EngineDown,
    /// An engine takes requests and never answers.
    EngineHang,
    /// An engine breaks streams off.
    EngineTruncate,
    /// An engine is twenty times slower.
    EngineSlow,
    /// An engine sends answers to the wrong streams.
    EngineMisroute,
    /// An engine generates beyond its limit.
    EngineOverrun,
    /// A service executes requests without answering.
    ServiceHang,
    /// A service loses every second answer.
    ServiceReplyLoss,
    /// An operator takes an engine out of service.
    TargetDrain,
    /// Two operators publish at once.
    ConcurrentPublish,
    /// The host list is unavailable.
    HostsDown,
}

/// All kinds of faults.
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

/// One fault of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PlannedFault {
    pub(super) fault: Fault,
    /// When it begins, from the start of the load.
    pub(super) start: Duration,
    pub(super) duration: Duration,
    /// Which node, zone, engine or service it hits.
    pub(super) selector: usize,
}

/// Draws one or two faults.
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
