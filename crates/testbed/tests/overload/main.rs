//! Clients outside the limits must not end a process or take it past the memory and descriptors that
//! its settings give it, and ordinary callers must get answers beside them. Nothing here depends on
//! the speed of the machine.

mod checks;
mod daemon;
#[path = "../relay/fixture.rs"]
#[allow(
    dead_code,
    reason = "the tests of the relay use the rest of the fixture"
)]
mod fixture;
mod relay;
