//! The routing table: which service answers a request, and with which limits.
//!
//! The operator publishes all routes together as one numbered revision. [`Routes`] indexes them by
//! host and path prefix, so a lookup costs one map access per path segment, whatever the number of
//! routes.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rosethread_types::{Revision, ServiceName, Tokens};
use serde::{Deserialize, Serialize};

use crate::organisations::Organisations;

/// The longest duration that routes may name: sums of it and of any clock do not overflow.
const MAX_DURATION: Duration = Duration::from_secs(365 * 24 * 3_600);

/// The most tokens that one event may stand for: sums of it do not overflow.
const MAX_EVENT_TOKENS: Tokens = 1 << 32;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Repeating the request is harmless.
    Idempotent,
    /// The request may be executed at most once.
    #[default]
    Once,
    /// The response is a stream of events; it is executed at most once unless it can be resumed.
    Stream {
        /// Whether another target can continue the stream after the last event.
        resumable: bool,
        /// The longest pause between two events that still meets the objective.
        gap: Duration,
    },
}

/// A service that receives part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The name of the service.
    pub service: ServiceName,
    /// The weight relative to the route's other services.
    pub weight: u32,
}

/// One route: which requests it matches, and how they are handled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The route's name in logs.
    pub name: Arc<str>,
    /// The HTTP host that it matches, in lower case.
    pub host: Arc<str>,
    /// The path prefix that it matches; it begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether its requests may be executed more than once.
    pub kind: RouteKind,
    /// The maximum duration of a request.
    pub timeout: Duration,
    /// The latency objective for the response, or for the first event of a stream.
    pub objective: Duration,
    /// The priority; smaller numbers go first.
    pub priority: u8,
    /// The services that share the requests.
    pub services: Vec<WeightedService>,
    /// The maximum number of targets at which one request may be executed.
    pub attempts: u32,
    /// Whether targets cache state, so that related requests are faster at the same target.
    pub sticky: bool,
    /// How long turns are kept for later ones; `None` if callers send the whole history each time.
    pub history: Option<Duration>,
    /// Whether its calls need no credential where there are organisations. Frames between hosts name
    /// such routes in `RoutesAccess`.
    #[serde(skip)]
    pub is_public: bool,
}

impl Route {
    /// Returns whether a request may be sent again after it may have been executed.
    pub fn is_repeatable(&self) -> bool {
        matches!(self.kind, RouteKind::Idempotent | RouteKind::Stream { resumable: true, .. })
    }

    /// Returns whether responses are streams of events.
    pub fn is_stream(&self) -> bool {
        matches!(self.kind, RouteKind::Stream { .. })
    }

    /// Picks the service for a request by weight; `draw` is a uniformly random number.
    pub fn pick_service(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self.services.iter().map(|it| u64::from(it.weight)).sum();
        let mut remaining = draw % total.max(1);
        for candidate in &self.services {
            let weight = u64::from(candidate.weight);
            if remaining < weight {
                return Some(&candidate.service);
            }
            remaining -= weight;
        }
        self.services.first().map(|it| &it.service)
    }
}

/// Properties that all targets of a service share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The name of the service.
    pub name: ServiceName,
    /// The number of connections that one target accepts from all hosts together.
    pub connections: u32,
    /// The engine properties, if its targets are model engines.
    pub engine: Option<EngineProfile>,
}

/// Properties of the model engines of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineProfile {
    /// The number of sequences in one batch.
    pub slots: u32,
    /// The capacity of the KV cache, in tokens.
    pub memory: Tokens,
    /// The number of tokens in one event of a stream.
    pub event_tokens: Tokens,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// The maximum size of all headers together, in bytes.
    pub header_bytes: usize,
    /// The maximum size of a body, in bytes.
    pub body_bytes: usize,
    /// The time within which all headers have to arrive.
    pub header_time: Duration,
    /// The time after which an idle connection is closed.
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

