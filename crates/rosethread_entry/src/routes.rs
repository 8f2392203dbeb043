//! Routes: which service answers which request, and under which rules.
//!
//! The operator publishes all routes as one numbered version. [`Routes`] holds them by host and
//! path prefix, so that finding one costs a look-up per path segment however many there are.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rosethread_types::{Revision, ServiceName, Tokens};
use serde::{Deserialize, Serialize};

/// Whether a request may be sent to more than one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Running it again does no harm.
    Idempotent,
    /// It may run once at most.
    #[default]
    Once,
    /// It answers with a stream of events, and may run once at most unless it can be resumed.
    Stream {
        /// Whether another target can go on after the last event.
        resumable: bool,
        /// The longest pause between two events that callers consider on time.
        gap: Duration,
    },
}

/// A service that takes a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the route's services.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name in logs.
    pub name: Arc<str>,
    /// The host that it belongs to, in lower case.
    pub host: Arc<str>,
    /// How the paths of its requests begin; it begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether its requests may be repeated.
    pub kind: RouteKind,
    /// The longest time that a request may take.
    pub timeout: Duration,
    /// The time within which callers want the answer, or the first event.
    pub objective: Duration,
    /// Its rank; smaller numbers go first.
    pub priority: u8,
    /// The services that answer.
    pub services: Vec<WeightedService>,
    /// The most targets at which one request may run.
    pub attempts: u32,
    /// Whether targets answer faster what they have worked on before.
    pub sticky: bool,
    /// How long what was said in a turn is kept for the next; absent if callers repeat it.
    pub history: Option<Duration>,
}

impl Route {
    /// Tells whether a request may run again after it may have run.
    pub fn is_repeatable(&self) -> bool {
        matches!(self.kind, RouteKind::Idempotent | RouteKind::Stream { resumable: true, .. })
    }

    /// Tells whether answers are streams of events.
    pub fn is_stream(&self) -> bool {
        matches!(self.kind, RouteKind::Stream { .. })
    }

    /// Returns the service for a request; `draw` is a number drawn at random.
    pub fn pick_service(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self.services.iter().map(|it| u64::from(it.weight)).sum();
        let mut left = draw % total.max(1);
        for share in &self.services {
            let weight = u64::from(share.weight);
            if left < weight {
                return Some(&share.service);
            }
            left -= weight;
        }
        self.services.first().map(|it| &it.service)
    }
}

/// What a service's targets have in common.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// The connections that one of its targets accepts from all hosts together.
    pub connections: u32,
    /// What its engines are like, if they are model engines.
    pub engine: Option<EngineProfile>,
}

/// What the engines of a service are like.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineProfile {
    /// Sequences in one batch.
    pub slots: u32,
    /// Cache memory.
    pub memory: Tokens,
    /// Tokens in one event of a stream.
    pub event_tokens: Tokens,
}

/// What clients may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// The size of all headers together, in bytes.
    pub header_bytes: usize,
    /// The size of a body, in bytes.
    pub body_bytes: usize,
    /// The time in which the headers have to arrive.
    pub header_time: Duration,
    /// The time for which a connection may be idle.
    pub idle_time: Duration,
}

impl Default for ClientLimits {
    fn default() -> ClientLimits {
        ClientLimits {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_time: Duration::from_secs(10),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// One version of all routes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Routes {
    /// Its number; zero means that none has been published.
    pub revision: Revision,
    /// The routes by host and prefix.
    pub hosts: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Arc<Route>>>,
    /// The services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// What clients may send.
    pub limits: ClientLimits,
}

impl Routes {
    /// Adds a route; a later one with the same host and prefix replaces an earlier one.
    pub fn add(&mut self, route: Route) {
        let prefixes = self.hosts.entry(route.host.clone()).or_default();
        prefixes.insert(route.prefix.clone(), Arc::new(route));
    }

    /// Returns the number of routes.
    pub fn count(&self) -> usize {
        self.hosts.values().map(BTreeMap::len).sum()
    }

    /// Returns the route with the longest prefix that begins `path`, which has no query.
    ///
    /// A port behind the host's name is ignored, and so is the case of the name.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let prefixes = self.hosts.get(name.as_str())?;
        let slashes = path.rmatch_indices('/');
        slashes.map(|(index, _)| &path[..=index]).find_map(|it| prefixes.get(it))
    }
}
