//! Types shared by acaciabank's processes: identifiers, execution verdicts, refusal reasons, HTTP
//! bodies and headers, settings and the messages between daemons.
//!
//! # Example
//!
//! A request that was written to a target's socket may have run, so it is retried only if it is
//! idempotent:
//!
//! ```
//! use acaciabank_protocol::verdict::Verdict;
//!
//! let verdict = Verdict::NotRun.combine(Verdict::MayHaveRun);
//! assert!(verdict.allows_retry(true));
//! assert!(!verdict.allows_retry(false));
//! ```

mod macros;

pub mod ids;
pub mod reason;
pub mod settings;
pub mod verdict;
pub mod wire;

/// Messages between daemons, generated from `schema/peer.capnp`.
#[allow(missing_docs, clippy::all, clippy::pedantic)]
#[path = "peer/peer_capnp.rs"]
pub mod peer_capnp;
