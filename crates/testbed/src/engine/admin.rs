//! Administration API of the engine: state, load, cache events, orders and faults.

use std::{process, sync, time};

use acaciabank_protocol::{settings, wire};
use hyper::{Response, StatusCode};
use serde_json::json;

use super::{EngineCore, EngineState};
use crate::{journal, web};

/// Minimum time between two samples of the load.
const MIN_SAMPLE_INTERVAL_MS: u64 = 5;

pub(super) fn state(state: &EngineState) -> Response<web::ResponseBody> {
    let core = state.core();
    let report = wire::EngineState {
        boot_id: state.boot_id.clone(),
        role: core.role,
        models: core.models.clone(),
        switching: core.switching.clone(),
        highest_fencing: core.highest_fencing,
        last_order: core.last_order.clone(),
    };
    web::json_response(StatusCode::OK, &report)
}

fn current_load(state: &EngineState, core: &EngineCore) -> wire::EngineLoad {
    let prefilling = core
        .running
        .iter()
        .filter(|sequence| !sequence.is_prefilled);
    let running_prefill_tokens: u64 = prefilling
        .map(|sequence| sequence.remaining_prefill_tokens)
        .sum();
    let waiting = core.waiting.iter();
    let queued_tokens: u64 = waiting.map(|sequence| sequence.context_tokens).sum();
    let decoding = core.running.iter().filter(|sequence| sequence.is_prefilled);
    wire::EngineLoad {
        as_of_unix_ms: journal::unix_ms(),
        running: core.running.len() as u32,
        waiting: core.waiting.len() as u32,
        waiting_prefill_tokens: queued_tokens + running_prefill_tokens,
        running_decode: decoding.count() as u32,
        pieces_used: core.cache.len() as u32,
        pieces_total: state.options.pieces_total as u32,
        slots: state.options.slots as u32,
    }
}

/// Samples the load periodically, so that it can be reported with a lag.
pub(super) async fn sample_load(state: sync::Arc<EngineState>) {
    let lag = time::Duration::from_millis(state.options.load_lag_ms);
    if lag.is_zero() {
        return;
    }
    let period_ms = (state.options.load_lag_ms / 10).max(MIN_SAMPLE_INTERVAL_MS);
    let mut ticks = tokio::time::interval(time::Duration::from_millis(period_ms));
    loop {
        ticks.tick().await;
        let mut core = state.core();
        let load = current_load(&state, &core);
        core.load_samples.push_back((time::Instant::now(), load));
        while core.load_samples.len() > 1 && core.load_samples[1].0.elapsed() >= lag {
            core.load_samples.pop_front();
        }
    }
}

pub(super) fn load(state: &EngineState) -> Response<web::ResponseBody> {
    let core = state.core();
    let lagged_load = core.load_samples.front().map(|(_, load)| load.clone());
    let load = lagged_load.unwrap_or_else(|| current_load(state, &core));
    web::json_response(StatusCode::OK, &load)
}

pub(super) fn cache_events(state: &EngineState, query: &str) -> Response<web::ResponseBody> {
    let mut parameters = query.split('&');
    let after = parameters
        .find_map(|parameter| parameter.strip_prefix("after="))
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    let events = state.core().cache.events_after(after);
    let next = events.last().map_or(after, |event| event.sequence);
    let report = wire::CacheEvents {
        boot_id: state.boot_id.clone(),
        events,
        next,
    };
    web::json_response(StatusCode::OK, &report)
}

pub(super) fn control(state: &EngineState, body: &[u8]) -> Response<web::ResponseBody> {
    let mut core = state.core();
    if let Err(message) = web::apply_patch(&mut core.faults, body) {
        return web::error_response(StatusCode::BAD_REQUEST, &message);
    }
    if core.faults.crash_now {
        state.record("crashed", "");
        process::exit(super::CRASH_STATUS);
    }
    state.scheduler_wakeup.notify_one();
    web::json_response(StatusCode::OK, &core.faults)
}

fn record_order(state: &EngineState, event: &str, order: &wire::OrderRequest) {
    state.journal.record(json!({
        "event": event, "engine": state.options.name, "order_id": order.order_id,
        "fencing": order.fencing, "action": order.action,
    }));
}

