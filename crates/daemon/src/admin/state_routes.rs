//! Routes that show the daemon's status, its targets and the running requests.

use std::sync::atomic::Ordering;

use hyper::StatusCode;
use serde_json::{Value, json};

use super::AdminScope;
use crate::{
    entry::response,
    process::{Phase, listener::HttpResponse},
    target::{TargetKind, TargetState},
};

/// Handles `GET /admin/status`.
pub(super) fn status(scope: &AdminScope) -> HttpResponse {
    let state = &scope.entry.state;
    let phase = match state.phase.get() {
        Phase::Joining => "joining",
        Phase::Ready => "ready",
        Phase::Draining => "draining",
        Phase::Left => "left",
    };
    let snapshot = state.targets.snapshot();
    let accepting = snapshot
        .all
        .iter()
        .filter(|target| target.condition.load().accepting)
        .count();
    let body = json!({
        "daemon": state.settings.daemon,
        "region": state.settings.region,
        "zone": state.settings.zone,
        "version": env!("CARGO_PKG_VERSION"),
        "boot_id": state.boot_ids.current(),
        "phase": phase,
        "config_version": state.config.version(),
        "members": *state.peers.members(),
        "targets": snapshot.all.len(),
        "targets_accepting": accepting,
        "running_requests": scope.entry.running.len(),
    });
    response::json(StatusCode::OK, &body)
}

/// Handles `GET /admin/targets`.
pub(super) fn targets(scope: &AdminScope) -> HttpResponse {
    let snapshot = scope.entry.state.targets.snapshot();
    let targets: Vec<Value> = snapshot
        .all
        .iter()
        .map(|target| target_json(target))
        .collect();
    response::json(StatusCode::OK, &json!({"targets": targets}))
}

fn target_json(target: &TargetState) -> Value {
    let condition = target.condition.load();
    let (kind, serves, role) = match &target.kind {
        TargetKind::Engine { model, .. } => ("engine", model.as_str(), Some(condition.role)),
        TargetKind::Service { service } => ("service", service.as_str(), None),
    };
    json!({
        "target": target.id,
        "kind": kind,
        "serves": serves,
        "host": target.host,
        "zone": target.zone,
        "address": target.address,
        "accepting": condition.accepting,
        "cause": condition.cause,
        "role": role,
        "load": condition.load,
        "load_age_ms": condition.load_as_of.elapsed().as_millis() as u64,
        "slots": target.slots,
        "own_in_flight": target.own_in_flight.load(Ordering::Relaxed),
    })
}

/// Handles `GET /admin/requests`.
pub(super) fn requests(scope: &AdminScope) -> HttpResponse {
    let running = scope.entry.running.list();
    let requests: Vec<Value> = running
        .iter()
        .map(|request| {
            json!({
                "request_id": request.id,
                "team": request.team,
                "priority": request.priority,
                "work": request.work,
                "age_ms": request.arrival.elapsed().as_millis() as u64,
            })
        })
        .collect();
    response::json(StatusCode::OK, &json!({"requests": requests}))
}
