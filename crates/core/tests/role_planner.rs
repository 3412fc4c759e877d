//! Properties of the role planner under each policy.

use std::collections::HashMap;

use acaciabank_core::role_planner::{EngineView, RolePlanner, phase_loads};
use acaciabank_protocol::{
    ids,
    settings::{AdaptationSettings, EngineRole, PlannerPolicy},
};

const STEP_MS: u64 = 1_000;
const SLOTS: u32 = 32;
const POLICIES: [PlannerPolicy; 3] = [
    PlannerPolicy::Off,
    PlannerPolicy::Threshold,
    PlannerPolicy::Adaptive,
];

/// A simulated fleet that carries out the planned changes. All engines have the same load, and an
/// engine is unavailable during its change.
struct Fleet {
    planner: RolePlanner,
    adaptation: AdaptationSettings,
    engines: Vec<EngineView>,
    /// Changes in progress by the engine's position: the time of their end and the new role.
    changing: HashMap<usize, (u64, EngineRole)>,
    /// All changes with the time of their start.
    changes: Vec<(u64, ids::TargetId)>,
}

impl Fleet {
    fn new(policy: PlannerPolicy, adaptation: AdaptationSettings, engines: usize) -> Self {
        let engine = |number: usize| EngineView {
            target: ids::TargetId::new(format!("e{number}")),
            zone: ids::ZoneId::new(format!("z{}", number % 3)),
            role: EngineRole::Mixed,
            running: 0,
            waiting: 0,
            waiting_prefill_tokens: 0,
            running_decode: 0,
            slots: SLOTS,
            is_available: true,
        };
        Self {
            planner: RolePlanner::new(policy, adaptation.clone()),
            adaptation,
            engines: (0..engines).map(engine).collect(),
            changing: HashMap::new(),
            changes: Vec::new(),
        }
    }

    /// Simulates one step with the given work at each engine.
    fn step(&mut self, now_ms: u64, prefill_tokens: u64, decoding: u32) {
        let engines = &mut self.engines;
        self.changing.retain(|position, (until_ms, role)| {
            if now_ms >= *until_ms {
                engines[*position].role = *role;
                engines[*position].is_available = true;
            }
            now_ms < *until_ms
        });
        for engine in engines.iter_mut() {
            engine.waiting_prefill_tokens = prefill_tokens;
            engine.running_decode = decoding;
            engine.running = decoding;
        }
        let zones: Vec<ids::ZoneId> = self
            .changing
            .keys()
            .map(|position| engines[*position].zone.clone())
            .collect();
        for change in self.planner.plan(now_ms, engines, &zones) {
            let position = engines
                .iter()
                .position(|engine| engine.target == change.target)
                .expect("engine");
            assert!(
                engines[position].is_available,
                "{change:?} of an unavailable engine"
            );
            assert_eq!(engines[position].role, change.from);
            assert_ne!(change.from, change.to);
            engines[position].is_available = false;
            let until_ms = now_ms + self.adaptation.switch_cost_ms;
            self.changing.insert(position, (until_ms, change.to));
            self.changes.push((now_ms, change.target));
        }
        self.check_zone_limit();
    }

    fn check_zone_limit(&self) {
        let mut zones: HashMap<&ids::ZoneId, u32> = HashMap::new();
        for position in self.changing.keys() {
            *zones.entry(&self.engines[*position].zone).or_default() += 1;
        }
        let max_count = self.adaptation.max_concurrent_changes;
        assert!(zones.values().all(|count| *count <= max_count), "{zones:?}");
    }
}

/// Simulates a fleet of six engines with the given work in each step.
fn run(policy: PlannerPolicy, adaptation: &AdaptationSettings, work: &[(u64, u32)]) -> Fleet {
    let mut fleet = Fleet::new(policy, adaptation.clone(), 6);
    for (step, (prefill_tokens, decoding)) in work.iter().enumerate() {
        fleet.step(step as u64 * STEP_MS, *prefill_tokens, *decoding);
    }
    fleet
}

