//! Teams and the API keys by which their requests are recognized.

use std::{collections::HashMap, fmt, rc, sync};

use sha2::{Digest, Sha256};

/// A team of callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamSpec {
    /// Name of the team.
    pub name: String,
    /// Priority of its requests, which replaces that of their routes; 0 is the highest.
    pub priority: Option<u8>,
    /// Hash of the name, which identifies the team in messages between daemons.
    pub hash: u64,
}

impl TeamSpec {
    /// Creates a team.
    pub fn new(name: String, priority: Option<u8>) -> Self {
        let hash = xxhash_rust::xxh3::xxh3_64(name.as_bytes());
        Self {
            name,
            priority,
            hash,
        }
    }
}

/// Salted digest of an API key.
type KeyDigest = [u8; 32];

/// Two teams that list the same API key. The first one has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedKey {
    /// Name of the team that has the key.
    pub owner: String,
    /// Name of the team that lists it too.
    pub other: String,
}

/// Finds the team of an API key. It holds no key, only salted digests, so that no log line or
/// error can contain one, and the time of a look-up says nothing about the keys.
#[derive(Clone)]
pub struct TeamDirectory {
    teams: HashMap<KeyDigest, rc::Rc<TeamSpec>>,
    shared_keys: Vec<SharedKey>,
}

impl TeamDirectory {
    /// Builds the directory of teams with their keys. A key that several teams list belongs to the
    /// first one.
    pub fn new<'a, Keys>(teams: impl IntoIterator<Item = (TeamSpec, Keys)>) -> Self
    where
        Keys: IntoIterator<Item = &'a str>,
    {
        let mut directory = Self {
            teams: HashMap::new(),
            shared_keys: Vec::new(),
        };
        for (team, keys) in teams {
            let team = rc::Rc::new(team);
            keys.into_iter().for_each(|key| directory.add(&team, key));
        }
        directory
    }

    fn add(&mut self, team: &rc::Rc<TeamSpec>, key: &str) {
        let owner = self.teams.entry(digest(key.as_bytes()));
        let owner = owner.or_insert_with(|| rc::Rc::clone(team));
        if !rc::Rc::ptr_eq(owner, team) {
            self.shared_keys.push(SharedKey {
                owner: owner.name.clone(),
                other: team.name.clone(),
            });
        }
    }

    /// Returns the team that a key belongs to. The cost does not depend on the number of keys.
    pub fn find(&self, key: &[u8]) -> Option<&rc::Rc<TeamSpec>> {
        self.teams.get(&digest(key))
    }

    /// Returns the keys that several teams list, by the names of the teams.
    pub fn shared_keys(&self) -> &[SharedKey] {
        &self.shared_keys
    }
}

impl fmt::Debug for TeamDirectory {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = formatter.debug_struct("TeamDirectory");
        debug.field("keys", &self.teams.len());
        debug.finish_non_exhaustive()
    }
}

/// Returns the digest of a key with the salt of this process.
fn digest(key: &[u8]) -> KeyDigest {
    static SALT: sync::OnceLock<KeyDigest> = sync::OnceLock::new();
    let salt = SALT.get_or_init(rand::random);
    let hasher = Sha256::new().chain_update(salt).chain_update(key);
    hasher.finalize().into()
}
