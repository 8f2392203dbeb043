//! Many hosts and a log that answers busy while it gets more calls than it can take, without a network.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rosethread_policy::CallGate;

/// The hosts, the calls that wait for the log at each, and the time after which each is sent again.
const HOSTS: usize = 87;
const WAITING: usize = 12;
const RETRY_MS: u64 = 60;

/// The calls that the log takes in [`WINDOW_MS`]; in a window after one with more it serves none.
const CAPACITY: usize = 500;
const WINDOW_MS: u64 = 100;

/// How long the log is away, and when all calls have to be served.
const OUTAGE_MS: u64 = 7_000;
const LIMIT_MS: u64 = 10_000;

/// Returns the calls that were sent, and when all were served, if they were.
fn play(has_gate: bool) -> (usize, Option<u64>) {
    let mut rng = Pcg64::seed_from_u64(5);
    let mut gates = vec![CallGate::default(); HOSTS];
    // The next attempt of each waiting call, in milliseconds.
    let mut waiting: Vec<(usize, u64)> =
        (0..HOSTS * WAITING).map(|it| (it % HOSTS, rng.random_range(0..RETRY_MS))).collect();
    let (mut sent, mut sent_in_window, mut sent_before) = (0, 0, 0);
    for now in 0..LIMIT_MS + 10_000 {
        if now % WINDOW_MS == 0 {
            sent_before = std::mem::take(&mut sent_in_window);
        }
        waiting.retain_mut(|(host, next)| {
            if now < *next {
                return true;
            }
            *next = now + RETRY_MS;
            let gate = &mut gates[*host];
            if has_gate && gate.admit(Duration::from_millis(now), rng.random()).is_err() {
                return true;
            }
            sent += 1;
            sent_in_window += 1;
            // Busy answers cost the log as much as others.
            let is_served = OUTAGE_MS <= now && sent_before.max(sent_in_window) <= CAPACITY;
            gate.record(is_served);
            !is_served
        });
        if waiting.is_empty() {
            return (sent, Some(now));
        }
    }
    (sent, None)
}

// Guards against an outage that goes on for callers after the log has returned.
#[test]
fn all_are_served_soon_after_an_outage() {
    let (sent, end) = play(true);
    assert!(end.is_some_and(|it| it < LIMIT_MS), "served at {end:?} after {sent} calls");
    let (ungated, end) = play(false);
    assert_eq!(end, None, "the load of the test does not keep the log from serving");
    assert!(20 * sent < ungated, "{sent} calls, {ungated} without the gate");
}