/// Guards against more concurrent changes in a zone than allowed, and against an adaptive planner
/// that changes an engine again within the dwell time, for any work.
#[test]
fn changes_respect_concurrency_and_dwell_for_any_work() {
    bolero::check!()
        .with_type::<(u8, Vec<(u16, u8)>)>()
        .for_each(|(concurrent, steps)| {
            let adaptation = AdaptationSettings {
                max_concurrent_changes: u32::from(concurrent % 2) + 1,
                min_dwell_ms: 10_000,
                ..AdaptationSettings::default()
            };
            let work: Vec<(u64, u32)> = steps
                .iter()
                .flat_map(|(tokens, decoding)| {
                    let work = (u64::from(*tokens), u32::from(*decoding) % (SLOTS + 1));
                    std::iter::repeat_n(work, 5)
                })
                .collect();
            for policy in POLICIES {
                let fleet = run(policy, &adaptation, &work);
                let mut last: HashMap<ids::TargetId, u64> = HashMap::new();
                for (at_ms, target) in fleet.changes {
                    let earlier = last.insert(target, at_ms);
                    let has_dwelt = earlier.is_none_or(|earlier| at_ms - earlier >= 10_000);
                    assert!(has_dwelt || policy != PlannerPolicy::Adaptive);
                    assert_ne!(policy, PlannerPolicy::Off);
                }
            }
        });
}

/// Guards against an adaptive planner that follows every oscillation of the load and spends engine
/// time on changes.
#[test]
fn adaptive_changes_at_most_as_often_as_threshold_when_work_oscillates() {
    for period in [4, 10, 30, 60, 120] {
        let work_at = |step: usize| match (step / period) % 2 {
            0 => (20_000, 4),
            _ => (500, 30),
        };
        let work: Vec<(u64, u32)> = (0..600).map(work_at).collect();
        let adaptation = AdaptationSettings::default();
        let threshold = run(PlannerPolicy::Threshold, &adaptation, &work);
        let adaptive = run(PlannerPolicy::Adaptive, &adaptation, &work);
        let counts = (threshold.changes.len(), adaptive.changes.len());
        println!(
            "period {period}: threshold {}, adaptive {}",
            counts.0, counts.1
        );
        assert!(counts.1 <= counts.0, "period {period}: {counts:?}");
        assert!(counts.0 > 0, "the work does not cross the threshold");
    }
}

/// Guards against role changes under a steady load that is equal for both phases.
#[test]
fn steady_balanced_work_causes_no_change() {
    for decoding in [0, 4, 16, 32] {
        // Tokens whose prefill load equals the decode load in a fleet of mixed engines.
        let tokens = 6_800 * u64::from(decoding) / u64::from(SLOTS);
        let work = vec![(tokens, decoding); 300];
        for policy in POLICIES {
            let fleet = run(policy, &AdaptationSettings::default(), &work);
            let loads = phase_loads(&fleet.engines);
            assert!((loads.prefill - loads.decode).abs() < 0.05, "{loads:?}");
            assert_eq!(fleet.changes, [], "{policy:?} at {decoding}");
        }
    }
}

/// Guards against an adaptive planner that never acts: a lasting shift of the load must move
/// engines to the loaded phase.
#[test]
fn a_lasting_shift_moves_engines() {
    let run_shift = |before: (u64, u32), after: (u64, u32)| {
        let steps = std::iter::repeat_n(before, 60).chain(std::iter::repeat_n(after, 120));
        let work: Vec<(u64, u32)> = steps.collect();
        run(
            PlannerPolicy::Adaptive,
            &AdaptationSettings::default(),
            &work,
        )
    };
    for (after, expected_role) in [
        ((20_000, 4), EngineRole::Prefill),
        ((100, 32), EngineRole::Decode),
    ] {
        let fleet = run_shift((3_400, 16), after);
        let moved = fleet
            .engines
            .iter()
            .filter(|engine| engine.role == expected_role);
        assert!(moved.count() >= 1, "{expected_role:?}: {:?}", fleet.changes);
    }
}
