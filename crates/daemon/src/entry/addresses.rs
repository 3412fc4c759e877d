//! `GET /v1/addresses`: the daemons that a caller may connect to.

use std::net;

use acaciabank_protocol::{
    ids,
    wire::{AddressEntry, AddressResponse, ZONE_HEADER},
};
use hyper::{Request, StatusCode};
use rand::{Rng, seq::SliceRandom};

use super::{parse, response};
use crate::{
    peer::{MemberCondition, MemberView},
    process::{ProcessState, listener::HttpResponse},
};

/// Handles `GET /v1/addresses`. No key is required: callers send this request first.
pub(super) fn respond<Body>(state: &ProcessState, request: &Request<Body>) -> HttpResponse {
    let header = request.headers().get(ZONE_HEADER);
    let header = header.and_then(|value| value.to_str().ok());
    let query = request.uri().query().unwrap_or_default();
    let zone = header
        .map(str::to_owned)
        .or_else(|| parse::query_parameter(query, "zone"));
    let settings = &state.settings;
    let own = AddressEntry {
        address: reachable_address(settings.advertised_caller_address, settings.caller_address),
        zone: settings.zone.clone(),
    };
    let body = AddressResponse {
        addresses: ordered_addresses(
            &state.peers.members(),
            zone.as_deref(),
            own,
            &mut rand::rng(),
        ),
        lifetime_ms: settings.timers.address_lifetime_ms,
        version: state.config.version(),
    };
    response::json(StatusCode::OK, &body)
}

fn reachable_address(
    advertised: Option<net::SocketAddr>,
    bound: net::SocketAddr,
) -> net::SocketAddr {
    advertised.unwrap_or(bound)
}

/// Returns the ready members, those in the caller's zone first, shuffled within each zone to
/// spread the load. Without a ready member, returns this daemon alone, since the caller has
/// reached it.
pub fn ordered_addresses(
    members: &[MemberView],
    zone: Option<&str>,
    own: AddressEntry,
    rng: &mut impl Rng,
) -> Vec<AddressEntry> {
    let ready_members = members
        .iter()
        .filter(|member| member.condition == MemberCondition::Ready);
    let mut addresses: Vec<AddressEntry> = ready_members
        .map(|member| AddressEntry {
            address: member.caller_address,
            zone: member.zone.clone(),
        })
        .collect();
    if addresses.is_empty() {
        return vec![own];
    }
    addresses.shuffle(rng);
    // Shuffling the zones keeps callers that name no zone from all choosing the first one.
    let mut zones: Vec<ids::ZoneId> = addresses.iter().map(|entry| entry.zone.clone()).collect();
    zones.sort();
    zones.dedup();
    zones.shuffle(rng);
    addresses.sort_by_key(|entry| {
        let is_other_zone = zone != Some(entry.zone.as_str());
        let position = zones.iter().position(|zone| zone == &entry.zone);
        (is_other_zone, position)
    });
    addresses
}
