//! Stand-in of the platform's store, as the users' pages describe its rows: transactions under
//! conditions, reads of a range, and the feed of a table. It is sound: it refuses, loses and delays
//! nothing. It removes the entries of runners that have been silent for three heartbeats.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Connection, Head},
    json::Value,
    runner::HEARTBEAT,
};

/// Time of a transaction, `tx_ms` of the settings.
const TRANSACTION: Duration = Duration::from_millis(4);
/// Largest number of rows in an answer of `/rows-get`.
const MAX_ROWS: usize = 500;
const MAX_WAIT_MS: u64 = 30_000;

/// Table, part and key.
type RowKey = (String, String, String);

struct Row {
    /// `None` once the row has been deleted.
    value: Option<String>,
    ver: u64,
    written: Instant,
}

#[derive(Default)]
struct Rows {
    rows: BTreeMap<RowKey, Row>,
    ver: u64,
}

pub struct Store {
    pub address: SocketAddr,
    rows: Mutex<Rows>,
    changed: Condvar,
    start: Instant,
}

impl Store {
    /// Starts a store on a free port.
    pub fn start(ip: &str) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(format!("{ip}:0"))?;
        let store = Arc::new(Self {
            address: listener.local_addr()?,
            rows: Mutex::default(),
            changed: Condvar::new(),
            start: Instant::now(),
        });
        let accepting = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&accepting);
                thread::spawn(move || {
                    // The caller has closed the connection.
                    let _ = store.serve(stream);
                });
            }
        });
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                expiring.expire();
            }
        });
        Ok(store)
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut connection = Connection::new(stream);
        while let Some(head) = connection.read_head(None)? {
            let body = connection.read_body(&head, false, None)?;
            let (status, body) = self.respond(&head, &body);
            let reason = if status == 200 { "OK" } else { "Refused" };
            let response = format!(
                "HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            connection.stream.write_all(response.as_bytes())?;
        }
        Ok(())
    }

    fn respond(&self, head: &Head, body: &[u8]) -> (u16, String) {
        let mut line = head.first_line.split(' ');
        let (method, target) = (line.next().unwrap_or(""), line.next().unwrap_or(""));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let value = pairs.find(|(known, _)| *known == name);
            percent_decode(value.map_or("", |(_, value)| value))
        };
        match (method, path) {
            ("POST", "/rows-tx") => self.transact(body),
            ("GET", "/rows-get") => {
                let limit = query("limit").parse().unwrap_or(MAX_ROWS).min(MAX_ROWS);
                let (table, part) = (query("table"), query("part"));
                self.get(&table, &part, &query("from"), &query("to"), limit)
            }
            ("GET", "/rows-feed") => {
                let after = query("after").parse().unwrap_or(0);
                let wait_ms = query("wait_ms").parse().unwrap_or(0).min(MAX_WAIT_MS);
                self.feed(&query("table"), after, Duration::from_millis(wait_ms))
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(request) = Value::parse(body) else {
            return (400, "{}".to_owned());
        };
        thread::sleep(TRANSACTION);
        let key = |row: &Value| -> RowKey {
            let text = |name: &str| row.get(name).and_then(Value::text).unwrap_or("").to_owned();
            (text("table"), text("part"), text("key"))
        };
        let list = |name: &str| request.get(name).map_or(&[][..], Value::list);
        let mut rows = self.rows.lock().unwrap();
        let holds = |condition: &Value| {
            let live = rows.rows.get(&key(condition));
            let live = live.filter(|row| row.value.is_some());
            let ver = condition.get("ver").and_then(Value::number);
            live.map_or(0, |row| row.ver) == ver.unwrap_or(0)
        };
        if !list("expected_rev").iter().all(holds) {
            let named = list("expected_rev").iter().map(key);
            let current =
                named.filter_map(|key| rows.rows.get(&key).map(|row| row_json(&key, row)));
            let current: Vec<String> = current.collect();
            return (412, self.answer(&current, false, rows.ver));
        }
        rows.ver += 1;
        let ver = rows.ver;
        let written = Instant::now();
        for write in list("writes") {
            let value = write.get("value").and_then(Value::text).map(str::to_owned);
            let row = Row {
                value,
                ver,
                written,
            };
            rows.rows.insert(key(write), row);
        }
        for delete in list("deletes") {
            if let Some(row) = rows.rows.get_mut(&key(delete)) {
                (row.value, row.ver) = (None, ver);
            }
        }
        drop(rows);
        self.changed.notify_all();
        (200, self.answer(&[], false, ver))
    }

    fn get(&self, table: &str, part: &str, from: &str, to: &str, limit: usize) -> (u16, String) {
        let rows = self.rows.lock().unwrap();
        let found = rows.rows.iter().filter(|((in_table, in_part, key), row)| {
            let is_before = to.is_empty() || key.as_str() < to;
            let is_in = in_table == table && in_part == part && key.as_str() >= from && is_before;
            is_in && row.value.is_some()
        });
        let found: Vec<String> = found.map(|(key, row)| row_json(key, row)).collect();
        let is_truncated = found.len() > limit;
        let found = &found[..found.len().min(limit)];
        (200, self.answer(found, is_truncated, rows.ver))
    }

    /// Answers with the changed rows of a table, whatever their part, as soon as there are any.
    fn feed(&self, table: &str, after: u64, wait: Duration) -> (u16, String) {
        let deadline = Instant::now() + wait;
        let mut rows = self.rows.lock().unwrap();
        loop {
            if after > rows.ver {
                return (410, self.answer(&[], false, rows.ver));
            }
            let changed = rows.rows.iter();
            let changed =
                changed.filter(|((in_table, ..), row)| in_table == table && row.ver > after);
            let mut changed: Vec<(&RowKey, &Row)> = changed.collect();
            changed.sort_by_key(|(_, row)| row.ver);
            let left = deadline.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let changed: Vec<String> = changed
                    .iter()
                    .map(|(key, row)| row_json(key, row))
                    .collect();
                return (200, self.answer(&changed, false, rows.ver));
            }
            drop(changed);
            (rows, _) = self.changed.wait_timeout(rows, left).unwrap();
        }
    }

    /// Removes the entries of runners that have been silent for three heartbeats.
    fn expire(&self) {
        let mut rows = self.rows.lock().unwrap();
        let is_silent = |(key, row): &(&RowKey, &mut Row)| {
            key.0 == "servers" && row.value.is_some() && row.written.elapsed() > 3 * HEARTBEAT
        };
        let ver = rows.ver + 1;
        let mut has_changed = false;
        for (_, row) in rows.rows.iter_mut().filter(is_silent) {
            (row.value, row.ver, has_changed) = (None, ver, true);
        }
        if has_changed {
            rows.ver = ver;
            drop(rows);
            self.changed.notify_all();
        }
    }

    fn answer(&self, rows: &[String], is_truncated: bool, ver: u64) -> String {
        format!(
            r#"{{"rows":[{}],"truncated":{is_truncated},"ver":{ver},"now_ms":{}}}"#,
            rows.join(","),
            self.start.elapsed().as_millis()
        )
    }
}

fn row_json((table, part, key): &RowKey, row: &Row) -> String {
    let ver = row.ver;
    let content = match &row.value {
        Some(value) => format!(r#""value":"{value}""#),
        None => r#""tombstone":true"#.to_owned(),
    };
    format!(r#"{{"table":"{table}","part":"{part}","key":"{key}","ver":{ver},{content}}}"#)
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let code = tail
            .get(..2)
            .and_then(|code| std::str::from_utf8(code).ok());
        let code = code.and_then(|code| u8::from_str_radix(code, 16).ok());
        match (first, code) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            (byte, _) => {
                bytes.push(*byte);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
