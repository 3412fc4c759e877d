//! Small load generator for tests and examples.

use std::sync;

use futures::StreamExt;

use crate::harness;

/// One request of a load.
#[derive(Clone, Debug)]
pub enum LoadRequest {
    /// A completion.
    Completion(harness::CompletionRequest),
    /// A service call.
    Service(harness::ServiceRequest),
}

/// Sends requests with bounded concurrency; outcomes are in the order of the requests.
/// `on_progress` is called with the number of finished requests after each one.
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
