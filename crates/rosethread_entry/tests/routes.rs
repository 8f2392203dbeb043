//! Tests for the lookup by longest prefix, the weighted choice of a service, and repeatable routes.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rosethread_entry::{
    ClientLimits, EngineProfile, Route, RouteKind, Routes, Service, WeightedService,
};
use rosethread_types::ServiceName;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Once,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        priority: 0,
        services: vec![WeightedService { service: "s".parse().unwrap(), weight: 1 }],
        attempts: 1,
        sticky: false,
        history: None,
        is_public: false,
    }
}

fn check_find(host: &str, path: &str, expected: Option<&str>) {
    let mut routes = Routes::default();
    for (name, host, prefix) in [
        ("long", "a.example", "/x/y/"),
        ("short", "a.example", "/x/"),
        ("other", "b.example", "/x/"),
    ] {
        routes.add(route(name, host, prefix));
    }
    let found = routes.find(host, path).map(|it: &Arc<Route>| it.name.to_string());
    assert_eq!(found.as_deref(), expected);
}

rosethread_cases::cases!(check_find {
    the_longest_prefix: ("a.example", "/x/y/z", Some("long"));
    a_shorter_prefix: ("a.example", "/x/z/y/", Some("short"));
    the_prefix_itself: ("a.example", "/x/y/", Some("long"));
    a_prefix_without_its_slash: ("a.example", "/x", None);
    a_segment_that_only_begins_like_the_prefix: ("a.example", "/xy/z", None);
    another_host: ("b.example", "/x/y/z", Some("other"));
    an_unknown_host: ("c.example", "/x/y", None);
    a_host_with_a_port: ("a.example:8080", "/x/y/z", Some("long"));
    a_host_in_upper_case: ("A.Example", "/x/y/z", Some("long"));
    an_empty_path: ("a.example", "", None);
});

fn check_pick(draw: u64, expected: &str) {
    let mut route = route("r", "a", "/");
    let weighted = |name: &str, weight| WeightedService { service: name.parse().unwrap(), weight };
    route.services = vec![weighted("most", 9), weighted("few", 1), weighted("none", 0)];
    assert_eq!(route.pick_service(draw).unwrap().as_str(), expected);
}

rosethread_cases::cases!(check_pick {
    the_start_of_the_first_weight: (0, "most");
    the_end_of_the_first_weight: (8, "most");
    the_second_weight: (9, "few");
    a_draw_beyond_the_total_wraps_around: (10, "most");
});

fn check_repeatable(kind: RouteKind, expected: bool) {
    assert_eq!(Route { kind, ..route("r", "a", "/") }.is_repeatable(), expected);
}

rosethread_cases::cases!(check_repeatable {
    an_idempotent_route_may_repeat: (RouteKind::Idempotent, true);
    a_once_route_may_not_repeat: (RouteKind::Once, false);
    a_stream_may_not_repeat: (RouteKind::Stream { resumable: false, gap: Duration::ZERO }, false);
    a_resumable_stream_may_repeat:
        (RouteKind::Stream { resumable: true, gap: Duration::ZERO }, true);
});

// Guards against sums with a clock that overflow, and end what computes them (LOST).
#[test]
fn limited_routes_name_nothing_that_overflows_a_sum() {
    let longest = Route {
        kind: RouteKind::Stream { resumable: true, gap: Duration::MAX },
        timeout: Duration::MAX,
        objective: Duration::MAX,
        history: Some(Duration::MAX),
        ..route("r", "a.example", "/")
    };
    let name: ServiceName = "s".parse().unwrap();
    let engine = EngineProfile { slots: u32::MAX, memory: u64::MAX, event_tokens: u64::MAX };
    let service = Service { name: name.clone(), connections: u32::MAX, engine: Some(engine) };
    let limits = ClientLimits {
        header_time: Duration::MAX,
        idle_time: Duration::MAX,
        ..ClientLimits::default()
    };
    let mut routes = Routes { limits, ..Routes::default() };
    routes.services.insert(name.clone(), service);
    routes.add(longest);
    let routes = routes.limited();
    let route = routes.find("a.example", "/x").unwrap();
    let RouteKind::Stream { gap, .. } = route.kind else {
        panic!("the kind has changed");
    };
    let ClientLimits { header_time, idle_time, .. } = routes.limits;
    let durations = [gap, route.timeout, route.objective, header_time, idle_time];
    for it in durations.into_iter().chain(route.history) {
        assert!(Instant::now().checked_add(2 * it).is_some(), "{it:?}");
    }
    let tokens = routes.services[&name].engine.unwrap().event_tokens;
    assert!(tokens.checked_mul(1 << 20).is_some(), "{tokens}");
}

#[test]
fn usual_routes_are_not_changed() {
    let mut routes = Routes::default();
    routes.add(Route { history: Some(Duration::from_secs(3_600)), ..route("r", "a", "/") });
    assert_eq!(routes.clone().limited(), routes);
}
