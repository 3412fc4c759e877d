//! Configuration set by the operator: routes, services, teams and limits.

mod teams;

pub use teams::{SharedKey, TeamDirectory, TeamSpec};

use std::collections::{HashMap, HashSet};

use acaciabank_core::store_version::StoreVersion;
use acaciabank_protocol::value_type;

value_type!(
    /// Whether a route's responses are streams and whether its requests may be retried.
    pub enum RouteKind {
        /// A request that may run more than once.
        Idempotent,
        /// A request that runs at most once for each attempt of a caller.
        NonIdempotent,
        /// A stream that another run cannot resume.
        Stream,
        /// A stream that another run can resume after the last event.
        ResumableStream,
    }
);

impl RouteKind {
    /// Whether a request may be sent again after a run that may have started.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// Rule that maps requests of a host and path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Name of the route, used in logs and metrics.
    pub name: String,
    /// Host that the route matches, in lower case.
    pub host: String,
    /// Path prefix that the route matches.
    pub prefix: String,
    /// Whether requests may be retried, and whether responses are streams.
    pub kind: RouteKind,
    /// Time limit for the complete response.
    pub timeout_ms: u64,
    /// Time within which a response counts as on time.
    pub target_latency_ms: u64,
    /// Priority of requests whose team has none; 0 is the highest.
    pub priority: u8,
    /// Whether requests without an API key are served when the configuration has teams.
    pub allow_anonymous: bool,
    /// Names of services with their weights.
    pub services: Vec<(String, u32)>,
    /// Maximum number of targets that one attempt of a caller is sent to.
    pub max_attempts: u32,
}

impl RouteRule {
    /// Picks a service by weight for a uniformly distributed random number; `None` when all weights
    /// are zero.
    pub fn pick_service(&self, random: u64) -> Option<&str> {
        let total: u64 = self
            .services
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        let mut remaining = random.checked_rem(total)?;
        for (service, weight) in &self.services {
            if remaining < u64::from(*weight) {
                return Some(service);
            }
            remaining -= u64::from(*weight);
        }
        None
    }
}

/// Properties of each engine of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that an engine runs concurrently.
    pub slots: u32,
    /// Capacity of an engine's KV cache in tokens.
    pub kv_tokens: u64,
    /// Size of the KV cache of one token.
    pub kv_bytes_per_token: u64,
    /// Bandwidth between engines, in Mbit/s.
    pub link_mbps: f64,
    /// Time for which an engine is unavailable while it changes its stage.
    pub switch_ms: u64,
}

/// A service that routes send requests to.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: String,
    /// Connections that one target accepts from all daemons together.
    pub max_connections: u32,
    /// Properties of the engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
}

/// Limits for the connections and requests of callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest size of a request's head.
    pub max_header_bytes: usize,
    /// Largest size of a request's body.
    pub max_body_bytes: usize,
    /// Time for which no byte of a request's body may arrive.
    pub header_timeout_ms: u64,
    /// Time for which a connection may stay idle.
    pub idle_timeout_ms: u64,
}

value_type!(
    /// Identity of a configuration. Configurations are ordered by the operator's number, which
    /// survives a return of the store: the copy of an older configuration replaces nothing. If a
    /// number is given out again after a return, the later write counts.
    #[derive(Copy, Default, Eq, PartialOrd, Ord)]
    pub struct ConfigVersion {
        /// Number that the operator gave it.
        pub number: u64,
        /// Version of the store's row, as it was last read.
        pub stored: StoreVersion,
        /// Hash of the encoded configuration.
        pub digest: u64,
    }
);

impl ConfigVersion {
    /// Whether both belong to the same document, which the store may hold in several versions.
    pub fn is_same_document(&self, other: &Self) -> bool {
        self.number == other.number && self.digest == other.digest
    }
}

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct RelayConfig {
    /// Version number; a daemon never applies a lower one than before.
    pub version: u64,
    routes: HashMap<String, Vec<RouteRule>>,
    services: HashMap<String, ServiceSpec>,
    /// Teams whose API keys are accepted; `None` if requests need no key.
    pub teams: Option<TeamDirectory>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

impl RelayConfig {
    /// Builds a configuration and orders the routes of each host by prefix length, longest first.
    pub fn new(
        version: u64,
        routes: Vec<RouteRule>,
        services: Vec<ServiceSpec>,
        teams: Option<TeamDirectory>,
        limits: CallerLimits,
    ) -> Self {
        let mut routes_by_host: HashMap<String, Vec<RouteRule>> = HashMap::new();
        for route in routes {
            routes_by_host
                .entry(route.host.clone())
                .or_default()
                .push(route);
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services.into_iter().map(|spec| (spec.name.clone(), spec));
        Self {
            version,
            routes: routes_by_host,
            services: services.collect(),
            teams,
            limits,
        }
    }

    /// Finds the route of a host with the longest prefix of the path. A port in `host` and the case
    /// of its letters are ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let host = host.split_once(':').map_or(host, |(name, _)| name);
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the names of all routes.
    pub fn route_names(&self) -> HashSet<&str> {
        let routes = self.routes.values().flatten();
        routes.map(|route| route.name.as_str()).collect()
    }

    /// Returns the services that run on engines.
    pub fn engine_services(&self) -> impl Iterator<Item = &ServiceSpec> {
        self.services.values().filter(|spec| spec.engine.is_some())
    }

    /// Looks up a service by name.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.get(name)
    }
}
