//! The platform's store: versioned rows in tables, conditional transactions and a feed of changes.

use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use hyper::{Method, Request, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::Notify;

use crate::web;

/// Longest time for which a feed waits.
const MAX_WAIT_MS: u64 = 30_000;

/// Faults of the store.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Every call is refused with 503.
    pub refuses: bool,
    /// Calls get no answer.
    pub is_silent: bool,
    /// Writes are performed and not answered.
    pub loses_answers: bool,
    /// History before this version is gone.
    pub forgotten: u64,
    /// Calls are performed at once and answered after this time.
    pub answer_delay_ms: u64,
}

#[derive(Clone, Debug)]
struct StoredRow {
    value: Option<String>,
    version: u64,
}

type RowName = (String, String, String);

#[derive(Debug, Default)]
struct StoreState {
    rows: BTreeMap<RowName, StoredRow>,
    version: u64,
    faults: StoreFaults,
    calls: u64,
}

/// The store.
#[derive(Clone, Debug)]
pub struct StoreEmulator {
    state: Arc<Mutex<StoreState>>,
    changed: Arc<Notify>,
    started: Instant,
}

impl Default for StoreEmulator {
    fn default() -> Self {
        Self {
            state: Arc::default(),
            changed: Arc::default(),
            started: Instant::now(),
        }
    }
}

#[derive(Debug, Deserialize)]
struct TransactionCall {
    #[serde(default)]
    expected_rev: Vec<NamedRow>,
    #[serde(default)]
    writes: Vec<NamedRow>,
    #[serde(default)]
    deletes: Vec<NamedRow>,
}

#[derive(Debug, Deserialize)]
struct NamedRow {
    table: String,
    #[serde(default)]
    part: String,
    key: String,
    value: Option<String>,
    #[serde(default)]
    ver: u64,
}

impl NamedRow {
    fn name(&self) -> RowName {
        (self.table.clone(), self.part.clone(), self.key.clone())
    }
}

impl StoreEmulator {
    /// Answers a call.
    pub async fn handle(self, request: Request<Incoming>) -> web::HandlerResult {
        let (head, body) = request.into_parts();
        let body = web::read_body(body).await?;
        if head.uri.path() == "/control" {
            return Ok(self.control(&body));
        }
        let faults = {
            let mut state = self.state.lock().expect("store lock");
            state.calls += 1;
            state.faults.clone()
        };
        if faults.is_silent {
            std::future::pending::<()>().await;
        }
        if faults.refuses {
            return Ok(web::error_response(StatusCode::SERVICE_UNAVAILABLE, "down"));
        }
        let query = Query(head.uri.query().unwrap_or_default().to_owned());
        let reply = match (head.method, head.uri.path()) {
            (Method::POST, "/rows-tx") => self.transact(&body),
            (Method::GET, "/rows-get") => self.get(&query),
            (Method::GET, "/rows-feed") => self.feed(&query).await,
            _ => web::error_response(StatusCode::NOT_FOUND, "no such call"),
        };
        tokio::time::sleep(Duration::from_millis(faults.answer_delay_ms)).await;
        if faults.loses_answers && head.uri.path() == "/rows-tx" {
            return Err(io::Error::other("the answer is lost"));
        }
        Ok(reply)
    }

    fn control(&self, body: &[u8]) -> hyper::Response<web::ResponseBody> {
        let mut state = self.state.lock().expect("store lock");
        match web::apply_patch(&mut state.faults, body) {
            Ok(()) => web::json_response(StatusCode::OK, &json!({"calls": state.calls})),
            Err(error) => web::error_response(StatusCode::BAD_REQUEST, &error),
        }
    }

    fn transact(&self, body: &[u8]) -> hyper::Response<web::ResponseBody> {
        let call: TransactionCall = match serde_json::from_slice(body) {
            Ok(call) => call,
            Err(error) => return web::error_response(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let mut state = self.state.lock().expect("store lock");
        let version_of = |state: &StoreState, name: &RowName| {
            let row = state.rows.get(name).filter(|row| row.value.is_some());
            row.map_or(0, |row| row.version)
        };
        let holds = |row: &NamedRow| version_of(&state, &row.name()) == row.ver;
        if !call.expected_rev.iter().all(holds) {
            let body = self.answer(&state, Vec::new());
            return web::json_response(StatusCode::PRECONDITION_FAILED, &body);
        }
        state.version += 1;
        let version = state.version;
        let writes = call.writes.into_iter().map(|row| (row.name(), row.value));
        let deletes = call.deletes.into_iter().map(|row| (row.name(), None));
        for (name, value) in writes.chain(deletes) {
            state.rows.insert(name, StoredRow { value, version });
        }
        let body = self.answer(&state, Vec::new());
        drop(state);
        self.changed.notify_waiters();
        web::json_response(StatusCode::OK, &body)
    }

    fn get(&self, query: &Query) -> hyper::Response<web::ResponseBody> {
        let state = self.state.lock().expect("store lock");
        let (table, part, from) = (query.get("table"), query.get("part"), query.get("from"));
        let limit: usize = query.get("limit").parse().unwrap_or(500);
        let held = state.rows.iter().filter(|((in_table, in_part, key), row)| {
            *in_table == table && *in_part == part && *key >= from && row.value.is_some()
        });
        let rows: Vec<Value> = held.take(limit).map(row_json).collect();
        web::json_response(StatusCode::OK, &self.answer(&state, rows))
    }

    async fn feed(&self, query: &Query) -> hyper::Response<web::ResponseBody> {
        let table = query.get("table");
        let after: u64 = query.get("after").parse().unwrap_or(0);
        let wait_ms = query.get("wait_ms").parse().unwrap_or(0).min(MAX_WAIT_MS);
        let until = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let changed = self.changed.notified();
            {
                let state = self.state.lock().expect("store lock");
                if after < state.faults.forgotten {
                    return web::error_response(StatusCode::GONE, "history");
                }
                let news = state.rows.iter();
                let news = news
                    .filter(|((in_table, _, _), row)| *in_table == table && row.version > after);
                let mut news: Vec<_> = news.collect();
                news.sort_by_key(|(_, row)| row.version);
                if !news.is_empty() || tokio::time::Instant::now() >= until {
                    let rows = news.into_iter().map(row_json).collect();
                    return web::json_response(StatusCode::OK, &self.answer(&state, rows));
                }
            }
            // The timeout ends the wait without news.
            let _ = tokio::time::timeout_at(until, changed).await;
        }
    }

    fn answer(&self, state: &StoreState, rows: Vec<Value>) -> Value {
        let now_ms = self.started.elapsed().as_millis() as u64;
        json!({"rows": rows, "truncated": false, "ver": state.version, "now_ms": now_ms})
    }
}

fn row_json(((table, part, key), row): (&RowName, &StoredRow)) -> Value {
    let mut json = json!({"table": table, "part": part, "key": key, "ver": row.version});
    match &row.value {
        Some(value) => json["value"] = value.as_str().into(),
        None => json["tombstone"] = true.into(),
    }
    json
}

/// The query of a call; names and values in the tests need no decoding.
struct Query(String);

impl Query {
    fn get(&self, name: &str) -> String {
        let mut fields = self.0.split('&').filter_map(|field| field.split_once('='));
        let found = fields.find(|(field, _)| *field == name);
        found.map_or(String::new(), |(_, value)| value.to_owned())
    }
}
