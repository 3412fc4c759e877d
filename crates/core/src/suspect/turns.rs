//! Turns of suspects that may crash targets for the same reason: identical requests, and those whose
//! prompts share a suspected part. Only one of them runs at a time over all daemons; otherwise each
//! daemon would retry its own before it hears of the crashes that the others cause.
//!
//! A daemon asks all others before it runs a suspect, and goes on when none holds it back. Waiting
//! requests are ordered by the stamp of a logical clock that advances with every question, so that
//! two daemons that ask each other never both go on.

use std::collections::HashMap;

/// Position of a waiting request in the order over all daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TurnStamp<'a> {
    /// Value of the daemon's logical clock when the request began to wait.
    pub clock: u64,
    /// Name of the daemon, which orders equal clocks.
    pub daemon: &'a str,
}

/// Identifies a request in a [`TurnTable`] from its arrival to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TurnTicket {
    fingerprint: u64,
    id: u64,
}

impl TurnTicket {
    /// Returns the fingerprint of the request.
    pub fn fingerprint(self) -> u64 {
        self.fingerprint
    }
}

/// What a request is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TurnPhase {
    /// Neither running nor waiting for a turn.
    Idle,
    /// Running at a target.
    Running,
    /// Waiting for a turn since the clock had this value.
    Waiting(u64),
}

#[derive(Clone, Debug)]
struct TurnEntry {
    id: u64,
    phase: TurnPhase,
    /// Suspected parts of the request's prompt; empty for a request that is no suspect.
    parts: Vec<u64>,
}

impl TurnEntry {
    /// Whether a suspect waits for this request, given whether it has an earlier stamp than the
    /// suspect.
    fn holds_back(&self, is_earlier: impl Fn(u64) -> bool) -> bool {
        match self.phase {
            TurnPhase::Idle => false,
            TurnPhase::Running => true,
            TurnPhase::Waiting(clock) => is_earlier(clock),
        }
    }
}

/// The requests of one daemon, by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct TurnTable {
    entries: HashMap<u64, Vec<TurnEntry>>,
    /// Suspects by suspected part of the prompt.
    suspects: HashMap<u64, Vec<TurnTicket>>,
    next_id: u64,
    clock: u64,
}

impl TurnTable {
    /// Adds a request, which does not run yet.
    pub fn enter(&mut self, fingerprint: u64) -> TurnTicket {
        let id = self.next_id;
        self.next_id += 1;
        let phase = TurnPhase::Idle;
        let entries = self.entries.entry(fingerprint).or_default();
        let parts = Vec::new();
        entries.push(TurnEntry { id, phase, parts });
        TurnTicket { fingerprint, id }
    }

    /// Removes a request that has ended.
    pub fn leave(&mut self, ticket: TurnTicket) {
        self.set_suspected(ticket, Vec::new());
        let Some(entries) = self.entries.get_mut(&ticket.fingerprint) else {
            return;
        };
        entries.retain(|entry| entry.id != ticket.id);
        if entries.is_empty() {
            self.entries.remove(&ticket.fingerprint);
        }
    }

    /// Records that a request runs at a target.
    pub fn start(&mut self, ticket: TurnTicket) {
        self.set_phase(ticket, TurnPhase::Running);
    }

    /// Records that a request no longer runs and does not wait.
    pub fn stop(&mut self, ticket: TurnTicket) {
        self.set_phase(ticket, TurnPhase::Idle);
    }

    /// Lets a request wait for its turn and returns the clock of its stamp. A request that waits
    /// already keeps its stamp.
    pub fn wait(&mut self, ticket: TurnTicket) -> u64 {
        let entries = self.entries.get(&ticket.fingerprint).into_iter().flatten();
        for entry in entries {
            if let (true, TurnPhase::Waiting(clock)) = (entry.id == ticket.id, entry.phase) {
                return clock;
            }
        }
        self.clock += 1;
        self.set_phase(ticket, TurnPhase::Waiting(self.clock));
        self.clock
    }

