//! Allowed ranges of numbers.

use super::{AdaptationSettings, LimitSettings, SettingsError, TableSettings, TimerSettings};

/// Longest interval or timeout that the settings take, in milliseconds: one day.
const MAX_INTERVAL_MS: u64 = 86_400_000;

/// Allowed range of one number in the settings; both ends belong to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FieldRange {
    /// Object that holds the number.
    pub object: &'static str,
    /// Name of the number.
    pub field: &'static str,
    /// Smallest allowed value.
    pub min: u64,
    /// Largest allowed value.
    pub max: u64,
}

const fn range(object: &'static str, field: &'static str, min: u64, max: u64) -> FieldRange {
    FieldRange {
        object,
        field,
        min,
        max,
    }
}

/// Ranges of every number that has a default. The settings reference is checked against it.
pub const FIELD_RANGES: &[FieldRange] = &[
    range("process.table", "timeout_ms", 10, 60_000),
    // The table service takes at most 100 rows in a transaction.
    range("process.table", "batch_rows", 1, 100),
    range("process.table", "batch_wait_ms", 0, 1_000),
    range("process.limits", "max_body_bytes", 1 << 10, 1 << 30),
    // The HTTP library needs a read buffer of at least 8 KiB to read a head.
    range("process.limits", "max_header_bytes", 8 << 10, 1 << 20),
    range("process.limits", "max_connections", 1, 1_000_000),
    range("process.limits", "max_queued_requests", 0, 1_000_000),
    range("process.limits", "max_attempts", 1, 16),
    range("process.limits", "retry_percent", 0, 100),
    range("process.limits", "answer_buffer_bytes", 0, 1 << 34),
    range("process.limits", "worker_threads", 0, 256),
    range("process.timers", "gossip_interval_ms", 1, MAX_INTERVAL_MS),
    range("process.timers", "suspect_after_ms", 1, MAX_INTERVAL_MS),
    range("process.timers", "dead_after_ms", 1, MAX_INTERVAL_MS),
    range("process.timers", "lease_ttl_ms", 1, MAX_INTERVAL_MS),
    range("process.timers", "lease_renewal_ms", 1, MAX_INTERVAL_MS),
    range("process.timers", "lease_margin_ms", 1, MAX_INTERVAL_MS),
    range("process.timers", "target_poll_ms", 1, MAX_INTERVAL_MS),
    range("process.timers", "target_backoff_ms", 1, MAX_INTERVAL_MS),
    range("process.timers", "host_list_poll_ms", 1, MAX_INTERVAL_MS),
    range("process.timers", "config_poll_ms", 1, MAX_INTERVAL_MS),
    range("process.timers", "connect_timeout_ms", 1, MAX_INTERVAL_MS),
    range(
        "process.timers",
        "first_byte_timeout_ms",
        1,
        MAX_INTERVAL_MS,
    ),
    range("process.timers", "idle_timeout_ms", 1, MAX_INTERVAL_MS),
    range(
        "process.timers",
        "default_request_timeout_ms",
        1,
        MAX_INTERVAL_MS,
    ),
    range("process.timers", "address_lifetime_ms", 1, MAX_INTERVAL_MS),
    range("process.timers", "answer_lifetime_ms", 1, MAX_INTERVAL_MS),
    range("process.timers", "shutdown_deadline_ms", 1, MAX_INTERVAL_MS),
    range(
        "deployment.policy.adaptation",
        "switch_cost_ms",
        0,
        MAX_INTERVAL_MS,
    ),
    range(
        "deployment.policy.adaptation",
        "min_dwell_ms",
        0,
        MAX_INTERVAL_MS,
    ),
    range(
        "deployment.policy.adaptation",
        "horizon_ms",
        1,
        MAX_INTERVAL_MS,
    ),
    range(
        "deployment.policy.adaptation",
        "min_gain_percent",
        100,
        10_000,
    ),
    range(
        "deployment.policy.adaptation",
        "max_concurrent_changes",
        1,
        100,
    ),
    range(
        "deployment.policy.adaptation",
        "threshold_percent",
        101,
        10_000,
    ),
];

/// Checks every number of a serialized object against the ranges of that object.
fn check_object<T: serde::Serialize>(object: &str, settings: &T) -> Result<(), SettingsError> {
    let values = serde_json::to_value(settings).expect("settings have text keys");
    for rule in FIELD_RANGES.iter().filter(|rule| rule.object == object) {
        let value = values[rule.field]
            .as_u64()
            .expect("ranges name unsigned numbers");
        check_range(rule.field, value, rule.min, rule.max)?;
    }
    Ok(())
}

fn check_range(path: &str, value: u64, min: u64, max: u64) -> Result<(), SettingsError> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(SettingsError::new(
        path,
        value,
        format!("must be from {min} to {max}"),
    ))
}

pub(super) fn check_table(table: &TableSettings) -> Result<(), SettingsError> {
    if table.name.is_empty() {
        return Err(SettingsError::new("name", "\"\"", "must not be empty"));
    }
    check_object("process.table", table)
}

pub(super) fn check_limits(limits: &LimitSettings) -> Result<(), SettingsError> {
    check_object("process.limits", limits)
}

pub(super) fn check_timers(timers: &TimerSettings) -> Result<(), SettingsError> {
    check_object("process.timers", timers)?;
    // Two gossip rounds may be lost before a live daemon is taken for silent.
    let min = timers.gossip_interval_ms * 2;
    check_range(
        "suspect_after_ms",
        timers.suspect_after_ms,
        min,
        MAX_INTERVAL_MS,
    )?;
    check_range(
        "dead_after_ms",
        timers.dead_after_ms,
        timers.suspect_after_ms,
        MAX_INTERVAL_MS,
    )?;
    // A holder must be able to renew before the time at which it stops acting.
    let min = timers.lease_renewal_ms + timers.lease_margin_ms + 1;
    check_range("lease_ttl_ms", timers.lease_ttl_ms, min, MAX_INTERVAL_MS)
}

pub(super) fn check_adaptation(adaptation: &AdaptationSettings) -> Result<(), SettingsError> {
    check_object("deployment.policy.adaptation", adaptation)
}
