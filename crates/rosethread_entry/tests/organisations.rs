//! Tests on whose behalf calls are made, and that organisations with the same identifiers never meet.

use std::sync::Arc;

use proptest::prelude::*;
use rosethread_entry::{
    Credential, Identity, KeyDigest, NoOrganisation, Organisation, Organisations, RateLimit,
};
use rosethread_types::RequestId;

/// The longest label, in bytes.
const MAX_LABEL_BYTES: usize = 64;

fn organisation(name: &str) -> Organisation {
    Organisation { name: name.parse().unwrap(), priority: None, limit: None }
}

fn key(text: &str) -> Credential {
    Credential::Key(KeyDigest::of_key(text.as_bytes()))
}

/// Returns organisations with these keys, added in this order.
fn organisations(holders: &[(&str, &[&str])]) -> Organisations {
    let mut organisations = Organisations::default();
    for (name, keys) in holders {
        let keys = keys.iter().map(|it| KeyDigest::of_key(it.as_bytes()));
        organisations.add(organisation(name), keys);
    }
    organisations
}

/// The organisations of most tests: `b` is listed twice, and `shared` is held by two.
fn usual() -> Organisations {
    organisations(&[
        ("a", &["ka", "shared"]),
        ("b", &["kb1"]),
        ("c", &["shared"]),
        ("b", &["kb2"]),
        ("idle", &[]),
    ])
}

/// Checks whose call it is on a route that needs a key, and that a public route serves it as well.
fn check_identity(
    organisations: Organisations,
    credential: Credential,
    expected: Result<&str, NoOrganisation>,
) {
    let name = |it: Identity| it.organisation().map(|it| it.name.to_string());
    let found = organisations.identify(credential, false).map(name);
    assert_eq!(found, expected.map(|it| Some(it.to_owned())));
    let on_public_route = organisations.identify(credential, true).unwrap();
    match expected {
        Ok(expected) => assert_eq!(name(on_public_route).as_deref(), Some(expected)),
        Err(_) => assert_eq!(on_public_route, Identity::Public),
    }
}

rosethread_cases::cases!(check_identity {
    a_key_of_one_organisation: (usual(), key("ka"), Ok("a"));
    a_key_of_the_first_entry_of_an_organisation: (usual(), key("kb1"), Ok("b"));
    a_key_of_the_second_entry_of_an_organisation: (usual(), key("kb2"), Ok("b"));
    a_key_that_two_organisations_hold: (usual(), key("shared"), Err(NoOrganisation::Unknown));
    a_key_that_three_organisations_hold: (
        organisations(&[("a", &["k"]), ("b", &["k"]), ("a", &["k"])]), key("k"),
        Err(NoOrganisation::Unknown)
    );
    a_key_that_one_organisation_holds_twice: (organisations(&[("a", &["k", "k"])]), key("k"), Ok("a"));
    an_unknown_key: (usual(), key("k"), Err(NoOrganisation::Unknown));
    the_beginning_of_a_key: (usual(), key("kb"), Err(NoOrganisation::Unknown));
    an_empty_key: (usual(), key(""), Err(NoOrganisation::Unknown));
    a_very_long_key: (usual(), key(&"ka".repeat(1 << 20)), Err(NoOrganisation::Unknown));
    a_key_that_is_not_ascii: (usual(), key("k\u{e4}"), Err(NoOrganisation::Unknown));
    a_known_key_that_is_not_ascii: (organisations(&[("a", &["k\u{e4}"])]), key("k\u{e4}"), Ok("a"));
    no_key: (usual(), Credential::Missing, Err(NoOrganisation::Missing));
    a_malformed_credential: (usual(), Credential::Malformed, Err(NoOrganisation::Malformed));
    a_key_where_no_organisation_is_left:
        (Organisations::default(), key("ka"), Err(NoOrganisation::Unknown));
    no_key_where_no_organisation_is_left:
        (Organisations::default(), Credential::Missing, Err(NoOrganisation::Missing));
    a_key_where_organisations_have_none:
        (organisations(&[("a", &[])]), key("ka"), Err(NoOrganisation::Unknown));
});

