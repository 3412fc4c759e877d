//! Which requests are served when the configuration lists the API keys of teams.

use acaciabank_core::access::{AccessDecision, AccessLimits, AccessRequest, KeyState, decide};

const LIMITS: AccessLimits = AccessLimits {
    config_apply_ms: 3_000,
    revoke_ms: 5_000,
    fails_closed: false,
};

fn decided(key: KeyState, copy_age_ms: Option<u64>, limits: &AccessLimits) -> AccessDecision {
    let request = AccessRequest {
        key,
        allows_anonymous: false,
        copy_age_ms,
    };
    decide(&request, limits)
}

/// Guards against an anonymous route that accepts any key, and against another route that needs
/// none.
#[test]
fn an_anonymous_route_needs_no_key_and_accepts_no_unknown_one() {
    for (allows_anonymous, absent) in [
        (true, AccessDecision::Serve),
        (false, AccessDecision::NoKey),
    ] {
        let request = |key| AccessRequest {
            key,
            allows_anonymous,
            copy_age_ms: Some(0),
        };
        assert_eq!(decide(&request(KeyState::Absent), &LIMITS), absent);
        let known = decide(&request(KeyState::Known), &LIMITS);
        assert_eq!(known, AccessDecision::Serve);
        let unknown = decide(&request(KeyState::Unknown), &LIMITS);
        assert_eq!(unknown, AccessDecision::UnknownKey);
    }
}

/// Guards against a key that is called unknown by a configuration that may lack it, and against a
/// limit that is off by one.
#[test]
fn a_key_is_unknown_only_while_the_configuration_is_current() {
    for (age_ms, expected) in [
        (Some(0), AccessDecision::UnknownKey),
        (Some(3_000), AccessDecision::UnknownKey),
        (Some(3_001), AccessDecision::StaleCopy),
        (None, AccessDecision::StaleCopy),
    ] {
        assert_eq!(decided(KeyState::Unknown, age_ms, &LIMITS), expected);
        assert_eq!(
            decided(KeyState::Known, age_ms, &LIMITS),
            AccessDecision::Serve
        );
        // A caller without a key gets the same refusal from every configuration with teams.
        assert_eq!(
            decided(KeyState::Absent, age_ms, &LIMITS),
            AccessDecision::NoKey
        );
    }
}

/// Guards against a known key that is served when it may have been revoked and the settings forbid
/// it.
#[test]
fn known_keys_are_refused_only_if_the_settings_say_so() {
    let closed = AccessLimits {
        fails_closed: true,
        ..LIMITS
    };
    for (age_ms, expected) in [
        (Some(4_999), AccessDecision::Serve),
        (Some(5_000), AccessDecision::StaleCopy),
        (None, AccessDecision::StaleCopy),
    ] {
        assert_eq!(decided(KeyState::Known, age_ms, &closed), expected);
    }
}
