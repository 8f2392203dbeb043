//! The target that most likely caches a program's prompt, from how its earlier turns ended.

use std::time::Duration;

use rosethread_entry::{GrantId, GrantRequest, Ledger, Settlement, Verdict};

/// When the turns end.
const NOW: Duration = Duration::ZERO;

/// What becomes of one turn after the other: the program, the target, and whether it failed there.
fn check_home(turns: &[(&str, &str, bool)], asks_at_ms: u64, expected: Option<&str>) {
    let mut ledger = Ledger::default();
    let turn = |index: usize, program: &str| GrantRequest {
        program: program.parse().unwrap(),
        session: "s".parse().unwrap(),
        request: format!("r{index}").parse().unwrap(),
        budget: 100,
        tokens: 1,
        grant: GrantId(index as u64),
    };
    for (index, (program, target, has_failed)) in turns.iter().enumerate() {
        let ask = turn(index, program);
        assert!(matches!(ledger.request_grant(&ask, NOW), Verdict::Granted { .. }));
        let target = Some(target.parse().unwrap());
        let (ran, failed) = if *has_failed { (None, target) } else { (target, None) };
        let settlement = Settlement {
            program: ask.program,
            session: ask.session,
            request: ask.request,
            used: 0,
            target: ran,
            failed,
            grant: ask.grant,
        };
        ledger.settle(&settlement, NOW);
    }
    let now = NOW + Duration::from_millis(asks_at_ms);
    let Verdict::Granted { home, .. } = ledger.request_grant(&turn(99, "p"), now) else {
        panic!("the budget holds the turn");
    };
    assert_eq!(home.as_ref().map(|it| it.as_str()), expected);
}

rosethread_cases::cases!(check_home {
    a_program_goes_home: (&[("p", "a", false)], 0, Some("a"));
    a_program_does_not_return_to_where_it_failed:
        (&[("p", "a", false), ("p", "a", true)], 0, None);
    a_failure_elsewhere_changes_no_home: (&[("p", "a", false), ("p", "b", true)], 0, Some("a"));
    one_failure_of_others_changes_no_home:
        (&[("p", "a", false), ("q", "a", true)], 0, Some("a"));
    a_target_that_fails_others_in_a_row_is_no_home:
        (&[("p", "a", false), ("q", "a", true), ("r", "a", true)], 0, None);
    a_target_that_serves_others_again_is_a_home:
        (&[("p", "a", false), ("q", "a", true), ("r", "a", true), ("q", "a", false)], 0, Some("a"));
    after_a_while_a_failing_target_is_tried_again:
        (&[("p", "a", false), ("q", "a", true), ("r", "a", true)], 1_001, Some("a"));
});
