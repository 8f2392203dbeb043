//! Replicas: hosts with different views still agree on most of them.

use rosethread_policy::select_replicas;
use rosethread_types::NodeName;

fn hosts(count: usize) -> Vec<NodeName> {
    (0..count).map(|it| format!("host-{it}").parse().unwrap()).collect()
}

/// Checks that, after a share of the hosts is lost, all but `max_lost` of a thousand facts that two
/// hosts keep are found by asking three of the rest.
fn lose_hosts(count: usize, lost: usize, max_lost: usize) {
    let hosts = hosts(count);
    let unfound = (0..1_000).filter(|key| {
        let kept_by = select_replicas(*key, hosts.iter(), 2);
        let asked = select_replicas(*key, hosts[lost..].iter(), 3);
        !kept_by.iter().any(|it| asked.contains(it))
    });
    let unfound = unfound.count();
    assert!(unfound <= max_lost, "{unfound} of 1000");
}

rosethread_cases::cases!(lose_hosts {
    one_host_of_ten: (10, 1, 0);
    one_host_of_two_hundred: (200, 1, 0);
    // Both of a fact's hosts are lost with probability 0.4 * 3 / 9.
    four_hosts_of_ten: (10, 4, 200);
    a_tenth_of_a_thousand: (1_000, 100, 30);
});

#[test]
fn facts_are_spread_evenly() {
    let hosts = hosts(10);
    let mut counts = vec![0; hosts.len()];
    for key in 0..10_000 {
        for it in select_replicas(key, hosts.iter(), 2) {
            counts[hosts.iter().position(|host| host == it).unwrap()] += 1;
        }
    }
    assert!(counts.iter().all(|it| (1_700..2_300).contains(it)), "{counts:?}");
}

#[test]
fn fewer_hosts_than_replicas_are_all_selected() {
    assert_eq!(select_replicas(7, hosts(2).iter(), 3).len(), 2);
    assert!(select_replicas(7, hosts(0).iter(), 3).is_empty());
}
