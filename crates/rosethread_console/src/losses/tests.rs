//! Counts from log lines in the nodes' format.

use std::collections::BTreeMap;

use crate::{explain::parse_log, losses::count_calls};

/// Counts one line and checks the counts of its second, and the reasons for lost calls.
fn check(line: &str, counted: [u64; 5], lost: &str) {
    let mut seconds = BTreeMap::new();
    count_calls(&mut seconds, &parse_log("n-1", line));
    let second = seconds.get("2026-12-04T02:00:07").cloned().unwrap_or_default();
    let found = [second.answered, second.moved, second.to_read, second.left, second.cut];
    assert_eq!(found, counted);
    let reasons: Vec<&str> = second.lost.keys().map(String::as_str).collect();
    assert_eq!(reasons.join(","), lost);
}

rosethread_cases::cases!(check {
    a_turn_on_its_cached_target: (
        r#"{"ts":"2026-12-04T02:00:07.1Z","msg":"call: ended","outcome":"answered","home":"t1","target":"t1","to_read":40}"#,
        [1, 0, 40, 0, 0], "",
    );
    a_turn_that_moved: (
        r#"{"ts":"2026-12-04T02:00:07.9Z","msg":"call: ended","outcome":"answered","home":"t1","target":"t2","to_read":4000}"#,
        [1, 1, 4000, 0, 0], "",
    );
    a_call_without_a_cached_prompt: (
        r#"{"ts":"2026-12-04T02:00:07Z","msg":"call: ended","outcome":"answered","home":"","target":"t2"}"#,
        [1, 0, 0, 0, 0], "",
    );
    a_caller_that_left: (
        r#"{"ts":"2026-12-04T02:00:07Z","msg":"call: ended","outcome":"caller-left"}"#,
        [0, 0, 0, 1, 0], "",
    );
    a_caller_that_left_before_an_answer: (
        r#"{"ts":"2026-12-04T02:00:07Z","msg":"call: caller left","ms":40}"#,
        [0, 0, 0, 1, 0], "",
    );
    an_interrupted_stream: (
        r#"{"ts":"2026-12-04T02:00:07Z","msg":"call: ended","outcome":"interrupted"}"#,
        [0, 0, 0, 0, 1], "",
    );
    a_refusal: (
        r#"{"ts":"2026-12-04T02:00:07Z","msg":"call: refused","reason":"overloaded"}"#,
        [0; 5], "overloaded",
    );
    a_line_about_something_else: (
        r#"{"ts":"2026-12-04T02:00:07Z","msg":"store: lost"}"#,
        [0; 5], "",
    );
});
