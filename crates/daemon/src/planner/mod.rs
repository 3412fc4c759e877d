//! Orders to engines, given by the daemon that holds a model's lease.
//!
//! Each model with engines has a lease. Only its holder gives orders to the model's engines: it
//! completes open orders of earlier holders, orders the versions and adapters that the deployment
//! names, and changes roles as the role planner decides.

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

/// Interval between two reconciliations of a model's engines.
const RECONCILE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the phase of the process is checked.
const PHASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a stopping daemon checks whether its last orders have ended.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Runs one task for each model with engines until the process drains.
pub async fn run(state: process::SharedState) {
    let mut changed = state.config.subscribe();
    let mut stop_tokens = HashMap::new();
    let mut version = 0;
    loop {
        if state.phase.get() >= process::Phase::Draining {
            stop_tokens.values().for_each(CancellationToken::cancel);
            return;
        }
        if state.config.version() != version {
            version = state.config.version();
            update_models(&state, &mut stop_tokens);
        }
        tokio::select! {
            result = changed.changed() => if result.is_err() {
                return;
            },
            () = tokio::time::sleep(PHASE_CHECK_INTERVAL) => {}
        }
    }
}

/// Starts the tasks of added models and stops those of removed models.
fn update_models(
    state: &process::SharedState,
    stop_tokens: &mut HashMap<ids::ModelId, CancellationToken>,
) {
    let models = models_with_engines(state);
    stop_tokens.retain(|model, stop| {
        let is_kept = models.contains(model);
        if !is_kept {
            stop.cancel();
        }
        is_kept
    });
    for model in models {
        stop_tokens.entry(model.clone()).or_insert_with(|| {
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

/// Runs the lease and the controller of one model until the model is removed from the deployment or
/// the daemon drains. Orders in progress end before the lease is released.
async fn run_model(state: process::SharedState, model: ids::ModelId, stop: CancellationToken) {
    let lease = sync::Arc::new(lease::ModelLease::new(state, model, stop.clone()));
    let lease_task = tokio::spawn({
        let lease = sync::Arc::clone(&lease);
        async move { lease.maintain().await }
    });
    let mut controller = controller::ModelController::new(sync::Arc::clone(&lease));
    let mut ticker = tokio::time::interval(RECONCILE_INTERVAL);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while !lease.is_stopping() {
        controller.reconcile().await;
        tokio::select! {
            _ = ticker.tick() => {}
            () = stop.cancelled() => {}
        }
    }
    while !controller.is_idle() {
        tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
        controller.reconcile().await;
    }
    lease.resign().await;
    lease_task.abort();
}
