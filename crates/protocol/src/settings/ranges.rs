//! Allowed ranges of the numbers in the settings.

use super::{AdaptationSettings, LimitSettings, SettingsError, TableSettings, TimerSettings};

/// Longest interval or timeout that the settings accept, in milliseconds: one day.
const MAX_INTERVAL_MS: u64 = 86_400_000;

/// Allowed range of one number in the settings; both bounds are inclusive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FieldRange {
    /// Path of the object that holds the number, such as `process.limits`.
    pub object: &'static str,
    /// Name of the field.
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

/// Ranges of all numbers that have a default. A test compares them with the settings reference.
pub const FIELD_RANGES: &[FieldRange] = &[
    range("process.table", "timeout_ms", 10, 60_000),
    // The table service takes at most 100 rows in a transaction.
    range("process.table", "batch_rows", 1, 100),
    range("process.table", "batch_wait_ms", 0, 1_000),
    range("process.limits", "max_body_bytes", 1 << 10, 1 << 30),
    // The HTTP library requires a read buffer of at least 8 KiB.
    range("process.limits", "max_header_bytes", 8 << 10, 1 << 20),
    range("process.limits", "max_connections", 1, 1_000_000),
    range("process.limits", "max_queued_requests", 0, 1_000_000),
    range("process.limits", "max_attempts", 1, 16),
    range("process.limits", "retry_percent", 0, 100),
    range("process.limits", "answer_buffer_bytes", 0, 1 << 34),
    range("process.limits", "memory_bytes", 16 << 20, 1 << 40),
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
    range("process.timers", "body_timeout_ms", 1, MAX_INTERVAL_MS),
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

/// Checks the numbers of a settings object against the ranges listed for it.
fn check_object<T: serde::Serialize>(object: &str, settings: &T) -> Result<(), SettingsError> {
    let values = serde_json::to_value(settings).expect("settings serialize to JSON");
    for range in FIELD_RANGES.iter().filter(|range| range.object == object) {
        let value = values[range.field]
            .as_u64()
            .expect("ranges refer to unsigned integers");
        check_range(range.field, value, range.min, range.max)?;
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
    // The loss of two gossip rounds must not make a live daemon suspect.
    let min_suspect_ms = timers.gossip_interval_ms * 2;
    check_range(
        "suspect_after_ms",
        timers.suspect_after_ms,
        min_suspect_ms,
        MAX_INTERVAL_MS,
    )?;
    check_range(
        "dead_after_ms",
        timers.dead_after_ms,
        timers.suspect_after_ms,
        MAX_INTERVAL_MS,
    )?;
    // A holder must be able to renew its lease before it stops acting on it.
    let min_ttl_ms = timers.lease_renewal_ms + timers.lease_margin_ms + 1;
    check_range(
        "lease_ttl_ms",
        timers.lease_ttl_ms,
        min_ttl_ms,
        MAX_INTERVAL_MS,
    )
}

pub(super) fn check_adaptation(adaptation: &AdaptationSettings) -> Result<(), SettingsError> {
    check_object("deployment.policy.adaptation", adaptation)
}
