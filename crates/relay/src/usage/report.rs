//! Task of the daemon that holds the lease: settles windows and reports them.

use std::time::Duration;

use acaciabank_core::usage;

use super::{LoadedState, NamedCounts, is_active, sharing, unix_ms};
use crate::{clock, control, lease, platform, state};

/// Interval at which the holder checks whether the counts of a window are complete.
const SETTLE_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time between two rounds of the holder, which notice a lost lease and a new era.
const MAX_INTERVAL: Duration = Duration::from_millis(1_000);
/// Shortest time between two log lines about late counts.
const LATE_LOG_INTERVAL_MS: u64 = 1_000;
/// Time after a failed call of the store until the next one.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Settles and reports windows while this daemon holds the lease. Ends at once if the settings do
/// not ask for reports.
pub async fn run<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: state::SharedState<Codec, Store>,
) {
    if !state.usage.is_enabled {
        return;
    }
    // A call that gets no answer must not delay the settling of the next window.
    futures::future::join(settle_windows(&state), send_reports(&state)).await;
}

async fn settle_windows<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
) {
    loop {
        state.lease.wait_held().await;
        let interval = match is_active(state) {
            true => settle_round(state).await,
            false => MAX_INTERVAL,
        };
        tokio::time::sleep(interval).await;
    }
}

/// Reads the store if that is necessary and settles the windows that are due; returns the time until
/// the next round.
async fn settle_round<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
) -> Duration {
    let local = &state.usage;
    if let Some(config) = state.config()
        && let Some(teams) = &config.teams
    {
        local.record_names(teams);
    }
    let current = LoadedState {
        tenure: state.lease.tenure(),
        era: state.store.era(),
    };
    let must_read = local.must_read.get() || local.loaded.get() != Some(current);
    if must_read && !load(state).await {
        return RETRY_INTERVAL;
    }
    let own = sharing::own_counts(state);
    let now_ms = clock::now_ms();
    let mut runs: Vec<usage::RunKey> = state.peers.borrow().alive_runs(now_ms).collect();
    runs.push(local.own_run);
    let unix_ms = unix_ms(state);
    let due = {
        let mut collector = local.collector.borrow_mut();
        let current = usage::window_at(unix_ms, local.window_ms);
        collector.apply(local.own_run, &own, current);
        collector.retain_runs(&runs);
        let ledger = local.ledger.borrow();
        ledger.due(unix_ms, |window| collector.is_complete(window, &runs))
    };
    for window in local.ledger.borrow_mut().expire(unix_ms) {
        log::warn!(window = window; "usage_given_up");
        metrics::counter!("acaciabank_usage_windows_given_up_total").increment(1);
    }
    if !write_due(state, &due).await {
        return RETRY_INTERVAL;
    }
    let next_due_ms = local.ledger.borrow().next_due_unix_ms(unix_ms);
    next_due_ms.map_or(SETTLE_INTERVAL, |due_ms| {
        Duration::from_millis(due_ms - unix_ms).min(MAX_INTERVAL)
    })
}

/// Reads what the store holds; returns whether that succeeded.
async fn load<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
) -> bool {
    let local = &state.usage;
    let tenure = state.lease.tenure();
    let rows = match state.store.read_usage().await {
        Ok(rows) => rows,
        Err(error) => {
            log::debug!("cannot read usage: {error}");
            return false;
        }
    };
    let now_ms = clock::now_ms();
    // Another daemon may have held the lease, and written, during the read.
    if tenure != state.lease.tenure() || state.lease.grant(now_ms).is_none() {
        return false;
    }
    let checkpoint = rows.checkpoint.as_ref().and_then(|bytes| {
        let decoded = postcard::from_bytes(bytes);
        decoded
            .inspect_err(|error| log::warn!(error:% = error; "usage_checkpoint_unreadable"))
            .ok()
    });
    let stored = usage::StoredUsage {
        era: rows.era,
        checkpoint,
        settled: rows.settled,
    };
    let unix_ms = unix_ms(state);
    let own_uptime_ms = now_ms.saturating_sub(state.started_ms);
    let uptime_ms = state
        .peers
        .borrow()
        .longest_uptime_ms(now_ms)
        .max(own_uptime_ms);
    let loaded = local.loaded.get();
    let point = usage::ResumePoint {
        unix_ms,
        first_start_unix_ms: unix_ms.saturating_sub(uptime_ms),
        is_continuous: loaded.is_some_and(|loaded| loaded.tenure == tenure),
    };
    let mut ledger = local.ledger.borrow_mut();
    ledger.resume(&stored, point);
    let next = ledger.next().unwrap_or(0);
    let mut collector = local.collector.borrow_mut();
    if let Some(checkpoint) = &stored.checkpoint {
        collector.restore(checkpoint);
    }
    collector.settle_before(next);
    local.counter.borrow_mut().settle_before(next);
    log::info!(
        next = next, era = stored.era, settled = stored.settled.len(),
        checkpoint = stored.checkpoint.is_some(), continuous = point.is_continuous;
        "usage_resumed"
    );
    let era = stored.era;
    local.must_read.set(false);
    local.loaded.set(Some(LoadedState { tenure, era }));
    local.settled.notify_one();
    true
}

