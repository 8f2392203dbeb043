//! Many hosts that read the log at once, from a store that serves all of them at one rate together.

use rosethread_policy::ReadWindow;

const HOSTS: usize = 87;
/// What the store sends in a second.
const BYTES_PER_S: f64 = 80e6;
/// How long a host waits for a read.
const TIMEOUT_S: f64 = 1.5;
/// What each host has to read.
const BACKLOG: usize = 3 << 20;
const MIN_BYTES: usize = 300 << 10;

/// Lets all hosts read their backlog with `parallel` reads each, and returns the seconds until all have; `None` if
/// they have not after 20 s.
///
/// Each round the store shares its rate among the reads under way, and those that take longer than the timeout fail
/// after it has sent their bytes.
fn recovery_s(parallel: usize, mut size: impl FnMut(usize, Option<bool>) -> usize) -> Option<f64> {
    let mut left = [BACKLOG; HOSTS];
    let mut result = [None; HOSTS];
    let mut time = 0.0;
    while time < 20.0 {
        let sizes: Vec<usize> = (0..HOSTS).map(|it| size(it, result[it].take())).collect();
        let asked: usize =
            (0..HOSTS).filter(|it| left[*it] != 0).map(|it| sizes[it] * parallel).sum();
        if asked == 0 {
            return Some(time);
        }
        let round_s = asked as f64 / BYTES_PER_S;
        for host in 0..HOSTS {
            if left[host] != 0 {
                let is_answered = round_s <= TIMEOUT_S;
                result[host] = Some(is_answered);
                if is_answered {
                    left[host] = left[host].saturating_sub(sizes[host] * parallel);
                }
            }
        }
        time += round_s.min(TIMEOUT_S);
    }
    None
}

// Guards against an outage that outlasts the store's: reads of 1 MB time out and are asked for again.
#[test]
fn hosts_that_all_read_at_once_get_through() {
    let parallel = 2;
    assert_eq!(recovery_s(parallel, |_, _| 1 << 20), None, "the load has to hold up large reads");
    let mut windows = vec![ReadWindow::new(MIN_BYTES); HOSTS];
    let recovered = recovery_s(parallel, |host, result| {
        if let Some(is_answered) = result {
            windows[host].record(is_answered);
        }
        windows[host].limit(usize::MAX)
    });
    // The bytes alone take 3.4 s, and the first failed round 1.5 s.
    assert!(recovered.is_some_and(|it| it <= 10.0), "{recovered:?}");
}

#[test]
fn a_read_always_holds_a_record_and_grows_again() {
    let mut window = ReadWindow::new(MIN_BYTES);
    (0..9).for_each(|_| window.record(false));
    assert_eq!(window.limit(usize::MAX), MIN_BYTES);
    (0..16).for_each(|_| window.record(true));
    assert_eq!(window.limit(usize::MAX), 1 << 20);
    assert_eq!(window.limit(1_000), 1_000);
}
