//! Leases, intents and orders; the planner loop.
//!
//! Each model with engines has a lease. Its holder alone gives orders to the model's engines: it
//! brings open orders of earlier holders to their end, orders versions and adapters that the
//! deployment names, and changes roles as the planner decides.

mod confirm;
pub mod connection;
mod controller;
mod lease;
mod rows;
mod task;

use std::{
    collections::{HashMap, HashSet},
    sync,
    time::Duration,
};

use acaciabank_protocol::ids;
use tokio_util::sync::CancellationToken;

use crate::process;

pub use confirm::{ConfirmError, confirm_takeover};

/// Time between two evaluations of the planner.
const STEP: Duration = Duration::from_secs(1);
/// Time between two checks of the phase of the process.
const PHASE_CHECK: Duration = Duration::from_millis(100);
/// Time between two checks whether the last order of a leaving daemon has ended.
const LEAVE_CHECK: Duration = Duration::from_millis(20);

/// Runs lease, order and planner loops until the process leaves.
pub async fn run(state: process::SharedState) {
    let mut changed = state.config.subscribe();
    let mut running = HashMap::new();
    let mut version = 0;
    loop {
        if state.phase.get() >= process::Phase::Draining {
            running.values().for_each(CancellationToken::cancel);
            return;
        }
        if state.config.version() != version {
            version = state.config.version();
            follow_models(&state, &mut running);
        }
        tokio::select! {
            result = changed.changed() => if result.is_err() {
                return;
            },
            () = tokio::time::sleep(PHASE_CHECK) => {}
        }
    }
}

/// Starts and stops the loops of models that came or went.
fn follow_models(
    state: &process::SharedState,
    running: &mut HashMap<ids::ModelId, CancellationToken>,
) {
    let models = models_with_engines(state);
    running.retain(|model, stop| {
        let is_kept = models.contains(model);
        if !is_kept {
            stop.cancel();
        }
        is_kept
    });
    for model in models {
        running.entry(model.clone()).or_insert_with(|| {
            let stop = CancellationToken::new();
            tokio::spawn(run_model(sync::Arc::clone(state), model, stop.clone()));
            stop
        });
    }
}

fn models_with_engines(state: &process::ProcessState) -> HashSet<ids::ModelId> {
    let Some(config) = state.config.current() else {
        return HashSet::new();
    };
    let engines = config.deployment.engines.iter();
    engines.map(|engine| engine.model.clone()).collect()
}

/// Runs one model's lease until the model leaves the deployment or the daemon drains. Orders under
/// way end before the lease is given back.
async fn run_model(state: process::SharedState, model: ids::ModelId, stop: CancellationToken) {
    let lease = sync::Arc::new(lease::ModelLease::new(state, model, stop.clone()));
    let keeper = tokio::spawn({
        let lease = sync::Arc::clone(&lease);
        async move { lease.keep().await }
    });
    let mut controller = controller::ModelController::new(sync::Arc::clone(&lease));
    let mut ticker = tokio::time::interval(STEP);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while !lease.is_stopping() {
        controller.step().await;
        tokio::select! {
            _ = ticker.tick() => {}
            () = stop.cancelled() => {}
        }
    }
    while !controller.is_idle() {
        tokio::time::sleep(LEAVE_CHECK).await;
        controller.step().await;
    }
    lease.resign().await;
    keeper.abort();
}
