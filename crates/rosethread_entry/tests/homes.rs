//! Checks the home target that a ledger suggests: the one that most likely has a session's prompt in
//! its cache, judged by how earlier turns ended.

use std::time::Duration;

use rosethread_entry::{GrantId, GrantRequest, Ledger, Settlement, Verdict};

/// The time at which all earlier turns request their grants and end.
const NOW: Duration = Duration::ZERO;

/// Runs `turns` one after the other, each given by its program, its target, and whether it failed
/// there. A turn of program `p` that follows `asks_at_ms` later has to get the home `expected`.
fn check_home(turns: &[(&str, &str, bool)], asks_at_ms: u64, expected: Option<&str>) {
    let mut ledger = Ledger::default();
    let turn = |index: usize, program: &str| GrantRequest {
        program: program.parse().unwrap(),
        session: "s".parse().unwrap(),
        request: format!("r{index}").parse().unwrap(),
        budget: 100,
        tokens: 1,
        grant: GrantId(index as u64),
        is_stored: false,
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
        panic!("the budget covers the turn");
    };
    assert_eq!(home.as_ref().map(|it| it.as_str()), expected);
}

rosethread_cases::cases!(check_home {
    the_last_target_of_a_program_is_its_home: (&[("p", "a", false)], 0, Some("a"));
    a_target_that_failed_a_program_is_no_longer_its_home:
        (&[("p", "a", false), ("p", "a", true)], 0, None);
    a_failure_elsewhere_keeps_the_home: (&[("p", "a", false), ("p", "b", true)], 0, Some("a"));
    one_failure_of_another_program_keeps_the_home:
        (&[("p", "a", false), ("q", "a", true)], 0, Some("a"));
    consecutive_failures_of_other_programs_exclude_a_home:
        (&[("p", "a", false), ("q", "a", true), ("r", "a", true)], 0, None);
    a_success_of_another_program_restores_a_home:
        (&[("p", "a", false), ("q", "a", true), ("r", "a", true), ("q", "a", false)], 0, Some("a"));
    an_excluded_home_returns_after_the_failure_ttl:
        (&[("p", "a", false), ("q", "a", true), ("r", "a", true)], 1_001, Some("a"));
});
