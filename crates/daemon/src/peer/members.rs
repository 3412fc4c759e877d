//! Publishes members and target ownership to the rest of the daemon.

use std::{collections, sync, time};

use acaciabank_core::member::{Liveness, MemberEntry, MemberState};
use acaciabank_protocol::ids;

use super::{MemberCondition, MemberView, node::PeerNode};
use crate::target;

impl PeerNode {
    /// Rebuilds the published member list, and replaces it only if it differs.
    pub(super) fn publish_members(&self) {
        let now = time::Instant::now();
        let table = self.table.borrow();
        let own = std::iter::once((table.own(), Liveness::Alive));
        let others = table
            .others(now)
            .map(|(entry, liveness, _)| (entry, liveness));
        let mut views: Vec<_> = own
            .chain(others)
            .filter_map(|(entry, liveness)| member_view(entry, liveness))
            .collect();
        views.sort_by(|first, second| first.daemon.cmp(&second.daemon));
        let members = &self.state.peers.members;
        let are_changed = **members.load() != views;
        if are_changed {
            members.store(sync::Arc::new(views));
        }
        self.refresh_ownership(are_changed);
    }

    fn refresh_ownership(&self, are_members_changed: bool) {
        let snapshot = self.state.targets.snapshot();
        let is_unchanged = sync::Arc::ptr_eq(&snapshot, &self.ownership_snapshot.borrow());
        if is_unchanged && !are_members_changed {
            return;
        }
        let own_region = &self.state.settings.region;
        let config = self.state.config.current();
        let regions = config.iter().flat_map(|config| &config.deployment.regions);
        let remote: collections::HashSet<_> = regions
            .filter(|region| region.name != *own_region)
            .flat_map(|region| region.zones.clone())
            .collect();
        let (remote, local): (Vec<_>, Vec<_>) = snapshot
            .all
            .iter()
            .partition(|target| remote.contains(&target.zone));
        let target_ids = |targets: Vec<&sync::Arc<target::TargetState>>| -> Vec<ids::TargetId> {
            targets.iter().map(|target| target.id.clone()).collect()
        };
        let (local, remote) = (target_ids(local), target_ids(remote));
        self.state.peers.refresh_ownership(&local, &remote);
        self.ownership_snapshot.replace(snapshot);
    }
}

fn member_view(entry: &MemberEntry, liveness: Liveness) -> Option<MemberView> {
    let condition = match (liveness, entry.state) {
        (Liveness::Dead, _) | (_, MemberState::Left) => return None,
        (Liveness::Suspect, _) => MemberCondition::Suspect,
        (Liveness::Alive, MemberState::Joining) => MemberCondition::Joining,
        (Liveness::Alive, MemberState::Ready) => MemberCondition::Ready,
        (Liveness::Alive, MemberState::Draining) => MemberCondition::Draining,
    };
    Some(MemberView {
        daemon: entry.daemon.clone(),
        region: entry.region.clone(),
        zone: entry.zone.clone(),
        boot_id: entry.version.boot_id,
        condition,
        caller_address: entry.caller_address,
        peer_address: entry.peer_address,
        config_version: entry.config_version,
    })
}
