//! What must hold at any time, and after everything has settled.

use std::collections::BTreeMap;

use acaciabank_core::store_version::StoreVersion;
use rand::RngExt;

use super::{DAEMONS, NEWS_MS, REWRITE_MS, World};
use crate::{
    daemon::SILENCE_MS,
    store::{Incarnation, parts},
};

/// Interval of the checks while nothing happens.
const SETTLING_STEP_MS: u64 = 300;

impl World {
    /// Checks what must hold at any time.
    pub(super) fn check(&mut self) -> Result<(), String> {
        for index in 0..DAEMONS {
            let listed = self.daemons[index].listed(self.now_ms);
            let accepting = listed.iter().filter(|(_, target)| target.is_accepting);
            let accepting: BTreeMap<Incarnation, StoreVersion> = accepting
                .map(|(id, target)| ((id.clone(), target.record.born_ms), target.version))
                .collect();
            for (told, version) in &accepting {
                self.check_accepting(index, told, *version)?;
            }
            let targets = &self.targets;
            let is_ready = |told: &Incarnation| {
                let target = targets.get(&told.0);
                let run = target.filter(|target| target.record.born_ms == told.1);
                run.is_some_and(|target| !target.record.is_draining)
            };
            let daemon = &mut self.daemons[index];
            daemon.accepted.retain(is_ready);
            let is_cut_off = self.now_ms < daemon.cut_off_until_ms.saturating_add(NEWS_MS);
            if is_cut_off && !self.traits.expects_use_while_cut_off {
                daemon.accepted.retain(|told| accepting.contains_key(told));
            }
            let lost = daemon
                .accepted
                .iter()
                .find(|told| !accepting.contains_key(*told));
            if let Some(lost) = lost {
                return Err(format!(
                    "daemon {index} does not use {lost:?}, which is ready"
                ));
            }
            daemon
                .accepted
                .extend(accepting.into_keys().filter(is_ready));
        }
        Ok(())
    }

    fn check_accepting(
        &mut self,
        index: usize,
        told: &Incarnation,
        version: StoreVersion,
    ) -> Result<(), String> {
        let daemon = &self.daemons[index];
        let is_spared = !self.traits.expects_drained_memory && daemon.gone.contains_key(told);
        if daemon.drained.contains(told) && !is_spared {
            return Err(format!("daemon {index} uses {told:?}, which drains"));
        }
        let gone_era = daemon.gone.get(told).copied();
        let Some(gone_era) = gone_era.filter(|gone_era| *gone_era < version.era) else {
            return Ok(());
        };
        let row = self.store.rows.targets.get(&told.0);
        let row = row.filter(|row| (self.store.era, row.number) == parts(version));
        if row.is_some_and(|row| row.written_era == self.store.era) {
            self.daemons[index].gone.remove(told);
            return Ok(());
        }
        let is_copied = row.is_some_and(|row| row.body.born_ms == told.1);
        let due_ms = self.return_ms[&(gone_era + 1)] + SILENCE_MS;
        if is_copied && self.now_ms < due_ms {
            return Err(format!(
                "daemon {index} uses {told:?}, which left in era {gone_era}"
            ));
        }
        Ok(())
    }

    /// Waits until nothing is left to be written again and to be learned, and checks everything.
    pub fn settle(&mut self) -> Result<(), String> {
        let cut_off = self
            .rng
            .random_bool(0.3)
            .then(|| self.rng.random_range(0..DAEMONS));
        for (index, daemon) in self.daemons.iter_mut().enumerate() {
            daemon.cut_off_until_ms = match cut_off == Some(index) {
                true => u64::MAX,
                false => 0,
            };
        }
        self.log(format!("settles, cut off: {cut_off:?}"));
        // Targets write again, a daemon reads the store later, and what is open settles.
        let settling_ms = 2 * (REWRITE_MS + SILENCE_MS + NEWS_MS);
        for _ in 0..settling_ms / SETTLING_STEP_MS {
            self.pass(SETTLING_STEP_MS)?;
        }
        let rows = self.store.rows.targets.iter();
        let stored: Vec<_> = rows
            .map(|(id, row)| (id.clone(), row.body.clone()))
            .collect();
        for (index, daemon) in self.daemons.iter().enumerate() {
            let listed = daemon.listed(self.now_ms).into_iter();
            let listed: Vec<_> = listed.map(|(id, target)| (id, target.record)).collect();
            if listed != stored && cut_off != Some(index) {
                return Err(format!("daemon {index} lists {listed:?}, not {stored:?}"));
            }
            let document = daemon.config.as_ref().map(|(_, document)| document);
            if document != Some(&self.newest) {
                let newest = &self.newest;
                return Err(format!("daemon {index} uses {document:?}, not {newest:?}"));
            }
        }
        Ok(())
    }
}
