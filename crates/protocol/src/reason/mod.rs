//! Reasons for refusals and retries, and their HTTP form.

use crate::{ids, value_type, verdict};

macro_rules! reasons {
    ($($(#[$meta:meta])* $name:ident => $text:literal, $status:literal, $wait:literal;)*) => {
        value_type!(
            /// Why a request was refused or failed.
            pub enum RefusalReason {
                $($(#[$meta])* $name,)*
            }
        );

        impl RefusalReason {
            /// Every reason, for documentation and for metrics that start at zero.
            pub const ALL: &'static [RefusalReason] = &[$(RefusalReason::$name,)*];

            /// The value used in JSON and in metric labels.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(RefusalReason::$name => $text,)*
                }
            }

            /// HTTP status of the refusal.
            pub fn status(self) -> u16 {
                match self {
                    $(RefusalReason::$name => $status,)*
                }
            }

            /// Whether the answer carries `retry-after`.
            pub fn has_retry_after(self) -> bool {
                match self {
                    $(RefusalReason::$name => $wait,)*
                }
            }
        }
    };
}

reasons! {
    /// The request cannot be read.
    BadRequest => "bad_request", 400, false;
    /// The body is larger than `max_body_bytes`.
    BodyTooLarge => "body_too_large", 413, false;
    /// The head is larger than `max_header_bytes`.
    HeadersTooLarge => "headers_too_large", 431, false;
    /// No such model in the inventory.
    UnknownModel => "unknown_model", 404, false;
    /// No such service in the inventory.
    UnknownService => "unknown_service", 404, false;
    /// No such path, or no answer under this request id for this team.
    NotFound => "not_found", 404, false;
    /// The rules name the request as non-idempotent and it has no idempotency key.
    KeyRequired => "key_required", 400, false;
    /// No valid caller key.
    Unauthorized => "unauthorized", 401, false;
    /// The key does not allow this call.
    Forbidden => "forbidden", 403, false;
    /// The idempotency key was used with another body.
    KeyReused => "key_reused", 422, false;
    /// Another call with this key is running.
    KeyInProgress => "key_in_progress", 409, true;
    /// An earlier call with this key has no known outcome.
    KeyUnresolved => "key_unresolved", 409, false;
    /// The table service cannot record the key.
    TableUnavailable => "table_unavailable", 503, true;
    /// The request cannot finish before its deadline.
    DeadlineInfeasible => "deadline_infeasible", 504, true;
    /// The deadline passed.
    DeadlinePassed => "deadline_passed", 504, true;
    /// The team is over its fair share while targets are saturated.
    TeamOverShare => "team_over_share", 429, true;
    /// The queue is full.
    Overloaded => "overloaded", 503, true;
    /// The retry budget is spent.
    RetryBudgetSpent => "retry_budget_spent", 503, true;
    /// No target can take the request.
    NoTarget => "no_target", 503, true;
    /// The daemon has not learned a configuration yet.
    NotReady => "not_ready", 503, true;
    /// The daemon is shutting down.
    ShuttingDown => "shutting_down", 503, true;
    /// The target failed.
    TargetFailed => "target_failed", 502, true;
    /// The target did not answer in time.
    TargetTimeout => "target_timeout", 504, true;
    /// Requests with this fingerprint crashed their targets.
    SuspectRequest => "suspect_request", 422, false;
}

value_type!(
    /// Why an attempt was followed by another one.
    pub enum RetryReason {
        /// No connection to the target.
        ConnectFailed,
        /// The connection broke before the request was written.
        NotWritten,
        /// The connection broke after the request was written; the request is idempotent.
        ConnectionBroken,
        /// The target refused before running.
        TargetRefused,
        /// The stream broke and goes on at another target.
        StreamResumed,
        /// The answer carried another attempt's id.
        #[serde(rename = "crossed_answer")]
        MismatchedResponse,
        /// No first token in time.
        FirstTokenTimeout,
    }
);

impl RetryReason {
    /// The value used in metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            RetryReason::ConnectFailed => "connect_failed",
            RetryReason::NotWritten => "not_written",
            RetryReason::ConnectionBroken => "connection_broken",
            RetryReason::TargetRefused => "target_refused",
            RetryReason::StreamResumed => "stream_resumed",
            RetryReason::MismatchedResponse => "crossed_answer",
            RetryReason::FirstTokenTimeout => "first_token_timeout",
        }
    }
}

/// A refusal or failure as the caller sees it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}: {message}", reason.as_str())]
pub struct Refusal {
    /// Machine-readable reason.
    pub reason: RefusalReason,
    /// Whether the request may have run.
    pub verdict: verdict::Verdict,
    /// One sentence for people.
    pub message: String,
    /// Seconds to wait before trying again, where waiting helps.
    pub retry_after_s: Option<u32>,
}

impl Refusal {
    /// A refusal of a request that no target has run.
    pub fn not_run(reason: RefusalReason, message: impl Into<String>) -> Self {
        Self::with_verdict(reason, verdict::Verdict::NotRun, message)
    }

    /// A refusal with the verdict of the attempts made.
    pub fn with_verdict(
        reason: RefusalReason,
        verdict: verdict::Verdict,
        message: impl Into<String>,
    ) -> Self {
        Self {
            reason,
            verdict,
            message: message.into(),
            retry_after_s: reason.has_retry_after().then_some(1),
        }
    }

    /// The JSON body of the refusal.
    pub fn to_json(&self, request: Option<&ids::RequestId>) -> serde_json::Value {
        serde_json::json!({"error": {
            "reason": self.reason.as_str(),
            "verdict": self.verdict.as_str(),
            "message": self.message,
            "request_id": request.map(ids::RequestId::as_str),
        }})
    }
}
