//! Tests of the choice of a target.

use acaciabank_core::route::{self, CandidateView, RequestCost};
use acaciabank_protocol::settings::{EngineRole, RoutingPolicy};

fn view(bytes: &[u8]) -> CandidateView {
    CandidateView {
        usable: !bytes[0].is_multiple_of(4),
        role: EngineRole::Mixed,
        load: u32::from(bytes[1]),
        slots: 32,
        waiting_prefill_tokens: u64::from(bytes[2]) * 100,
        cached_pieces: u32::from(bytes[3] % 3),
        distance_us: 0,
    }
}

fn choose_naive(cost: &RequestCost, views: &[CandidateView], seed: u64) -> Option<usize> {
    let usable = (0..views.len()).filter(|i| views[*i].usable);
    let mut all: Vec<usize> = usable.collect();
    all.sort_by_key(|i| route::mix(seed, *i));
    let longest = all.iter().map(|i| views[*i].cached_pieces).max()?;
    let held = all.iter().filter(|i| views[**i].cached_pieces == longest);
    let mut drawn: Vec<usize> = all.iter().take(2).copied().collect();
    if longest > 0 {
        drawn.extend(held.take(2));
    }
    drawn.sort_by_key(|i| (route::score(cost, &views[*i]), route::mix(seed, *i)));
    drawn.first().copied()
}

/// Guards against an error in the single-pass draw: it must equal sorting and filtering.
#[test]
fn adaptive_choice_equals_naive_choice() {
    bolero::check!()
        .with_type::<(Vec<[u8; 4]>, u64, u16)>()
        .for_each(|(bytes, seed, prompt)| {
            let views: Vec<_> = bytes.iter().map(|bytes| view(bytes)).collect();
            let cost = RequestCost {
                prompt_tokens: u64::from(*prompt),
                max_tokens: 100,
                piece_tokens: 2_000,
            };
            let chosen =
                route::choose(RoutingPolicy::Adaptive, &cost, views.iter().copied(), *seed);
            assert_eq!(chosen, choose_naive(&cost, &views, *seed));
        });
}

/// Guards against policies that return a withdrawn target.
#[test]
fn no_policy_chooses_an_unusable_target() {
    bolero::check!()
        .with_type::<(Vec<[u8; 4]>, u64)>()
        .for_each(|(bytes, seed)| {
            let views: Vec<_> = bytes.iter().map(|bytes| view(bytes)).collect();
            let cost = RequestCost::default();
            for policy in [
                RoutingPolicy::RoundRobin,
                RoutingPolicy::LeastLoad,
                RoutingPolicy::Adaptive,
            ] {
                let chosen = route::choose(policy, &cost, views.iter().copied(), *seed);
                let any_usable = views.iter().any(|view| view.usable);
                assert_eq!(chosen.is_some(), any_usable);
                assert!(chosen.is_none_or(|position| views[position].usable));
            }
        });
}
