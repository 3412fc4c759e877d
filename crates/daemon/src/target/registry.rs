//! Registry of the targets of the configuration in force, indexed for the request path.

use std::{
    collections::{HashMap, HashSet},
    sync,
    sync::atomic::AtomicU32,
    time,
};

use acaciabank_core::cache;
use acaciabank_protocol::{ids, settings, wire};
use arc_swap::ArcSwap;

use super::{
    TargetCondition, TargetKind, TargetState, TargetTracker, WithdrawalCause, peer_update,
};
use crate::dispatch;

/// Targets of one version of the configuration.
#[derive(Debug, Default)]
pub struct TargetSnapshot {
    /// All targets, sorted by name.
    pub all: Vec<sync::Arc<TargetState>>,
    /// Engines by model.
    pub by_model: HashMap<ids::ModelId, Vec<TargetRoute>>,
    /// Instances by service.
    pub by_service: HashMap<ids::ServiceId, Vec<TargetRoute>>,
    /// Position of each target in the list of its model or service, by the hash of its name.
    pub positions: HashMap<u32, usize>,
    /// All targets by the hash of their name.
    pub by_hash: HashMap<u32, sync::Arc<TargetState>>,
}

/// A target and its distance from this daemon.
#[derive(Clone, Debug)]
pub struct TargetRoute {
    /// Target that requests may be sent to.
    pub target: sync::Arc<TargetState>,
    /// One-way network latency from this daemon's zone, in microseconds.
    pub distance_us: u32,
}

/// Targets of this daemon's deployment; a request reads one snapshot without a lock.
#[derive(Debug, Default)]
pub struct TargetRegistry {
    snapshot: ArcSwap<TargetSnapshot>,
    /// Which pieces of prompts the targets hold in their prefix caches.
    pub(crate) piece_index: sync::RwLock<cache::PieceIndex>,
    /// Cache changes of owned targets that have not been sent to the other daemons, by target hash.
    pub(super) piece_changes: sync::Mutex<HashMap<u32, peer_update::PieceDelta>>,
    /// Admission state of the requests at these targets.
    pub(crate) admission: dispatch::admission::AdmissionControl,
}

impl TargetRegistry {
    /// The current snapshot.
    pub fn snapshot(&self) -> sync::Arc<TargetSnapshot> {
        self.snapshot.load_full()
    }

    /// The target of the given name in the current snapshot.
    pub fn find(&self, target: &ids::TargetId) -> Option<sync::Arc<TargetState>> {
        let snapshot = self.snapshot.load();
        let position = snapshot
            .all
            .binary_search_by(|state| state.id.cmp(target))
            .ok()?;
        Some(sync::Arc::clone(&snapshot.all[position]))
    }

    /// Replaces the targets by those of a deployment. Targets whose entry is unchanged keep their
    /// state, including in-flight counts and withdrawal causes.
    pub fn apply(&self, deployment: &settings::Deployment, own_zone: &ids::ZoneId) {
        let previous = self.snapshot();
        let builder = SnapshotBuilder {
            previous: &previous,
            zones: deployment
                .hosts
                .iter()
                .map(|host| (&host.name, &host.zone))
                .collect(),
            distances: distances_from(deployment, own_zone),
            snapshot: TargetSnapshot::default(),
        };
        let snapshot = builder.build(deployment);
        let drained: HashSet<_> = deployment.rules.drained.iter().collect();
        for target in &snapshot.all {
            target.set_cause(WithdrawalCause::Drained, drained.contains(&target.id));
        }
        self.reset_removed_pieces(&previous, &snapshot);
        self.snapshot.store(sync::Arc::new(snapshot));
        self.admission.wake_all();
    }

    /// Withdraws the target while the planner prepares an order for it, or ends that withdrawal.
    /// Returns whether the target is known.
    pub fn set_order_pending(&self, target: &ids::TargetId, is_pending: bool) -> bool {
        let Some(state) = self.find(target) else {
            return false;
        };
        state.set_cause(WithdrawalCause::OrderPending, is_pending);
        self.admission.wake_all();
        true
    }

    /// Withdraws the targets on the hosts that the platform's host list reports as leaving, and
    /// returns the others.
    pub fn apply_leaving_hosts(&self, leaving: &HashSet<ids::HostId>) {
        for target in &self.snapshot.load().all {
            target.set_cause(WithdrawalCause::HostLeaving, leaving.contains(&target.host));
        }
    }

