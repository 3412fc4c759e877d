//! Order of the versions of a store that comes back from an older copy.

use acaciabank_core::store_version::StoreVersion;

/// Guards against numbers that decide between two eras: the store gives lost ones out again.
#[test]
fn the_era_orders_before_the_number() {
    let ordered = [
        StoreVersion::ZERO,
        StoreVersion::new(1, 7),
        StoreVersion::new(1, 43),
        StoreVersion::new(2, 36),
        StoreVersion::new(2, 43),
        StoreVersion::new(3, 1),
    ];
    assert!(ordered.is_sorted_by(|earlier, later| earlier < later));
    let tokens = ordered.map(StoreVersion::to_fencing_token);
    assert!(tokens.is_sorted_by(|earlier, later| earlier < later));
}

/// Guards against a range of changes that is taken for complete across a return.
#[test]
fn a_version_continues_only_earlier_ones_of_its_era() {
    let version = StoreVersion::new(2, 40);
    assert!(version.continues(StoreVersion::new(2, 40)));
    assert!(version.continues(StoreVersion::new(2, 36)));
    assert!(!version.continues(StoreVersion::new(2, 41)));
    assert!(!version.continues(StoreVersion::new(1, 36)));
}
