//! Names and help texts of all metrics.

use acaciabank_protocol::reason::RetryReason;

/// Refused requests by reason and verdict.
pub const REFUSALS: &str = "acaciabank_refusals_total";
/// Retries by reason.
pub const RETRIES: &str = "acaciabank_retries_total";
/// Requests accepted for dispatch, by priority.
pub const REQUESTS: &str = "acaciabank_requests_total";
/// Running requests.
pub const RUNNING: &str = "acaciabank_running_requests";
/// Open connections, by listener.
pub const CONNECTIONS: &str = "acaciabank_connections";
/// Connections closed on accept because `max_connections` was reached, by listener.
pub const CONNECTIONS_REFUSED: &str = "acaciabank_connections_refused_total";
/// Requests interrupted by a shutdown.
pub const INTERRUPTED: &str = "acaciabank_interrupted_requests_total";

/// Completed role changes, by model and roles.
pub const ROLE_CHANGES: &str = "acaciabank_role_changes_total";
/// Finished orders, by kind and outcome.
pub const ORDERS: &str = "acaciabank_orders_total";
/// Leases acquired, lost and resigned, by model.
pub const LEASE_TRANSITIONS: &str = "acaciabank_lease_transitions_total";

/// All retry reasons.
pub const RETRY_REASONS: [RetryReason; 8] = [
    RetryReason::ConnectFailed,
    RetryReason::NotWritten,
    RetryReason::ConnectionBroken,
    RetryReason::TargetUnavailable,
    RetryReason::TargetRefused,
    RetryReason::StreamResumed,
    RetryReason::MismatchedResponse,
    RetryReason::FirstTokenTimeout,
];

/// Registers the help texts of the metrics.
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
    metrics::describe_counter!(ROLE_CHANGES, "Completed role changes by model and roles.");
    metrics::describe_counter!(ORDERS, "Ended orders by kind and outcome.");
    metrics::describe_counter!(
        LEASE_TRANSITIONS,
        "Leases acquired, lost and resigned, by model."
    );
    metrics::describe_counter!(INTERRUPTED, "Requests that a shutdown interrupted.");
}
