//! Documents: validation by field, publication races, and what never reverts.

use proptest::prelude::*;
use rosethread_config::{ConfigFold, Document, Publication, Void, diff, hash_key, key_matches};
use rosethread_types::Revision;

fn good() -> String {
    format!(
        r#"
[[members]]
name = "lyra"
keys = ["{}"]

[[targets]]
name = "engine-1"
address = "10.0.2.1:8000"
zone = "linz-a"
kind = {{ engine = {{ models = ["m"], slots = 8, memory = 100000 }} }}

[[classes]]
name = "long"
tokens = 1000
calls = 10
wall_s = 60
block = 100

[[objectives]]
name = "first"
kind = "first-token"
threshold_ms = 600
target = 0.95
"#,
        hash_key("secret")
    )
}

#[test]
fn good_document() {
    let document = Document::parse(&good()).unwrap();
    assert_eq!(Document::parse(&document.to_text()).unwrap(), document);
    assert!(key_matches(&document.members[0], "secret"));
    assert!(!key_matches(&document.members[0], "other"));
}

fn check_bad(old: &str, new: &str, expected: &[&str]) {
    assert!(good().contains(old), "{old}");
    let error = Document::parse(&good().replace(old, new)).unwrap_err().to_string();
    for text in expected {
        assert!(error.contains(text), "{text} is not in {error}");
    }
}

rosethread_cases::cases!(check_bad {
    unknown_field: ("name = \"lyra\"", "name = \"lyra\"\nweight = 1", &["weight"]);
    no_share: ("name = \"lyra\"", "name = \"lyra\"\nshare = 0", &["members[0].share", "0"]);
    bad_hash: ("keys = [\"", "keys = [\"zz", &["members[0].keys", "SHA-256"]);
    no_slots: ("slots = 8", "slots = 0", &["targets[0].kind.slots", "from 1"]);
    no_models: ("[\"m\"]", "[]", &["targets[0].kind.engine.models", "must not be empty"]);
    unknown_member: (
        "zone = \"linz-a\"", "zone = \"linz-a\"\nmembers = [\"vega\"]",
        &["targets[0].members", "vega", "must name a member"]
    );
    large_block: ("block = 100", "block = 5000", &["classes[0].block", "5000", "`tokens`"]);
    no_time: ("wall_s = 60", "wall_s = 0", &["classes[0].wall_s", "30 days"]);
    sure_target: ("target = 0.95", "target = 1.0", &["objectives[0].target", "between 0 and 1"]);
    no_threshold: ("threshold_ms = 600", "", &["objectives[0].threshold_ms", "1 ms"]);
    half_document: ("target = 0.95", "target = ", &["document"]);
});

fn publication(base: u64, author: &str, document: &str) -> Publication {
    Publication {
        base: Revision(base),
        author: author.to_owned(),
        nonce: format!("{author}-{base}"),
        written_ms: 0,
        repeats: None,
        document: document.to_owned(),
    }
}

#[test]
fn the_first_of_two_publishers_wins_and_the_other_learns_who() {
    let mut fold = ConfigFold::default();
    fold.apply(0, &publication(0, "ada", &good())).unwrap();
    let other = good().replace("wall_s = 60", "wall_s = 90");
    let error = fold.apply(1, &publication(0, "ben", &other)).unwrap_err();
    let winner = "ada".to_owned();
    assert_eq!(error, Void::Stale { base: Revision(0), current: Revision(1), winner });
    let new = Document::parse(&other).unwrap();
    let changes = diff(&fold.current().document, &new);
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].to_string(), "~ classes.long.wall_s: 60 -> 90");
}

#[test]
fn an_invalid_document_never_takes_effect() {
    let mut fold = ConfigFold::default();
    fold.apply(0, &publication(0, "ada", &good())).unwrap();
    let error = fold.apply(1, &publication(1, "ada", "members = 3")).unwrap_err();
    assert!(matches!(error, Void::Invalid(_)));
    assert_eq!(fold.current().revision, Revision(1));
}

#[test]
fn a_repeated_append_counts_once() {
    let mut fold = ConfigFold::default();
    let publication = publication(0, "ada", &good());
    fold.apply(0, &publication).unwrap();
    assert_eq!(fold.apply(1, &publication).unwrap_err(), Void::Repeated);
}

/// After retention has taken the start, only a repetition says what is in force.
#[test]
fn a_truncated_stream_starts_with_a_repetition() {
    let mut fold = ConfigFold::default();
    fold.truncate();
    let void = fold.apply(50, &publication(40, "ben", &good())).unwrap_err();
    assert_eq!(void, Void::Unjudged);
    let repeated = Publication { repeats: Some(Revision(41)), ..publication(41, "ada", &good()) };
    assert_eq!(fold.apply(60, &repeated).unwrap().revision, Revision(41));
    assert_eq!(fold.apply(61, &publication(41, "ben", &good())).unwrap().revision, Revision(62));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(14),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever is published, repeated or taken from peers, the revision only rises.
    #[test]
    fn the_revision_never_falls(
        steps in proptest::collection::vec((0_u8..3, 0_u64..12, any::<bool>()), 1..60)
    ) {
        let mut fold = ConfigFold::default();
        let mut adopted = ConfigFold::default();
        let mut last = Revision::default();
        for (offset, (kind, base, is_valid)) in steps.into_iter().enumerate() {
            let text = if is_valid { good() } else { "members = 3".to_owned() };
            let mut publication = publication(base, &format!("author {offset}"), &text);
            if kind == 1 {
                publication.repeats = Some(Revision(base));
            }
            let target = if kind == 2 { &mut adopted } else { &mut fold };
            let _ = target.apply(offset as u64, &publication);
            if kind == 2 {
                fold.adopt(adopted.current().as_ref().clone());
            }
            prop_assert!(last <= fold.current().revision);
            last = fold.current().revision;
        }
    }

    #[test]
    fn arbitrary_text_does_not_panic(text in ".{0,400}") {
        let _ = Document::parse(&text);
    }
}
