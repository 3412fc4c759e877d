//! Answers of the system itself, and the bodies of all answers.

use std::io;

use acaciabank_protocol::verdict::Verdict;
use bytes::Bytes;
use http_body_util::{Either, Full, StreamBody};
use hyper::body::Frame;

use crate::telemetry::{self, RefusalCause};

/// Parts of a streamed body, in order. An error breaks the connection off, so that an incomplete
/// stream does not look complete.
pub type EventStream = futures::stream::LocalBoxStream<'static, Result<Frame<Bytes>, io::Error>>;
/// Body of an answer.
pub type RelayBody = Either<Full<Bytes>, StreamBody<EventStream>>;
/// An answer.
pub type Reply = http::Response<RelayBody>;

/// An answer of the system itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusalResponse {
    /// Why.
    pub cause: RefusalCause,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Time after which the caller may come back.
    pub retry_after_ms: Option<u64>,
}

impl RefusalResponse {
    /// A refusal of a request that no target has run.
    pub fn not_run(cause: RefusalCause) -> Self {
        Self {
            cause,
            verdict: Verdict::NotRun,
            retry_after_ms: default_retry_ms(cause),
        }
    }

    /// A refusal after attempts with the given verdict.
    pub fn after(cause: RefusalCause, verdict: Verdict) -> Self {
        match verdict {
            Verdict::NotRun => Self::not_run(cause),
            verdict => Self {
                cause,
                verdict,
                retry_after_ms: None,
            },
        }
    }

    /// Status: 429 and 503 promise that the request has not run, 502 and 504 promise nothing.
    pub fn status(&self) -> http::StatusCode {
        match (self.cause, self.verdict) {
            (RefusalCause::NoRoute, _) => http::StatusCode::NOT_FOUND,
            (RefusalCause::BodyTooLarge, _) => http::StatusCode::PAYLOAD_TOO_LARGE,
            (RefusalCause::BodyIncomplete, _) => http::StatusCode::BAD_REQUEST,
            (_, Verdict::NotRun) => http::StatusCode::SERVICE_UNAVAILABLE,
            (RefusalCause::DeadlinePassed, _) => http::StatusCode::GATEWAY_TIMEOUT,
            _ => http::StatusCode::BAD_GATEWAY,
        }
    }

    /// Logs, counts and renders the refusal.
    pub fn into_reply(self, id: &str, route: &str) -> Reply {
        telemetry::count_refusal(self.cause, self.verdict);
        let status = self.status();
        log::info!(
            id = id, route = route, status = status.as_u16(), cause = self.cause.as_str(),
            verdict = self.verdict.as_str(), retry_after_ms = self.retry_after_ms.unwrap_or(0);
            "refused"
        );
        let text = format!("{}\n", self.cause.as_str());
        let mut reply = http::Response::new(Either::Left(Full::new(Bytes::from(text))));
        *reply.status_mut() = status;
        if let Some(retry_ms) = self.retry_after_ms {
            let seconds = format!("{:.3}", retry_ms as f64 / 1_000.0);
            if let Ok(value) = http::HeaderValue::from_str(&seconds) {
                reply.headers_mut().insert(http::header::RETRY_AFTER, value);
            }
        }
        reply
    }
}

fn default_retry_ms(cause: RefusalCause) -> Option<u64> {
    match cause {
        RefusalCause::NoRoute | RefusalCause::BodyTooLarge | RefusalCause::BodyIncomplete => None,
        // A random part spreads the return of callers that were refused together.
        _ => Some(200 + rand::random::<u64>() % 200),
    }
}
