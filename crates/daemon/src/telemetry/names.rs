//! Names of all metrics with their help texts.

use acaciabank_protocol::reason::RetryReason;

/// Refused requests by reason and verdict.
pub const REFUSALS: &str = "acaciabank_refusals_total";
/// Further attempts by the reason for them.
pub const RETRIES: &str = "acaciabank_retries_total";
/// Requests accepted for dispatch, by priority.
pub const REQUESTS: &str = "acaciabank_requests_total";
/// Requests that run now.
pub const RUNNING: &str = "acaciabank_running_requests";
/// Open connections, by listener.
pub const CONNECTIONS: &str = "acaciabank_connections";
/// Connections closed at once because of `max_connections`, by listener.
pub const CONNECTIONS_REFUSED: &str = "acaciabank_connections_refused_total";
/// Requests that a shutdown interrupted.
pub const INTERRUPTED: &str = "acaciabank_interrupted_requests_total";

/// Every retry reason.
pub const RETRY_REASONS: [RetryReason; 7] = [
    RetryReason::ConnectFailed,
    RetryReason::NotWritten,
    RetryReason::ConnectionBroken,
    RetryReason::TargetRefused,
    RetryReason::StreamResumed,
    RetryReason::CrossedAnswer,
    RetryReason::FirstTokenTimeout,
];

/// Registers the help texts.
pub fn describe() {
    metrics::describe_counter!(REFUSALS, "Refused requests by reason and verdict.");
    metrics::describe_counter!(RETRIES, "Further attempts by the reason for them.");
    metrics::describe_counter!(REQUESTS, "Accepted requests by priority.");
    metrics::describe_gauge!(RUNNING, "Requests that run now.");
    metrics::describe_gauge!(CONNECTIONS, "Open connections by listener.");
    metrics::describe_counter!(
        CONNECTIONS_REFUSED,
        "Connections closed because of max_connections, by listener."
    );
    metrics::describe_counter!(INTERRUPTED, "Requests that a shutdown interrupted.");
}