/// Writes the counts of the windows that are due, those that the store has lost, and the deletion of
/// old rows, in one transaction; returns whether there is nothing to repeat.
async fn write_due<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    due: &[u64],
) -> bool {
    let local = &state.usage;
    let report = |window: u64, counts: NamedCounts| platform::UsageReport { window, counts };
    let mut reports: Vec<platform::UsageReport> = {
        let ledger = local.ledger.borrow();
        let lost = ledger.unstored();
        lost.into_iter()
            .map(|(window, counts)| report(window, counts.clone()))
            .collect()
    };
    reports.extend(
        due.iter()
            .map(|window| report(*window, totals(state, *window))),
    );
    let expired = match reports.is_empty() {
        true => return true,
        false => local.ledger.borrow().expired(),
    };
    let Some(grant) = state.lease.grant(clock::now_ms()) else {
        return false;
    };
    let condition = platform::LeaseCondition {
        name: lease::LEASE_NAME,
        version: grant.version,
    };
    let written = state
        .store
        .write_usage(&condition, &reports, &expired)
        .await;
    match written {
        Ok(Some(version)) if version.era == grant.version.era => {
            record_settled(state, reports, &expired);
            true
        }
        // The condition was met by chance on rows of another era, or a row exists: an earlier write
        // without an answer has taken effect. What the store holds counts.
        Ok(_) => {
            local.must_read.set(true);
            false
        }
        Err(error) => {
            log::debug!("cannot write usage: {error}");
            false
        }
    }
}

/// Returns the sums of a window by the names of the teams.
fn totals<Codec, Store>(state: &state::RelayState<Codec, Store>, window: u64) -> NamedCounts {
    let totals = state.usage.collector.borrow().totals(window);
    let all = totals.len();
    let named: NamedCounts = state.usage.named(totals).flatten().collect();
    if named.len() < all {
        log::warn!(window = window, teams = all - named.len(); "usage_unknown_teams");
    }
    named
}

fn record_settled<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    reports: Vec<platform::UsageReport>,
    expired: &[u64],
) {
    let local = &state.usage;
    let mut ledger = local.ledger.borrow_mut();
    ledger.record_deleted(expired);
    for report in reports {
        log::info!(
            window = report.window, requests = report.counts.values().sum::<u64>(),
            teams = report.counts.len(), late_ms = lateness_ms(state, report.window);
            "usage_settled"
        );
        metrics::counter!("acaciabank_usage_windows_settled_total").increment(1);
        ledger.record_stored(report.window, report.counts);
    }
    let next = ledger.next().unwrap_or(0);
    local.collector.borrow_mut().settle_before(next);
    local.counter.borrow_mut().settle_before(next);
    local.settled.notify_one();
}

/// Returns the time since the end of a window.
fn lateness_ms<Codec, Store>(state: &state::RelayState<Codec, Store>, window: u64) -> u64 {
    let end_ms = usage::window_end_ms(window, state.usage.window_ms);
    unix_ms(state).saturating_sub(end_ms)
}

async fn send_reports<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
) {
    let local = &state.usage;
    loop {
        state.lease.wait_held().await;
        let now_ms = clock::now_ms();
        let is_loaded = local
            .loaded
            .get()
            .is_some_and(|loaded| loaded.tenure == state.lease.tenure());
        let step = match is_loaded {
            true => local.ledger.borrow().next_step(now_ms, unix_ms(state)),
            false => usage::ReportStep::Wait,
        };
        match step {
            usage::ReportStep::Send(window) => send_report(state, window).await,
            usage::ReportStep::WaitUntil(until_ms) => {
                let wait = Duration::from_millis(until_ms.saturating_sub(now_ms));
                // A newly settled window ends the wait.
                let _ = tokio::time::timeout(wait, local.settled.notified()).await;
            }
            usage::ReportStep::Wait => local.settled.notified().await,
        }
    }
}

async fn send_report<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    window: u64,
) {
    let local = &state.usage;
    let Some(counts) = local.ledger.borrow().counts(window).cloned() else {
        return;
    };
    let report = platform::UsageReport { window, counts };
    let response = control::call(state, &platform::ControlCall::Usage(&report)).await;
    let is_accepted = response == platform::ControlResponse::Accepted;
    let mut ledger = local.ledger.borrow_mut();
    let now_ms = clock::now_ms();
    let is_repeated = ledger.record_sent(window, now_ms, is_accepted, rand::random());
    if is_repeated {
        metrics::counter!("acaciabank_usage_reports_repeated_total").increment(1);
    }
    let requests: u64 = report.counts.values().sum();
    log::info!(
        window = window, requests = requests, teams = report.counts.len(),
        late_ms = lateness_ms(state, window), answer = response.as_str();
        "usage_reported"
    );
    if is_accepted {
        metrics::counter!("acaciabank_usage_windows_reported_total").increment(1);
    }
}

/// Counts requests that began to run in a window that was settled without them, and logs them at
/// most once per [`LATE_LOG_INTERVAL_MS`].
pub fn count_late<Codec, Store>(state: &state::RelayState<Codec, Store>, requests: u64) {
    metrics::counter!("acaciabank_usage_late_counts_total").increment(requests);
    let local = &state.usage;
    local
        .late_requests
        .set(local.late_requests.get() + requests);
    let now_ms = clock::now_ms();
    if now_ms >= local.next_late_log_ms.get() {
        local.next_late_log_ms.set(now_ms + LATE_LOG_INTERVAL_MS);
        let requests = local.late_requests.take();
        log::warn!(requests = requests; "usage_late");
    }
}
