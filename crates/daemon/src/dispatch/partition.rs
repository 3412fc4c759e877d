//! Partition of a pool's targets among the daemons of a region for crash suspects, so that suspects
//! of different daemons do not share a target.

use crate::{peer, process};

/// This daemon's share of a pool's targets. All daemons compute the same partition from the ready
/// members of their region.
#[derive(Clone, Copy, Debug)]
pub(super) struct TargetPartition {
    /// Position of this daemon among the sorted names of the ready members.
    rank: usize,
    daemon_count: usize,
}

impl TargetPartition {
    pub(super) fn of(state: &process::ProcessState) -> Self {
        let settings = &state.settings;
        let members = state.peers.members();
        let ready = members.iter().filter(|member| {
            member.condition == peer::MemberCondition::Ready && member.region == settings.region
        });
        let mut names: Vec<_> = ready.map(|member| &member.daemon).collect();
        names.sort_unstable();
        let rank = names.iter().position(|name| **name == settings.daemon);
        Self {
            rank: rank.unwrap_or(0),
            daemon_count: names.len().max(1),
        }
    }

    /// Whether the target at `position` among the `count` targets of its pool belongs to this
    /// daemon. With fewer targets than daemons, several daemons share a target.
    pub(super) fn contains(self, position: usize, count: usize) -> bool {
        match count >= self.daemon_count {
            true => position % self.daemon_count == self.rank,
            false => position == self.rank % count.max(1),
        }
    }
}
