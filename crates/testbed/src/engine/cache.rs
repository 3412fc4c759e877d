//! Prefix cache of prompt pieces, and the events that report its changes, optionally delayed and
//! with gaps.

use std::{collections, time};

use acaciabank_protocol::wire;
use rand::{RngExt, SeedableRng, rngs};

/// Number of events kept for readers; older ones are dropped.
const MAX_EVENTS: usize = 10_000;

/// Cache of prompt pieces, identified by hash, that evicts the least recently used ones.
pub struct PrefixCache {
    max_pieces: usize,
    /// Logical time: the number of uses so far.
    clock: u64,
    /// Logical time of the last use of each piece.
    last_use: collections::HashMap<u64, u64>,
    /// Pieces by the logical time of their last use.
    by_last_use: collections::BTreeMap<u64, u64>,
    events: EventLog,
}

/// Delay and loss of published events.
#[derive(Clone, Copy, Debug)]
pub struct EventOptions {
    /// Time after which an event becomes visible to readers.
    pub delay: time::Duration,
    /// Probability that an event is dropped; its sequence number is still used.
    pub gap_probability: f64,
    /// Seed of the generator that selects the dropped events.
    pub seed: u64,
}

/// Published events, each with the time at which it becomes visible.
struct EventLog {
    options: EventOptions,
    rng: rngs::StdRng,
    sequence: u64,
    events: collections::VecDeque<(time::Instant, wire::CacheEvent)>,
}

impl EventLog {
    fn publish(&mut self, kind: wire::CacheEventKind, pieces: &[u64]) {
        if pieces.is_empty() {
            return;
        }
        self.sequence += 1;
        if self.rng.random::<f64>() < self.options.gap_probability {
            return;
        }
        let event = wire::CacheEvent {
            sequence: self.sequence,
            kind,
            pieces: pieces.iter().map(|piece| format!("{piece:016x}")).collect(),
        };
        let visible_at = time::Instant::now() + self.options.delay;
        self.events.push_back((visible_at, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}

impl PrefixCache {
    /// Creates an empty cache of at most `max_pieces` pieces.
    pub fn new(max_pieces: usize, options: EventOptions) -> Self {
        Self {
            max_pieces,
            clock: 0,
            last_use: Default::default(),
            by_last_use: Default::default(),
            events: EventLog {
                options,
                rng: rngs::StdRng::seed_from_u64(options.seed),
                sequence: 0,
                events: Default::default(),
            },
        }
    }

    /// Number of pieces in the cache.
    pub fn len(&self) -> usize {
        self.last_use.len()
    }

    /// Whether no piece is cached.
    pub fn is_empty(&self) -> bool {
        self.last_use.is_empty()
    }

    /// Returns the number of leading pieces that are cached, and marks these as used.
    pub fn match_prefix(&mut self, pieces: &[u64]) -> usize {
        let is_cached = |piece: &&u64| self.last_use.contains_key(piece);
        let matched = pieces.iter().take_while(is_cached).count();
        self.touch(&pieces[..matched]);
        matched
    }

    /// Adds the pieces of a processed prompt and evicts the least recently used pieces above the
    /// limit.
    pub fn store(&mut self, pieces: &[u64]) {
        let is_new = |piece: &&u64| !self.last_use.contains_key(piece);
        let stored: Vec<u64> = pieces.iter().filter(is_new).copied().collect();
        self.touch(pieces);
        self.events.publish(wire::CacheEventKind::Stored, &stored);
        let mut removed = Vec::new();
        while self.last_use.len() > self.max_pieces {
            let Some((_, piece)) = self.by_last_use.pop_first() else {
                break;
            };
            self.last_use.remove(&piece);
            removed.push(piece);
        }
        self.events.publish(wire::CacheEventKind::Removed, &removed);
    }

    /// Returns the visible events whose sequence number is greater than `after`.
    pub fn events_after(&self, after: u64) -> Vec<wire::CacheEvent> {
        let now = time::Instant::now();
        let events = self.events.events.iter();
        let visible = events.take_while(|(visible_at, _)| *visible_at <= now);
        let newer = visible.filter(|(_, event)| event.sequence > after);
        newer.map(|(_, event)| event.clone()).collect()
    }

    /// Marks pieces as used.
    fn touch(&mut self, pieces: &[u64]) {
        // The last piece gets the oldest time, so that a prefix is evicted after its continuations.
        for piece in pieces.iter().rev() {
            self.clock += 1;
            if let Some(previous_use) = self.last_use.insert(*piece, self.clock) {
                self.by_last_use.remove(&previous_use);
            }
            self.by_last_use.insert(self.clock, *piece);
        }
    }
}
