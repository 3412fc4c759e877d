//! Measures the check of a target's signals on the request path, for every target of the largest
//! supported fleet.

#![allow(missing_docs)]

use std::{cell::Cell, hint};

use acaciabank_core::target_signal::{LeavingMark, LeavingSource, SignalState};
use criterion::{Criterion, Throughput, criterion_group, criterion_main};

const TARGETS: u64 = 1_300;
const NOW_MS: u64 = 600_000;

/// Every tenth target is paused and every hundredth leaves.
fn signal_state(number: u64) -> Cell<SignalState> {
    let mut state = SignalState::default();
    if number.is_multiple_of(10) {
        state.record_pause(2_000, NOW_MS - number, 0.5);
    }
    if number.is_multiple_of(100) {
        let since_ms = NOW_MS - number;
        let source = LeavingSource::Response;
        state.record_leaving(LeavingMark { source, since_ms });
    }
    Cell::new(state)
}

fn bench_check(criterion: &mut Criterion) {
    let states: Vec<Cell<SignalState>> = (0..TARGETS).map(signal_state).collect();
    let mut group = criterion.benchmark_group("target_signal");
    group.throughput(Throughput::Elements(TARGETS));
    group.bench_function("accepts_1300", |bencher| {
        bencher.iter(|| {
            let now_ms = hint::black_box(NOW_MS);
            let accepting = states.iter().filter(|state| state.get().accepts(0, now_ms));
            accepting.count()
        });
    });
    group.finish();
}

criterion_group!(benches, bench_check);
criterion_main!(benches);
