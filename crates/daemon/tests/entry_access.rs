//! Order of the advertised addresses, API keys and access rules.

mod support;

use std::sync;

use acaciabank_daemon::{
    entry::{
        access::{AccessTable, ApiKeyTable, RuleSubject},
        addresses,
    },
    peer::{MemberCondition, MemberView},
};
use acaciabank_protocol::{
    ids,
    reason::RefusalReason,
    wire::{AddressEntry, Priority},
};
use hyper::{HeaderMap, Method, header};
use rand::SeedableRng;

const SEED: u64 = 7;

fn member(index: u16, zone: &str, condition: MemberCondition) -> MemberView {
    MemberView {
        daemon: ids::DaemonId::new(format!("front-{index}")),
        region: ids::RegionId::from("perth"),
        zone: ids::ZoneId::from(zone),
        boot_id: 1,
        condition,
        caller_address: ([127, 0, 0, 1], 7_000 + index).into(),
        peer_address: ([127, 0, 0, 1], 8_000 + index).into(),
        config_version: 1,
    }
}

fn own_address() -> AddressEntry {
    AddressEntry {
        address: ([127, 0, 0, 1], 6_000).into(),
        zone: ids::ZoneId::from("perth-a"),
    }
}

/// Guards against callers that are sent to daemons that are not ready, or to another zone although
/// their own has ready daemons.
#[test]
fn ready_members_of_the_callers_zone_come_first() {
    let mut rng = rand::rngs::StdRng::seed_from_u64(SEED);
    let members = [
        member(1, "perth-a", MemberCondition::Ready),
        member(2, "perth-b", MemberCondition::Ready),
        member(3, "perth-b", MemberCondition::Draining),
        member(4, "perth-b", MemberCondition::Ready),
        member(5, "perth-c", MemberCondition::Suspect),
        member(6, "perth-c", MemberCondition::Joining),
    ];
    let mut first_ports = std::collections::BTreeSet::new();
    for _ in 0..50 {
        let addresses =
            addresses::ordered_addresses(&members, Some("perth-b"), own_address(), &mut rng);
        let zones: Vec<&str> = addresses.iter().map(|entry| entry.zone.as_str()).collect();
        assert_eq!(zones, ["perth-b", "perth-b", "perth-a"], "seed {SEED}");
        first_ports.insert(addresses[0].address.port());
    }
    assert_eq!(first_ports.into_iter().collect::<Vec<_>>(), [7_002, 7_004]);
}

/// Guards against an empty list of addresses, which would leave a caller without any daemon to
/// connect to.
#[test]
fn without_ready_members_this_daemon_is_returned() {
    let mut rng = rand::rngs::StdRng::seed_from_u64(SEED);
    assert_eq!(
        addresses::ordered_addresses(&[], None, own_address(), &mut rng),
        [own_address()]
    );
}

/// Guards against keys that are attributed to the wrong owner or not found.
#[test]
fn keys_are_found_by_their_hash() {
    let mut api_keys = ApiKeyTable::default();
    assert!(api_keys.insert(support::KEY_SHA256, 3));
    assert!(!api_keys.insert("not a digest", 4));
    assert_eq!(api_keys.find("letmein"), Some(3));
    assert_eq!(api_keys.find("letmeim"), None);
    assert_eq!(api_keys.find(""), None);
}

fn access_table() -> AccessTable {
    AccessTable::new(sync::Arc::new(support::config(1)))
}

/// Guards against callers without a valid key that are accepted, and callers with one that are
/// refused.
#[test]
fn teams_require_a_valid_key() {
    let table = access_table();
    let mut headers = HeaderMap::new();
    let refusal = table.team(&headers).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::Unauthorized);
    headers.insert(
        header::AUTHORIZATION,
        "Bearer letmein".parse().expect("value"),
    );
    assert_eq!(table.team(&headers).expect("team").as_str(), "clubs");
    headers.insert(
        header::AUTHORIZATION,
        "Basic letmein".parse().expect("value"),
    );
    assert!(table.team(&headers).is_err());
}

/// Guards against a repeated request, such as a second fee notice, because its path is written in a
/// form that the never_repeat rule does not match.
#[test]
fn never_repeat_rules_match_every_form_of_a_path() {
    let table = access_table();
    let service = ids::ServiceId::from("ledger");
    let is_non_idempotent = |method: &Method, path: &str| {
        table.is_non_idempotent(RuleSubject::Service {
            service: &service,
            method,
            path,
        })
    };
    for path in [
        "/fees",
        "/fees/7",
        "//fees",
        "/%66ees",
        "/x/../fees",
        "/./fees",
    ] {
        assert!(is_non_idempotent(&Method::POST, path), "{path}");
    }
    assert!(!is_non_idempotent(&Method::GET, "/fees"));
    assert!(!is_non_idempotent(&Method::POST, "/notes"));
    let model = ids::ModelId::from("draft");
    assert!(!table.is_non_idempotent(RuleSubject::Model(&model)));
}

/// Guards against urgent requests of teams that may not send any, and against `urgent` rules
/// without effect.
#[test]
fn urgent_priority_requires_a_rule_or_an_allowed_team() {
    let table = access_table();
    let team = ids::TeamId::from("clubs");
    let model = ids::ModelId::from("draft");
    let subject = RuleSubject::Model(&model);
    let refusal = table.priority(Some(Priority::Urgent), &team, subject);
    assert_eq!(refusal.unwrap_err().reason, RefusalReason::Forbidden);
    assert_eq!(table.priority(None, &team, subject), Ok(Priority::Normal));
    let service = ids::ServiceId::from("ledger");
    let subject = RuleSubject::Service {
        service: &service,
        method: &Method::GET,
        path: "/",
    };
    assert_eq!(table.priority(None, &team, subject), Ok(Priority::Urgent));
}

/// Guards against accepting an adapter that is not in the inventory.
#[test]
fn models_are_found_with_and_without_adapter() {
    let table = access_table();
    assert_eq!(table.model("draft").expect("model").as_str(), "draft");
    assert_eq!(table.model("draft:chess").expect("model").as_str(), "draft");
    for name in ["draft:golf", "other", ""] {
        let refusal = table.model(name).unwrap_err();
        assert_eq!(refusal.reason, RefusalReason::UnknownModel);
    }
}
