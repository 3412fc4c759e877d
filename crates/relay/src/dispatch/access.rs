//! Recognizes the team of a request by its API key, when the configuration has teams.

use std::rc;

use acaciabank_core::access::{self, AccessDecision, AccessRequest, KeyState};
use http::{HeaderMap, HeaderValue, header};

use crate::{clock, config, state, telemetry::RefusalCause};

/// Refusal of a request at its arrival.
#[derive(Debug)]
pub struct AccessRefusal {
    /// Why it is refused.
    pub cause: RefusalCause,
    /// Team that has its key, if there is one.
    pub team: Option<rc::Rc<config::TeamSpec>>,
}

/// Scheme of the `Authorization` header that carries an API key.
const KEY_SCHEME: &[u8] = b"bearer";

/// Returns the team for which a request is served; `None` if the configuration has no teams or the
/// request has no key and needs none.
pub fn authenticate<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    config: &config::RelayConfig,
    route: &config::RouteRule,
    headers: &HeaderMap,
) -> Result<Option<rc::Rc<config::TeamSpec>>, AccessRefusal> {
    let Some(directory) = &config.teams else {
        return Ok(None);
    };
    let (key, team) = find_team(directory, headers);
    let request = AccessRequest {
        key,
        allows_anonymous: route.allow_anonymous,
        copy_age_ms: state.watch.config.confirmed_age_ms(clock::now_ms()),
    };
    let cause = match access::decide(&request, &state.settings.access) {
        AccessDecision::Serve => return Ok(team),
        AccessDecision::NoKey => RefusalCause::NoKey,
        AccessDecision::UnknownKey => RefusalCause::UnknownKey,
        AccessDecision::StaleCopy => RefusalCause::ConfigStale,
    };
    Err(AccessRefusal { cause, team })
}

/// Looks up the key of a request. Two `Authorization` headers leave open which key counts, so that
/// neither does.
fn find_team(
    directory: &config::TeamDirectory,
    headers: &HeaderMap,
) -> (KeyState, Option<rc::Rc<config::TeamSpec>>) {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let (first, second) = (values.next(), values.next());
    if second.is_some() {
        return (KeyState::Unknown, None);
    }
    let Some(key) = first.and_then(read_key) else {
        return (KeyState::Absent, None);
    };
    match directory.find(key) {
        Some(team) => (KeyState::Known, Some(rc::Rc::clone(team))),
        None => (KeyState::Unknown, None),
    }
}

/// Reads KEY from `Bearer KEY`; `None` for another scheme or an empty key.
fn read_key(value: &HeaderValue) -> Option<&[u8]> {
    let value = value.as_bytes().trim_ascii();
    let end = value.iter().position(u8::is_ascii_whitespace)?;
    let (scheme, key) = value.split_at(end);
    let is_key = scheme.eq_ignore_ascii_case(KEY_SCHEME);
    is_key.then_some(key.trim_ascii_start())
}
