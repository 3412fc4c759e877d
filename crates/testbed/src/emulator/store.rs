//! Emulates the store: versioned rows in tables, conditional transactions and a feed of changes.

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

/// Maximum time that a feed request waits for changes.
const MAX_FEED_WAIT_MS: u64 = 30_000;

/// Faults of the store, set through `/control`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Refuses every request with status 503.
    pub refuses: bool,
    /// Accepts requests and never responds.
    pub is_silent: bool,
    /// Performs writes and closes their connection without a response.
    pub loses_answers: bool,
    /// Version before which the history of changes is discarded; a feed that starts earlier gets
    /// status 410.
    pub forgotten: u64,
    /// Delay between performing a request and responding to it, in milliseconds.
    pub answer_delay_ms: u64,
}

/// A row; a deleted row has no value and the version of its deletion.
#[derive(Clone, Debug)]
struct StoredRow {
    value: Option<String>,
    version: u64,
}

/// Table, part and key of a row.
type RowKey = (String, String, String);

#[derive(Debug, Default)]
struct StoreState {
    rows: BTreeMap<RowKey, StoredRow>,
    version: u64,
    faults: StoreFaults,
    request_count: u64,
}

/// A running emulated store.
#[derive(Clone, Debug)]
pub struct StoreEmulator {
    state: Arc<Mutex<StoreState>>,
    changed: Arc<Notify>,
    started_at: Instant,
}

impl Default for StoreEmulator {
    fn default() -> Self {
        Self {
            state: Arc::default(),
            changed: Arc::default(),
            started_at: Instant::now(),
        }
    }
}

#[derive(Debug, Deserialize)]
struct TransactionRequest {
    #[serde(default)]
    expected_rev: Vec<RequestedRow>,
    #[serde(default)]
    writes: Vec<RequestedRow>,
    #[serde(default)]
    deletes: Vec<RequestedRow>,
}

#[derive(Debug, Deserialize)]
struct RequestedRow {
    table: String,
    #[serde(default)]
    part: String,
    key: String,
    value: Option<String>,
    #[serde(default)]
    ver: u64,
}

impl RequestedRow {
    fn row_key(&self) -> RowKey {
        (self.table.clone(), self.part.clone(), self.key.clone())
    }
}

impl StoreEmulator {
    /// Handles one request.
    ///
    /// # Errors
    ///
    /// Returns an error, which closes the connection without a response, if the body cannot be read
    /// or an injected fault requires it.
    pub async fn handle(self, request: Request<Incoming>) -> web::HandlerResult {
        let (head, body) = request.into_parts();
        let body = web::read_body(body).await?;
        if head.uri.path() == "/control" {
            return Ok(self.control(&body));
        }
        let faults = {
            let mut state = self.state.lock().expect("store lock");
            state.request_count += 1;
            state.faults.clone()
        };
        if faults.is_silent {
            std::future::pending::<()>().await;
        }
        if faults.refuses {
            return Ok(web::error_response(StatusCode::SERVICE_UNAVAILABLE, "down"));
        }
        let query = Query(head.uri.query().unwrap_or_default().to_owned());
        let response = match (head.method, head.uri.path()) {
            (Method::POST, "/rows-tx") => self.transact(&body),
            (Method::GET, "/rows-get") => self.get(&query),
            (Method::GET, "/rows-feed") => self.feed(&query).await,
            _ => web::error_response(StatusCode::NOT_FOUND, "no such call"),
        };
        tokio::time::sleep(Duration::from_millis(faults.answer_delay_ms)).await;
        if faults.loses_answers && head.uri.path() == "/rows-tx" {
            return Err(io::Error::other("fault: response dropped"));
        }
        Ok(response)
    }

    fn control(&self, body: &[u8]) -> hyper::Response<web::ResponseBody> {
        let mut state = self.state.lock().expect("store lock");
        match web::apply_patch(&mut state.faults, body) {
            Ok(()) => web::json_response(StatusCode::OK, &json!({"calls": state.request_count})),
            Err(error) => web::error_response(StatusCode::BAD_REQUEST, &error),
        }
    }

