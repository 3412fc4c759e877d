//! The platform's store: rows with versions, transactions under conditions, and a feed of changes.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Connection, Request},
    json::{self, Json},
};

type Key = (String, String, String);

#[derive(Clone, Debug)]
struct Row {
    /// Encoded value; `None` if the row was dropped.
    value: Option<String>,
    version: u64,
    written: Instant,
}

/// Three heartbeats of a runner.
const SILENCE: Duration = Duration::from_millis(3_600);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Key, Row>,
    version: u64,
}

#[derive(Clone)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    started: Instant,
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let store = Self {
            rows: Arc::default(),
            started: Instant::now(),
        };
        let listener = std::net::TcpListener::bind(address)?;
        let shared = store.clone();
        http::serve(listener, move |connection| shared.serve(connection));
        let shared = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(100));
            shared.expire_runners();
        });
        Ok(store)
    }

    /// Writes a row, as the operator and the runners do.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        self.apply(vec![(key, Some(json::base64(value.as_bytes())))]);
    }

    /// Removes the entries of runners that have been silent for three heartbeats.
    fn expire_runners(&self) {
        let silent = |(key, row): (&Key, &Row)| {
            let is_silent =
                key.0 == "servers" && row.value.is_some() && row.written.elapsed() > SILENCE;
            is_silent.then(|| (key.clone(), None))
        };
        let changes: Vec<_> = self
            .rows
            .0
            .lock()
            .unwrap()
            .rows
            .iter()
            .filter_map(silent)
            .collect();
        if !changes.is_empty() {
            self.apply(changes);
        }
    }

    fn apply(&self, changes: Vec<(Key, Option<String>)>) -> u64 {
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        let version = rows.write(changes);
        changed.notify_all();
        version
    }

    fn serve(&self, mut connection: Connection) -> io::Result<()> {
        while let Some(request) = connection.read_request()? {
            let (status, body) = self.answer(&request);
            let headers = [
                ("content-type", "application/json".to_owned()),
                ("store-era", "1".to_owned()),
            ];
            http::write_response(&mut connection.stream, status, &headers, body.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, request: &Request) -> (&'static str, String) {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let query = |name: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            fields
                .find(|(field, _)| *field == name)
                .map_or("", |(_, value)| value)
                .to_owned()
        };
        match path {
            "/rows-tx" => self.transact(&request.body),
            "/rows-get" => {
                let (table, part, from) = (query("table"), query("part"), query("from"));
                let limit = query("limit").parse().unwrap_or(500);
                let rows = self.rows.0.lock().unwrap();
                let found = rows.rows.iter().filter(|((in_table, in_part, key), row)| {
                    *in_table == table && *in_part == part && *key >= from && row.value.is_some()
                });
                let found: Vec<String> = found.take(limit).map(row_text).collect();
                ("200 OK", self.body(&found, rows.version))
            }
            "/rows-feed" => {
                let table = query("table");
                let after: u64 = query("after").parse().unwrap_or(0);
                let wait_ms: u64 = query("wait_ms").parse().unwrap_or(0);
                let deadline = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
                let (rows, changed) = &*self.rows;
                let mut rows = rows.lock().unwrap();
                loop {
                    let found = rows.rows.iter();
                    let found = found.filter(|((in_table, _, _), row)| {
                        *in_table == table && row.version > after
                    });
                    let mut found: Vec<_> = found.collect();
                    found.sort_by_key(|(_, row)| row.version);
                    let left = deadline.saturating_duration_since(Instant::now());
                    if !found.is_empty() || left.is_zero() {
                        let found: Vec<String> = found.into_iter().map(row_text).collect();
                        return ("200 OK", self.body(&found, rows.version));
                    }
                    rows = changed.wait_timeout(rows, left).unwrap().0;
                }
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn transact(&self, body: &[u8]) -> (&'static str, String) {
        let Some(request) = Json::parse(&String::from_utf8_lossy(body)) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let key = |row: &Json| {
            let field = |name| row.get(name).text().to_owned();
            (field("table"), field("part"), field("key"))
        };
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        let holds = |row: &Json| rows.version_of(&key(row)) == row.get("ver").number();
        if !request.get("expected_rev").list().iter().all(holds) {
            return ("412 Precondition Failed", self.body(&[], rows.version));
        }
        let writes = request.get("writes").list().iter();
        let writes = writes.map(|row| (key(row), Some(row.get("value").text().to_owned())));
        let deletes = request
            .get("deletes")
            .list()
            .iter()
            .map(|row| (key(row), None));
        let version = rows.write(writes.chain(deletes).collect());
        changed.notify_all();
        ("200 OK", self.body(&[], version))
    }

    fn body(&self, rows: &[String], version: u64) -> String {
        let now_ms = self.started.elapsed().as_millis();
        format!(
            r#"{{"rows":[{}],"truncated":false,"ver":{version},"now_ms":{now_ms}}}"#,
            rows.join(",")
        )
    }
}

impl Rows {
    fn version_of(&self, key: &Key) -> u64 {
        let row = self.rows.get(key).filter(|row| row.value.is_some());
        row.map_or(0, |row| row.version)
    }

    fn write(&mut self, changes: Vec<(Key, Option<String>)>) -> u64 {
        self.version += 1;
        for (key, value) in changes {
            self.rows.insert(
                key,
                Row {
                    value,
                    version: self.version,
                    written: Instant::now(),
                },
            );
        }
        self.version
    }
}

fn row_text(((table, part, key), row): (&Key, &Row)) -> String {
    let value = match &row.value {
        Some(value) => format!(r#""value":{}"#, json::quote(value)),
        None => r#""tombstone":true"#.to_owned(),
    };
    format!(
        r#"{{"table":{},"part":{},"key":{},"ver":{},{value}}}"#,
        json::quote(table),
        json::quote(part),
        json::quote(key),
        row.version
    )
}
