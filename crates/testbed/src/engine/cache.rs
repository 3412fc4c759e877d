//! Prefix cache in pieces, and the events that report its changes late and with gaps.

use std::{collections, time};

use acaciabank_protocol::wire;
use rand::{RngExt, SeedableRng, rngs};

/// Events kept for readers that are behind.
const MAX_EVENTS: usize = 10_000;

/// Least recently used pieces leave first.
pub struct PrefixCache {
    limit: usize,
    clock: u64,
    last_use: collections::HashMap<u64, u64>,
    by_use: collections::BTreeMap<u64, u64>,
    events: EventLog,
}

/// How events are published.
#[derive(Clone, Copy, Debug)]
pub struct EventOptions {
    /// Delay of an event.
    pub delay: time::Duration,
    /// Probability that an event is missing.
    pub gap_probability: f64,
    /// Seed of the gaps.
    pub seed: u64,
}

struct EventLog {
    options: EventOptions,
    random: rngs::StdRng,
    sequence: u64,
    events: collections::VecDeque<(time::Instant, wire::CacheEvent)>,
}

impl EventLog {
    fn publish(&mut self, kind: wire::CacheEventKind, pieces: &[u64]) {
        if pieces.is_empty() {
            return;
        }
        self.sequence += 1;
        if self.random.random::<f64>() < self.options.gap_probability {
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
    /// An empty cache for `limit` pieces.
    pub fn new(limit: usize, options: EventOptions) -> Self {
        Self {
            limit,
            clock: 0,
            last_use: Default::default(),
            by_use: Default::default(),
            events: EventLog {
                options,
                random: rngs::StdRng::seed_from_u64(options.seed),
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

    /// Number of leading pieces that are cached; they count as used.
    pub fn match_prefix(&mut self, pieces: &[u64]) -> usize {
        let is_cached = |piece: &&u64| self.last_use.contains_key(piece);
        let matched = pieces.iter().take_while(is_cached).count();
        self.touch(&pieces[..matched]);
        matched
    }

    /// Adds the pieces of a processed prompt and removes the least recently used ones.
    pub fn store(&mut self, pieces: &[u64]) {
        let is_new = |piece: &&u64| !self.last_use.contains_key(piece);
        let stored: Vec<u64> = pieces.iter().filter(is_new).copied().collect();
        self.touch(pieces);
        self.events.publish(wire::CacheEventKind::Stored, &stored);
        let mut removed = Vec::new();
        while self.last_use.len() > self.limit {
            let Some((_, piece)) = self.by_use.pop_first() else {
                break;
            };
            self.last_use.remove(&piece);
            removed.push(piece);
        }
        self.events.publish(wire::CacheEventKind::Removed, &removed);
    }

    /// Events after a sequence number that are visible by now.
    pub fn events_after(&self, after: u64) -> Vec<wire::CacheEvent> {
        let now = time::Instant::now();
        let events = self.events.events.iter();
        let visible = events.take_while(|(visible_at, _)| *visible_at <= now);
        let newer = visible.filter(|(_, event)| event.sequence > after);
        newer.map(|(_, event)| event.clone()).collect()
    }

    fn touch(&mut self, pieces: &[u64]) {
        // The last piece is the oldest use, so that prefixes outlive their continuations.
        for piece in pieces.iter().rev() {
            self.clock += 1;
            if let Some(earlier) = self.last_use.insert(*piece, self.clock) {
                self.by_use.remove(&earlier);
            }
            self.by_use.insert(self.clock, *piece);
        }
    }
}
