//! Reasons for refusals and retries, and the HTTP response of a refusal.

use crate::{ids, value_type, verdict};

macro_rules! refusal_reasons {
    ($(
        $(#[$meta:meta])*
        $name:ident => $text:literal, $status:literal, $retry_after:literal;
    )*) => {
        value_type!(
            /// Why a request was refused or failed.
            pub enum RefusalReason {
                $($(#[$meta])* $name,)*
            }
        );

        impl RefusalReason {
            /// Every reason. Used to register metrics at zero and to check the documentation.
            pub const ALL: &'static [RefusalReason] = &[$(RefusalReason::$name,)*];

            /// Returns the value used in JSON and in metric labels.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(RefusalReason::$name => $text,)*
                }
            }

            /// Returns the HTTP status of the refusal.
            pub fn status(self) -> u16 {
                match self {
                    $(RefusalReason::$name => $status,)*
                }
            }

            /// Whether the response carries a `retry-after` header.
            pub fn has_retry_after(self) -> bool {
                match self {
                    $(RefusalReason::$name => $retry_after,)*
                }
            }
        }
    };
}

refusal_reasons! {
    /// The request is malformed.
    BadRequest => "bad_request", 400, false;
    /// The body is larger than `max_body_bytes`.
    BodyTooLarge => "body_too_large", 413, false;
    /// The body did not arrive in time.
    BodyTimeout => "body_timeout", 408, true;
    /// The head is larger than `max_header_bytes`.
    HeadersTooLarge => "headers_too_large", 431, false;
    /// No such model in the inventory.
    UnknownModel => "unknown_model", 404, false;
    /// No such service in the inventory.
    UnknownService => "unknown_service", 404, false;
    /// No such path, or no response stored under this request id for this team.
    NotFound => "not_found", 404, false;
    /// The rules declare the request non-idempotent and it has no idempotency key.
    KeyRequired => "key_required", 400, false;
    /// The request carries no valid API key.
    Unauthorized => "unauthorized", 401, false;
    /// The API key does not permit this request.
    Forbidden => "forbidden", 403, false;
    /// The idempotency key was used before with another body.
    KeyReused => "key_reused", 422, false;
    /// Another request with this idempotency key is running.
    KeyInProgress => "key_in_progress", 409, true;
    /// The outcome of an earlier request with this idempotency key is unknown.
    KeyUnresolved => "key_unresolved", 409, false;
    /// The table service cannot record the idempotency key.
    TableUnavailable => "table_unavailable", 503, true;
    /// The request cannot finish before its deadline.
    DeadlineInfeasible => "deadline_infeasible", 504, true;
    /// The deadline passed before the response was complete.
    DeadlinePassed => "deadline_passed", 504, true;
    /// The team exceeds its fair share while targets are saturated.
    TeamOverShare => "team_over_share", 429, true;
    /// The queue or the memory for bodies is full.
    Overloaded => "overloaded", 503, true;
    /// The daemon's retry budget is exhausted.
    RetryBudgetSpent => "retry_budget_spent", 503, true;
    /// No target is available for the request.
    NoTarget => "no_target", 503, true;
    /// The daemon has not received a configuration yet.
    NotReady => "not_ready", 503, true;
    /// The daemon is shutting down.
    ShuttingDown => "shutting_down", 503, true;
    /// The target failed to serve the request.
    TargetFailed => "target_failed", 502, true;
    /// The target did not respond in time.
    TargetTimeout => "target_timeout", 504, true;
    /// Requests with this fingerprint crashed their targets.
    SuspectRequest => "suspect_request", 422, false;
}

value_type!(
    /// Why a request was sent again after a failed attempt.
    pub enum RetryReason {
        /// No connection to the target could be opened.
        ConnectFailed,
        /// The connection broke before the request was written.
        NotWritten,
        /// The connection broke after the request was written; the request is idempotent.
        ConnectionBroken,
        /// The target left or asked for a pause before the request was written.
        TargetUnavailable,
        /// The target refused the request before running it.
        TargetRefused,
        /// The response stream broke and is resumed at another target.
        StreamResumed,
        /// The response carried the id of another attempt.
        #[serde(rename = "crossed_answer")]
        MismatchedResponse,
        /// The first token did not arrive in time.
        FirstTokenTimeout,
    }
);

impl RetryReason {
    /// Returns the value used in metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            RetryReason::ConnectFailed => "connect_failed",
            RetryReason::NotWritten => "not_written",
            RetryReason::ConnectionBroken => "connection_broken",
            RetryReason::TargetUnavailable => "target_unavailable",
            RetryReason::TargetRefused => "target_refused",
            RetryReason::StreamResumed => "stream_resumed",
            RetryReason::MismatchedResponse => "crossed_answer",
            RetryReason::FirstTokenTimeout => "first_token_timeout",
        }
    }
}

/// A refusal or failure that is reported to the caller.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}: {message}", reason.as_str())]
pub struct Refusal {
    /// Machine-readable reason.
    pub reason: RefusalReason,
    /// Whether the request may have run.
    pub verdict: verdict::Verdict,
    /// Human-readable explanation, one sentence.
    pub message: String,
    /// Seconds after which the caller may try again; absent where waiting does not help.
    pub retry_after_s: Option<u32>,
}

impl Refusal {
    /// Creates a refusal of a request that no target has run.
    pub fn not_run(reason: RefusalReason, message: impl Into<String>) -> Self {
        Self::with_verdict(reason, verdict::Verdict::NotRun, message)
    }

    /// Creates a refusal with the combined verdict of the attempts made.
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

    /// Returns the JSON body of the refusal.
    pub fn to_json(&self, request: Option<&ids::RequestId>) -> serde_json::Value {
        serde_json::json!({"error": {
            "reason": self.reason.as_str(),
            "verdict": self.verdict.as_str(),
            "message": self.message,
            "request_id": request.map(ids::RequestId::as_str),
        }})
    }
}
