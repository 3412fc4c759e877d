//! Ids of this run of the daemon.

use std::{sync, time};

/// Number of random bits in a run's id, so that two runs started in the same millisecond differ.
const RANDOM_BITS: u32 = 20;

/// Ids under which this run of the daemon is known, the current one last.
///
/// Other daemons take the run with the highest id for the newest. The first id is taken from the
/// time of day, which may have been set back since the former run; a daemon that hears of a former
/// run with a higher id takes one above it.
#[derive(Debug)]
pub struct BootIds(sync::RwLock<Vec<u64>>);

impl BootIds {
    /// Creates the ids of a run that starts with the given one.
    pub fn new(first: u64) -> Self {
        Self(sync::RwLock::new(vec![first]))
    }

    /// Creates the ids of a run that starts now: the time of day in milliseconds, followed by
    /// random bits.
    pub fn from_time_of_day() -> Self {
        let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        let unix_ms = since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64);
        Self::new(unix_ms << RANDOM_BITS | random_bits())
    }

    /// Returns the current id.
    pub fn current(&self) -> u64 {
        *self.read().last().expect("a run has an id from its start")
    }

    /// Whether this run has or had the given id.
    pub fn contains(&self, id: u64) -> bool {
        self.read().contains(&id)
    }

    /// Takes an id above the given one, unless that is too high to be from a clock.
    pub(crate) fn raise_above(&self, id: u64) -> bool {
        let time_part = (id >> RANDOM_BITS) + 1;
        if time_part >> (u64::BITS - RANDOM_BITS) != 0 {
            return false;
        }
        let mut known = self.0.write().unwrap_or_else(sync::PoisonError::into_inner);
        known.push(time_part << RANDOM_BITS | random_bits());
        true
    }

    fn read(&self) -> sync::RwLockReadGuard<'_, Vec<u64>> {
        self.0.read().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

fn random_bits() -> u64 {
    rand::random::<u64>() & ((1 << RANDOM_BITS) - 1)
}
