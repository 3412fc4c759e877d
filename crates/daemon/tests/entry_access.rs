//! Order of addresses, keys and rules.

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

fn member(number: u16, zone: &str, condition: MemberCondition) -> MemberView {
    MemberView {
        daemon: ids::DaemonId::new(format!("front-{number}")),
        region: ids::RegionId::from("perth"),
        zone: ids::ZoneId::from(zone),
        boot_id: 1,
        condition,
        caller_address: ([127, 0, 0, 1], 7_000 + number).into(),
        peer_address: ([127, 0, 0, 1], 8_000 + number).into(),
        config_version: 1,
    }
}

fn own() -> AddressEntry {
    AddressEntry {
        address: ([127, 0, 0, 1], 6_000).into(),
        zone: ids::ZoneId::from("perth-a"),
    }
}

/// Guards against callers that are sent to daemons which do not serve, or to a far zone first.
#[test]
fn ready_members_of_the_callers_zone_come_first() {
    let mut random = rand::rngs::StdRng::seed_from_u64(SEED);
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
        let order = addresses::ordered_addresses(&members, Some("perth-b"), own(), &mut random);
        let zones: Vec<&str> = order.iter().map(|entry| entry.zone.as_str()).collect();
        assert_eq!(zones, ["perth-b", "perth-b", "perth-a"], "seed {SEED}");
        first_ports.insert(order[0].address.port());
    }
    assert_eq!(first_ports.into_iter().collect::<Vec<_>>(), [7_002, 7_004]);
}

/// Guards against an empty answer, which would leave a caller without any daemon.
#[test]
fn without_members_the_answer_names_this_daemon() {
    let mut random = rand::rngs::StdRng::seed_from_u64(SEED);
    assert_eq!(
        addresses::ordered_addresses(&[], None, own(), &mut random),
        [own()]
    );
}

/// Guards against keys that are found for the wrong owner or not at all.
#[test]
fn keys_are_found_by_their_hash() {
    let mut lookup = ApiKeyTable::default();
    assert!(lookup.insert(support::KEY_SHA256, 3));
    assert!(!lookup.insert("not a digest", 4));
    assert_eq!(lookup.find("letmein"), Some(3));
    assert_eq!(lookup.find("letmeim"), None);
    assert_eq!(lookup.find(""), None);
}

fn table() -> AccessTable {
    AccessTable::new(sync::Arc::new(support::config(1)))
}

/// Guards against unknown callers that count as a team, or known ones that do not.
#[test]
fn teams_need_a_valid_key() {
    let table = table();
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

/// Guards against a second fee notice by a differently written path of a never_repeat rule.
#[test]
fn never_repeat_rules_match_every_form_of_a_path() {
    let table = table();
    let service = ids::ServiceId::from("ledger");
    let is_marked = |method: &Method, path: &str| {
        table.is_never_repeat(RuleSubject::Service {
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
        assert!(is_marked(&Method::POST, path), "{path}");
    }
    assert!(!is_marked(&Method::GET, "/fees"));
    assert!(!is_marked(&Method::POST, "/notes"));
    let model = ids::ModelId::from("draft");
    assert!(!table.is_never_repeat(RuleSubject::Model(&model)));
}

/// Guards against urgent work by teams that may not, and against rules that have no effect.
#[test]
fn urgency_comes_from_rules_or_from_allowed_teams() {
    let table = table();
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

/// Guards against adapters that are not in the inventory.
#[test]
fn models_are_found_with_and_without_adapter() {
    let table = table();
    assert_eq!(table.model("draft").expect("model").as_str(), "draft");
    assert_eq!(table.model("draft:chess").expect("model").as_str(), "draft");
    for name in ["draft:golf", "other", ""] {
        let refusal = table.model(name).unwrap_err();
        assert_eq!(refusal.reason, RefusalReason::UnknownModel);
    }
}