#[test]
fn an_organisation_that_is_added_again_has_the_later_priority_and_limit() {
    let mut organisations = usual();
    let limit = Some(RateLimit { per_s: 2.0, burst: 1.0 });
    let later = Organisation { priority: Some(3), limit, ..organisation("b") };
    organisations.add(later.clone(), []);
    assert_eq!(organisations.iter().count(), 4);
    assert_eq!(
        *organisations.identify(key("kb1"), false).unwrap().organisation().unwrap().as_ref(),
        later
    );
    assert_eq!(organisations.ambiguous_keys(), 1);
}

#[test]
fn debug_output_shows_neither_keys_nor_digests() {
    let secret = "a-key-that-nobody-may-see";
    let organisations = organisations(&[("a", &[secret])]);
    let output = format!("{organisations:?} {:?}", key(secret));
    let digest =
        format!("{:?}", postcard::to_stdvec(&KeyDigest::of_key(secret.as_bytes())).unwrap());
    assert!(!output.contains(secret) && output.contains("KeyDigest(hidden)"), "{output}");
    assert!(!output.contains(digest.trim_matches(['[', ']'])), "{output}");
}

/// Returns whose calls have the owner's name in their identifiers; an empty name is nobody's.
fn identity(owner: &str) -> Identity {
    match owner {
        "" => Identity::Public,
        owner => Identity::Organisation(Arc::new(organisation(owner))),
    }
}

#[test]
fn identifiers_are_as_before_without_organisations() {
    for id in ["x", "a/x", "//x", &"x".repeat(MAX_LABEL_BYTES)] {
        assert_eq!(Identity::Unchecked.scope(id), id);
    }
}

/// Checks that two identifiers that look alike are told apart.
fn check_distinct(left: (&str, &str), right: (&str, &str)) {
    assert_ne!(identity(left.0).scope(left.1), identity(right.0).scope(right.1));
}

/// Returns an identifier that looks like the digest in place of an identifier of `owner`, to whoever puts
/// `owner` and a separator before it.
fn like_digest(owner: &str, id: &str) -> String {
    identity(owner).scope(id).strip_prefix('/').unwrap().to_owned()
}

rosethread_cases::cases!(check_distinct {
    the_same_identifier_of_two: (("a", "x"), ("b", "x"));
    the_same_identifier_of_one_and_of_nobody: (("a", "x"), ("", "x"));
    an_identifier_with_a_separator: (("a", "b/x"), ("a/b", "x"));
    an_identifier_of_nobody_that_names_another: (("", "a/x"), ("a", "x"));
    // Guards against callers without a key that reach another's turn by a name that they can compute.
    an_identifier_of_nobody_that_looks_like_a_digest:
        (("", &like_digest("a/b", "x")), ("a/b", "x"));
    a_long_identifier_of_two: (("a", &"x".repeat(64)), ("b", &"x".repeat(64)));
});

proptest! {
    #[test]
    fn no_two_identifiers_are_scoped_to_the_same_text(
        left in ("[!-~]{0,3}|[ab/]{0,64}", "[!-~]{1,3}|[ab/]{1,64}"),
        right in ("[!-~]{0,3}|[ab/]{0,64}", "[!-~]{1,3}|[ab/]{1,64}"),
    ) {
        let texts = [&left, &right].map(|(owner, id)| identity(owner).scope(id));
        prop_assert_eq!(left == right, texts[0] == texts[1], "{:?}", texts);
        for text in &texts {
            prop_assert!(text.len() <= MAX_LABEL_BYTES && text.contains('/'), "{}", text);
            prop_assert!(text.parse::<RequestId>().is_ok(), "{}", text);
        }
    }

    /// What was scoped is scoped again, as by a caller that knows how others' identifiers look.
    #[test]
    fn a_scoped_text_as_an_identifier_is_another(
        owners in ("[ab/]{0,64}", "[ab/]{0,64}"),
        id in "[ab/]{1,64}",
    ) {
        let scoped = identity(&owners.0).scope(&id);
        for part in [scoped.as_str(), &scoped[1..]].into_iter().filter(|it| !it.is_empty()) {
            let again = identity(&owners.1).scope(part);
            prop_assert!(again != scoped || (owners.0 == owners.1 && part == id), "{}", again);
        }
    }
}
