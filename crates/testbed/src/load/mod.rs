//! Load generator for tests and examples that sends a list of requests with limited concurrency.

use std::sync;

use futures::StreamExt;

use crate::harness;

/// A request that the load generator sends.
#[derive(Clone, Debug)]
pub enum LoadRequest {
    /// A completion request to a model.
    Completion(harness::CompletionRequest),
    /// A request to a plain service.
    Service(harness::ServiceRequest),
}

/// Sends all requests, at most `concurrency` at a time, and returns their outcomes in the order of
/// the requests. Calls `on_progress` with the number of finished requests after each one.
pub async fn run(
    caller: &harness::Caller,
    requests: &[LoadRequest],
    concurrency: usize,
    on_progress: impl FnMut(usize),
) -> Vec<harness::CallOutcome> {
    let progress = sync::Mutex::new((0, on_progress));
    let calls = requests.iter().map(|request| async {
        let outcome = match request {
            LoadRequest::Completion(request) => caller.complete(request).await,
            LoadRequest::Service(request) => caller.call_service(request).await,
        };
        let mut progress = progress.lock().expect("progress lock");
        progress.0 += 1;
        let finished = progress.0;
        (progress.1)(finished);
        outcome
    });
    futures::stream::iter(calls)
        .buffered(concurrency)
        .collect()
        .await
}
