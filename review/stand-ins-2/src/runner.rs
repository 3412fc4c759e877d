//! Stand-in of a runner, a model engine or a plain service, with its entry in the store. It behaves as
//! the users' pages say of a sound one.

use std::{
    collections::HashSet,
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime},
};

use crate::http::{self, Connection};

/// Ids of the requests that runners of plain services began to run.
pub static RAN: Mutex<Option<HashSet<String>>> = Mutex::new(None);

/// Whether a runner began to run a request.
pub fn has_run(id: &str) -> bool {
    let ran = RAN.lock().unwrap();
    ran.as_ref().is_some_and(|ran| ran.contains(id))
}

/// Time for which a plain request runs, that of the site's sheet.
const WORK: Duration = Duration::from_millis(60);
/// Interval between two heartbeats, `heartbeat_ms` of the settings.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub struct Runner {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub slots: u32,
    /// `None` for a plain service.
    stage: Mutex<Option<String>>,
    born_ms: u128,
    seq: AtomicU64,
    orders: AtomicU64,
    handles: AtomicU64,
    /// Requests that began to run.
    pub runs: AtomicU64,
    is_ended: AtomicBool,
}

impl Runner {
    /// Starts a runner on a free port of `ip` and registers it in the store.
    pub fn start(
        id: &str,
        service: &str,
        stage: Option<&str>,
        slots: u32,
        ip: &str,
        store: SocketAddr,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(format!("{ip}:0"))?;
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let runner = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr()?,
            slots,
            stage: Mutex::new(stage.map(str::to_owned)),
            born_ms: born.map_or(0, |born| born.as_millis()),
            seq: AtomicU64::new(0),
            orders: AtomicU64::new(0),
            handles: AtomicU64::new(0),
            runs: AtomicU64::new(0),
            is_ended: AtomicBool::new(false),
        });
        let accepting = Arc::clone(&runner);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let runner = Arc::clone(&accepting);
                let serve = move || {
                    // The caller has closed the connection.
                    let _ = runner.serve(stream);
                };
                let _ = thread::Builder::new().stack_size(256 << 10).spawn(serve);
            }
        });
        let beating = Arc::clone(&runner);
        thread::spawn(move || {
            while !beating.is_ended.load(Ordering::Acquire) {
                beating.beat(store);
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(runner)
    }

    fn beat(&self, store: SocketAddr) {
        let seq = self.seq.fetch_add(1, Ordering::AcqRel);
        let stage = match &*self.stage.lock().unwrap() {
            Some(stage) => {
                format!(r#","stage":"{stage}","models":[{{"name":"m","version":1,"adapters":[]}}]"#)
            }
            None => String::new(),
        };
        let entry = format!(
            r#"{{"service":"{}","address":"{}","zone":"perth-a","version":1,"slots":{},"state":"ready","cold_remaining_ms":0,"seq":{seq},"born":{}{stage}}}"#,
            self.service, self.address, self.slots, self.born_ms
        );
        write_row(store, "servers", "", &self.id, &entry);
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut connection = Connection::new(stream);
        while let Some(head) = connection.read_head(None)? {
            let body = connection.read_body(&head, false, None)?;
            let response = self.respond(&head, &body, &mut connection)?;
            connection.stream.write_all(&response)?;
        }
        Ok(())
    }

    /// Responds to a request; what has to be sent in parts is written to the connection.
    fn respond(
        &self,
        head: &http::Head,
        body: &[u8],
        connection: &mut Connection,
    ) -> io::Result<Vec<u8>> {
        let line: Vec<&str> = head.first_line.split(' ').collect();
        let (method, path) = (line[0], line.get(1).copied().unwrap_or("/"));
        let text = |status: &str, headers: &str, body: &str| {
            let length = body.len();
            format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
                .into_bytes()
        };
        let stage = self.stage.lock().unwrap().clone();
        match (method, path) {
            ("GET", "/report") => {
                let (stage, seq) = (
                    stage.unwrap_or_default(),
                    self.orders.load(Ordering::Acquire),
                );
                let body = format!(
                    r#"{{"stage":"{stage}","models":[],"busy":false,"seq":{seq},"waiting":0,"running":0,"kv_used":0,"kv_total":491264,"handles":0}}"#
                );
                return Ok(text("200 OK", "Content-Type: application/json\r\n", &body));
            }
            ("GET", "/kv-list") => {
                let body = r#"{"epoch":1,"next":0,"held":[]}"#;
                return Ok(text("200 OK", "Content-Type: application/json\r\n", body));
            }
            ("GET", "/health") => {
                let headers = format!("X-Acaciabank-Instance-Id: {}\r\n", self.id);
                return Ok(text("200 OK", &headers, ""));
            }
            ("POST", "/order") => {
                let order = String::from_utf8_lossy(body).into_owned();
                let seq = self.orders.load(Ordering::Acquire);
                if order.contains("\"expected_rev\"")
                    && !order.contains(&format!("\"expected_rev\":{seq}"))
                {
                    return Ok(text("409 Conflict", "", "{}"));
                }
                self.orders.fetch_add(1, Ordering::AcqRel);
                let to = match order.contains("\"stage\":\"prefill\"") {
                    true => "prefill",
                    false => "decode",
                };
                *self.stage.lock().unwrap() = Some(to.to_owned());
                return Ok(text("202 Accepted", "", "{}"));
            }
            ("DELETE", _) => return Ok(text("200 OK", "", "{}")),
            _ => {}
        }
        let attempt = head.get("x-acaciabank-attempt-id").unwrap_or_default();
        let ids = format!(
            "X-Acaciabank-Attempt-Id: {attempt}\r\nX-Acaciabank-Instance-Id: {}\r\n",
            self.id
        );
        let expected = head.get("x-acaciabank-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = format!("{ids}X-Acaciabank-Not-Executed: 1\r\n");
            return Ok(text("421 Misdirected Request", &headers, ""));
        }
        let tokens = head.get("x-acaciabank-token-count").unwrap_or("0,0");
        let (prompt, output) = tokens.split_once(',').unwrap_or(("0", "0"));
        let prompt: u64 = prompt.parse().unwrap_or(0);
        // Prompts are read at 50.7 tokens in a millisecond.
        let prefill_time = Duration::from_micros(prompt * 1_000 / 51);
        if head.get("x-acaciabank-stage") == Some("prefill") {
            thread::sleep(prefill_time);
            let number = self.handles.fetch_add(1, Ordering::AcqRel);
            let body = format!(
                r#"{{"transfer_handle":"{}-{}-{number}","tokens":{prompt},"version":1}}"#,
                self.id, self.born_ms
            );
            let headers = format!("{ids}Content-Type: application/json\r\n");
            return Ok(text("200 OK", &headers, &body));
        }
        self.runs.fetch_add(1, Ordering::AcqRel);
        let signed = format!("{ids}X-Acaciabank-Response-Signature: 1.{attempt}\r\n");
        if stage.is_none() {
            RAN.lock()
                .unwrap()
                .get_or_insert_default()
                .insert(attempt.to_owned());
            thread::sleep(WORK);
            return Ok(text("200 OK", &signed, &"x".repeat(800)));
        }
        if head.get("x-acaciabank-kv-source").is_none() {
            thread::sleep(2 * prefill_time);
        }
        let start = format!(
            "HTTP/1.1 200 OK\r\n{signed}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        connection.stream.write_all(start.as_bytes())?;
        let last = head.get("last-event-id").and_then(|last| last.parse().ok());
        let first = last.map_or(0, |last: u64| last + 1);
        for number in first..output.parse().unwrap_or(1) {
            thread::sleep(Duration::from_millis(6));
            let event = format!("id: {number}\ndata: {}\n\n", "t".repeat(40));
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            connection.stream.write_all(chunk.as_bytes())?;
        }
        Ok(b"0\r\n\r\n".to_vec())
    }
}

/// Writes a row to the store; the next heartbeat repeats one that fails.
pub fn write_row(store: SocketAddr, table: &str, part: &str, key: &str, value: &str) -> bool {
    let value = http::base64(value.as_bytes());
    let body = format!(
        r#"{{"expected_rev":[],"writes":[{{"table":"{table}","part":"{part}","key":"{key}","value":"{value}"}}],"deletes":[]}}"#
    );
    let request = format!(
        "POST /rows-tx HTTP/1.1\r\nHost: store\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let response = http::call_once(store, request.as_bytes(), Duration::from_secs(2));
    response.is_ok_and(|response| response.head.status() == 200)
}
