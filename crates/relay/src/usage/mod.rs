//! Usage by team: counts the requests that begin to run at this daemon, collects the counts of all
//! daemons and, while this daemon holds the lease, settles each window and reports it.

mod checkpoint;
mod counting;
mod report;
mod sharing;

pub use checkpoint::encode as encode_checkpoint;
pub use counting::{PendingRun, record_run};
pub use report::run;
pub use sharing::{add_settled, apply_share, build_share};

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
};

use acaciabank_core::usage;
use tokio::sync::Notify;

use crate::{clock, config, state};

/// Names of teams that are kept to name the teams of counts. Teams that a configuration removes keep
/// their names until then.
const MAX_NAMES: usize = 4_096;

/// State of usage at this daemon.
#[derive(Debug)]
pub struct UsageState {
    /// Whether the settings ask for reports.
    is_enabled: bool,
    window_ms: u64,
    own_run: usage::RunKey,
    counter: RefCell<usage::WindowCounter>,
    collector: RefCell<usage::UsageCollector>,
    ledger: RefCell<usage::ReportLedger>,
    /// Tenure of the lease and era of the store for which the ledger holds what the store does.
    loaded: Cell<Option<LoadedState>>,
    /// Whether a transaction met rows that the ledger does not hold.
    must_read: Cell<bool>,
    /// Late counts since the last log line about them.
    late_requests: Cell<u64>,
    /// Time from which late counts are logged again.
    next_late_log_ms: Cell<u64>,
    /// Correction of the time of day.
    correction_ms: Cell<i64>,
    /// Names of teams by their hashes.
    names: RefCell<HashMap<u64, String>>,
    /// Signals that a window has been settled.
    settled: Notify,
}

/// What the ledger was last read for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LoadedState {
    tenure: u64,
    era: u64,
}

impl UsageState {
    /// Creates the state of a daemon that has counted nothing.
    pub fn new(settings: &state::RelaySettings, boot_id: u64) -> Self {
        let window_ms = settings.usage_window_ms.max(1);
        Self {
            is_enabled: settings.control_tasks.usage && settings.control_address.is_some(),
            window_ms,
            own_run: usage::run_key(state::hash_name(&settings.host), boot_id),
            counter: RefCell::new(usage::WindowCounter::new(window_ms)),
            collector: RefCell::default(),
            ledger: RefCell::new(usage::ReportLedger::new(window_ms)),
            loaded: Cell::new(None),
            must_read: Cell::new(false),
            late_requests: Cell::new(0),
            next_late_log_ms: Cell::new(0),
            correction_ms: Cell::new(0),
            names: RefCell::default(),
            settled: Notify::new(),
        }
    }

    /// Keeps the names of the teams of a configuration.
    fn record_names(&self, teams: &config::TeamDirectory) {
        let mut names = self.names.borrow_mut();
        if names.len() > MAX_NAMES {
            names.clear();
        }
        for team in teams.teams() {
            names.entry(team.hash).or_insert_with(|| team.name.clone());
        }
    }

    /// Replaces the hashes of teams by their names; `None` for those of which no name is known.
    fn named<'a>(
        &'a self,
        counts: impl IntoIterator<Item = (u64, u64)> + 'a,
    ) -> impl Iterator<Item = Option<(String, u64)>> + 'a {
        counts.into_iter().map(|(team, count)| {
            let names = self.names.borrow();
            let name = names.get(&team)?.clone();
            Some((name, count))
        })
    }
}

/// Whether usage is counted: the settings ask for reports and the configuration has teams.
pub fn is_active<Codec, Store>(state: &state::RelayState<Codec, Store>) -> bool {
    let config = state.config.borrow();
    state.usage.is_enabled && config.as_ref().is_some_and(|config| config.teams.is_some())
}

/// Returns the time of day, corrected if it differs from that of most daemons.
pub fn unix_ms<Codec, Store>(state: &state::RelayState<Codec, Store>) -> u64 {
    clock::unix_ms().saturating_add_signed(state.usage.correction_ms.get())
}

/// Counts by the names of the teams.
type NamedCounts = BTreeMap<String, u64>;
