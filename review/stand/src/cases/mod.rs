pub mod copied_refusal;
pub mod crashing_part;
pub mod large_bodies;
pub mod same_request;
pub mod unmarked_refusal;
