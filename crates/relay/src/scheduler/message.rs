//! Messages between daemons. Each is one datagram, which may be lost.

use acaciabank_core::{judge, parts, refuse};
use serde::{Deserialize, Serialize};

use crate::gossip;

/// A question for the engines of a prompt.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// Random number of the question.
    pub id: u64,
    /// Service.
    pub service: String,
    /// Availability zone of the daemon that asks, as a number that only serves to compare.
    pub zone: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Parts of the prompt.
    pub parts: Vec<parts::PromptPart>,
    /// Short names of engines that have failed the request.
    pub avoided: Vec<u64>,
    /// Short name of the engine that has processed the prompt.
    pub prefilled: Option<u64>,
    /// Terms by which the request is refused.
    pub terms: refuse::IntakeTerms,
}

/// Engines of a prompt, by their short names.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct PlacedEngines {
    /// Engine that processes the prompt for another one.
    pub prefill: Option<u64>,
    /// Engine that generates.
    pub decode: u64,
    /// Engine that holds the beginning of the prompt.
    pub source: Option<u64>,
    /// Prompt tokens that have to be processed.
    pub uncached_tokens: u64,
    /// Expected time to the first token.
    pub first_token_ms: f64,
    /// Expected time until the prompt is processed.
    pub prompt_ms: f64,
    /// The part of the time to the first token that other requests cause.
    pub wait_ms: f64,
}

/// An answer to a question.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct PlacementResponse {
    /// Number of the question.
    pub id: u64,
    /// The engines, unless none accepts work.
    pub engines: Option<PlacedEngines>,
}

/// What became of prompts that a scheduler has placed.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PlacementUpdate {
    /// Numbers of questions whose prompt has been processed.
    pub started: Vec<u64>,
    /// Numbers of questions whose work has ended.
    pub ended: Vec<u64>,
    /// Short names of engines and what requests saw there.
    pub outcomes: Vec<(u64, judge::TargetOutcome)>,
}

/// A message between daemons.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerMessage {
    /// State of the sender.
    Report(Box<gossip::PeerReport>),
    /// See [`PlacementRequest`].
    Request(PlacementRequest),
    /// See [`PlacementResponse`].
    Response(PlacementResponse),
    /// See [`PlacementUpdate`].
    Update(PlacementUpdate),
}
