//! Look-up of teams by API key.

use acaciabank_relay::config::{SharedKey, TeamDirectory, TeamSpec};

fn team(name: &str) -> TeamSpec {
    TeamSpec::new(name.to_owned(), None)
}

/// Guards against a key that belongs to the last of its teams, and against a warning without the
/// teams' names.
#[test]
fn the_first_team_of_a_key_has_it() {
    let directory = TeamDirectory::new([
        (team("empty"), vec![]),
        (team("north"), vec!["k1", "k2", "k1"]),
        (team("south"), vec!["k2", "k3"]),
    ]);
    let name = |key: &str| directory.find(key.as_bytes()).map(|team| &team.name[..]);
    assert_eq!(name("k1"), Some("north"));
    assert_eq!(name("k2"), Some("north"));
    assert_eq!(name("k3"), Some("south"));
    for unknown in ["", "k", "k1 ", "K1", "k11"] {
        assert_eq!(name(unknown), None, "{unknown:?}");
    }
    let expected = SharedKey {
        owner: "north".to_owned(),
        other: "south".to_owned(),
    };
    assert_eq!(directory.shared_keys(), [expected]);
}

/// Guards against keys, or digests of them, in debug output.
#[test]
fn debug_output_contains_no_key() {
    let directory = TeamDirectory::new([(team("north"), vec!["secret-key"])]);
    let text = format!("{directory:?}");
    assert_eq!(text, "TeamDirectory { keys: 1, .. }");
}

/// Guards against teams that are mixed up in messages between daemons.
#[test]
fn teams_are_identified_by_their_names() {
    assert_eq!(team("north").hash, team("north").hash);
    assert_ne!(team("north").hash, team("south").hash);
}
