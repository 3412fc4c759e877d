//! Placement of generation requests and the index of cached prompt prefixes.

use acaciabank_core::{
    placement, prefix,
    prompt_backlog::{PromptBacklog, WorkAhead},
};

const RATES: placement::EngineRates = placement::EngineRates {
    prefill_tokens_per_ms: 50.0,
    decode_prefill_tokens_per_ms: 25.0,
    prompt_base_ms: 12.0,
    transfer_ms_per_k_tokens: 0.8,
    handover_ms: 14.0,
    per_running_request_ms: 0.5,
};

fn size(prompt_tokens: u64) -> placement::PromptSize {
    placement::PromptSize {
        prompt_tokens,
        shared_tokens: prompt_tokens / 4 * 3,
    }
}

fn engine(stage: placement::EngineStage, zone_hash: u64) -> placement::EngineCandidate {
    placement::EngineCandidate {
        is_available: true,
        stage,
        backlog_tokens: 0,
        ahead: WorkAhead::default(),
        running: 0,
        transfer_ms: 0.0,
        slots: 64,
        cached_tokens: 0,
        ready_tokens: 0,
        home_rank: 0,
        distance_ms: 0.2,
        zone_hash,
        penalty_ms: 0.0,
    }
}

/// Gives an engine `prompts` prompts that are processed before the request's, with `tokens` in all.
fn set_backlog(engine: &mut placement::EngineCandidate, prompts: u32, tokens: u64) {
    engine.running = prompts;
    engine.backlog_tokens = tokens;
    engine.ahead = WorkAhead {
        prompts: f64::from(prompts),
        tokens: tokens as f64,
    };
}

fn fleet() -> Vec<placement::EngineCandidate> {
    let stages = [
        placement::EngineStage::Prefill,
        placement::EngineStage::Decode,
    ];
    let engines = stages
        .iter()
        .flat_map(|stage| (0..3).map(|zone| engine(*stage, zone)));
    let ranked = engines
        .enumerate()
        .map(|(rank, engine)| placement::EngineCandidate {
            home_rank: rank as u64,
            ..engine
        });
    ranked.collect()
}

/// Guards against long prompts at decode engines, where they slow down every stream.
#[test]
fn long_prompts_are_processed_by_prefill_engines() {
    let mut engines = fleet();
    engines.iter_mut().for_each(|engine| engine.running = 8);
    let choice = placement::choose_plan(size(17_000), &RATES, &engines, 1).expect("a plan");
    let prefill = choice.plan.prefill.expect("a prefill engine");
    assert_eq!(engines[prefill].stage, placement::EngineStage::Prefill);
    assert_eq!(
        engines[choice.plan.decode].stage,
        placement::EngineStage::Decode
    );
}

/// Guards against a fleet that places nothing after the loss of its last prefill engine.
#[test]
fn decode_engines_prefill_when_no_prefill_engine_is_available() {
    let mut engines = fleet();
    engines[..3]
        .iter_mut()
        .for_each(|engine| engine.is_available = false);
    let choice = placement::choose_plan(size(17_000), &RATES, &engines, 1).expect("a plan");
    assert_eq!(choice.plan.prefill, None);
}

/// Guards against a plan that names an engine that accepts no work.
#[test]
fn nothing_is_placed_without_a_decode_engine() {
    let mut engines = fleet();
    engines[3..]
        .iter_mut()
        .for_each(|engine| engine.is_available = false);
    assert_eq!(
        placement::choose_plan(size(1_000), &RATES, &engines, 1),
        None
    );
}

/// Guards against processing a shared part again that another engine has cached.
#[test]
fn a_part_that_another_engine_has_cached_is_fetched() {
    let mut engines = fleet();
    engines[1].cached_tokens = 13_300;
    engines[1].ready_tokens = 13_300;
    // The engine that has it cached is too busy to process the prompt itself.
    set_backlog(&mut engines[1], 12, 90_000);
    let choice = placement::choose_plan(size(17_000), &RATES, &engines, 1).expect("a plan");
    assert_ne!(choice.plan.prefill, Some(1));
    assert_eq!(choice.plan.source, Some(1));
    assert_eq!(choice.uncached_tokens, 3_700);
}

/// Guards against fetching a frequently used part always from the same engine, whose transfers run
/// one after another.
#[test]
fn fetches_of_a_part_spread_over_the_engines_that_have_it() {
    let mut engines: Vec<placement::EngineCandidate> = (0..8)
        .map(|_| engine(placement::EngineStage::Prefill, 0))
        .collect();
    engines.push(engine(placement::EngineStage::Decode, 0));
    for source in &mut engines[..4] {
        source.cached_tokens = 13_300;
        source.ready_tokens = 13_300;
        set_backlog(source, 12, 90_000);
    }
    let sources: std::collections::HashSet<Option<usize>> = (0..50)
        .filter_map(|seed| placement::choose_plan(size(17_000), &RATES, &engines, seed))
        .map(|choice| choice.plan.source)
        .collect();
    assert_eq!(sources.len(), 4, "{sources:?}");
}

