//! Runs the whole-system fuzz test with fixed seeds: with each kind of fault, and with random ones.
//!
//! A run has one or two faults, so each kind occurs both alone and together with another.

use rosethread_testbed::memory::{Fault, FuzzOptions, run_seed};

/// The number of seeds for each kind of fault.
const SEEDS_PER_FAULT: u64 = 12;

/// The number of seeds with random faults in each test.
const MIXED_SEEDS: u64 = 120;

fn check_fault(fault: Fault) {
    let first = fault as u64 * 1_000;
    for seed in first..first + SEEDS_PER_FAULT {
        check_seed(seed, FuzzOptions { required_fault: Some(fault) });
    }
}

fn check_seed(seed: u64, options: FuzzOptions) {
    let report = run_seed(seed, options);
    let violations: Vec<String> = report.violations.iter().map(ToString::to_string).collect();
    assert!(violations.is_empty(), "seed {seed} with {:?}: {violations:#?}", report.faults);
    assert_ne!(report.answers, 0, "seed {seed}: no call was answered");
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
    zone_inbound_cut: (Fault::ZoneInboundCut);
    datagram_loss: (Fault::DatagramLoss);
    log_down: (Fault::LogDown);
    log_slow: (Fault::LogSlow);
    log_lost_ack: (Fault::LogLostAck);
    engine_down: (Fault::EngineDown);
    engine_hang: (Fault::EngineHang);
    engine_truncate: (Fault::EngineTruncate);
    engine_slow: (Fault::EngineSlow);
    engine_misroute: (Fault::EngineMisroute);
    engine_overrun: (Fault::EngineOverrun);
    service_hang: (Fault::ServiceHang);
    service_reply_loss: (Fault::ServiceReplyLoss);
    target_drain: (Fault::TargetDrain);
    concurrent_publish: (Fault::ConcurrentPublish);
    hosts_down: (Fault::HostsDown);
});

rosethread_cases::cases!(check_mixed {
    mixed_0: (0);
    mixed_1: (1);
    mixed_2: (2);
    mixed_3: (3);
});

/// A run must depend on nothing but its seed; otherwise, a failure can't be reproduced.
#[test]
fn runs_with_the_same_seed_are_equal() {
    for seed in 500..510 {
        let first = run_seed(seed, FuzzOptions::default());
        let second = run_seed(seed, FuzzOptions::default());
        assert_eq!(format!("{first:?}"), format!("{second:?}"), "seed {seed}");
    }
}
