//! Tests of the choice of a target.

use acaciabank_core::route::{self, CandidateView, RequestCost, TokenSpeed};
use acaciabank_protocol::settings::{EngineRole, RoutingPolicy};

fn view(bytes: &[u8]) -> CandidateView {
    CandidateView {
        is_available: !bytes[0].is_multiple_of(4),
        role: EngineRole::Mixed,
        speed: TokenSpeed::assumed(EngineRole::Mixed),
        load: u32::from(bytes[1]),
        slots: 32,
        waiting_prefill_tokens: u64::from(bytes[2]) * 100,
        cached_pieces: u32::from(bytes[3] % 3),
        distance_us: 0,
    }
}

fn choose_naive(cost: &RequestCost, views: &[CandidateView], seed: u64) -> Option<usize> {
    let available = (0..views.len()).filter(|i| views[*i].is_available);
    let mut all: Vec<usize> = available.collect();
    all.sort_by_key(|i| (route::score_with_jitter(cost, &views[*i], seed, *i), *i));
    all.first().copied()
}

/// Guards against a random addition that outweighs a cached beginning of the prompt: it must order
/// targets that differ by their load alone, however long the request generates.
#[test]
fn idle_target_with_the_prompt_cached_is_always_chosen() {
    let idle = CandidateView {
        is_available: true,
        load: 0,
        waiting_prefill_tokens: 0,
        cached_pieces: 0,
        ..view(&[1, 0, 0, 0])
    };
    let cached = CandidateView {
        cached_pieces: 3,
        ..idle
    };
    let cost = RequestCost {
        prompt_tokens: 400,
        max_tokens: 100,
        piece_tokens: 100,
    };
    for seed in 0..1_000 {
        let views = [idle, cached, idle];
        let chosen = route::choose(RoutingPolicy::Adaptive, &cost, views.into_iter(), seed);
        assert_eq!(chosen, Some(1), "seed {seed}");
    }
}

/// Guards against daemons that all choose the same one of several equal targets.
#[test]
fn equal_targets_are_chosen_in_turn() {
    let idle = view(&[1, 0, 0, 0]);
    let cost = RequestCost {
        prompt_tokens: 400,
        max_tokens: 100,
        piece_tokens: 100,
    };
    let mut chosen = [0; 4];
    for seed in 0..1_000 {
        let views = [idle; 4];
        let position = route::choose(RoutingPolicy::Adaptive, &cost, views.into_iter(), seed);
        chosen[position.expect("a target")] += 1;
    }
    assert!(chosen.iter().all(|count| *count > 150), "{chosen:?}");
}

/// Guards against an error in the single-pass choice: it must equal filtering and sorting.
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

/// Guards against splitting requests that gain nothing: short prompts, fleets without a prefill
/// target, and prefill targets that are withdrawn or far behind.
#[test]
fn prompt_is_split_off_only_where_it_pays() {
    let target = |role| CandidateView {
        role,
        speed: TokenSpeed::assumed(role),
        ..view(&[1, 8, 0, 0])
    };
    let [mixed, prefill, decode] =
        [EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode].map(target);
    let choose = |prompt_tokens, views: &[CandidateView]| {
        let cost = RequestCost {
            prompt_tokens,
            max_tokens: 100,
            piece_tokens: 2_000,
        };
        route::choose_prefill(&cost, views.iter().copied(), 1)
    };
    assert_eq!(choose(6_000, &[mixed, decode, prefill]), Some(2));
    assert_eq!(choose(90, &[mixed, decode, prefill]), None);
    assert_eq!(choose(6_000, &[mixed, decode]), None);
    let withdrawn = CandidateView {
        is_available: false,
        ..prefill
    };
    assert_eq!(choose(6_000, &[mixed, decode, withdrawn]), None);
    let behind = CandidateView {
        waiting_prefill_tokens: 1_000_000,
        ..prefill
    };
    assert_eq!(choose(6_000, &[mixed, decode, behind]), None);
}

/// Guards against policies that return a withdrawn target.
#[test]
fn no_policy_chooses_an_unavailable_target() {
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
                let any_available = views.iter().any(|view| view.is_available);
                assert_eq!(chosen.is_some(), any_available);
                assert!(chosen.is_none_or(|position| views[position].is_available));
            }
        });
}
