//! The memory budget of a process for the bodies that it holds. The decisions are made by
//! [`acaciabank_core::body_memory`].

mod budget;
mod buffer;

pub use acaciabank_core::body_memory::{MemoryLimits, MemoryPart};
pub use budget::{MemoryBudget, MemoryReservation};
pub use buffer::{BodyBuffer, BufferError};
