//! Tests of documents: validation of each field, concurrent publications, and the revision that
//! never falls.

use proptest::{prelude::*, test_runner::RngSeed};
use proptest_state_machine::{StateMachineTest, prop_state_machine};
use rosethread_cases::{StatelessReference, StepStrategy};
use rosethread_config::{
    ConfigFold, Document, Publication, PublicationError, diff, hash_key, key_matches,
};
use rosethread_types::Revision;

fn valid_toml() -> String {
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
fn valid_document() {
    let document = Document::parse(&valid_toml()).unwrap();
    assert_eq!(Document::parse(&document.to_toml()).unwrap(), document);
    assert!(key_matches(&document.members[0], "secret"));
    assert!(!key_matches(&document.members[0], "other"));
}

fn check_invalid(old: &str, new: &str, expected: &[&str]) {
    assert!(valid_toml().contains(old), "{old}");
    let error = Document::parse(&valid_toml().replace(old, new)).unwrap_err().to_string();
    for text in expected {
        assert!(error.contains(text), "{text} is not in {error}");
    }
}

rosethread_cases::cases!(check_invalid {
    unknown_field: ("name = \"lyra\"", "name = \"lyra\"\nweight = 1", &["weight"]);
    zero_share: ("name = \"lyra\"", "name = \"lyra\"\nshare = 0", &["members[0].share", "0"]);
    malformed_hash: ("keys = [\"", "keys = [\"zz", &["members[0].keys", "SHA-256"]);
    no_slots: ("slots = 8", "slots = 0", &["targets[0].kind.slots", "from 1"]);
    no_models: ("[\"m\"]", "[]", &["targets[0].kind.engine.models", "must not be empty"]);
    unknown_member: (
        "zone = \"linz-a\"", "zone = \"linz-a\"\nmembers = [\"vega\"]",
        &["targets[0].members", "vega", "must name a member"]
    );
    large_block: ("block = 100", "block = 5000", &["classes[0].block", "5000", "`tokens`"]);
    no_wall_time: ("wall_s = 60", "wall_s = 0", &["classes[0].wall_s", "30 days"]);
    target_of_one: ("target = 0.95", "target = 1.0", &["objectives[0].target", "between 0 and 1"]);
    no_threshold: ("threshold_ms = 600", "", &["objectives[0].threshold_ms", "1 ms"]);
    syntax_error: ("target = 0.95", "target = ", &["document"]);
});

fn publication(base: u64, author: &str, document: &str) -> Publication {
    Publication {
        base: Revision(base),
        author: author.to_owned(),
        nonce: format!("{author}-{base}"),
        written_ms: 0,
        repeats: None,
        known_to: None,
        document: document.to_owned(),
    }
}

#[test]
fn the_first_of_two_publications_wins_and_the_error_names_its_author() {
    let mut fold = ConfigFold::default();
    fold.apply(0, &publication(0, "ada", &valid_toml())).unwrap();
    let other = valid_toml().replace("wall_s = 60", "wall_s = 90");
    let error = fold.apply(1, &publication(0, "ben", &other)).unwrap_err();
    let winner = "ada".to_owned();
    assert_eq!(error, PublicationError::Stale { base: Revision(0), current: Revision(1), winner });
    let new = Document::parse(&other).unwrap();
    let changes = diff(&fold.current().document, &new);
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].to_string(), "~ classes.long.wall_s: 60 -> 90");
}

#[test]
fn an_invalid_document_never_takes_effect() {
    let mut fold = ConfigFold::default();
    fold.apply(0, &publication(0, "ada", &valid_toml())).unwrap();
    let error = fold.apply(1, &publication(1, "ada", "members = 3")).unwrap_err();
    assert!(matches!(error, PublicationError::Invalid(_)));
    assert_eq!(fold.current().revision, Revision(1));
}

#[test]
fn a_retried_append_takes_effect_once() {
    let mut fold = ConfigFold::default();
    let publication = publication(0, "ada", &valid_toml());
    fold.apply(0, &publication).unwrap();
    assert_eq!(fold.apply(1, &publication).unwrap_err(), PublicationError::Duplicate);
}

/// If the start of the stream has expired, only a repetition tells a reader the active document.
#[test]
fn a_repetition_makes_a_truncated_stream_readable() {
    let mut fold = ConfigFold::default();
    let error = fold.apply(50, &publication(40, "ben", &valid_toml())).unwrap_err();
    assert_eq!(error, PublicationError::Undecided);
    let repeats = Some(Revision(41));
    // The writer of the repetition had not read the record at offset 50.
    let repeated =
        Publication { repeats, known_to: Some(50), ..publication(41, "ada", &valid_toml()) };
    assert_eq!(fold.apply(51, &repeated).unwrap().revision, Revision(41));
    assert_eq!(
        fold.apply(52, &publication(41, "ben", &valid_toml())).unwrap().revision,
        Revision(53)
    );
}

/// The repetition covers the stream up to offset 45, and the reader starts at 50. A record between
/// may have changed the active document, so the publication at 51 must not take effect.
#[test]
fn an_outdated_repetition_leaves_later_publications_undecided() {
    let mut fold = ConfigFold::default();
    let repeats = Some(Revision(41));
    let repeated =
        Publication { repeats, known_to: Some(45), ..publication(41, "ada", &valid_toml()) };
    assert_eq!(fold.apply(50, &repeated).unwrap().revision, Revision(41));
    let error = fold.apply(51, &publication(41, "ben", &valid_toml())).unwrap_err();
    assert_eq!(error, PublicationError::Undecided);
    assert_eq!(fold.current().revision, Revision(41));
}

