//! Kept turns: what a target is to receive for a turn that continues others.

use std::time::Duration;

use rosethread_entry::{Chains, Turn};

fn turn(id: &str, previous: Option<&str>, input: &str, output: &str) -> Turn {
    Turn {
        id: id.parse().unwrap(),
        previous: previous.map(|it| it.parse().unwrap()),
        input: input.into(),
        output: output.into(),
    }
}

fn tree() -> Chains {
    let mut chains = Chains::default();
    chains.keep(turn("a", None, "A", "a\n"), Duration::ZERO);
    chains.keep(turn("b", Some("a"), "B", "b\n"), Duration::ZERO);
    chains.keep(turn("c", Some("a"), "C", "c\n"), Duration::ZERO);
    chains.keep(turn("lost", Some("never-kept"), "L", "l\n"), Duration::ZERO);
    chains
}

fn check_text(id: &str, expected: Option<&str>) {
    let text = tree().text(&id.parse().unwrap(), Duration::ZERO);
    assert_eq!(text.as_deref(), expected.map(str::as_bytes));
}

rosethread_cases::cases!(check_text {
    the_first_turn: ("a", Some("Aa\n"));
    a_second_turn: ("b", Some("Aa\nBb\n"));
    another_branch: ("c", Some("Aa\nCc\n"));
    an_unknown_turn: ("z", None);
    a_turn_whose_chain_has_a_gap: ("lost", None);
});

#[test]
fn a_turn_that_is_used_stays_with_its_whole_chain() {
    let mut chains = tree();
    let age = Duration::from_secs(10);
    let later = Duration::from_secs(6);
    assert!(chains.text(&"b".parse().unwrap(), later).is_some());
    chains.expire(Duration::from_secs(11), age);
    assert_eq!(chains.size().0, 2, "a and b were used, c was not");
    assert!(chains.text(&"b".parse().unwrap(), later).is_some());
    chains.expire(Duration::from_secs(30), age);
    assert_eq!(chains.size(), (0, 0));
}
