//! Answer of `GET /v1/addresses`.

use std::net;

use acaciabank_protocol::{
    ids,
    wire::{AddressAnswer, AddressEntry, ZONE_HEADER},
};
use hyper::{Request, StatusCode};
use rand::{Rng, seq::SliceRandom};

use super::{parse, response};
use crate::{
    peer::{MemberCondition, MemberView},
    process::{ProcessState, listener::HttpResponse},
};

/// Answers a caller that asks for addresses. It needs no key, since it comes first.
pub(super) fn respond<Body>(state: &ProcessState, request: &Request<Body>) -> HttpResponse {
    let header = request.headers().get(ZONE_HEADER);
    let header = header.and_then(|value| value.to_str().ok());
    let query = request.uri().query().unwrap_or_default();
    let zone = header
        .map(str::to_owned)
        .or_else(|| parse::query_parameter(query, "zone"));
    let settings = &state.settings;
    let own = AddressEntry {
        address: own_address(settings.advertised_caller_address, settings.caller_address),
        zone: settings.zone.clone(),
    };
    let answer = AddressAnswer {
        addresses: ordered_addresses(
            &state.peers.members(),
            zone.as_deref(),
            own,
            &mut rand::rng(),
        ),
        lifetime_ms: settings.timers.address_lifetime_ms,
        version: state.config.version(),
    };
    response::json(StatusCode::OK, &answer)
}

fn own_address(advertised: Option<net::SocketAddr>, bound: net::SocketAddr) -> net::SocketAddr {
    advertised.unwrap_or(bound)
}

/// Ready members, the caller's zone first, shuffled within each zone so that callers spread.
/// Without any ready member the answer names this daemon, which evidently can be reached.
pub fn ordered_addresses(
    members: &[MemberView],
    zone: Option<&str>,
    own: AddressEntry,
    random: &mut impl Rng,
) -> Vec<AddressEntry> {
    let ready = members
        .iter()
        .filter(|member| member.condition == MemberCondition::Ready);
    let mut addresses: Vec<AddressEntry> = ready
        .map(|member| AddressEntry {
            address: member.caller_address,
            zone: member.zone.clone(),
        })
        .collect();
    if addresses.is_empty() {
        return vec![own];
    }
    addresses.shuffle(random);
    // A random order of the other zones keeps callers without a zone from meeting in the first.
    let mut zones: Vec<ids::ZoneId> = addresses.iter().map(|entry| entry.zone.clone()).collect();
    zones.sort();
    zones.dedup();
    zones.shuffle(random);
    addresses.sort_by_key(|entry| {
        let is_other = zone != Some(entry.zone.as_str());
        let position = zones.iter().position(|known| known == &entry.zone);
        (is_other, position)
    });
    addresses
}