/// Guards against fetching a part from an engine that has not processed it yet.
#[test]
fn a_part_that_is_not_processed_yet_is_not_fetched() {
    let mut engines = fleet();
    engines[1].cached_tokens = 13_300;
    set_backlog(&mut engines[1], 12, 90_000);
    let choice = placement::choose_plan(size(17_000), &RATES, &engines, 1).expect("a plan");
    assert_eq!(choice.plan.source, None);
}

/// Guards against slow transfers between availability zones while an engine in the zone is free.
#[test]
fn the_decode_engine_is_in_the_zone_of_the_prefill_engine() {
    let engines = fleet();
    let choice = placement::choose_plan(size(17_000), &RATES, &engines, 1).expect("a plan");
    let prefill = choice.plan.prefill.expect("a prefill engine");
    assert_eq!(
        engines[prefill].zone_hash,
        engines[choice.plan.decode].zone_hash
    );
}

/// Guards against placing many requests on a decode engine whose links are busy with transfers.
#[test]
fn a_processed_prompt_avoids_decode_engines_with_busy_links() {
    let mut engines = fleet();
    engines[3].transfer_ms = 400.0;
    let choice = placement::choose_decode(size(17_000), 0, &RATES, &engines).expect("a plan");
    assert_ne!(choice.plan.decode, 3);
    assert_eq!(choice.plan.prefill, Some(0));
}

/// Guards against a short prompt that is sent to an engine with a long one: an engine does not
/// interrupt the prompt that it processes.
#[test]
fn a_short_prompt_avoids_an_engine_with_a_long_one() {
    let mut engines = fleet();
    // The engine that has the shared part cached processes a prompt of 10,000 tokens.
    engines[0].cached_tokens = 750;
    engines[0].ready_tokens = 750;
    set_backlog(&mut engines[0], 1, 10_000);
    let choice = placement::choose_plan(size(1_000), &RATES, &engines, 1).expect("a plan");
    assert_ne!(choice.plan.prefill, Some(0));
    assert!(choice.wait_ms < 10.0, "{choice:?}");
    engines[..3]
        .iter_mut()
        .for_each(|engine| set_backlog(engine, 1, 10_000));
    engines[3..]
        .iter_mut()
        .for_each(|engine| engine.running = 40);
    let waiting = placement::choose_plan(size(4_000), &RATES, &engines, 1).expect("a plan");
    assert!(waiting.plan.prefill.is_some(), "{waiting:?}");
    assert!(waiting.wait_ms >= 200.0, "{waiting:?}");
}

/// Guards against an estimate by which an urgent prompt waits for less urgent ones that the engine
/// has not begun, and against one by which it interrupts the one that the engine processes.
#[test]
fn less_urgent_prompts_delay_an_urgent_one_by_the_rest_of_one() {
    let mut backlog = PromptBacklog::default();
    backlog.add(0, 300);
    (0..6).for_each(|_| backlog.add(2, 12_000));
    assert_eq!(backlog.tokens(), 72_300);
    assert_eq!(backlog.ahead_of(0).tokens, 300.0 + 6_000.0);
    assert_eq!(backlog.ahead_of(1).tokens, 300.0 + 6_000.0);
    assert_eq!(backlog.ahead_of(2).tokens, 72_300.0);
    assert_eq!(backlog.ahead_of(9).tokens, 72_300.0);
    assert_eq!(backlog.ahead_of(0).prompts, 1.5);
}

/// Guards against work that is counted after its end, or twice, when the reports of several daemons
/// are added.
#[test]
fn a_backlog_is_empty_after_all_its_prompts_ended() {
    bolero::check!()
        .with_type::<Vec<(u8, u16, bool)>>()
        .for_each(|prompts| {
            let (mut own, mut other) = (PromptBacklog::default(), PromptBacklog::default());
            for (priority, tokens, is_own) in prompts {
                let backlog = if *is_own { &mut own } else { &mut other };
                backlog.add(*priority, u64::from(*tokens));
            }
            let mut all = own;
            all.merge(&other);
            let tokens: u64 = prompts
                .iter()
                .map(|(_, tokens, _)| u64::from(*tokens))
                .sum();
            assert_eq!(all.tokens(), tokens);
            let ahead: Vec<f64> = (0..=9)
                .map(|urgency| all.ahead_of(urgency).tokens)
                .collect();
            assert!(ahead.is_sorted(), "{ahead:?}");
            assert_eq!(ahead[9], tokens as f64);
            for (priority, tokens, _) in prompts {
                all.remove(*priority, u64::from(*tokens));
            }
            assert_eq!(all, PromptBacklog::default());
        });
}

fn prompt(ids: &[(&str, u32)]) -> Vec<prefix::PromptPart> {
    let parts = ids.iter();
    parts
        .map(|(id, tokens)| prefix::PromptPart::new("m", id, *tokens))
        .collect()
}

