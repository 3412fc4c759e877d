//! The configuration that the operator declares: routes, services and limits.

use std::collections::HashMap;

use acaciabank_protocol::value_type;

value_type!(
    /// What may be repeated.
    pub enum RouteKind {
        /// May run more than once.
        Idempotent,
        /// Runs at most once for each attempt of a caller.
        NonIdempotent,
        /// A stream that another run cannot go on with.
        Stream,
        /// A stream that another run can go on with after its last event.
        ResumableStream,
    }
);

impl RouteKind {
    /// Whether the request may run again after a run that may have begun.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Name.
    pub name: String,
    /// Host that it belongs to, in lower case.
    pub host: String,
    /// Beginning of the paths that it covers.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time until the final answer, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer is on time, in milliseconds.
    pub target_latency_ms: u64,
    /// Rank; 0 is the highest.
    pub priority: u8,
    /// Services with their weights.
    pub services: Vec<(String, u32)>,
    /// Targets that one attempt of a caller may be sent to.
    pub max_attempts: u32,
}

impl RouteRule {
    /// The service for a number drawn uniformly from all numbers.
    pub fn pick_service(&self, draw: u64) -> Option<&str> {
        let total: u64 = self
            .services
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        let mut rest = draw.checked_rem(total)?;
        for (service, weight) in &self.services {
            if rest < u64::from(*weight) {
                return Some(service);
            }
            rest -= u64::from(*weight);
        }
        None
    }
}

/// Engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Tokens that an engine has memory for.
    pub kv_tokens: u64,
    /// Bytes of KV cache for each token.
    pub kv_bytes_per_token: u64,
    /// Bandwidth between engines in Mbit/s.
    pub link_mbps: f64,
    /// Time for which an engine is away when it changes its stage, in milliseconds.
    pub switch_ms: u64,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name.
    pub name: String,
    /// Connections that a target accepts from all daemons.
    pub max_connections: u32,
    /// Engines, if the service generates.
    pub engine: Option<EngineSpec>,
}

/// What callers may send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Milliseconds for which a connection may stay idle.
    pub idle_timeout_ms: u64,
}

/// A version of the configuration.
#[derive(Clone, Debug)]
pub struct RelayConfig {
    /// Version; a daemon never returns to a lower one.
    pub version: u64,
    routes: HashMap<String, Vec<RouteRule>>,
    services: HashMap<String, ServiceSpec>,
    /// What callers may send.
    pub limits: CallerLimits,
}

impl RelayConfig {
    /// Sorts routes by host and by length of their prefix.
    pub fn new(
        version: u64,
        routes: Vec<RouteRule>,
        services: Vec<ServiceSpec>,
        limits: CallerLimits,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<RouteRule>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services.into_iter().map(|spec| (spec.name.clone(), spec));
        Self {
            version,
            routes: by_host,
            services: services.collect(),
            limits,
        }
    }

    /// The route with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let host = host.split_once(':').map_or(host, |(name, _)| name);
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Services that generate.
    pub fn engine_services(&self) -> impl Iterator<Item = &ServiceSpec> {
        self.services.values().filter(|spec| spec.engine.is_some())
    }

    /// A service.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.get(name)
    }
}
