//! Callers of the soak of stops, and what they received.

use std::{
    net,
    sync::{Arc, Mutex, atomic},
    time::{Duration, Instant},
};

use acaciabank_testbed::web;
use rand::{RngExt, SeedableRng, rngs};
use tokio::{io::AsyncWriteExt, net::TcpStream};

use crate::{call_outcome, fixture::ROUTE_HOST};

/// Body of all requests.
pub(super) const BODY: &str = "notice";
/// Time for which a caller uses an address list before it asks for another one.
const LIST_TTL: Duration = Duration::from_secs(1);
/// Pause after a connection that has been refused.
const CONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause between the two pieces of a request, in milliseconds.
const MAX_PIECE_PAUSE_MS: u64 = 400;

/// Route of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestKind {
    Once,
    Safe,
    Stream,
    Resumable,
    /// The route that configurations drop.
    Extra,
}

impl RequestKind {
    pub(super) const ALL: [Self; 5] = [
        Self::Once,
        Self::Safe,
        Self::Stream,
        Self::Resumable,
        Self::Extra,
    ];

    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Once => "once",
            Self::Safe => "safe",
            Self::Stream => "stream",
            Self::Resumable => "resumable",
            Self::Extra => "extra",
        }
    }

    pub(super) fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }

    /// Whether at most one runner may run a request.
    pub(super) fn runs_once(self) -> bool {
        matches!(self, Self::Once | Self::Stream | Self::Extra)
    }
}

/// A request and what its caller received.
#[derive(Clone, Debug)]
pub(super) struct StopRecord {
    pub(super) relay: usize,
    pub(super) kind: RequestKind,
    pub(super) attempt: String,
    /// Number of events of a stream.
    pub(super) events: u64,
    /// Deadline that the request states, from its first byte.
    pub(super) deadline: Instant,
    /// Time at which the connection was opened.
    pub(super) connected: Instant,
    /// Whether the former response on the connection has said that it is closed.
    pub(super) was_closed: bool,
    /// Time of the first byte.
    pub(super) sent: Instant,
    /// Time of the last byte; `None` if a write failed.
    pub(super) written: Option<Instant>,
    pub(super) ended: Instant,
    /// Status of the response; `None` if the connection ended before it.
    pub(super) status: Option<u16>,
    /// Whether the whole response arrived.
    pub(super) is_complete: bool,
    /// Body as it arrived, without its framing.
    pub(super) body: Vec<u8>,
}

/// Addresses of the relays of a run.
#[derive(Clone, Debug, Default)]
pub(super) struct RelayAddresses {
    pub(super) callers: Vec<net::SocketAddr>,
    pub(super) directories: Vec<net::SocketAddr>,
}

/// Flags and records that the callers share.
#[derive(Clone, Default)]
pub(super) struct CallerState {
    pub(super) is_stopped: Arc<atomic::AtomicBool>,
    pub(super) records: Arc<Mutex<Vec<StopRecord>>>,
}

/// How a caller behaves.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallerHabits {
    /// Uses the relays that address lists name, in place of the same ones for the whole run.
    pub(super) follows_lists: bool,
    /// Sends a further request on a connection that the last response has closed.
    pub(super) ignores_close: bool,
}

/// A caller with its connection.
pub(super) struct SoakCaller {
    name: usize,
    rng: rngs::StdRng,
    habits: CallerHabits,
    addresses: RelayAddresses,
    /// Relays that it uses, and until when.
    listed: (Vec<usize>, Instant),
    kept: Option<CallerConnection>,
}

/// A connection to a relay.
struct CallerConnection {
    relay: usize,
    stream: TcpStream,
    opened: Instant,
    /// Whether the last response has said that the connection is closed.
    is_closed: bool,
}

impl SoakCaller {
    /// Creates a caller of the relays `first..end`.
    pub(super) fn new(
        seed: u64,
        name: usize,
        relays: std::ops::Range<usize>,
        addresses: RelayAddresses,
    ) -> Self {
        Self {
            name,
            rng: rngs::StdRng::seed_from_u64(seed * 1_000 + name as u64),
            habits: CallerHabits {
                follows_lists: name.is_multiple_of(3) && relays.len() > 1,
                ignores_close: name % 4 == 1,
            },
            addresses,
            listed: (relays.collect(), Instant::now()),
            kept: None,
        }
    }

