//! Runs the deployment of Pemberton on loopback: 12 engines, 3 ledger instances and 7 daemons serve
//! the requests of a file. The journals then show whether any request was lost or executed twice.
//!
//! `cargo run --release --example quickstart [-- --kill-daemon]`

use std::{collections, env, error, process, time};

use acaciabank_protocol::settings;
use acaciabank_testbed::{harness, load, multicall};
use serde_json::json;

const INVENTORY: &str = include_str!("data/quickstart-inventory.json");
const REQUESTS: &str = include_str!("data/quickstart-requests.json");
/// Maximum number of requests in flight.
const CONCURRENCY: usize = 24;
/// Number of daemons in the deployment of Pemberton.
const DAEMON_COUNT: usize = 7;
/// Timeout of one request, including all retries.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Contents of the request file.
#[derive(serde::Deserialize)]
struct RequestFile {
    prefixes: collections::BTreeMap<String, String>,
    requests: Vec<RequestEntry>,
}

/// One request of the file: a completion (draft) or a service call (notice).
#[derive(serde::Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
enum RequestEntry {
    Draft {
        prefix: String,
        text: String,
        max_tokens: u64,
        stream: bool,
        priority: String,
    },
    Notice {
        key: String,
        body: serde_json::Value,
    },
}

impl RequestFile {
    fn to_load_requests(&self) -> Vec<load::LoadRequest> {
        let entries = self.requests.iter();
        entries.map(|entry| self.to_load_request(entry)).collect()
    }

    fn to_load_request(&self, entry: &RequestEntry) -> load::LoadRequest {
        match entry {
            RequestEntry::Draft {
                prefix,
                text,
                max_tokens,
                stream,
                priority,
            } => load::LoadRequest::Completion(harness::CompletionRequest {
                model: "drafting".to_owned(),
                prompt: format!("{}\n{text}", self.prefixes[prefix]),
                max_tokens: *max_tokens,
                is_stream: *stream,
                headers: vec![("x-priority".to_owned(), priority.clone())],
            }),
            RequestEntry::Notice { key, body } => {
                load::LoadRequest::Service(harness::ServiceRequest {
                    service: "ledger".to_owned(),
                    method: "POST".to_owned(),
                    path: "/notices".to_owned(),
                    idempotency_key: Some(key.clone()),
                    body: body.to_string(),
                    ..harness::ServiceRequest::default()
                })
            }
        }
    }
}

fn main() -> Result<(), Box<dyn error::Error>> {
    multicall::run_role_from_args();
    let kills_daemon = env::args().any(|argument| argument == "--kill-daemon");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let is_success = runtime.block_on(run(kills_daemon))?;
    process::exit(i32::from(!is_success));
}

async fn run(kills_daemon: bool) -> Result<bool, Box<dyn error::Error>> {
    let deployment: settings::Deployment = serde_json::from_str(INVENTORY)?;
    let file: RequestFile = serde_json::from_str(REQUESTS)?;
    let requests = file.to_load_requests();
    println!(
        "starting {} engines, {DAEMON_COUNT} daemons and the platform",
        deployment.engines.len()
    );
    let launcher = harness::Launcher::new(env::current_exe()?)?;
    let mut fleet = harness::FleetSpec::new(deployment, DAEMON_COUNT)
        .start(launcher)
        .await?;
    println!("ready; sending {} requests", requests.len());
    let caller = fleet.caller(Some("perth-a"), REQUEST_TIMEOUT);
    let started_at = time::Instant::now();
    let halfway = requests.len() / 2;
    let outcomes = load::run(&caller, &requests, CONCURRENCY, |finished| {
        if finished % 40 == 0 {
            println!("{finished} of {} requests finished", requests.len());
        }
        if kills_daemon && finished == halfway {
            let daemon = &mut fleet.daemons[0];
            println!("killing {}", daemon.name);
            daemon.process.kill();
        }
    })
    .await;
    let elapsed_ms = started_at.elapsed().as_millis() as u64;
    let summary = summarize(&requests, &outcomes, &fleet.journals()?);
    let is_success = summary.completed == requests.len() && summary.lost + summary.duplicated == 0;
    let report = json!({
        "requests": requests.len(), "completed": summary.completed, "lost": summary.lost,
        "duplicated": summary.duplicated, "elapsed_ms": elapsed_ms,
    });
    println!("{report}");
    Ok(is_success)
}

/// Numbers of completed, lost and duplicated requests, from the outcomes and the journals.
#[derive(Default)]
struct RunSummary {
    completed: usize,
    lost: usize,
    duplicated: usize,
}

fn summarize(
    requests: &[load::LoadRequest],
    outcomes: &[harness::CallOutcome],
    journals: &harness::JournalEntries,
) -> RunSummary {
    let executions_by_hash = journals.executions_by_body();
    let mut summary = RunSummary::default();
    for (request, outcome) in requests.iter().zip(outcomes) {
        let executions = match request {
            // Generated text is deterministic, so a response with the expected text shows that an
            // engine ran the request.
            load::LoadRequest::Completion(_) => 1,
            load::LoadRequest::Service(request) => {
                let hash = harness::body_hash(request.body.as_bytes());
                executions_by_hash.get(&hash).copied().unwrap_or(0)
            }
        };
        summary.completed += usize::from(outcome.is_complete);
        summary.lost += usize::from(!outcome.is_complete || executions == 0);
        summary.duplicated += executions.saturating_sub(1);
        if !outcome.is_complete {
            let (status, refusals) = (outcome.status, &outcome.refusals);
            println!(
                "incomplete: status {status}, refusals {refusals:?}, violations {:?}",
                outcome.violations
            );
        }
    }
    summary
}
