//! Measures the selection of a target in the largest supported fleet. It must take at most 20
//! microseconds.

#![allow(missing_docs)]

use acaciabank_core::route::{self, CandidateView, RequestCost};
use acaciabank_protocol::settings::{EngineRole, RoutingPolicy};
use criterion::{Criterion, criterion_group, criterion_main};

const TARGETS: u32 = 1_300;

fn bench_choose(criterion: &mut Criterion) {
    let views: Vec<CandidateView> = (0..TARGETS)
        .map(|number| CandidateView {
            is_available: true,
            role: EngineRole::Mixed,
            token_times: route::TokenTimes::assumed(EngineRole::Mixed),
            load: number % 40,
            slots: 32,
            waiting_prefill_tokens: u64::from(number),
            cached_pieces: number % 3,
            distance_us: 1_500,
        })
        .collect();
    let cost = RequestCost {
        prompt_tokens: 6_000,
        max_tokens: 200,
        piece_tokens: 2_000,
    };
    let mut seed = 0;
    criterion.bench_function("choose_adaptive_1300", |bencher| {
        bencher.iter(|| {
            seed += 1;
            route::choose(RoutingPolicy::Adaptive, &cost, views.iter().copied(), seed)
        });
    });
}

criterion_group!(benches, bench_choose);
criterion_main!(benches);
