//! Fingerprints: attempts of one call share them, other calls don't; calls for one path share another.

use std::sync::Arc;

use http::{HeaderMap, HeaderValue, Method};
use rosethread_entry::{Call, Credential, Fingerprint, Identity};
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
        resumes: None,
        prompt: None,
        program: None,
        previous: None,
        previous_unscoped: None,
        turn: "attempt-1".parse().unwrap(),
        credential: Credential::Missing,
        identity: Identity::Unchecked,
    }
}

fn same_call(other: &Call) -> bool {
    Fingerprint::of_call(&call(), KEY) == Fingerprint::of_call(other, KEY)
}

fn same_path(other: &Call) -> bool {
    Fingerprint::of_path(&call(), KEY) == Fingerprint::of_path(other, KEY)
}

/// Checks whether a changed call is the same call as before, and whether it is for the same path.
fn check<F>(change: F, expected: (bool, bool))
where
    F: FnOnce(&mut Call),
{
    let mut other = call();
    change(&mut other);
    assert_eq!((same_call(&other), same_path(&other)), expected);
}

rosethread_cases::cases!(check {
    another_attempt: (|it: &mut Call| it.id = "attempt-2".parse().unwrap(), (true, true));
    a_resumed_stream: (|it: &mut Call| it.resume_after = Some(3), (true, true));
    another_body: (|it: &mut Call| it.body = "bodY".into(), (false, true));
    another_history: (|it: &mut Call| it.previous = Some("turn".parse().unwrap()), (false, true));
    another_path: (|it: &mut Call| it.path = Arc::from("/stream/x?q"), (false, false));
    another_host: (|it: &mut Call| it.host = Arc::from("b.example"), (false, false));
    another_method: (|it: &mut Call| it.method = Method::PUT, (false, false));
    another_caller: (|it: &mut Call| {
        it.headers.insert("authorization", HeaderValue::from_static("Token other"));
    }, (false, false));
    bytes_moved_from_the_host_to_the_path: (|it: &mut Call| {
        it.host = Arc::from("a.exampl");
        it.path = Arc::from("e/stream/x");
    }, (false, false));
});

#[test]
fn a_fingerprint_depends_on_the_key() {
    let other_key = Fingerprint::of_call(&call(), b"another key");
    assert_ne!(Fingerprint::of_call(&call(), KEY), other_key);
}

#[test]
fn a_call_and_its_path_differ_even_without_a_body() {
    let call = Call { body: "".into(), ..call() };
    assert_ne!(Fingerprint::of_call(&call, KEY), Fingerprint::of_path(&call, KEY));
}
