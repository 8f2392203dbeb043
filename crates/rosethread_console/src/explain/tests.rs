//! Explanations from log lines in the nodes' format.

use crate::explain::{build_explanation, parse_log};

/// Explains `id` from the logs of two nodes; checks the number of decisions and the cause.
fn check(id: &str, first: &str, second: &str, decisions: usize, expected: &str) {
    let mut lines = parse_log("n-1", first);
    lines.extend(parse_log("n-2", second));
    let explanation = build_explanation(id, lines).expect("the logs name the identifier");
    assert_eq!(explanation.decisions.len(), decisions, "{:?}", explanation.decisions);
    assert!(explanation.cause.contains(expected), "{}", explanation.cause);
}

const STORE_LOST: &str = r#"{"ts":"01","msg":"store: lost","part":"targets","error":"reset"}"#;
const NOT_OWNER: &str = r#"{"ts":"03","msg":"call: refused","id":"a","reason":"not-owner","detail":"no owner of shard 1 could decide: n-2: the log does not take records"}"#;

rosethread_cases::cases!(check {
    a_store_that_the_owner_had_lost:
        ("a", NOT_OWNER, STORE_LOST, 1, "which n-2 had lost at 01");
    a_store_that_was_back: (
        "a", NOT_OWNER,
        &format!("{STORE_LOST}\n{}", r#"{"ts":"02","msg":"store: regained","part":"targets"}"#),
        1, "no node could decide",
    );
    a_spent_budget: (
        "a",
        r#"{"ts":"1","msg":"call: refused","id":"a","program":"p","reason":"budget-spent","detail":"the budget of 9 does not hold 4 more"}"#,
        "", 1, "budget was spent: the budget of 9",
    );
    an_account_of_another_node_whose_clock_is_ahead: (
        "a",
        r#"{"ts":"1","msg":"call: refused","id":"a","reason":"budget-not-journalled","detail":"other turns may have used the rest"}"#,
        r#"{"ts":"2","msg":"grants: no tokens","id":"a","spent":600,"uncertain":1150}"#,
        2, "its budget may be spent",
    );
    a_caller_that_left_before_an_answer: (
        "a", r#"{"ts":"1","msg":"call: caller left","id":"a","ms":40}"#, "", 1,
        "its caller left after 40 ms",
    );
    a_second_target: (
        "a",
        "{\"ts\":\"1\",\"msg\":\"call: a target failed\",\"id\":\"a\",\"target\":\"t1\",\"detail\":\"reset\"}
         {\"ts\":\"2\",\"msg\":\"call: ended\",\"id\":\"a\",\"target\":\"t2\",\"ms\":9,\"outcome\":\"answered\"}",
        "", 2, "t2 answered after 9 ms, after t1 (reset)",
    );
    a_prompt_that_was_processed_again: (
        "a",
        r#"{"ts":"2","msg":"call: ended","id":"a","target":"t2","home":"t1","ms":9,"outcome":"answered"}"#,
        "", 1, "cached at t1",
    );
    a_program_over_two_nodes: (
        "p",
        r#"{"ts":"1","msg":"call: ended","id":"a","program":"p","target":"t","ms":1,"outcome":"answered"}"#,
        r#"prefix {"ts":"2","msg":"call: refused","id":"b","program":"p","reason":"unknown-turn","detail":"no turn z is kept"}"#,
        2, "the turn that it continues is not kept",
    );
    a_log_that_ends_during_a_call: (
        "a", r#"{"ts":"1","msg":"call: a target failed","id":"a","target":"t"}"#, "not json", 1,
        "the node may have died",
    );
});

#[test]
fn an_identifier_that_no_line_names_has_no_explanation() {
    assert!(build_explanation("x", parse_log("n", NOT_OWNER)).is_none());
}
