//! The whole-system fuzz with fixed seeds: every kind of fault, alone and with another.

use rosethread_testbed::memory::{Fault, FuzzOptions, run_seed};

/// The seeds of each kind of fault.
const SEEDS: u64 = 12;

/// The seeds with any faults.
const MIXED_SEEDS: u64 = 120;

fn check_fault(fault: Fault) {
    let first = fault as u64 * 1_000;
    for seed in first..first + SEEDS {
        check_seed(seed, FuzzOptions { required_fault: Some(fault) });
    }
}

fn check_seed(seed: u64, options: FuzzOptions) {
    let report = run_seed(seed, options);
    let texts: Vec<String> = report.violations.iter().map(ToString::to_string).collect();
    assert!(texts.is_empty(), "seed {seed} with {:?}: {texts:#?}", report.faults);
    assert_ne!(report.answers, 0, "seed {seed} made no call");
}

fn check_mixed(part: u64) {
    for seed in part * MIXED_SEEDS..(part + 1) * MIXED_SEEDS {
        check_seed(seed, FuzzOptions::default());
    }
}

rosethread_cases::cases!(check_fault {
    kill: (Fault::Kill);
    pause: (Fault::Pause);
    drain: (Fault::Drain);
    node_log_cut: (Fault::NodeLogCut);
    zone_cut: (Fault::ZoneCut);
    zone_deaf: (Fault::ZoneInboundCut);
    loss: (Fault::DatagramLoss);
    log_down: (Fault::LogDown);
    log_slow: (Fault::LogSlow);
    log_lost_ack: (Fault::LogLostAck);
    engine_down: (Fault::EngineDown);
    engine_hang: (Fault::EngineHang);
    engine_break: (Fault::EngineTruncate);
    engine_slow: (Fault::EngineSlow);
    engine_cross: (Fault::EngineMisroute);
    engine_overrun: (Fault::EngineOverrun);
    service_hang: (Fault::ServiceHang);
    service_lost: (Fault::ServiceReplyLoss);
    target_leaves: (Fault::TargetDrain);
    racing_publish: (Fault::ConcurrentPublish);
    hosts_down: (Fault::HostsDown);
});

rosethread_cases::cases!(check_mixed {
    mixed_0: (0);
    mixed_1: (1);
    mixed_2: (2);
    mixed_3: (3);
});

/// A run is a pure function of its seed, or a failure could not be repeated.
#[test]
fn same_seed_same_run() {
    for seed in 500..510 {
        let first = run_seed(seed, FuzzOptions::default());
        let second = run_seed(seed, FuzzOptions::default());
        assert_eq!(format!("{first:?}"), format!("{second:?}"), "seed {seed}");
    }
}
