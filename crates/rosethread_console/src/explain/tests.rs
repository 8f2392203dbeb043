//! Explanations of requests and programs from log lines in the nodes' JSON format.

use crate::explain::{build_explanation, parse_log};

/// Explains the request or program `id` from the logs of the nodes n-1 and n-2, and checks the
/// number of lines that name it and a part of the sentence on the cause.
fn check_explanation(id: &str, log_1: &str, log_2: &str, decision_count: usize, cause_part: &str) {
    let mut lines = parse_log("n-1", log_1);
    lines.extend(parse_log("n-2", log_2));
    let explanation = build_explanation(id, lines).expect("the logs name the identifier");
    assert_eq!(explanation.decisions.len(), decision_count, "{:?}", explanation.decisions);
    assert!(explanation.cause.contains(cause_part), "{}", explanation.cause);
}

// Both lines are evidence for one refusal: n-1 refused the request because the shard's owner, n-2,
// could not decide, and n-2 had lost the store. The time stamps compare as text.
const STORE_LOST: &str = r#"{"ts":"01","msg":"store: lost","part":"targets","error":"reset"}"#;
const NOT_OWNER: &str = r#"{"ts":"03","msg":"call: refused","id":"a","reason":"not-owner","detail":"no owner of shard 1 could decide: n-2: the log does not take records"}"#;

rosethread_cases::cases!(check_explanation {
    a_refusal_while_the_owner_had_lost_the_store:
        ("a", NOT_OWNER, STORE_LOST, 1, "which n-2 had lost at 01");
    a_refusal_after_the_owner_had_regained_the_store: (
        "a", NOT_OWNER,
        &format!("{STORE_LOST}\n{}", r#"{"ts":"02","msg":"store: regained","part":"targets"}"#),
        1, "no node could decide",
    );
    a_refusal_for_a_spent_budget: (
        "a",
        r#"{"ts":"1","msg":"call: refused","id":"a","program":"p","reason":"budget-spent","detail":"the budget of 9 does not hold 4 more"}"#,
        "", 1, "budget was spent: the budget of 9",
    );
    // n-2 logged why it granted no tokens before n-1 refused the call, but its clock is ahead. The
    // refusal still decides the cause.
    a_refusal_with_an_earlier_time_than_the_owners_line: (
        "a",
        r#"{"ts":"1","msg":"call: refused","id":"a","reason":"budget-not-journalled","detail":"other turns may have used the rest"}"#,
        r#"{"ts":"2","msg":"grants: no tokens","id":"a","spent":600,"uncertain":1150}"#,
        2, "its budget may be spent",
    );
    a_caller_that_left_before_an_answer: (
        "a", r#"{"ts":"1","msg":"call: caller left","id":"a","ms":40}"#, "", 1,
        "its caller left after 40 ms",
    );
    a_call_that_a_second_target_answered: (
        "a",
        "{\"ts\":\"1\",\"msg\":\"call: a target failed\",\"id\":\"a\",\"target\":\"t1\",\"detail\":\"reset\"}
         {\"ts\":\"2\",\"msg\":\"call: ended\",\"id\":\"a\",\"target\":\"t2\",\"ms\":9,\"outcome\":\"answered\"}",
        "", 2, "t2 answered after 9 ms, after t1 (reset)",
    );
    // The target t1 had the program's prompt in its cache (`home`), but t2 ran the call.
    a_prompt_that_was_processed_again: (
        "a",
        r#"{"ts":"2","msg":"call: ended","id":"a","target":"t2","home":"t1","ms":9,"outcome":"answered"}"#,
        "", 1, "cached at t1",
    );
    // The second line has a prefix before the JSON object, which is ignored.
    a_program_with_calls_at_two_nodes: (
        "p",
        r#"{"ts":"1","msg":"call: ended","id":"a","program":"p","target":"t","ms":1,"outcome":"answered"}"#,
        r#"prefix {"ts":"2","msg":"call: refused","id":"b","program":"p","reason":"unknown-turn","detail":"no turn z is kept"}"#,
        2, "the turn that it continues is not kept",
    );
    // The calls of organisations name their programs scoped to these.
    a_program_by_the_name_that_its_caller_knows: (
        "p",
        r#"{"ts":"1","msg":"call: ended","id":"a","program":"org/p","target":"t","ms":1,"outcome":"answered"}"#,
        r#"{"ts":"2","msg":"call: ended","id":"b","program":"org/other","target":"t","ms":1,"outcome":"answered"}"#,
        1, "t answered after 1 ms",
    );
    a_program_by_its_scoped_name: (
        "org/p",
        r#"{"ts":"1","msg":"call: ended","id":"a","program":"org/p","target":"t","ms":1,"outcome":"answered"}"#,
        r#"{"ts":"2","msg":"call: ended","id":"b","program":"other/p","target":"t","ms":1,"outcome":"answered"}"#,
        1, "t answered after 1 ms",
    );
    a_call_without_a_known_key: (
        "a",
        r#"{"ts":"1","msg":"call: refused","id":"a","program":"p","reason":"unauthorized","detail":"the key belongs to no organisation"}"#,
        "", 1, "names no organisation under the routes in force: the key belongs to no organisation",
    );
    // A line that is not JSON is ignored.
    a_log_that_ends_during_a_call: (
        "a", r#"{"ts":"1","msg":"call: a target failed","id":"a","target":"t"}"#, "not json", 1,
        "the node may have died",
    );
});

#[test]
fn an_identifier_that_no_line_names_has_no_explanation() {
    assert!(build_explanation("x", parse_log("n", NOT_OWNER)).is_none());
}
