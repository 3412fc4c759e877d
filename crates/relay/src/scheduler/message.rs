//! Messages between daemons. Each is one UDP datagram, which may be lost.

use acaciabank_core::{load_shed, outlier, prefix};
use serde::{Deserialize, Serialize};

use crate::{gossip, rate_limit, trial, versions};

/// A request to choose the engines for a prompt.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// Random id of the request.
    pub id: u64,
    /// Service that the prompt is for.
    pub service: String,
    /// Hash of the requesting daemon's availability zone, used only to compare zones.
    pub zone_hash: u64,
    /// Length of the prompt.
    pub prompt_tokens: u64,
    /// Parts of the prompt, in order.
    pub parts: Vec<prefix::PromptPart>,
    /// Hashes of engines that have failed the request and are not chosen again.
    pub excluded: Vec<u64>,
    /// Hash of the engine that has processed the prompt already, if any.
    pub prefilled: Option<u64>,
    /// Hash of the software version that the engine which generates must have, if any.
    pub software: Option<u64>,
    /// Properties that decide whether the request is refused because of load.
    pub intake: load_shed::IntakeRequest,
    /// Hash of the name of the caller's team, if any.
    pub team: Option<u64>,
}

/// Hashes of the engines chosen for a prompt, and the times expected there.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct PlacedEngines {
    /// Engine that processes the prompt, if it is not the one that generates.
    pub prefill: Option<u64>,
    /// Engine that generates.
    pub decode: u64,
    /// Engine to fetch the KV cache of the prompt's beginning from.
    pub source: Option<u64>,
    /// Prompt tokens that have to be processed.
    pub uncached_tokens: u64,
    /// Expected time to the first token.
    pub first_token_ms: f64,
    /// Expected time until the prompt is processed.
    pub prompt_ms: f64,
    /// The part of `first_token_ms` that is spent waiting for other requests.
    pub wait_ms: f64,
    /// Time for which the KV cache transfer to the engine that generates occupies its link.
    pub transfer_ms: f64,
    /// Factor of the caller's team on the allowed wait.
    pub wait_factor: f64,
}

/// Response to a [`PlacementRequest`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct PlacementResponse {
    /// Id of the request.
    pub id: u64,
    /// Chosen engines; `None` if no engine accepts the prompt.
    pub engines: Option<PlacedEngines>,
}

/// Progress of prompts that a scheduler has placed, and outcomes seen at engines.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PlacementUpdate {
    /// Ids of requests whose prompt has been processed.
    pub prefill_ended: Vec<u64>,
    /// Ids of requests that have ended.
    pub ended: Vec<u64>,
    /// Hashes of engines, each with the outcome of a request there.
    pub outcomes: Vec<(u64, outlier::TargetOutcome)>,
}

/// A message between daemons.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerMessage {
    /// State of the sender; see [`gossip::PeerReport`].
    Report(Box<gossip::PeerReport>),
    /// See [`PlacementRequest`].
    Request(PlacementRequest),
    /// See [`PlacementResponse`].
    Response(PlacementResponse),
    /// See [`PlacementUpdate`].
    Update(PlacementUpdate),
    /// See [`trial::TrialRequest`].
    TrialRequest(trial::TrialRequest),
    /// See [`trial::TrialResponse`].
    TrialResponse(trial::TrialResponse),
    /// See [`trial::TrialEnd`].
    TrialEnd(trial::TrialEnd),
    /// See [`rate_limit::GrantQuestion`].
    GrantRequest(rate_limit::GrantQuestion),
    /// See [`rate_limit::GrantReply`].
    GrantResponse(rate_limit::GrantReply),
    /// See [`versions::RecordRequest`].
    RecordRequest(versions::RecordRequest),
    /// See [`versions::RecordResponse`].
    RecordResponse(versions::RecordResponse),
}
