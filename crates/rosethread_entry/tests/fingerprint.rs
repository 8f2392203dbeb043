//! Fingerprints: attempts of one call share them, other calls don't.

use std::sync::Arc;

use http::{HeaderMap, Method};
use rosethread_entry::{Call, Fingerprint};
use tokio::time::Instant;

const KEY: &[u8] = b"a key that all hosts share";

fn call() -> Call {
    Call {
        id: "attempt-1".parse().unwrap(),
        method: Method::POST,
        host: "a.example".into(),
        path: "/stream/x".into(),
        headers: HeaderMap::new(),
        body: "body".into(),
        arrived: Instant::now(),
        timeout: None,
        resume_after: None,
        prompt: None,
        program: None,
        previous: None,
    }
}

fn check<F>(change: F, is_same: bool)
where
    F: FnOnce(&mut Call),
{
    let mut other = call();
    change(&mut other);
    assert_eq!(Fingerprint::of(&call(), KEY) == Fingerprint::of(&other, KEY), is_same);
}

rosethread_cases::cases!(check {
    another_attempt_is_the_same: (|it: &mut Call| it.id = "attempt-2".parse().unwrap(), true);
    a_resumed_stream_is_the_same: (|it: &mut Call| it.resume_after = Some(3), true);
    another_body_is_not: (|it: &mut Call| it.body = "bodY".into(), false);
    another_path_is_not: (|it: &mut Call| it.path = Arc::from("/stream/x?q"), false);
    another_host_is_not: (|it: &mut Call| it.host = Arc::from("b.example"), false);
    another_method_is_not: (|it: &mut Call| it.method = Method::PUT, false);
    another_history_is_not: (|it: &mut Call| it.previous = Some("turn".parse().unwrap()), false);
    bytes_moved_from_path_to_body_are_not: (|it: &mut Call| {
        it.path = Arc::from("/stream/xb");
        it.body = "ody".into();
    }, false);
});

#[test]
fn a_fingerprint_depends_on_the_key() {
    assert_ne!(Fingerprint::of(&call(), KEY), Fingerprint::of(&call(), b"another key"));
}
