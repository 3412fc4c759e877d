//! Ordinary callers: they keep to all limits of the pages.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    deployment::{Daemon, Record, plain_request},
    http::Connection,
    runner::has_run,
};

/// Deadline of the requests to the plain service, that of the site's sheet.
const DEADLINE_MS: u64 = 1_500;
/// Time for which clients wait for a new connection to be established.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// What the callers have seen.
#[derive(Default)]
pub struct Seen {
    pub sent: AtomicU64,
    pub served: AtomicU64,
    pub refused: AtomicU64,
    /// Requests whose time passed without a byte of an answer.
    pub unanswered: AtomicU64,
    /// Connections that could not be opened.
    pub unopened: AtomicU64,
    /// New connections that were closed without an answer to their first request.
    pub closed_new: AtomicU64,
    /// Ids of requests on kept connections that were closed without an answer.
    pub closed_kept: Mutex<Vec<String>>,
    pub stop: AtomicBool,
}

/// Starts `count` callers that send one request after another on connections that they keep.
pub fn start_kept(
    count: usize,
    daemons: &[Arc<Daemon>],
    record: &Arc<Record>,
    seen: &Arc<Seen>,
) -> Vec<thread::JoinHandle<()>> {
    let start = |number: usize| {
        let (daemons, record, seen) = (daemons.to_vec(), Arc::clone(record), Arc::clone(seen));
        thread::spawn(move || run_kept(number, &daemons, &record, &seen))
    };
    (0..count).map(start).collect()
}

fn run_kept(number: usize, daemons: &[Arc<Daemon>], record: &Record, seen: &Seen) {
    let mut sent = 0;
    let mut at = number;
    while !seen.stop.load(Ordering::Acquire) {
        // Another daemon after one that has failed.
        at += 1;
        let daemon = &daemons[at % daemons.len()];
        let Ok(mut connection) = Connection::connect(daemon.front, CONNECT_TIME) else {
            seen.unopened.fetch_add(1, Ordering::AcqRel);
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let mut on_connection = 0;
        while !seen.stop.load(Ordering::Acquire) {
            let id = format!("kept-{number}-{sent}");
            sent += 1;
            let route = if number % 2 == 0 { "notice" } else { "lookup" };
            seen.sent.fetch_add(1, Ordering::AcqRel);
            let deadline = Instant::now() + Duration::from_millis(DEADLINE_MS + 500);
            let request = plain_request(route, &id, DEADLINE_MS);
            match connection.call(request.as_bytes(), deadline) {
                Ok(response) if response.head.status() == 200 => {
                    seen.served.fetch_add(1, Ordering::AcqRel);
                }
                Ok(response) => {
                    seen.refused.fetch_add(1, Ordering::AcqRel);
                    record.detail(&format!("{id} {} {}", daemon.name, response.head.status()));
                    thread::sleep(Duration::from_millis(200));
                }
                Err(error) if is_timeout(&error) => {
                    seen.unanswered.fetch_add(1, Ordering::AcqRel);
                    record.detail(&format!("{id} {} no answer in time", daemon.name));
                    break;
                }
                Err(error) => {
                    record.detail(&format!(
                        "{id} {} closed without an answer, request {on_connection} of the connection: {error}",
                        daemon.name
                    ));
                    match on_connection {
                        0 => {
                            seen.closed_new.fetch_add(1, Ordering::AcqRel);
                        }
                        _ => seen.closed_kept.lock().unwrap().push(id),
                    }
                    break;
                }
            }
            on_connection += 1;
            // The callers keep no common step.
            thread::sleep(Duration::from_millis(10 + 7 * number as u64 % 30));
        }
    }
}

pub fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock
    )
}

/// Returns the requests that were closed without an answer after a runner had begun to run them.
pub fn closed_after_run(seen: &Seen) -> Vec<String> {
    let closed = seen.closed_kept.lock().unwrap();
    closed.iter().filter(|id| has_run(id)).cloned().collect()
}

/// Asks whether a daemon is ready, as the platform does, once a second on a connection that is kept.
pub struct ReadyCheck {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl ReadyCheck {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    pub fn ask(&mut self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(1);
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => match Connection::connect(self.address, CONNECT_TIME) {
                Ok(connection) => connection,
                Err(_) => return false,
            },
        };
        let request = b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n";
        match connection.call(request, deadline) {
            Ok(response) => {
                self.connection = Some(connection);
                response.head.status() == 200
            }
            Err(_) => false,
        }
    }
}
