//! A builder of configuration documents for tests and examples.

use std::net::SocketAddr;

use rosethread_config::{
    Class, Document, EngineSpec, HistoryStorage, Member, PolicyName, ServiceSpec, Target,
    TargetKind, TargetState, hash_key,
};
use rosethread_types::{ClassName, MemberName, TargetName};

/// Returns the API key that [`DocumentBuilder::member`] registers for a member.
pub fn member_key(member: &str) -> String {
    format!("key-of-{member}")
}

/// Builds a configuration document step by step, with defaults that suit tests.
#[derive(Clone, Debug, Default)]
pub struct DocumentBuilder {
    document: Document,
}

impl DocumentBuilder {
    /// Returns a builder that starts from the default document.
    pub fn new() -> DocumentBuilder {
        DocumentBuilder::default()
    }

    /// Sets the scheduling policy.
    #[must_use]
    pub fn policy(mut self, policy: PolicyName) -> DocumentBuilder {
        self.document.policy = policy;
        self
    }

    /// Adds a member with the fair-share weight `share` and limits too high to matter in tests.
    #[must_use]
    pub fn member(mut self, name: &str, share: u32) -> DocumentBuilder {
        self.document.members.push(Member {
            name: parse_name::<MemberName>(name),
            keys: vec![hash_key(&member_key(name))],
            share,
            rate: 10_000,
            concurrency: 10_000,
            minute_tokens: 1_000_000_000,
        });
        self
    }

    /// Adds a class with default limits, which `adjust` may change.
    #[must_use]
    pub fn class(mut self, name: &str, adjust: impl FnOnce(&mut Class)) -> DocumentBuilder {
        let mut class = Class {
            name: parse_name::<ClassName>(name),
            priority: 0,
            deadline_ms: 60_000,
            tokens: 20_000,
            calls: 200,
            wall_s: 3_600,
            block: 2_000,
            max_tokens: 256,
            history: HistoryStorage::Journal,
            retries: 3,
            reserved: false,
            latency_weight: 1.0,
            waste_weight: 10.0,
        };
        adjust(&mut class);
        self.document.classes.push(class);
        self
    }

    /// Adds a model engine as an active target open to all members.
    #[must_use]
    pub fn engine(
        self,
        name: &str,
        zone: &str,
        address: SocketAddr,
        spec: EngineSpec,
    ) -> DocumentBuilder {
        self.target(name, zone, address, TargetKind::Engine(spec))
    }

    /// Adds an active target for the plain service `service`, with a timeout of 5 s.
    #[must_use]
    pub fn service(
        self,
        name: &str,
        zone: &str,
        address: SocketAddr,
        service: &str,
        slots: u32,
    ) -> DocumentBuilder {
        let spec = ServiceSpec { service: parse_name(service), slots, timeout_ms: 5_000 };
        self.target(name, zone, address, TargetKind::Service(spec))
    }

    fn target(
        mut self,
        name: &str,
        zone: &str,
        address: SocketAddr,
        kind: TargetKind,
    ) -> DocumentBuilder {
        self.document.targets.push(Target {
            name: parse_name::<TargetName>(name),
            address,
            zone: parse_name(zone),
            kind,
            members: Vec::new(),
            state: TargetState::Active,
        });
        self
    }

    /// Returns the document, which is not validated.
    pub fn build(self) -> Document {
        self.document
    }
}

/// Parses a name that test code supplies; panics if it is not valid.
pub(crate) fn parse_name<T>(text: &str) -> T
where
    T: std::str::FromStr,
    T::Err: std::fmt::Debug,
{
    text.parse().expect("names in tests are valid")
}
