//! Counts of one daemon.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{MAX_WINDOWS, window_at};

/// Counts of one window; only teams with requests are contained.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// Number of the window.
    pub window: u64,
    /// Requests by the hash of the team's name.
    pub teams: Vec<(u64, u64)>,
}

/// Cumulative counts of one run of a daemon, as it reports them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonCounts {
    /// First window in which the daemon may still count requests.
    pub open_from: u64,
    /// Counts of the windows that are not settled.
    pub windows: Vec<WindowCounts>,
}

/// Counts the requests that begin to run at one daemon.
#[derive(Clone, Debug)]
pub struct WindowCounter {
    window_ms: u64,
    windows: BTreeMap<u64, BTreeMap<u64, u64>>,
    /// By window: requests that were sent in it and of which it is open whether they have run.
    pending: BTreeMap<u64, u32>,
    settled_before: u64,
}

impl WindowCounter {
    /// Creates a counter without counts.
    pub fn new(window_ms: u64) -> Self {
        Self {
            window_ms,
            windows: BTreeMap::new(),
            pending: BTreeMap::new(),
            settled_before: 0,
        }
    }

    /// Counts a request of a team that began to run at the given time, unless its window is settled;
    /// returns whether it was counted.
    pub fn record(&mut self, unix_ms: u64, team: u64) -> bool {
        let window = window_at(unix_ms, self.window_ms);
        if window < self.settled_before {
            return false;
        }
        let teams = self.windows.entry(window).or_default();
        *teams.entry(team).or_default() += 1;
        while self.windows.len() > MAX_WINDOWS {
            self.windows.pop_first();
        }
        true
    }

    /// Keeps the window of the given time open until [`Self::end_pending`].
    pub fn begin_pending(&mut self, unix_ms: u64) {
        let window = window_at(unix_ms, self.window_ms);
        *self.pending.entry(window).or_default() += 1;
    }

    /// Ends what [`Self::begin_pending`] began at the given time.
    pub fn end_pending(&mut self, unix_ms: u64) {
        let window = window_at(unix_ms, self.window_ms);
        let Some(pending) = self.pending.get_mut(&window) else {
            return;
        };
        *pending -= 1;
        if *pending == 0 {
            self.pending.remove(&window);
        }
    }

    /// Returns the counts for a report with at most `max_entries` counts. Windows beyond that are
    /// left out and stay open; they are contained when the earlier ones are settled.
    pub fn report(&self, unix_ms: u64, max_entries: usize) -> DaemonCounts {
        let current = window_at(unix_ms, self.window_ms);
        let pending = self.pending.keys().next().copied();
        let mut counts = DaemonCounts {
            open_from: pending.unwrap_or(current).min(current),
            windows: Vec::with_capacity(self.windows.len()),
        };
        let mut entries = 0;
        for (window, teams) in &self.windows {
            entries += teams.len();
            if entries > max_entries {
                counts.open_from = counts.open_from.min(*window);
                break;
            }
            counts.windows.push(WindowCounts {
                window: *window,
                teams: teams.iter().map(|(team, count)| (*team, *count)).collect(),
            });
        }
        counts
    }

    /// Forgets the windows before `window`, which are settled.
    pub fn settle_before(&mut self, window: u64) {
        self.settled_before = self.settled_before.max(window);
        self.windows = self.windows.split_off(&self.settled_before);
    }
}