    /// Removes the pieces of targets that are no longer configured from the index.
    fn reset_removed_pieces(&self, previous: &TargetSnapshot, snapshot: &TargetSnapshot) {
        let removed = previous
            .by_hash
            .keys()
            .filter(|hash| !snapshot.by_hash.contains_key(hash));
        let Ok(mut piece_index) = self.piece_index.write() else {
            return;
        };
        removed.for_each(|hash| piece_index.reset(*hash));
    }
}

/// One-way latency in microseconds from the given zone to each zone; a configured distance applies
/// in both directions.
fn distances_from<'a>(
    deployment: &'a settings::Deployment,
    own_zone: &ids::ZoneId,
) -> HashMap<&'a ids::ZoneId, u32> {
    let directed = deployment.distances.iter().flat_map(|distance| {
        let (from, to) = (&distance.from, &distance.to);
        [
            (from, to, distance.one_way_us),
            (to, from, distance.one_way_us),
        ]
    });
    directed
        .filter(|(from, _, _)| *from == own_zone)
        .map(|(_, to, one_way_us)| (to, one_way_us))
        .collect()
}

struct SnapshotBuilder<'a> {
    previous: &'a TargetSnapshot,
    zones: HashMap<&'a ids::HostId, &'a ids::ZoneId>,
    distances: HashMap<&'a ids::ZoneId, u32>,
    snapshot: TargetSnapshot,
}

impl SnapshotBuilder<'_> {
    fn build(mut self, deployment: &settings::Deployment) -> TargetSnapshot {
        for engine in &deployment.engines {
            let kind = TargetKind::Engine {
                model: engine.model.clone(),
                fencing: engine.fencing,
                admin_idle_close_ms: engine.admin_idle_close_ms,
            };
            let entry = (&engine.name, &engine.host, engine.address, engine.slots);
            let route = self.add(entry, kind, engine.role);
            let routes = self.snapshot.by_model.entry(engine.model.clone());
            let routes = routes.or_default();
            self.snapshot
                .positions
                .insert(route.target.hash, routes.len());
            routes.push(route);
        }
        for service in &deployment.services {
            for instance in &service.instances {
                let kind = TargetKind::Service {
                    service: service.name.clone(),
                };
                let entry = (
                    &instance.name,
                    &instance.host,
                    instance.address,
                    instance.slots,
                );
                let route = self.add(entry, kind, settings::EngineRole::Mixed);
                let routes = self.snapshot.by_service.entry(service.name.clone());
                let routes = routes.or_default();
                self.snapshot
                    .positions
                    .insert(route.target.hash, routes.len());
                routes.push(route);
            }
        }
        self.snapshot
            .all
            .sort_by(|left, right| left.id.cmp(&right.id));
        self.snapshot
    }

    /// Adds a target, with the state of the previous snapshot if its entry is unchanged.
    fn add(
        &mut self,
        (id, host, address, slots): (&ids::TargetId, &ids::HostId, std::net::SocketAddr, u32),
        kind: TargetKind,
        role: settings::EngineRole,
    ) -> TargetRoute {
        let zone = self
            .zones
            .get(host)
            .map(|zone| (*zone).clone())
            .unwrap_or_default();
        let hash = ids::target_hash(id);
        let distance_us = self.distances.get(&zone).copied().unwrap_or(0);
        let unchanged = self.previous.by_hash.get(&hash).filter(|known| {
            known.id == *id
                && known.kind == kind
                && known.host == *host
                && known.zone == zone
                && known.address == address
                && known.slots == slots
        });
        let target = match unchanged {
            Some(target) => sync::Arc::clone(target),
            None => sync::Arc::new(TargetState {
                id: id.clone(),
                hash,
                kind,
                host: host.clone(),
                zone,
                address,
                slots,
                own_in_flight: AtomicU32::new(0),
                condition: ArcSwap::from_pointee(initial_condition(role)),
                tracker: TargetTracker::new(slots),
            }),
        };
        self.snapshot.all.push(sync::Arc::clone(&target));
        self.snapshot
            .by_hash
            .insert(hash, sync::Arc::clone(&target));
        TargetRoute {
            target,
            distance_us,
        }
    }
}

/// Condition before any report: accepting, with zero load, so that a daemon whose peers are down
/// can serve.
fn initial_condition(role: settings::EngineRole) -> TargetCondition {
    TargetCondition {
        accepting: true,
        cause: Some(WithdrawalCause::Unknown),
        role,
        load: wire::EngineLoad::default(),
        load_as_of: time::Instant::now(),
        own_in_flight_at_report: 0,
        others_growth_per_s: 0,
        state: None,
    }
}
