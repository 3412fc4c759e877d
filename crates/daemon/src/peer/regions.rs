//! Exchange of a few entries with daemons of other regions. Addresses for callers and configuration
//! versions thus cross regions at a cost that does not depend on the regions' sizes.

use std::{collections, rc::Rc, time};

use acaciabank_core::member::{MemberEntry, MemberTable};
use acaciabank_protocol::ids;
use tokio::task::spawn_local;

use super::{
    client::{self, ReceivedEntries},
    digest::Digest,
    link::PeerLink,
    node::PeerNode,
};

/// Ticks between two exchanges, each with the contact whose heartbeat is the oldest.
const EXCHANGE_TICKS: u32 = 2;

impl PeerNode {
    /// Returns the entries for a daemon of another region; this daemon's entry gets a new sequence
    /// number.
    pub(super) fn entries_for_region(&self, now: time::Instant) -> ReceivedEntries {
        let mut table = self.table.borrow_mut();
        table.respond_to_probe(now);
        table.entries_for_region(&mut *self.rng.borrow_mut(), now)
    }

    pub(super) fn exchange_if_due(self: &Rc<Self>, now: time::Instant) {
        if !self.ticks.get().is_multiple_of(EXCHANGE_TICKS) {
            return;
        }
        let contact = self.table.borrow().contacts(now).into_iter().next();
        if let Some(link) = contact.and_then(|daemon| self.link(&daemon)) {
            self.exchange(link, now);
        }
    }

    /// Exchanges entries with one contact of each other region at once, because this daemon's entry
    /// changed.
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

    /// Records the region of a seed that is in another region. The first entry of a response to a
    /// pull is that of the responding daemon.
    pub(super) fn record_seed_region(&self, daemon: &ids::DaemonId, entries: &[MemberEntry]) {
        let own_region = &self.state.settings.region;
        if let Some(entry) = entries.first()
            && entry.daemon == *daemon
            && entry.region != *own_region
        {
            let mut seeds = self.foreign_seeds.borrow_mut();
            seeds.insert(daemon.clone(), entry.region.clone());
        }
    }

    /// Returns whether a seed is in another region of which a contact is already known.
    pub(super) fn is_redundant_seed(&self, daemon: &ids::DaemonId, table: &MemberTable) -> bool {
        let seeds = self.foreign_seeds.borrow();
        let region = seeds.get(daemon);
        region.is_some_and(|region| table.has_contact(region, time::Instant::now()))
    }
}
