//! Counts of all daemons, by run and window.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use super::{DaemonCounts, MAX_WINDOWS, RunKey};

/// Number of windows that are kept: the settled ones that tell which counts are late, and those that
/// daemons keep while no window is settled.
const MAX_COLLECTED: usize = 2 * MAX_WINDOWS;

/// Counts of one window in a checkpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckpointWindow {
    /// Number of the window.
    pub window: u64,
    /// By run: the counts by the index of the team in [`UsageCheckpoint::teams`].
    pub runs: Vec<(RunKey, Vec<(u32, u64)>)>,
}

/// What the holder of the lease keeps in the store with each renewal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCheckpoint {
    /// Era of the store that the holder knew.
    pub era: u64,
    /// First window that is not settled.
    pub next: u64,
    /// Settled windows that the platform has accepted.
    pub reported: Vec<u64>,
    /// Hashes of the teams' names.
    pub teams: Vec<u64>,
    /// Counts of the windows that are not settled.
    pub windows: Vec<CheckpointWindow>,
}

/// Collects the counts of all daemons. Applying a report again changes nothing, and a later one of
/// the same run contains everything that a lost one did.
#[derive(Clone, Debug, Default)]
pub struct UsageCollector {
    windows: BTreeMap<u64, HashMap<RunKey, BTreeMap<u64, u64>>>,
    /// By run: first window in which the daemon may still count.
    open_from: HashMap<RunKey, u64>,
    settled_before: u64,
}

impl UsageCollector {
    /// Takes over the counts of a run; returns how many of them are for settled windows and new, and
    /// therefore dropped. Windows after the one that follows `current` are ignored: the sender's
    /// clock is wrong.
    pub fn apply(&mut self, run: RunKey, counts: &DaemonCounts, current: u64) -> u64 {
        let open_from = self.open_from.entry(run).or_default();
        *open_from = (*open_from).max(counts.open_from);
        let mut late = 0;
        let last = current.saturating_add(1);
        let windows = counts.windows.iter();
        for counts in windows.filter(|counts| counts.window <= last) {
            let is_settled = counts.window < self.settled_before;
            let runs = match (self.windows.get_mut(&counts.window), is_settled) {
                (Some(runs), _) => runs,
                (None, false) => self.windows.entry(counts.window).or_default(),
                // Too old to tell what of it was counted.
                (None, true) => continue,
            };
            let known = runs.entry(run).or_default();
            for (team, count) in &counts.teams {
                let known = known.entry(*team).or_default();
                if is_settled {
                    late += count.saturating_sub(*known);
                }
                *known = (*known).max(*count);
            }
        }
        while self.windows.len() > MAX_COLLECTED {
            self.windows.pop_first();
        }
        late
    }

    /// Returns the sums of a window by team.
    pub fn totals(&self, window: u64) -> BTreeMap<u64, u64> {
        let mut totals = BTreeMap::new();
        let runs = self.windows.get(&window).into_iter().flatten();
        for (team, count) in runs.flat_map(|(_, teams)| teams) {
            *totals.entry(*team).or_default() += *count;
        }
        totals
    }

    /// Whether all given runs have finished counting a window.
    pub fn is_complete(&self, window: u64, runs: &[RunKey]) -> bool {
        let is_finished = |run| self.open_from.get(run).is_some_and(|open| *open > window);
        runs.iter().all(is_finished)
    }

    /// Records that the windows before `window` are settled. Their counts are kept for a while, to
    /// recognize late ones.
    pub fn settle_before(&mut self, window: u64) {
        // Of windows that were settled before this daemon collected counts, it cannot tell which
        // counts are late.
        if self.settled_before > 0 {
            for settled in self.settled_before..window.min(self.settled_before + MAX_WINDOWS as u64)
            {
                self.windows.entry(settled).or_default();
            }
        }
        self.settled_before = self.settled_before.max(window);
        self.forget_before(window.saturating_sub(MAX_WINDOWS as u64));
    }

    /// Forgets the windows before `window`.
    pub fn forget_before(&mut self, window: u64) {
        self.windows = self.windows.split_off(&window);
    }

    /// Forgets when the runs finish that are not contained in `runs`.
    pub fn retain_runs(&mut self, runs: &[RunKey]) {
        self.open_from.retain(|run, _| runs.contains(run));
    }

    /// Returns the counts of the windows that are not settled, for a checkpoint.
    pub fn checkpoint(&self) -> UsageCheckpoint {
        let mut indexes = HashMap::new();
        let mut checkpoint = UsageCheckpoint::default();
        for (window, runs) in self.windows.range(self.settled_before..) {
            let mut rows = Vec::with_capacity(runs.len());
            for (run, teams) in runs {
                let teams = teams.iter().map(|(team, count)| {
                    let index = *indexes.entry(*team).or_insert_with(|| {
                        checkpoint.teams.push(*team);
                        u32::try_from(checkpoint.teams.len() - 1).unwrap_or(u32::MAX)
                    });
                    (index, *count)
                });
                rows.push((*run, teams.collect()));
            }
            checkpoint.windows.push(CheckpointWindow {
                window: *window,
                runs: rows,
            });
        }
        checkpoint
    }

    /// Takes over the counts of a checkpoint.
    pub fn restore(&mut self, checkpoint: &UsageCheckpoint) {
        for saved in &checkpoint.windows {
            for (run, teams) in &saved.runs {
                let teams = teams.iter().filter_map(|(index, count)| {
                    let team = checkpoint.teams.get(usize::try_from(*index).ok()?)?;
                    Some((*team, *count))
                });
                let counts = DaemonCounts {
                    open_from: 0,
                    windows: vec![super::WindowCounts {
                        window: saved.window,
                        teams: teams.collect(),
                    }],
                };
                self.apply(*run, &counts, saved.window);
            }
        }
    }
}