pub(super) fn handle_order(
    state: &sync::Arc<EngineState>,
    body: &[u8],
) -> Response<web::ResponseBody> {
    let Ok(order) = serde_json::from_slice::<wire::OrderRequest>(body) else {
        return web::not_run_response(StatusCode::BAD_REQUEST, "bad_request");
    };
    record_order(state, "order_received", &order);
    let mut core = state.core();
    if core.accepted_orders.contains(&order.order_id) {
        return web::json_response(StatusCode::ACCEPTED, &json!({"order_id": order.order_id}));
    }
    let checks_fencing = state.options.fencing == settings::FencingSupport::Checked;
    let refusal = if checks_fencing && order.fencing <= core.highest_fencing {
        Some("stale_fencing")
    } else if !core.running.is_empty() || !core.waiting.is_empty() || core.switching.is_some() {
        Some("busy")
    } else {
        None
    };
    if let Some(reason) = refusal {
        state.journal.record(json!({
            "event": "order_refused", "engine": state.options.name, "reason": reason,
            "order_id": order.order_id, "fencing": order.fencing,
            "highest_fencing": core.highest_fencing,
        }));
        return web::not_run_response(StatusCode::CONFLICT, reason);
    }
    core.highest_fencing = core.highest_fencing.max(order.fencing);
    core.accepted_orders.insert(order.order_id.clone());
    let change_duration = change_duration(state, &order.action);
    core.switching = Some(wire::SwitchState {
        order_id: order.order_id.clone(),
        until_unix_ms: journal::unix_ms() + change_duration.as_millis() as u64,
    });
    core.last_order = Some(order_state(&order, wire::OrderOutcome::Running));
    let response = web::json_response(StatusCode::ACCEPTED, &json!({"order_id": order.order_id}));
    tokio::spawn(run_change(state.clone(), order, change_duration));
    response
}

fn order_state(order: &wire::OrderRequest, outcome: wire::OrderOutcome) -> wire::OrderState {
    wire::OrderState {
        order_id: order.order_id.clone(),
        fencing: order.fencing,
        outcome,
    }
}

fn change_duration(state: &EngineState, action: &wire::OrderAction) -> time::Duration {
    let milliseconds = match action {
        wire::OrderAction::SetRole { .. } => state.options.switch_ms,
        wire::OrderAction::LoadModel { .. } | wire::OrderAction::LoadAdapter { .. } => {
            state.options.load_ms
        }
        wire::OrderAction::UnloadModel { .. } => 0,
    };
    state.scaled(milliseconds as f64)
}

/// Carries out an accepted order and records its outcome.
async fn run_change(
    state: sync::Arc<EngineState>,
    order: wire::OrderRequest,
    change_duration: time::Duration,
) {
    let has_weights = fetch_weights(&state, &order.action).await;
    tokio::time::sleep(change_duration / 2).await;
    if state.core().faults.crash_in_change {
        record_order(&state, "crashed_in_change", &order);
        process::exit(super::CRASH_STATUS);
    }
    tokio::time::sleep(change_duration / 2).await;
    let mut core = state.core();
    let is_applied = has_weights && apply_action(&mut core, &order.action);
    let (outcome, event) = if is_applied {
        (wire::OrderOutcome::Done, "order_applied")
    } else {
        (wire::OrderOutcome::Failed, "order_failed")
    };
    core.switching = None;
    core.last_order = Some(order_state(&order, outcome));
    record_order(&state, event, &order);
}

/// Fetches the weights that an order needs; returns whether it succeeded.
async fn fetch_weights(state: &EngineState, action: &wire::OrderAction) -> bool {
    let wire::OrderAction::LoadModel { model, version } = action else {
        return true;
    };
    let Some(address) = state.options.weight_store else {
        return true;
    };
    let path = format!("/weights/{model}/{version}");
    let response = web::call(address, "GET", &path, &[], "").await;
    response.is_ok_and(|response| response.status == 200)
}

/// Applies the action of an order; returns whether the order succeeded.
fn apply_action(core: &mut EngineCore, action: &wire::OrderAction) -> bool {
    match action {
        wire::OrderAction::SetRole { role } => core.role = *role,
        wire::OrderAction::LoadModel { model, version } => {
            core.models.retain(|loaded| loaded.model != *model);
            core.models.push(wire::LoadedModel {
                model: model.clone(),
                version: version.clone(),
                adapters: Vec::new(),
            });
        }
        wire::OrderAction::LoadAdapter { model, adapter } => {
            let mut models = core.models.iter_mut();
            let Some(loaded) = models.find(|loaded| loaded.model == *model) else {
                return false;
            };
            if !loaded.adapters.contains(adapter) {
                loaded.adapters.push(adapter.clone());
            }
        }
        wire::OrderAction::UnloadModel { model } => {
            core.models.retain(|loaded| loaded.model != *model);
        }
    }
    true
}