    /// Whether a request waits for its turn.
    pub fn is_waiting(&self, ticket: TurnTicket) -> bool {
        let entries = self.entries.get(&ticket.fingerprint).into_iter().flatten();
        let own = entries.clone().find(|entry| entry.id == ticket.id);
        matches!(own.map(|entry| entry.phase), Some(TurnPhase::Waiting(_)))
    }

    /// Sets the suspected parts of a request's prompt. Suspects that share one run one at a time, like
    /// identical ones.
    pub fn set_suspected(&mut self, ticket: TurnTicket, parts: Vec<u64>) {
        let entries = self.entries.get_mut(&ticket.fingerprint);
        let mut entries = entries.into_iter().flatten();
        let Some(entry) = entries.find(|entry| entry.id == ticket.id) else {
            return;
        };
        if entry.parts == parts {
            return;
        }
        let former = std::mem::replace(&mut entry.parts, parts.clone());
        for part in former {
            let tickets = self.suspects.entry(part).or_default();
            tickets.retain(|other| *other != ticket);
            if tickets.is_empty() {
                self.suspects.remove(&part);
            }
        }
        for part in parts {
            self.suspects.entry(part).or_default().push(ticket);
        }
    }

    /// Returns the suspected parts of a request's prompt.
    pub fn suspected(&self, ticket: TurnTicket) -> &[u64] {
        let entry = self.entry(ticket);
        entry.map_or(&[], |entry| entry.parts.as_slice())
    }

    /// Whether another request of this daemon, which is identical or shares a suspected part, runs or
    /// waits with an earlier stamp.
    pub fn is_held_back(&self, ticket: TurnTicket) -> bool {
        let Some(own) = self.entry(ticket) else {
            return false;
        };
        let TurnPhase::Waiting(own_clock) = own.phase else {
            return false;
        };
        let mut others = self.concerned(ticket.fingerprint, &own.parts);
        others.any(|entry| entry.id != ticket.id && entry.holds_back(|clock| clock < own_clock))
    }

    /// Answers another daemon that asks whether its waiting request, with these suspected parts, may
    /// run: whether a request of this daemon, whose name is `own_daemon`, holds it back.
    pub fn holds_back(
        &mut self,
        fingerprint: u64,
        parts: &[u64],
        other: TurnStamp<'_>,
        own_daemon: &str,
    ) -> bool {
        // A request that begins to wait after this answer comes after the other one.
        self.advance_clock(other.clock);
        let daemon = own_daemon;
        let is_earlier = |clock| TurnStamp { clock, daemon } < other;
        let mut entries = self.concerned(fingerprint, parts);
        entries.any(|entry| entry.holds_back(is_earlier))
    }

    /// Returns the requests with a fingerprint and the suspects with any of the given parts.
    fn concerned(&self, fingerprint: u64, parts: &[u64]) -> impl Iterator<Item = &TurnEntry> {
        let identical = self.entries.get(&fingerprint).into_iter().flatten();
        let suspects = parts.iter().filter_map(|part| self.suspects.get(part));
        let suspects = suspects.flatten();
        identical.chain(suspects.filter_map(|ticket| self.entry(*ticket)))
    }

    fn entry(&self, ticket: TurnTicket) -> Option<&TurnEntry> {
        let mut entries = self.entries.get(&ticket.fingerprint)?.iter();
        entries.find(|entry| entry.id == ticket.id)
    }

    /// Returns the logical clock.
    pub fn clock(&self) -> u64 {
        self.clock
    }

    /// Moves the logical clock to at least `clock`, which another daemon has reached.
    pub fn advance_clock(&mut self, clock: u64) {
        self.clock = self.clock.max(clock);
    }

    fn set_phase(&mut self, ticket: TurnTicket, phase: TurnPhase) {
        let entries = self.entries.get_mut(&ticket.fingerprint);
        let mut entries = entries.into_iter().flatten();
        if let Some(entry) = entries.find(|entry| entry.id == ticket.id) {
            entry.phase = phase;
        }
    }
}
