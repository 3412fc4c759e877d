//! Time in which the daemon selects a target, from the checks of queue and fair share to the
//! reserved slot, compared with a naive selection that scores and sorts all targets. The bound is
//! 20 microseconds at 1,300 targets.

#![allow(missing_docs)]

use std::{
    hint,
    sync::Arc,
    time::{Duration, Instant},
};

use acaciabank_core::route;
use acaciabank_daemon::{config, dispatch, process};
use acaciabank_protocol::{ids, settings, wire};
use criterion::{Criterion, criterion_group, criterion_main};
use serde_json::json;

fn state_with_targets(targets: usize) -> process::SharedState {
    let roles = ["prefill", "decode", "mixed"];
    let engines: Vec<_> = (0..targets)
        .map(|number| {
            json!({"name": format!("engine-{number}"), "host": "host-1",
                   "address": format!("127.0.0.1:{}", 1_000 + number), "model": "drafter",
                   "role": roles[number % 3], "slots": 32,
                   "fencing": "checked"})
        })
        .collect();
    let deployment: settings::Deployment = serde_json::from_value(json!({
        "regions": [{"name": "perth", "zones": ["perth-a"]}],
        "hosts": [{"name": "host-1", "zone": "perth-a"}],
        "models": [{"name": "drafter", "version": "1"}],
        "engines": engines,
        "policy": {"routing": "adaptive"},
    }))
    .expect("deployment");
    let process: settings::ProcessSettings = serde_json::from_value(json!({
        "daemon": "daemon-1", "region": "perth", "zone": "perth-a",
        "caller_address": "127.0.0.1:0", "admin_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0", "table": {"address": "127.0.0.1:1"},
    }))
    .expect("settings");
    let state = process::ProcessState {
        boot_ids: process::BootIds::new(1),
        ..process::ProcessState::new(process)
    };
    state.targets.apply(&deployment, &state.settings.zone);
    state.config.apply(config::ConfigVersion {
        version: 1,
        operator: "bench".to_owned(),
        deployment,
    });
    Arc::new(state)
}

fn completion_request(state: &process::ProcessState) -> dispatch::CallerRequest {
    let prompt = "word ".repeat(400);
    dispatch::CallerRequest {
        id: ids::RequestId::new("daemon-1-00"),
        team: ids::TeamId::new("team"),
        priority: wire::Priority::Normal,
        deadline: Instant::now() + Duration::from_secs(3_600),
        idempotent: true,
        write_deadline: None,
        fingerprint: 1,
        memory: [].into(),
        work: dispatch::RequestWork::Completion {
            model: ids::ModelId::new("drafter"),
            path: "/v1/completions",
            prompt,
            max_tokens: 100,
            stream: true,
            body: serde_json::Map::new(),
        },
        config: state.config.current().expect("configuration"),
    }
}

/// Copies and scores the state of every target, then sorts the scores.
fn choose_naive(state: &process::ProcessState) -> Option<ids::TargetId> {
    let snapshot = state.targets.snapshot();
    let cost = route::RequestCost {
        prompt_tokens: 500,
        max_tokens: 100,
        piece_tokens: 2_000,
    };
    let mut scored: Vec<(u64, ids::TargetId)> = snapshot
        .all
        .iter()
        .map(|target| {
            let condition = target.condition.load_full();
            let view = route::CandidateView {
                is_available: condition.accepting,
                role: condition.role,
                token_times: route::TokenTimes::assumed(condition.role),
                load: target.estimated_load(&condition, Instant::now()),
                slots: target.slots,
                waiting_prefill_tokens: condition.load.waiting_prefill_tokens,
                cached_pieces: 0,
                distance_us: 0,
            };
            (route::score(&cost, &view), target.id.clone())
        })
        .collect();
    scored.sort();
    scored.into_iter().next().map(|(_, target)| target)
}

fn choose(criterion: &mut Criterion) {
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    let _guard = runtime.enter();
    for targets in [12, 130, 1_300] {
        let state = state_with_targets(targets);
        let request = completion_request(&state);
        criterion.bench_function(&format!("daemon_choice_{targets}"), |bencher| {
            bencher.iter(|| dispatch::choose_target(&state, hint::black_box(&request)));
        });
        criterion.bench_function(&format!("naive_choice_{targets}"), |bencher| {
            bencher.iter(|| choose_naive(hint::black_box(&state)));
        });
    }
}

criterion_group!(benches, choose);
criterion_main!(benches);
