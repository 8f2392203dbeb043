//! Member keys, and the rules of a valid document.

use std::collections::BTreeSet;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::{Class, Document, Member, Objective, ObjectiveKind, Problems, Target, TargetKind};

/// The length of a SHA-256 hash in hexadecimal.
const KEY_HASH_CHARS: usize = 64;

/// The maximum number of entries in each section of a document.
const MAX_ENTRIES: usize = 20_000;

/// The maximum lifetime of a program: 30 days, in seconds.
const MAX_WALL_S: u64 = 30 * 24 * 3_600;

/// The maximum number of tokens in a budget or cache, low enough that sums cannot overflow.
const MAX_TOKENS: u64 = 1 << 40;

/// Returns the hash under which the document stores a member's key: SHA-256 in hexadecimal.
pub fn hash_key(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}

/// Returns whether `key` belongs to `member`, in constant time with respect to the key.
pub fn key_matches(member: &Member, key: &str) -> bool {
    let hash = hash_key(key);
    let matches = member.keys.iter().map(|it| it.as_bytes().ct_eq(hash.as_bytes()));
    matches.fold(subtle::Choice::from(0), |all, it| all | it).into()
}

impl Document {
    /// Checks all rules and returns every violation.
    pub fn validate(&self) -> Result<(), Problems> {
        let mut problems = Problems::default();
        check_unique(&mut problems, "members", self.members.iter().map(|it| it.name.as_str()));
        check_unique(&mut problems, "targets", self.targets.iter().map(|it| it.name.as_str()));
        check_unique(&mut problems, "classes", self.classes.iter().map(|it| it.name.as_str()));
        check_unique(
            &mut problems,
            "objectives",
            self.objectives.iter().map(|it| it.name.as_str()),
        );
        check_unique_keys(&mut problems, &self.members);
        for (index, member) in self.members.iter().enumerate() {
            check_member(&mut problems, index, member);
        }
        for (index, target) in self.targets.iter().enumerate() {
            self.check_target(&mut problems, index, target);
        }
        for (index, class) in self.classes.iter().enumerate() {
            check_class(&mut problems, index, class);
        }
        for (index, objective) in self.objectives.iter().enumerate() {
            self.check_objective(&mut problems, index, objective);
        }
        problems.into_result(())
    }

    fn check_target(&self, problems: &mut Problems, index: usize, target: &Target) {
        let field = |name: &str| format!("targets[{index}].{name}");
        problems.require(
            target.address.port() != 0,
            field("address"),
            target.address,
            "the port must not be 0",
        );
        problems.require(
            1 <= target.slots() && target.slots() <= 100_000,
            field("kind.slots"),
            target.slots(),
            "must be from 1 to 100000",
        );
        for member in &target.members {
            let is_known = self.member(member).is_some();
            problems.require(is_known, field("members"), member, "must name a member");
        }
        match &target.kind {
            TargetKind::Engine(engine) => {
                let count = engine.models.len();
                problems.require(
                    0 < count,
                    field("kind.engine.models"),
                    count,
                    "must not be empty",
                );
                let has_memory = 0 < engine.memory && engine.memory <= MAX_TOKENS;
                let rule = "must be from 1 to 2^40 tokens";
                problems.require(has_memory, field("kind.engine.memory"), engine.memory, rule);
                let rule = "must be at least 1 token a second";
                let rate = engine.prefill_rate;
                problems.require(0 < rate, field("kind.engine.prefill_rate"), rate, rule);
                let rate = engine.decode_rate;
                problems.require(0 < rate, field("kind.engine.decode_rate"), rate, rule);
            }
            TargetKind::Service(service) => {
                let timeout = service.timeout_ms;
                let rule = "must be from 1 to 3600000 ms";
                let is_timeout = 0 < timeout && timeout <= 3_600_000;
                problems.require(is_timeout, field("kind.service.timeout_ms"), timeout, rule);
            }
        }
    }

