//! Refusals, and the response types sent to callers.

use std::io;

use acaciabank_protocol::verdict::Verdict;
use bytes::Bytes;
use http_body_util::{Either, Full, StreamBody};
use hyper::body::Frame;

use crate::telemetry::{self, RefusalCause};

/// Frames of a streamed body. An error closes the connection, so that the caller cannot take an
/// incomplete stream for a complete one.
pub type EventStream = futures::stream::LocalBoxStream<'static, Result<Frame<Bytes>, io::Error>>;
/// Body of a response to a caller.
pub type ResponseBody = Either<Full<Bytes>, StreamBody<EventStream>>;
/// Response to a caller.
pub type HttpResponse = http::Response<ResponseBody>;

/// A response that this process generates itself instead of forwarding one from a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusalResponse {
    /// Why the request was refused.
    pub cause: RefusalCause,
    /// Whether a target may have run the request.
    pub verdict: Verdict,
    /// Time after which the caller may retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl RefusalResponse {
    /// Creates a refusal of a request that no target has run.
    pub fn not_run(cause: RefusalCause) -> Self {
        Self {
            cause,
            verdict: Verdict::NotRun,
            retry_after_ms: default_retry_ms(cause),
        }
    }

    /// Creates a refusal after attempts with the given combined verdict.
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

    /// Creates the refusal of a request whose handling has failed by a fault of this process, at a
    /// point at which targets may have run it.
    pub fn internal_error() -> Self {
        Self {
            cause: RefusalCause::InternalError,
            verdict: Verdict::MayHaveRun,
            retry_after_ms: None,
        }
    }

    /// Returns the HTTP status. 408, 429 and 503 guarantee that the request has not run; 502 and 504
    /// do not.
    pub fn status(&self) -> http::StatusCode {
        match (self.cause, self.verdict) {
            (RefusalCause::NoRoute, _) => http::StatusCode::NOT_FOUND,
            (RefusalCause::NoKey | RefusalCause::UnknownKey, _) => http::StatusCode::UNAUTHORIZED,
            (RefusalCause::BodyTooLarge, _) => http::StatusCode::PAYLOAD_TOO_LARGE,
            (RefusalCause::BodyIncomplete, _) => http::StatusCode::BAD_REQUEST,
            // A body is read before any target is sent the request.
            (RefusalCause::BodyStalled | RefusalCause::BodyLate, _) => {
                http::StatusCode::REQUEST_TIMEOUT
            }
            (_, Verdict::NotRun) => http::StatusCode::SERVICE_UNAVAILABLE,
            (RefusalCause::DeadlinePassed, _) => http::StatusCode::GATEWAY_TIMEOUT,
            _ => http::StatusCode::BAD_GATEWAY,
        }
    }

    /// Logs and counts the refusal and converts it to an HTTP response.
    pub fn into_response(self, id: &str, route: &str, team: &str) -> HttpResponse {
        telemetry::count_refusal(self.cause, self.verdict);
        let status = self.status();
        log::info!(
            id = id, route = route, team = team, status = status.as_u16(), cause = self.cause.as_str(),
            verdict = self.verdict.as_str(), retry_after_ms = self.retry_after_ms.unwrap_or(0);
            "refused"
        );
        let text = format!("{}\n", self.cause.as_str());
        let mut response = http::Response::new(Either::Left(Full::new(Bytes::from(text))));
        *response.status_mut() = status;
        if status == http::StatusCode::UNAUTHORIZED {
            let scheme = http::HeaderValue::from_static("Bearer");
            let headers = response.headers_mut();
            headers.insert(http::header::WWW_AUTHENTICATE, scheme);
        }
        if let Some(retry_ms) = self.retry_after_ms {
            let seconds = format!("{:.3}", retry_ms as f64 / 1_000.0);
            if let Ok(value) = http::HeaderValue::from_str(&seconds) {
                response
                    .headers_mut()
                    .insert(http::header::RETRY_AFTER, value);
            }
        }
        response
    }
}

fn default_retry_ms(cause: RefusalCause) -> Option<u64> {
    match cause {
        RefusalCause::NoRoute
        | RefusalCause::NoKey
        | RefusalCause::UnknownKey
        | RefusalCause::BodyTooLarge
        | RefusalCause::BodyIncomplete
        | RefusalCause::VersionGone => None,
        // Jitter spreads the retries of callers that were refused at the same time.
        _ => Some(200 + rand::random::<u64>() % 200),
    }
}
