//! Another writer puts an entry with missing fields into the table of the runners.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    CaseResult,
    deployment::{Deployment, Record, Shape, plain_request},
    http::Connection,
    runner,
};

/// Ordinary callers; each sends one request after another.
const CALLERS: usize = 6;
/// Time for which they send.
const LENGTH: Duration = Duration::from_secs(15);
/// Time of the foreign entry, from the callers' start.
const ENTRY_AT: Duration = Duration::from_secs(3);
const DEADLINE_MS: u64 = 1_500;

#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    /// Requests ended with a 3xx or 4xx, other than 408, 421 and 429, that no runner has sent.
    denied: AtomicU64,
    /// Those of them that may run once only.
    denied_once: AtomicU64,
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> CaseResult {
    let shape = Shape {
        daemons: 2,
        prefill: 2,
        decode: 2,
        services: 3,
        others: 0,
    };
    let deployment = Deployment::start(Arc::clone(record), &shape)?;
    if !deployment.wait_ready() {
        return Err(io::Error::other("the daemons are not ready"));
    }
    let foreign = ForeignServer::start(&deployment.service_ip())?;
    let counts = Arc::new(Counts::default());
    let end = Instant::now() + LENGTH;
    let threads: Vec<_> = (0..CALLERS)
        .map(|number| {
            let daemons = deployment.daemons.clone();
            let (counts, record) = (Arc::clone(&counts), Arc::clone(record));
            thread::spawn(move || {
                let front = daemons[number % daemons.len()].front;
                call(number, front, end, &counts, &record);
            })
        })
        .collect();
    thread::sleep(ENTRY_AT);
    if has_trouble {
        // No `slots`, `version`, `cold_remaining_ms` and `seq`.
        let entry = format!(
            r#"{{"service":"wuno96b","address":"{}","zone":"perth-a","state":"ready","born":1790000000000}}"#,
            foreign.address
        );
        if !runner::write_row(deployment.store, "servers", "", "status-page", &entry) {
            return Err(io::Error::other("the store has not taken the entry"));
        }
        let (store, renewed) = (deployment.store, entry.clone());
        thread::spawn(move || {
            while Instant::now() < end {
                thread::sleep(Duration::from_millis(1_200));
                runner::write_row(store, "servers", "", "status-page", &renewed);
            }
        });
        record.line(&format!(
            "another writer has written servers/status-page: {entry}"
        ));
    }
    threads.into_iter().for_each(|thread| {
        let _ = thread.join();
    });
    let sent = counts.sent.load(Ordering::Acquire);
    let denied = counts.denied.load(Ordering::Acquire);
    record.line(&format!(
        "requests: {sent} sent, {} served, {} refused with 503, {} ended otherwise; {denied} ended with a 3xx or 4xx that no runner gave, {} of them may run once only; the foreign server got {} requests",
        counts.served.load(Ordering::Acquire),
        counts.refused.load(Ordering::Acquire),
        counts.failed.load(Ordering::Acquire),
        counts.denied_once.load(Ordering::Acquire),
        foreign.requests.load(Ordering::Acquire)
    ));
    deployment.describe_daemons();
    Ok(denied > 5 + sent / 500)
}

fn call(number: usize, front: SocketAddr, end: Instant, counts: &Counts, record: &Record) {
    let mut count = 0;
    let mut kept = None;
    while Instant::now() < end {
        let id = format!("entry-{number}-{count}");
        count += 1;
        let is_once = number % 2 == 0;
        let route = if is_once { "notice" } else { "lookup" };
        counts.sent.fetch_add(1, Ordering::AcqRel);
        let connection = match kept.take() {
            Some(connection) => Ok(connection),
            None => Connection::connect(front, Duration::from_secs(1)),
        };
        let deadline = Instant::now() + Duration::from_millis(DEADLINE_MS + 500);
        let request = plain_request(route, &id, DEADLINE_MS);
        let response = connection.and_then(|mut connection| {
            let response = connection.call(request.as_bytes(), deadline)?;
            kept = Some(connection);
            Ok(response)
        });
        match response {
            Ok(response) => {
                let status = response.head.status();
                let is_signed = response
                    .head
                    .get("x-acaciabank-response-signature")
                    .is_some();
                match status {
                    200 => counts.served.fetch_add(1, Ordering::AcqRel),
                    503 => counts.refused.fetch_add(1, Ordering::AcqRel),
                    408 | 421 | 429 => counts.refused.fetch_add(1, Ordering::AcqRel),
                    300..=499 if !is_signed => {
                        let body = String::from_utf8_lossy(&response.body).into_owned();
                        record.detail(&format!("{id} {route}: {status} {body:?}"));
                        if is_once {
                            counts.denied_once.fetch_add(1, Ordering::AcqRel);
                        }
                        counts.denied.fetch_add(1, Ordering::AcqRel)
                    }
                    _ => counts.failed.fetch_add(1, Ordering::AcqRel),
                };
            }
            Err(_) => {
                counts.failed.fetch_add(1, Ordering::AcqRel);
            }
        }
        thread::sleep(Duration::from_millis(30));
    }
}

/// A sound HTTP server that is no runner: a page of its own, and 404 for everything else.
struct ForeignServer {
    address: SocketAddr,
    requests: Arc<AtomicU64>,
}

impl ForeignServer {
    fn start(ip: &str) -> io::Result<Self> {
        let listener = TcpListener::bind(format!("{ip}:0"))?;
        let address = listener.local_addr()?;
        let requests = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&requests);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let requests = Arc::clone(&counted);
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(Some(head)) = connection.read_head(None) {
                        if connection.read_body(&head, false, None).is_err() {
                            return;
                        }
                        requests.fetch_add(1, Ordering::AcqRel);
                        let body = "no such page";
                        let (status, body) = match head.first_line.starts_with("GET / ") {
                            true => ("200 OK", "all is well"),
                            false => ("404 Not Found", body),
                        };
                        let response = format!(
                            "HTTP/1.1 {status}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\r\n{body}",
                            body.len()
                        );
                        if connection.stream.write_all(response.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(Self { address, requests })
    }
}