    /// Sends requests one after the other until the run is over.
    pub(super) async fn run(mut self, state: CallerState) {
        for number in 0.. {
            if state.is_stopped.load(atomic::Ordering::Relaxed) {
                return;
            }
            match self.send(number).await {
                Some(record) => state.records.lock().expect("records lock").push(record),
                None => tokio::time::sleep(CONNECT_PAUSE).await,
            }
            let pause_ms = self.rng.random_range(1..120);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    /// Sends a request; returns `None` if the connection is refused.
    async fn send(&mut self, number: u64) -> Option<StopRecord> {
        let request = self.draw_request(number);
        let mut connection = self.connect().await?;
        let (relay, connected) = (connection.relay, connection.opened);
        let was_closed = connection.is_closed;
        let sent = Instant::now();
        let written = self.write(&mut connection.stream, &request.text).await;
        let bytes = match written {
            Some(_) => call_outcome::read_response(&mut connection.stream).await,
            None => Vec::new(),
        };
        let outcome = call_outcome::outcome(&request.attempt, sent, &bytes);
        let head = outcome.text.split("\r\n\r\n").next().unwrap_or_default();
        connection.is_closed = head.to_ascii_lowercase().contains("connection: close");
        if outcome.is_answered() && (!connection.is_closed || self.habits.ignores_close) {
            self.kept = Some(connection);
        }
        Some(StopRecord {
            relay,
            kind: request.kind,
            events: request.events,
            deadline: sent + Duration::from_millis(request.deadline_ms),
            connected,
            was_closed,
            sent,
            written,
            ended: outcome.ended,
            status: outcome.status,
            is_complete: outcome.is_complete,
            body: response_body(&bytes),
            attempt: request.attempt,
        })
    }

    fn draw_request(&mut self, number: u64) -> DrawnRequest {
        let kind = RequestKind::ALL[self.rng.random_range(0..RequestKind::ALL.len())];
        let events = match self.rng.random_range(0..4) {
            0 | 1 => self.rng.random_range(2..21),
            2 => self.rng.random_range(20..300),
            _ => self.rng.random_range(300..1_501),
        };
        let attempt = format!("{}-{}-{number}", kind.name(), self.name);
        let deadline_ms = self.rng.random_range(1_000..20_000);
        let generation = match kind.is_stream() {
            true => format!(
                "x-acaciabank-model: m\r\nx-acaciabank-token-count: 2000,{events}\r\n\
                 x-acaciabank-prompt-prefix: aa:1500,{attempt}:500\r\n"
            ),
            false => String::new(),
        };
        let framing = match self.rng.random_range(0..2) {
            0 => format!("content-length: {}\r\n\r\n{BODY}", BODY.len()),
            _ => {
                let (first, second) = BODY.split_at(2);
                format!(
                    "transfer-encoding: chunked\r\n\r\n{:x}\r\n{first}\r\n{:x}\r\n{second}\r\n\
                     0\r\n\r\n",
                    first.len(),
                    second.len()
                )
            }
        };
        let text = format!(
            "POST /{}/{number} HTTP/1.1\r\nhost: {ROUTE_HOST}\r\n\
             x-acaciabank-attempt-id: {attempt}\r\nx-acaciabank-deadline-ms: {deadline_ms}\r\n\
             {generation}{framing}",
            kind.name()
        );
        DrawnRequest {
            kind,
            attempt,
            events,
            deadline_ms,
            text,
        }
    }

    /// Returns the kept connection, or a new one to a relay that the caller uses.
    async fn connect(&mut self) -> Option<CallerConnection> {
        if let Some(kept) = self.kept.take()
            && self.rng.random_range(0..5) > 0
        {
            return Some(kept);
        }
        if self.habits.follows_lists && self.listed.1 <= Instant::now() {
            self.update_list().await;
        }
        let relays = &self.listed.0;
        let relay = relays[self.rng.random_range(0..relays.len())];
        let connected = TcpStream::connect(self.addresses.callers[relay]).await;
        Some(CallerConnection {
            relay,
            stream: connected.ok()?,
            opened: Instant::now(),
            is_closed: false,
        })
    }

    /// Asks a relay for the address list; keeps the former one without a response.
    async fn update_list(&mut self) {
        let directories = &self.addresses.directories;
        let directory = directories[self.rng.random_range(0..directories.len())];
        let path = format!("/resolve?name={ROUTE_HOST}&region=r&zone=zone-a");
        let Ok(response) = web::call(directory, "GET", &path, &[], "").await else {
            return;
        };
        let body = response.json();
        let listed = body["addresses"].as_array().cloned().unwrap_or_default();
        let callers = self.addresses.callers.iter();
        let relays = callers.enumerate().filter_map(|(relay, address)| {
            let text = address.to_string();
            listed
                .iter()
                .any(|address| address == &text)
                .then_some(relay)
        });
        let relays: Vec<usize> = relays.collect();
        if !relays.is_empty() {
            self.listed = (relays, Instant::now() + LIST_TTL);
        }
    }

    /// Writes a request, a third of them in two pieces; returns the time of the last byte.
    async fn write(&mut self, stream: &mut TcpStream, text: &str) -> Option<Instant> {
        let pause_ms = match self.rng.random_range(0..3) {
            0 => self.rng.random_range(0..MAX_PIECE_PAUSE_MS),
            _ => 0,
        };
        let (first, second) = text.split_at(self.rng.random_range(1..text.len()));
        if pause_ms == 0 {
            stream.write_all(text.as_bytes()).await.ok()?;
            return Some(Instant::now());
        }
        stream.write_all(first.as_bytes()).await.ok()?;
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        stream.write_all(second.as_bytes()).await.ok()?;
        Some(Instant::now())
    }
}

/// A request as drawn.
struct DrawnRequest {
    kind: RequestKind,
    attempt: String,
    events: u64,
    deadline_ms: u64,
    text: String,
}

/// Returns the body of a response without its framing; of a body that is cut, what has arrived.
fn response_body(bytes: &[u8]) -> Vec<u8> {
    let text = String::from_utf8_lossy(bytes);
    let Some((head, mut rest)) = text.split_once("\r\n\r\n") else {
        return Vec::new();
    };
    if !head.to_ascii_lowercase().contains("chunked") {
        return rest.as_bytes().to_vec();
    }
    let mut body = Vec::new();
    while let Some((size, data)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
        let Some(chunk) = data.get(..size).filter(|chunk| !chunk.is_empty()) else {
            break;
        };
        body.extend_from_slice(chunk.as_bytes());
        rest = data[size..].trim_start_matches("\r\n");
    }
    body
}
