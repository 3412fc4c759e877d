//! Distribution of engines over zones: more where they are cheap, as evenly as losses require.

use std::collections::BTreeMap;

/// A zone to which engines are assigned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ZoneShare {
    /// Price of an engine; a zone's share is in inverse proportion to it.
    pub(super) price: f64,
    /// Engines that are assigned to it.
    pub(super) count: u32,
    /// Smallest number of engines.
    pub(super) least: u32,
    /// Largest number of engines.
    pub(super) most: u32,
}

/// Engines by zone.
pub(super) type ZoneShares = BTreeMap<String, ZoneShare>;

/// Number of engines in all zones.
pub(super) fn total(shares: &ZoneShares) -> u32 {
    shares.values().map(|share| share.count).sum()
}

/// Largest number of engines in one zone.
pub(super) fn largest(shares: &ZoneShares) -> u32 {
    shares.values().map(|share| share.count).max().unwrap_or(0)
}

/// Adds engines until there are `wanted`, or all zones are full. A zone is chosen by its price and
/// by how many engines it has.
pub(super) fn fill(shares: &mut ZoneShares, wanted: u32) {
    for _ in total(shares)..wanted {
        let open = shares.values_mut().filter(|share| share.count < share.most);
        let next = open.min_by(|left, right| {
            let key = |share: &ZoneShare| f64::from(share.count + 1) * share.price;
            key(left).total_cmp(&key(right))
        });
        let Some(share) = next else {
            return;
        };
        share.count += 1;
    }
}

/// Removes engines until there are `wanted`, or all zones have as few as they may.
pub(super) fn drain(shares: &mut ZoneShares, wanted: u32) {
    for _ in wanted..total(shares) {
        let reducible = shares
            .values_mut()
            .filter(|share| share.count > share.least);
        let next = reducible.max_by(|left, right| {
            let key = |share: &ZoneShare| f64::from(share.count) * share.price;
            key(left).total_cmp(&key(right))
        });
        let Some(share) = next else {
            return;
        };
        share.count -= 1;
    }
}