/// An event in the life of a stream of publications and of the nodes that read it.
#[derive(Clone, Debug)]
enum Step {
    /// An operator publishes an edit of the document that was active `behind` revisions ago.
    Publish { behind: usize, is_valid: bool },
    /// A node appends a repetition of its active document.
    Repeat { node: usize },
    /// A node reads the next record.
    Read { node: usize },
    /// A node adopts the active document of another node.
    Adopt { from: usize, to: usize },
    /// A node restarts and reads the whole stream, or only new records if the others have expired.
    Restart { node: usize, is_truncated: bool },
}

impl StepStrategy for Stream {
    type Step = Step;

    fn step_strategy() -> BoxedStrategy<Step> {
        let node = || 0..NODES;
        let publish = (0_usize..3, prop::bool::weighted(0.8));
        prop_oneof![
            4 => publish.prop_map(|(behind, is_valid)| Step::Publish { behind, is_valid }),
            1 => node().prop_map(|node| Step::Repeat { node }),
            8 => node().prop_map(|node| Step::Read { node }),
            2 => (node(), node()).prop_map(|(from, to)| Step::Adopt { from, to }),
            1 => (node(), any::<bool>())
                .prop_map(|(node, is_truncated)| Step::Restart { node, is_truncated }),
        ]
        .boxed()
    }
}

/// The number of nodes that read the stream.
const NODES: usize = 3;

/// A node that reads the stream.
#[derive(Default)]
struct Node {
    fold: ConfigFold,
    next: usize,
    /// The highest revision that was active since the node's start.
    highest: Revision,
    is_truncated: bool,
}

/// A stream, its readers, and a reference fold that reads each record when it is appended.
#[derive(Default)]
struct Stream {
    records: Vec<Publication>,
    reference: ConfigFold,
    /// Each revision that was ever active, with its author.
    revisions: Vec<(Revision, String)>,
    nodes: [Node; NODES],
}

impl Stream {
    fn append(&mut self, publication: Publication) {
        let offset = self.records.len() as u64;
        if let Ok(accepted) = self.reference.apply(offset, &publication)
            && self.revisions.last().is_none_or(|it| it.0 < accepted.revision)
        {
            self.revisions.push((accepted.revision, accepted.author.clone()));
        }
        self.records.push(publication);
    }

    fn publish(&mut self, behind: usize, is_valid: bool) {
        let index = self.revisions.len().checked_sub(behind + 1);
        let base = index.map_or(0, |it| self.revisions[it].0.0);
        let text = if is_valid { valid_toml() } else { "members = 3".to_owned() };
        let author = format!("author {}", self.records.len());
        self.append(publication(base, &author, &text));
    }

    fn repeat(&mut self, node: usize) {
        let current = self.nodes[node].fold.current().clone();
        if current.revision == Revision::default() {
            return;
        }
        let Revision(base) = current.revision;
        let repeated = publication(base, &current.author, &current.document.to_toml());
        let nonce = current.nonce.clone();
        let known_to = Some(self.nodes[node].fold.known_to());
        let repeats = Some(current.revision);
        self.append(Publication { repeats, known_to, nonce, ..repeated });
    }

    fn read(&mut self, node: usize) {
        let node = &mut self.nodes[node];
        if let Some(record) = self.records.get(node.next) {
            // The invariants check that publications without effect change nothing.
            let _ = node.fold.apply(node.next as u64, record);
            node.next += 1;
        }
    }

    fn restart(&mut self, node: usize, is_truncated: bool) {
        let mut restarted = Node { is_truncated, ..Node::default() };
        if is_truncated {
            restarted.next = self.records.len();
        }
        self.nodes[node] = restarted;
    }
}

impl StateMachineTest for Stream {
    type SystemUnderTest = Stream;
    type Reference = StatelessReference<Stream>;

    fn init_test(_state: &()) -> Stream {
        Stream::default()
    }

    fn apply(mut stream: Stream, _state: &(), step: Step) -> Stream {
        match step {
            Step::Publish { behind, is_valid } => stream.publish(behind, is_valid),
            Step::Repeat { node } => stream.repeat(node),
            Step::Read { node } => stream.read(node),
            Step::Adopt { from, to } => {
                let other = stream.nodes[from].fold.current().as_ref().clone();
                stream.nodes[to].fold.adopt(other);
            }
            Step::Restart { node, is_truncated } => stream.restart(node, is_truncated),
        }
        for node in &mut stream.nodes {
            let revision = node.fold.current().revision;
            assert!(node.highest <= revision, "{revision} after {}", node.highest);
            node.highest = revision;
        }
        stream
    }

    fn check_invariants(stream: &Stream, _state: &()) {
        for node in &stream.nodes {
            let current = node.fold.current();
            let revision = current.revision;
            let is_known = stream.revisions.contains(&(revision, current.author.clone()));
            assert!(revision == Revision::default() || is_known, "{revision} was never active");
            if node.next == stream.records.len() && !node.is_truncated {
                assert_eq!(revision, stream.reference.current().revision);
            }
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(14),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever is published, repeated or adopted, the active revision of a node never falls, and
    /// all nodes that have read the whole stream agree on the active document.
    #[test]
    fn the_revision_never_falls(sequential 1..80 => Stream);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(14),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_text_does_not_panic(text in ".{0,400}") {
        let _ = Document::parse(&text);
    }
}
