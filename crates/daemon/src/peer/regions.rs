//! Exchange with daemons of other regions: a few entries of each, so that callers and the
//! configuration cross regions at a cost that does not depend on their sizes.

use std::{collections, rc::Rc, time};

use acaciabank_core::member::{MemberEntry, MemberTable};
use acaciabank_protocol::ids;
use tokio::task::spawn_local;

use super::{
    client::{self, HeldEntries},
    digest::Digest,
    link::PeerLink,
    node::PeerNode,
};

/// Ticks between two exchanges; the contacts in the other regions take turns.
const EXCHANGE_TICKS: u32 = 2;

impl PeerNode {
    /// Entries for a daemon of another region, the own one under a new sequence number.
    pub(super) fn entries_for_region(&self, now: time::Instant) -> HeldEntries {
        let mut table = self.table.borrow_mut();
        table.answer_probe(now);
        table.entries_for_region(&mut *self.generator.borrow_mut(), now)
    }

    pub(super) fn exchange_in_turn(self: &Rc<Self>, now: time::Instant) {
        if !self.ticks.get().is_multiple_of(EXCHANGE_TICKS) {
            return;
        }
        let contact = self.table.borrow().contacts(now).into_iter().next();
        if let Some(link) = contact.and_then(|daemon| self.link(&daemon)) {
            self.exchange(link, now);
        }
    }

    /// Tells one contact of each other region at once that the own entry changed.
    pub(super) fn announce_to_regions(self: &Rc<Self>, now: time::Instant) {
        let contacts = self.table.borrow().contacts(now);
        let mut regions = collections::BTreeSet::new();
        for daemon in contacts {
            let region = {
                let table = self.table.borrow();
                table.entry(&daemon).map(|entry| entry.region.clone())
            };
            if region.is_some_and(|region| regions.insert(region))
                && let Some(link) = self.link(&daemon)
            {
                self.exchange(link, now);
            }
        }
    }

    fn exchange(self: &Rc<Self>, link: Rc<PeerLink>, now: time::Instant) {
        let entries = self.entries_for_region(now);
        let node = Rc::clone(self);
        spawn_local(async move {
            match client::exchange(&link, &entries).await {
                Ok(received) => node.apply(received, &Digest::default(), 0),
                Err(error) => {
                    log::debug!("exchange with daemon {} failed: {error}", link.daemon);
                    node.table.borrow_mut().drop_contact(&link.daemon);
                    node.publish_members();
                }
            }
        });
    }

    /// Remembers the region of a daemon of the settings; the first entry of an answer is its own.
    pub(super) fn note_seed_region(&self, daemon: &ids::DaemonId, entries: &[MemberEntry]) {
        let own_region = &self.state.settings.region;
        if let Some(entry) = entries.first()
            && entry.daemon == *daemon
            && entry.region != *own_region
        {
            let mut seeds = self.foreign_seeds.borrow_mut();
            seeds.insert(daemon.clone(), entry.region.clone());
        }
    }

    /// Whether a daemon of the settings is in a region that contacts are known of.
    pub(super) fn is_needless_seed(&self, daemon: &ids::DaemonId, table: &MemberTable) -> bool {
        let seeds = self.foreign_seeds.borrow();
        let region = seeds.get(daemon);
        region.is_some_and(|region| table.has_contact(region, time::Instant::now()))
    }
}
