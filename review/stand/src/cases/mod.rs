pub mod copied_refusal;
pub mod large_bodies;
pub mod unmarked_refusal;
pub mod crashing_part;
pub mod same_request;
