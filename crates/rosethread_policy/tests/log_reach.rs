//! Which hosts may be responsible for shards around outages of the log.

use std::time::Duration;

use rosethread_policy::LogReach;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

// Guards against shards that move, and are read from their beginning, when the log is back.
#[test]
fn shards_stay_while_hosts_notice_that_the_log_is_back() {
    let mut reach = LogReach::default();
    assert!(reach.is_required(39, 39, at(0)));
    assert!(!reach.is_required(0, 39, at(1_000)));
    for (reaching, ms) in [(1, 8_000), (15, 8_300), (25, 8_500), (39, 8_800)] {
        assert!(!reach.is_required(reaching, 39, at(ms)), "{reaching} hosts after {ms} ms");
    }
    assert!(reach.is_required(39, 39, at(9_800)));
}

// Guards against shards of hosts that the log turns away while it serves the others.
#[test]
fn shards_leave_the_few_hosts_that_do_not_reach_the_log() {
    let mut reach = LogReach::default();
    assert!(reach.is_required(26, 39, at(100)));
    assert!(reach.is_required(20, 39, at(200)));
}

#[test]
fn a_host_that_knows_no_others_decides_alone() {
    assert!(LogReach::default().is_required(1, 1, at(0)));
    assert!(!LogReach::default().is_required(0, 1, at(0)));
}
