//! Tests of the relay with the platform emulator. Guarantees are checked against the journals of
//! the runners and the responses that callers received.

mod call_outcome;
mod capacity;
mod crashing_parts;
mod crashing_requests;
mod early_answers;
mod faulty_targets;
mod fixture;
mod guarantees;
mod handover;
mod lifecycle;
mod losses;
mod peers;
mod rate_limits;
mod raw_request;
mod restarts;
mod returns;
mod silences;
mod soak;
mod software_versions;
mod stop_deadlines;
mod stop_soak;
mod stops;
mod streams;
mod target_signals;
mod teams;
mod usage;
