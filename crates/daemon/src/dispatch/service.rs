//! Attempts of a request to a plain service.

use std::time::{Duration, Instant};

use acaciabank_protocol::{reason, verdict::Verdict, wire};
use acaciabank_relay::connection;
use http_body_util::Full;

use super::{RequestWork, attempt, retry, sink::CallerSink};

/// Makes one attempt and streams the response to the caller.
pub(super) async fn attempt(
    context: &retry::AttemptContext<'_>,
    sink: &mut CallerSink,
    history: &mut retry::AttemptHistory,
) -> Result<(), attempt::AttemptFailure> {
    let RequestWork::Service {
        method,
        path_and_query,
        headers,
        body,
        ..
    } = &context.request.work
    else {
        return Ok(());
    };
    let mut request = http::Request::builder()
        .method(method)
        .uri(path_and_query)
        .body(Full::new(body.clone()))
        .map_err(|error| {
            let retry = reason::RetryReason::NotWritten;
            attempt::AttemptFailure::new(Verdict::NotRun, retry, error.to_string())
        })?;
    *request.headers_mut() = end_to_end_headers(headers);
    let mut opened = context.open(request).await?;
    let idle = Duration::from_millis(context.state.settings.timers.idle_timeout_ms);
    let next_deadline = || Instant::now() + idle;
    // The head is delivered with the first part of the body, so that a request whose target fails
    // between the two can still be retried at another one.
    let mut part = opened.next_part(next_deadline()).await?;
    history.received = true;
    let headers = end_to_end_headers(opened.response.headers());
    sink.send_head(opened.response.status(), headers, Some(&context.target.id));
    while let Some(bytes) = part {
        sink.send_part(bytes).await;
        part = opened.next_part(next_deadline()).await?;
    }
    opened.release_connection();
    Ok(())
}

/// Removes the hop-by-hop headers and the target's verdict.
fn end_to_end_headers(headers: &http::HeaderMap) -> http::HeaderMap {
    let mut headers = headers.clone();
    connection::remove_hop_headers(&mut headers);
    headers.remove(wire::VERDICT_HEADER);
    headers
}
