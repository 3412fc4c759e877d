//! State of the daemon's stop: which requests it still accepts, and the signals that it has begun
//! and that running requests end.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    future,
    time::Duration,
};

use acaciabank_core::shutdown;
use tokio_util::sync::CancellationToken;

use crate::config;

/// The stop of the daemon, and the times of responses by which it is planned.
#[derive(Debug, Default)]
pub struct ShutdownState {
    times: Cell<Option<shutdown::ShutdownTimes>>,
    begun: CancellationToken,
    ended: CancellationToken,
    /// Times of the latest responses by the name of their route.
    routes: RefCell<HashMap<String, shutdown::RouteTimes>>,
    interrupted: Cell<u32>,
}

impl ShutdownState {
    /// Starts the stop.
    pub fn begin(&self, times: shutdown::ShutdownTimes) {
        self.times.set(Some(times));
        self.begun.cancel();
    }

    /// Ends the requests that still run.
    pub fn end(&self) {
        self.ended.cancel();
    }

    /// Returns the times of the stop; `None` before it.
    pub fn times(&self) -> Option<shutdown::ShutdownTimes> {
        self.times.get()
    }

    /// Waits until the stop begins.
    pub async fn wait_begin(&self) -> shutdown::ShutdownTimes {
        self.begun.cancelled().await;
        match self.times.get() {
            Some(times) => times,
            // The times are set before the signal.
            None => future::pending().await,
        }
    }

    /// Waits until running requests end.
    pub async fn wait_end(&self) {
        self.ended.cancelled().await;
    }

    /// Returns the number of streams that the end of the process has cut.
    pub fn interrupted(&self) -> u32 {
        self.interrupted.get()
    }

    /// Counts a stream that the end of the process has cut.
    pub fn record_interrupted(&self) {
        self.interrupted.set(self.interrupted.get() + 1);
    }

    /// Records the time from the arrival of a request to its response, or to the first event.
    pub fn record_first(&self, route: &str, time: Duration) {
        self.with_route(route, |times| times.record_first(time));
    }

    /// Records the time from the first event to the end of a stream of at most `max_tokens` tokens.
    pub fn record_rest(&self, route: &str, time: Duration, max_tokens: u64) {
        self.with_route(route, |times| times.record_rest(time, max_tokens));
    }

    fn with_route(&self, route: &str, record: impl FnOnce(&mut shutdown::RouteTimes)) {
        let mut routes = self.routes.borrow_mut();
        match routes.get_mut(route) {
            Some(times) => record(times),
            None => record(routes.entry(route.to_owned()).or_default()),
        }
    }

    /// Returns the expected time to the response or the first event of a request.
    pub fn expected_first(&self, route: &config::RouteRule) -> Duration {
        let initial = Duration::from_millis(route.target_latency_ms);
        let routes = self.routes.borrow();
        let times = routes.get(&route.name);
        times.map_or(initial, |times| times.expected_first(initial))
    }

    /// Returns the expected time from the first event to the end of a stream.
    pub fn expected_rest(&self, route: &config::RouteRule, max_tokens: u64) -> Duration {
        let unknown = shutdown::RouteTimes::default();
        let routes = self.routes.borrow();
        let times = routes.get(&route.name).unwrap_or(&unknown);
        times.expected_rest(max_tokens)
    }

    /// Forgets the times of routes that a configuration does not have.
    pub fn retain_routes(&self, config: &config::RelayConfig) {
        let mut routes = self.routes.borrow_mut();
        if !routes.is_empty() {
            let names = config.route_names();
            routes.retain(|name, _| names.contains(name.as_str()));
        }
    }
}
