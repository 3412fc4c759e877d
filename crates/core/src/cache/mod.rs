//! Index of the prompt pieces that are believed to be in the targets' prefix caches. Cache events
//! arrive late and with gaps, so each entry is an estimate and expires.

use std::collections::{HashMap, HashSet};

/// Age at which an entry expires. A piece that has not been reported for this long has probably
/// been evicted from the engine's limited cache and the removal event was lost.
pub const ENTRY_LIFETIME_MS: u64 = 600_000;
/// Limits the pieces indexed per target, so that lost removal events cannot grow the index.
const MAX_TARGET_PIECES: usize = 20_000;

/// Maps pieces to the targets that hold them. Pieces and targets are identified by their hashes.
#[derive(Clone, Debug, Default)]
pub struct PieceIndex {
    holders: HashMap<u64, Vec<Holder>>,
    pieces: HashMap<u32, HashSet<u64>>,
}

/// A target that holds a piece.
#[derive(Clone, Copy, Debug)]
struct Holder {
    target_hash: u32,
    stored_ms: u64,
}

/// Longest prefix of a prompt that is known to be cached at one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixMatch {
    /// Hash of the target's name.
    pub target_hash: u32,
    /// Number of cached pieces, counted from the start of the prompt.
    pub pieces: u32,
}

impl PieceIndex {
    /// Records that a target stores a piece. A new piece is ignored once the index holds the
    /// maximum number of pieces for the target.
    pub fn store(&mut self, target_hash: u32, piece: u64, now_ms: u64) {
        let pieces = self.pieces.entry(target_hash).or_default();
        if pieces.len() >= MAX_TARGET_PIECES && !pieces.contains(&piece) {
            return;
        }
        pieces.insert(piece);
        let holders = self.holders.entry(piece).or_default();
        match holders
            .iter_mut()
            .find(|holder| holder.target_hash == target_hash)
        {
            Some(holder) => holder.stored_ms = now_ms,
            None => holders.push(Holder {
                target_hash,
                stored_ms: now_ms,
            }),
        }
    }

    /// Records that a target has removed a piece from its cache.
    pub fn remove(&mut self, target_hash: u32, piece: u64) {
        if let Some(pieces) = self.pieces.get_mut(&target_hash) {
            pieces.remove(&piece);
        }
        self.remove_holder(target_hash, piece);
    }

    /// Removes all pieces of a target, after a gap in its events, a restart or its removal.
    pub fn reset(&mut self, target_hash: u32) {
        for piece in self.pieces.remove(&target_hash).unwrap_or_default() {
            self.remove_holder(target_hash, piece);
        }
    }

    /// Removes expired entries.
    pub fn expire(&mut self, now_ms: u64) {
        let pieces = &mut self.pieces;
        self.holders.retain(|piece, holders| {
            holders.retain(|holder| {
                let fresh = is_fresh(holder, now_ms);
                if !fresh && let Some(known) = pieces.get_mut(&holder.target_hash) {
                    known.remove(piece);
                }
                fresh
            });
            !holders.is_empty()
        });
    }

    /// Finds the longest cached prefix at each target that holds the first piece. The result
    /// replaces the content of `matches` and is sorted by the target's hash.
    pub fn find(&self, hashes: &[u64], now_ms: u64, matches: &mut Vec<PrefixMatch>) {
        matches.clear();
        for (position, piece) in hashes.iter().enumerate() {
            let Some(holders) = self.holders.get(piece) else {
                break;
            };
            let fresh = holders.iter().filter(|holder| is_fresh(holder, now_ms));
            let mut extended = false;
            for holder in fresh {
                if position == 0 {
                    matches.push(PrefixMatch {
                        target_hash: holder.target_hash,
                        pieces: 1,
                    });
                    extended = true;
                    continue;
                }
                let known = matches.iter_mut().find(|known| {
                    known.target_hash == holder.target_hash && known.pieces as usize == position
                });
                if let Some(known) = known {
                    known.pieces += 1;
                    extended = true;
                }
            }
            if !extended {
                break;
            }
        }
        matches.sort_unstable_by_key(|found| found.target_hash);
    }

    fn remove_holder(&mut self, target_hash: u32, piece: u64) {
        if let Some(holders) = self.holders.get_mut(&piece) {
            holders.retain(|holder| holder.target_hash != target_hash);
            if holders.is_empty() {
                self.holders.remove(&piece);
            }
        }
    }
}

fn is_fresh(holder: &Holder, now_ms: u64) -> bool {
    now_ms.saturating_sub(holder.stored_ms) < ENTRY_LIFETIME_MS
}

/// Number of matched pieces of a target in the sorted result of [`PieceIndex::find`].
pub fn matched_pieces(matches: &[PrefixMatch], target_hash: u32) -> u32 {
    match matches.binary_search_by_key(&target_hash, |found| found.target_hash) {
        Ok(position) => matches[position].pieces,
        Err(_) => 0,
    }
}