/// Guards against counting a part as cached when the parts before it differ.
#[test]
fn a_part_counts_only_after_the_same_parts() {
    let mut index = prefix::PrefixIndex::new(100_000);
    index.record_use(&prompt(&[("a", 800), ("b", 400), ("own", 250)]), 0, 0);
    assert_eq!(
        index.cached_tokens(&prompt(&[("a", 800), ("b", 400), ("x", 9)])),
        1_200
    );
    assert_eq!(index.cached_tokens(&prompt(&[("z", 800), ("b", 400)])), 0);
}

/// Guards against fetching parts before the engine has processed them.
#[test]
fn parts_can_be_fetched_once_they_are_processed() {
    let mut index = prefix::PrefixIndex::new(100_000);
    let parts = prompt(&[("a", 800)]);
    index.record_use(&parts, 0, 300);
    assert_eq!(index.ready_tokens(&parts, 299), 0);
    assert_eq!(index.ready_tokens(&parts, 300), 800);
    // A later use does not make the part unavailable again.
    index.record_use(&parts, 400, 900);
    assert_eq!(index.ready_tokens(&parts, 400), 800);
}

/// Guards against an index that grows without bound, and against evicting parts that are in use.
#[test]
fn the_least_recently_used_parts_are_evicted() {
    let mut index = prefix::PrefixIndex::new(10_000);
    let kept = prompt(&[("kept", 1_000)]);
    for number in 0..1_000 {
        let id = number.to_string();
        index.record_use(&prompt(&[(&id, 100)]), number, number);
        index.record_use(&kept, number, number);
    }
    assert_eq!(index.cached_tokens(&kept), 1_000);
    assert_eq!(index.cached_tokens(&prompt(&[("0", 100)])), 0);
}

/// Guards against processing a part several times: daemons that see different loads would send it
/// to different engines before they learn of each other's placements.
#[test]
fn a_part_that_no_engine_has_cached_goes_to_its_home() {
    let mut engines = fleet();
    set_backlog(&mut engines[0], 2, 4_000);
    let choice = placement::choose_plan(size(17_000), &RATES, &engines, 1).expect("a plan");
    assert_eq!(choice.plan.prefill, Some(0));
    // A part that is known to be cached elsewhere does not wait for its home.
    engines[1].cached_tokens = 12_750;
    engines[1].ready_tokens = 12_750;
    let choice = placement::choose_plan(size(17_000), &RATES, &engines, 1).expect("a plan");
    assert_eq!(choice.plan.prefill, Some(1));
}

/// Reads the candidates of a fleet from arbitrary bytes.
fn arbitrary_fleet(bytes: &[u8]) -> Vec<placement::EngineCandidate> {
    let candidate = |fields: &[u8]| {
        let stage = match fields[0] % 2 {
            0 => placement::EngineStage::Prefill,
            _ => placement::EngineStage::Decode,
        };
        placement::EngineCandidate {
            is_available: !fields[0].is_multiple_of(7),
            backlog_tokens: u64::from(fields[1]) * 150,
            ahead: WorkAhead {
                prompts: f64::from(fields[1] % 5),
                tokens: f64::from(fields[1]) * 120.0,
            },
            running: u32::from(fields[2] % 80),
            transfer_ms: f64::from(fields[3] % 50),
            cached_tokens: u64::from(fields[4]) * 70,
            ready_tokens: u64::from(fields[4] & fields[5]) * 70,
            home_rank: u64::from(fields[6]),
            distance_ms: f64::from(fields[7] % 4),
            penalty_ms: f64::from(fields[7] % 3) * 40.0,
            ..engine(stage, u64::from(fields[5] % 5))
        }
    };
    bytes.chunks_exact(8).map(candidate).collect()
}

/// Guards against a search by availability zones that misses the best pair of engines. With one
/// decode engine left, the search compares all prefill engines with it, so the best of these
/// choices is that of all pairs.
#[test]
fn the_choice_by_zones_costs_as_little_as_that_of_all_pairs() {
    bolero::check!()
        .with_generator(
            bolero::generator::produce::<Vec<u8>>()
                .with()
                .len(16..=400usize),
        )
        .for_each(|bytes| {
            let engines = arbitrary_fleet(bytes);
            let prompt = size(200 + u64::from(bytes[0]) * 80);
            let choose = |engines: &[_]| placement::choose_plan(prompt, &RATES, engines, 7);
            let decodes = (0..engines.len())
                .filter(|position| engines[*position].stage == placement::EngineStage::Decode);
            let costs = decodes.filter_map(|decode| {
                let mut only = engines.clone();
                for (position, other) in only.iter_mut().enumerate() {
                    let is_decode = other.stage == placement::EngineStage::Decode;
                    other.is_available &= !is_decode || position == decode;
                }
                Some(choose(&only)?.cost_ms)
            });
            let lowest = costs.min_by(f64::total_cmp);
            let chosen = choose(&engines).map(|choice| choice.cost_ms);
            match (chosen, lowest) {
                (Some(chosen), Some(lowest)) => assert!((chosen - lowest).abs() < 1e-6),
                (chosen, lowest) => assert_eq!(chosen, lowest),
            }
        });
}
