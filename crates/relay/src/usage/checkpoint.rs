//! The checkpoint that is written with each renewal of the lease.

use super::LoadedState;
use crate::{lease, state};

/// Largest size of a checkpoint: a row of the store holds 65,536 bytes, as base64 text.
const MAX_CHECKPOINT_BYTES: usize = 48_000;

/// Returns the checkpoint for a renewal of the lease; `None` if this daemon has not read the store
/// since it acquired the lease. If the counts of all windows do not fit, the newest are left out:
/// the daemons still have them.
pub fn encode<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    now_ms: u64,
) -> Option<Vec<u8>> {
    let usage = &state.usage;
    let LoadedState { tenure, era } = usage.loaded.get()?;
    if !is_held_since(&state.lease, tenure, now_ms) {
        return None;
    }
    let counts = usage.collector.borrow().checkpoint();
    let mut checkpoint = usage.ledger.borrow().complete_checkpoint(era, counts)?;
    loop {
        let encoded = postcard::to_stdvec(&checkpoint).ok()?;
        if encoded.len() <= MAX_CHECKPOINT_BYTES {
            return Some(encoded);
        }
        log::debug!("a checkpoint of {} bytes is too large", encoded.len());
        metrics::counter!("acaciabank_usage_checkpoints_cut_total").increment(1);
        checkpoint.windows.pop()?;
    }
}

/// Whether this daemon has held the lease since the given tenure began.
fn is_held_since(lease: &lease::LeaseState, tenure: u64, now_ms: u64) -> bool {
    lease.tenure() == tenure && lease.grant(now_ms).is_some()
}
