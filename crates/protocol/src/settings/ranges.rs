//! Allowed ranges of numbers.

use super::{Adaptation, LimitSettings, Problem, TableSettings, TimerSettings};

/// Longest interval or timeout that the settings take, in milliseconds: one day.
const MAX_INTERVAL_MS: u64 = 86_400_000;
/// Rows that the table service takes in one transaction.
const MAX_TRANSACTION_ROWS: u64 = 100;

fn check_range(path: &str, value: u64, least: u64, most: u64) -> Result<(), Problem> {
    if (least..=most).contains(&value) {
        return Ok(());
    }
    Err(Problem::new(
        path,
        value,
        format!("must be from {least} to {most}"),
    ))
}

pub(super) fn check_table(table: &TableSettings) -> Result<(), Problem> {
    if table.name.is_empty() {
        return Err(Problem::new("name", "\"\"", "must not be empty"));
    }
    check_range("timeout_ms", table.timeout_ms, 10, 60_000)?;
    check_range(
        "batch_rows",
        table.batch_rows as u64,
        1,
        MAX_TRANSACTION_ROWS,
    )?;
    check_range("batch_wait_ms", table.batch_wait_ms, 0, 1_000)
}

pub(super) fn check_limits(limits: &LimitSettings) -> Result<(), Problem> {
    check_range(
        "max_body_bytes",
        limits.max_body_bytes as u64,
        1_024,
        1 << 30,
    )?;
    // hyper needs a read buffer of at least 8 KiB to read a head.
    check_range(
        "max_header_bytes",
        limits.max_header_bytes as u64,
        8 << 10,
        1 << 20,
    )?;
    check_range(
        "max_connections",
        limits.max_connections as u64,
        1,
        1_000_000,
    )?;
    check_range(
        "max_queued_requests",
        limits.max_queued_requests as u64,
        0,
        1_000_000,
    )?;
    check_range("max_attempts", u64::from(limits.max_attempts), 1, 16)?;
    check_range("retry_percent", u64::from(limits.retry_percent), 0, 100)?;
    check_range(
        "answer_buffer_bytes",
        limits.answer_buffer_bytes as u64,
        0,
        1 << 34,
    )?;
    check_range("worker_threads", limits.worker_threads as u64, 0, 256)
}

pub(super) fn check_timers(timers: &TimerSettings) -> Result<(), Problem> {
    let intervals = [
        ("gossip_interval_ms", timers.gossip_interval_ms),
        ("suspect_after_ms", timers.suspect_after_ms),
        ("dead_after_ms", timers.dead_after_ms),
        ("lease_ttl_ms", timers.lease_ttl_ms),
        ("lease_renewal_ms", timers.lease_renewal_ms),
        ("lease_margin_ms", timers.lease_margin_ms),
        ("target_poll_ms", timers.target_poll_ms),
        ("target_backoff_ms", timers.target_backoff_ms),
        ("host_list_poll_ms", timers.host_list_poll_ms),
        ("config_poll_ms", timers.config_poll_ms),
        ("connect_timeout_ms", timers.connect_timeout_ms),
        ("first_byte_timeout_ms", timers.first_byte_timeout_ms),
        ("idle_timeout_ms", timers.idle_timeout_ms),
        (
            "default_request_timeout_ms",
            timers.default_request_timeout_ms,
        ),
        ("address_lifetime_ms", timers.address_lifetime_ms),
        ("answer_lifetime_ms", timers.answer_lifetime_ms),
        ("shutdown_deadline_ms", timers.shutdown_deadline_ms),
    ];
    for (path, value) in intervals {
        check_range(path, value, 1, MAX_INTERVAL_MS)?;
    }
    // Two gossip rounds may be lost before a live daemon is taken for silent.
    let least = timers.gossip_interval_ms.saturating_mul(2);
    check_range(
        "suspect_after_ms",
        timers.suspect_after_ms,
        least,
        MAX_INTERVAL_MS,
    )?;
    check_range(
        "dead_after_ms",
        timers.dead_after_ms,
        timers.suspect_after_ms,
        MAX_INTERVAL_MS,
    )?;
    // A holder must be able to renew before the time at which it stops acting.
    let least = timers
        .lease_renewal_ms
        .saturating_add(timers.lease_margin_ms)
        .saturating_add(1);
    check_range("lease_ttl_ms", timers.lease_ttl_ms, least, MAX_INTERVAL_MS)
}

pub(super) fn check_adaptation(adaptation: &Adaptation) -> Result<(), Problem> {
    check_range(
        "switch_cost_ms",
        adaptation.switch_cost_ms,
        0,
        MAX_INTERVAL_MS,
    )?;
    check_range("min_dwell_ms", adaptation.min_dwell_ms, 0, MAX_INTERVAL_MS)?;
    check_range("horizon_ms", adaptation.horizon_ms, 1, MAX_INTERVAL_MS)?;
    check_range(
        "min_gain_percent",
        u64::from(adaptation.min_gain_percent),
        100,
        10_000,
    )?;
    let changes = u64::from(adaptation.max_concurrent_changes);
    check_range("max_concurrent_changes", changes, 1, 100)?;
    check_range(
        "threshold_percent",
        u64::from(adaptation.threshold_percent),
        101,
        10_000,
    )
}
