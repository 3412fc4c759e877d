//! Measures the choice of engines for one prompt, which a scheduler makes for every request of up
//! to 80 daemons.

#![allow(missing_docs)]

use acaciabank_core::{
    placement::{EngineCandidate, EngineRates, EngineStage, PromptSize, choose_plan},
    prompt_backlog::WorkAhead,
};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

const RATES: EngineRates = EngineRates {
    prefill_tokens_per_ms: 50.0,
    decode_prefill_tokens_per_ms: 25.0,
    prompt_base_ms: 12.0,
    transfer_ms_per_k_tokens: 0.8,
    handover_ms: 14.0,
    per_running_request_ms: 0.5,
};

/// Number of availability zones of the fleets.
const ZONES: u64 = 5;

/// Seven of ten engines prefill.
fn candidate(number: u64) -> EngineCandidate {
    EngineCandidate {
        is_available: true,
        stage: match number % 10 {
            0..7 => EngineStage::Prefill,
            _ => EngineStage::Decode,
        },
        backlog_tokens: number * 7_919 % 30_000,
        ahead: WorkAhead {
            prompts: (number % 4) as f64,
            tokens: (number * 7_919 % 30_000) as f64,
        },
        running: (number * 31 % 20) as u32,
        transfer_ms: 0.0,
        slots: 64,
        cached_tokens: number * 104_729 % 14_000,
        ready_tokens: number * 104_729 % 14_000,
        home_rank: number * 48_271 % 65_537,
        distance_ms: 0.5,
        zone_hash: number % ZONES,
        penalty_ms: 0.0,
    }
}

fn bench_choose(criterion: &mut Criterion) {
    let size = PromptSize {
        prompt_tokens: 17_000,
        shared_tokens: 13_300,
    };
    let mut group = criterion.benchmark_group("choose_plan");
    for engines in [160, 1_000, 3_000] {
        let fleet: Vec<EngineCandidate> = (0..engines).map(candidate).collect();
        group.bench_function(BenchmarkId::from_parameter(engines), |bencher| {
            let mut seed = 0;
            bencher.iter(|| {
                seed += 1;
                choose_plan(size, &RATES, &fleet, seed)
            });
        });
    }
    group.finish();
}

criterion_group!(benches, bench_choose);
criterion_main!(benches);
