//! Tests of target selection.

use acaciabank_core::route::{self, CandidateView, RequestCost, TokenTimes};
use acaciabank_protocol::settings::{EngineRole, RoutingPolicy};

fn view(bytes: &[u8]) -> CandidateView {
    CandidateView {
        is_available: !bytes[0].is_multiple_of(4),
        role: EngineRole::Mixed,
        token_times: TokenTimes::assumed(EngineRole::Mixed),
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

/// Guards against jitter that outweighs a cached prefix of the prompt if the request generates many
/// tokens. Jitter may only affect the ranking of targets that differ in load.
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

/// Guards against all daemons choosing the same one of several equal targets.
#[test]
fn equal_targets_are_chosen_equally_often() {
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
        chosen[position.expect("all targets are available")] += 1;
    }
    assert!(chosen.iter().all(|count| *count > 150), "{chosen:?}");
}

/// Guards against errors in the single-pass selection, which must give the same result as filtering
/// and sorting.
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

/// Guards against splitting prefill from decode where it gains nothing: short prompts, fleets
/// without a prefill target, and prefill targets that are unavailable or have a long backlog.
#[test]
fn prefill_is_split_off_only_if_it_saves_time() {
    let target = |role| CandidateView {
        role,
        token_times: TokenTimes::assumed(role),
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
    let unavailable = CandidateView {
        is_available: false,
        ..prefill
    };
    assert_eq!(choose(6_000, &[mixed, decode, unavailable]), None);
    let backlogged = CandidateView {
        waiting_prefill_tokens: 1_000_000,
        ..prefill
    };
    assert_eq!(choose(6_000, &[mixed, decode, backlogged]), None);
}

/// Guards against policies that choose an unavailable target, or none although one is available.
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