    fn transact(&self, body: &[u8]) -> hyper::Response<web::ResponseBody> {
        let request: TransactionRequest = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(error) => return web::error_response(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let mut state = self.state.lock().expect("store lock");
        let version_of = |state: &StoreState, row_key: &RowKey| {
            let row = state.rows.get(row_key).filter(|row| row.value.is_some());
            row.map_or(0, |row| row.version)
        };
        let is_unchanged = |row: &RequestedRow| version_of(&state, &row.row_key()) == row.ver;
        if !request.expected_rev.iter().all(is_unchanged) {
            let body = self.response_body(&state, Vec::new());
            return web::json_response(StatusCode::PRECONDITION_FAILED, &body);
        }
        state.version += 1;
        let version = state.version;
        let writes = request
            .writes
            .into_iter()
            .map(|row| (row.row_key(), row.value));
        let deletes = request.deletes.into_iter().map(|row| (row.row_key(), None));
        for (row_key, value) in writes.chain(deletes) {
            state.rows.insert(row_key, StoredRow { value, version });
        }
        let body = self.response_body(&state, Vec::new());
        drop(state);
        self.changed.notify_waiters();
        web::json_response(StatusCode::OK, &body)
    }

    fn get(&self, query: &Query) -> hyper::Response<web::ResponseBody> {
        let state = self.state.lock().expect("store lock");
        let (table, part, from) = (query.get("table"), query.get("part"), query.get("from"));
        let limit: usize = query.get("limit").parse().unwrap_or(500);
        let live_rows = state.rows.iter().filter(|((in_table, in_part, key), row)| {
            *in_table == table && *in_part == part && *key >= from && row.value.is_some()
        });
        let rows: Vec<Value> = live_rows.take(limit).map(row_json).collect();
        web::json_response(StatusCode::OK, &self.response_body(&state, rows))
    }

    async fn feed(&self, query: &Query) -> hyper::Response<web::ResponseBody> {
        let table = query.get("table");
        let after: u64 = query.get("after").parse().unwrap_or(0);
        let wait_ms = query
            .get("wait_ms")
            .parse()
            .unwrap_or(0)
            .min(MAX_FEED_WAIT_MS);
        let deadline = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let next_change = self.changed.notified();
            {
                let state = self.state.lock().expect("store lock");
                if after < state.faults.forgotten {
                    return web::error_response(StatusCode::GONE, "history");
                }
                let changes = state.rows.iter();
                let changes = changes
                    .filter(|((in_table, _, _), row)| *in_table == table && row.version > after);
                let mut changes: Vec<_> = changes.collect();
                changes.sort_by_key(|(_, row)| row.version);
                if !changes.is_empty() || tokio::time::Instant::now() >= deadline {
                    let rows = changes.into_iter().map(row_json).collect();
                    return web::json_response(StatusCode::OK, &self.response_body(&state, rows));
                }
            }
            // After a timeout, the next iteration responds with an empty list of changes.
            let _ = tokio::time::timeout_at(deadline, next_change).await;
        }
    }

    fn response_body(&self, state: &StoreState, rows: Vec<Value>) -> Value {
        let now_ms = self.started_at.elapsed().as_millis() as u64;
        json!({"rows": rows, "truncated": false, "ver": state.version, "now_ms": now_ms})
    }
}

fn row_json(((table, part, key), row): (&RowKey, &StoredRow)) -> Value {
    let mut json = json!({"table": table, "part": part, "key": key, "ver": row.version});
    match &row.value {
        Some(value) => json["value"] = value.as_str().into(),
        None => json["tombstone"] = true.into(),
    }
    json
}

/// The query string of a request. Names and values are not percent-decoded, as the tests use none
/// that are encoded.
struct Query(String);

impl Query {
    fn get(&self, name: &str) -> String {
        let mut parameters = self
            .0
            .split('&')
            .filter_map(|parameter| parameter.split_once('='));
        let parameter = parameters.find(|(parameter, _)| *parameter == name);
        parameter.map_or(String::new(), |(_, value)| value.to_owned())
    }
}
