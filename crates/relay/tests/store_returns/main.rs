//! Random model of a store that comes back from older copies, of the targets and the operator that
//! write to it, and of daemons that read it and report to each other. Guards against targets that
//! stay listed or get requests after they have left, targets that are lost, and daemons that keep
//! an old configuration.

mod daemon;
mod store;
mod world;

use crate::world::{REWRITE_MS, World, WorldTraits};

const SEEDS: u64 = 200;
/// Rounds of a seed: random events, then a calm time and a check of everything.
const ROUNDS: usize = 2;
const EVENTS: usize = 40;
/// Number of the last events that a failure prints.
const SHOWN_EVENTS: usize = 60;

fn run_seed(seed: u64, traits: WorldTraits) -> Result<(), String> {
    let mut world = World::new(seed, traits);
    let result = run_rounds(&mut world);
    result.map_err(|violation| {
        let start = world.events.len().saturating_sub(SHOWN_EVENTS);
        let events = world.events[start..].join("\n");
        format!("seed {seed}, {} ms: {violation}\n{events}", world.now_ms)
    })
}

fn run_rounds(world: &mut World) -> Result<(), String> {
    for _ in 0..ROUNDS {
        for _ in 0..EVENTS {
            let numbers: Vec<u64> = world
                .daemons
                .iter()
                .map(|daemon| daemon.config_version().number)
                .collect();
            let boots: Vec<u64> = world.daemons.iter().map(|daemon| daemon.boot_id).collect();
            world.step()?;
            for (index, daemon) in world.daemons.iter().enumerate() {
                let is_lower = daemon.config_version().number < numbers[index];
                if daemon.boot_id == boots[index] && is_lower {
                    return Err(format!("the configuration of daemon {index} goes back"));
                }
            }
        }
        world.settle()?;
    }
    Ok(())
}

fn run_seeds(traits: WorldTraits) {
    let failures = (0..SEEDS).filter_map(|seed| run_seed(seed, traits).err());
    let failures: Vec<String> = failures.collect();
    for failure in &failures {
        println!("{}", failure.lines().next().unwrap_or_default());
    }
    assert!(
        failures.is_empty(),
        "{} of {SEEDS} seeds fail, {}",
        failures.len(),
        failures[0]
    );
}

/// Guards against a daemon whose list of targets or configuration does not become that of the
/// store, and against requests to targets that drain or have left, after returns of the store.
#[test]
fn daemons_agree_with_a_store_that_returns() {
    run_seeds(WorldTraits::MODERATE);
}

/// Guards against a daemon that takes the earlier run of a target, which a copy of the store holds,
/// for the present one.
#[test]
fn runs_of_targets_are_told_apart_after_returns() {
    run_seeds(WorldTraits {
        has_quick_restarts: true,
        ..WorldTraits::MODERATE
    });
}

/// Guards against a target that is in use, is lost by a return and writes its row again within the
/// allowed time, and that gets no requests for a moment at a daemon that reads the store.
#[test]
fn targets_that_write_again_in_time_stay_in_use() {
    run_seeds(WorldTraits {
        rewrite_limit_ms: REWRITE_MS,
        ..WorldTraits::MODERATE
    });
}

/// Guards against a daemon that is cut off from the store shortly after a return, and that sends
/// nothing more to targets that have written their rows again.
#[test]
fn targets_stay_in_use_at_daemons_that_are_cut_off() {
    run_seeds(WorldTraits {
        expects_use_while_cut_off: true,
        ..WorldTraits::MODERATE
    });
}

/// Guards against requests to a run that drained and left, and that a copy of the store lists again
/// for longer than the platform takes to remove it, or so that the daemon does not learn of it.
#[test]
fn runs_that_drained_and_left_get_no_requests() {
    run_seeds(WorldTraits {
        expects_drained_memory: true,
        ..WorldTraits::MODERATE
    });
}