/// One revision of the routing table.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Routes {
    /// The revision number; zero means that nothing has been published yet.
    pub revision: Revision,
    /// The routes by host and path prefix.
    pub hosts: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Arc<Route>>>,
    /// The services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Limits on what callers may send.
    pub limits: ClientLimits,
    /// The organisations, if the configuration names any. Frames between hosts hold them in
    /// `RoutesAccess`.
    #[serde(skip)]
    pub organisations: Option<Arc<Organisations>>,
    /// Whether they came from a host of an earlier release, which doesn't know of organisations.
    #[serde(skip)]
    pub lacks_access: bool,
}

/// Who may use the routes; follows them in frames between hosts, where those of earlier releases don't
/// look.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoutesAccess {
    organisations: Option<Arc<Organisations>>,
    /// The host and prefix of each route whose calls need no credential.
    public: Vec<(Arc<str>, Arc<str>)>,
}

impl Routes {
    /// Returns the newest revision that is known as a whole: routes without who may use them are to be
    /// replaced by the same revision with it.
    pub(crate) fn whole_revision(&self) -> Revision {
        Revision(self.revision.0.saturating_sub(u64::from(self.lacks_access)))
    }

    /// Returns who may use the routes.
    pub(crate) fn access(&self) -> RoutesAccess {
        let routes = self.hosts.values().flat_map(|it| it.values()).filter(|it| it.is_public);
        RoutesAccess {
            organisations: self.organisations.clone(),
            public: routes.map(|it| (it.host.clone(), it.prefix.clone())).collect(),
        }
    }

    /// Sets who may use the routes.
    pub(crate) fn set_access(&mut self, access: RoutesAccess) {
        self.organisations = access.organisations;
        for (host, prefix) in access.public {
            if let Some(route) = self.hosts.get_mut(&host).and_then(|it| it.get_mut(&prefix)) {
                Arc::make_mut(route).is_public = true;
            }
        }
    }

    /// Returns the longest time for which any route owes its turns; zero if none stores turns.
    pub(crate) fn longest_history(&self) -> Duration {
        let routes = self.hosts.values().flat_map(|it| it.values());
        routes.filter_map(|it| it.history).max().unwrap_or_default()
    }

    /// Returns the longest timeout of any route.
    pub(crate) fn longest_timeout(&self) -> Duration {
        self.hosts
            .values()
            .flat_map(|it| it.values())
            .map(|it| it.timeout)
            .max()
            .unwrap_or_default()
    }

    /// Adds a route; a later one with the same host and prefix replaces an earlier one.
    pub fn add(&mut self, route: Route) {
        let prefixes = self.hosts.entry(route.host.clone()).or_default();
        prefixes.insert(route.prefix.clone(), Arc::new(route));
    }

    /// Limits all durations and counts to what sums of them can hold. The operator may name any, and a
    /// peer passes them on.
    #[must_use]
    pub fn limited(mut self) -> Routes {
        let limit = |it: &mut Duration| *it = MAX_DURATION.min(*it);
        limit(&mut self.limits.header_time);
        limit(&mut self.limits.idle_time);
        for route in self.hosts.values_mut().flat_map(BTreeMap::values_mut) {
            let route = Arc::make_mut(route);
            limit(&mut route.timeout);
            limit(&mut route.objective);
            route.history.iter_mut().for_each(limit);
            if let RouteKind::Stream { gap, .. } = &mut route.kind {
                limit(gap);
            }
        }
        for engine in self.services.values_mut().filter_map(|it| it.engine.as_mut()) {
            engine.event_tokens = MAX_EVENT_TOKENS.min(engine.event_tokens);
        }
        self
    }

    /// Returns the number of routes.
    pub fn count(&self) -> usize {
        self.hosts.values().map(BTreeMap::len).sum()
    }

    /// Returns the route with the longest prefix of `path`, which must have no query string.
    ///
    /// The port and the letter case of `host` are ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let prefixes = self.hosts.get(name.as_str())?;
        let slashes = path.rmatch_indices('/');
        slashes.map(|(index, _)| &path[..=index]).find_map(|it| prefixes.get(it))
    }
}