    fn check_objective(&self, problems: &mut Problems, index: usize, objective: &Objective) {
        let field = |name: &str| format!("objectives[{index}].{name}");
        problems.require(!objective.name.is_empty(), field("name"), "\"\"", "must not be empty");
        let target = objective.target;
        let is_share = 0.0 < target && target < 1.0;
        problems.require(is_share, field("target"), target, "must lie between 0 and 1");
        let has_threshold = objective.kind == ObjectiveKind::Refusals || 0 < objective.threshold_ms;
        let rule = "must be at least 1 ms";
        problems.require(has_threshold, field("threshold_ms"), objective.threshold_ms, rule);
        if let Some(class) = &objective.class {
            let is_known = self.class(class).is_some();
            problems.require(is_known, field("class"), class, "must name a class");
        }
    }
}

fn check_unique<'a>(
    problems: &mut Problems,
    section: &str,
    names: impl ExactSizeIterator<Item = &'a str>,
) {
    let count = names.len();
    problems.require(count <= MAX_ENTRIES, section, count, "must have at most 20000 entries");
    let mut seen = BTreeSet::new();
    for (index, name) in names.enumerate() {
        let field = format!("{section}[{index}].name");
        problems.require(seen.insert(name), field, name, "must be unique");
    }
}

/// Checks that no key belongs to two members, since a key identifies its member.
fn check_unique_keys(problems: &mut Problems, members: &[Member]) {
    let mut seen = BTreeSet::new();
    for (index, member) in members.iter().enumerate() {
        for key in &member.keys {
            let field = format!("members[{index}].keys");
            problems.require(seen.insert(key), field, key, "must belong to one member only");
        }
    }
}

fn check_member(problems: &mut Problems, index: usize, member: &Member) {
    let field = |name: &str| format!("members[{index}].{name}");
    let count = member.keys.len();
    problems.require((1..=8).contains(&count), field("keys"), count, "must be 1 to 8 hashes");
    for key in &member.keys {
        let is_hash = key.len() == KEY_HASH_CHARS
            && key.bytes().all(|it| it.is_ascii_digit() || (b'a'..=b'f').contains(&it));
        let rule = "must be a SHA-256 hash in lower-case hexadecimal";
        problems.require(is_hash, field("keys"), key, rule);
    }
    let share = member.share;
    problems.require((1..=10_000).contains(&share), field("share"), share, "must be 1 to 10000");
    let rule = "must be at least 1";
    problems.require(0 < member.rate, field("rate"), member.rate, rule);
    problems.require(0 < member.concurrency, field("concurrency"), member.concurrency, rule);
    let tokens = member.minute_tokens;
    problems.require(0 < tokens, field("minute_tokens"), tokens, rule);
}

fn check_class(problems: &mut Problems, index: usize, class: &Class) {
    let field = |name: &str| format!("classes[{index}].{name}");
    let rule = "must be from 1 to 3600000 ms";
    let is_deadline = 0 < class.deadline_ms && class.deadline_ms <= 3_600_000;
    problems.require(is_deadline, field("deadline_ms"), class.deadline_ms, rule);
    let is_budget = 0 < class.tokens && class.tokens <= MAX_TOKENS;
    problems.require(is_budget, field("tokens"), class.tokens, "must be from 1 to 2^40");
    problems.require(0 < class.calls, field("calls"), class.calls, "must be at least 1");
    let is_wall = 0 < class.wall_s && class.wall_s <= MAX_WALL_S;
    problems.require(is_wall, field("wall_s"), class.wall_s, "must be from 1 s to 30 days");
    let is_block = 0 < class.block && class.block <= class.tokens;
    problems.require(is_block, field("block"), class.block, "must be from 1 to `tokens`");
    let is_max = 0 < class.max_tokens && class.max_tokens <= class.tokens;
    problems.require(is_max, field("max_tokens"), class.max_tokens, "must be from 1 to `tokens`");
    let retries = class.retries;
    problems.require(retries <= 10, field("retries"), retries, "must be at most 10");
    let rule = "must be a finite number of at least 0";
    let is_weight = |it: f64| it.is_finite() && 0.0 <= it;
    let weight = class.latency_weight;
    problems.require(is_weight(weight), field("latency_weight"), weight, rule);
    let weight = class.waste_weight;
    problems.require(is_weight(weight), field("waste_weight"), weight, rule);
}
