//! Emulates the store: versioned rows in tables, conditional transactions and a feed of changes.
//! `/control` sets its faults and has it come back from a copy.

use std::{
    io,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use hyper::{Method, Request, Response, StatusCode, body::Incoming, header::HeaderValue};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::Notify;

use super::{
    rows::{RowKey, RowTable, StoredRow},
    runner,
};
use crate::web;

/// Maximum time that a feed request waits for changes.
const MAX_FEED_WAIT_MS: u64 = 30_000;
/// Response header with the number that rises by one when the store comes back from a copy.
const ERA_HEADER: &str = "store-era";
/// Time after which the row of a target that does not write it expires.
const TARGET_LIFETIME: Duration = runner::HEARTBEAT_INTERVAL.saturating_mul(3);
/// Interval at which expired rows, and lost rows to write again, are looked for.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);
/// Member of a `/control` request that has the store come back from a copy.
const RESTORE_MEMBER: &str = "restore";

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
    /// Deletes rows of targets that have not been written for three heartbeat intervals, except
    /// while the store refuses requests or is silent.
    pub expires_targets: bool,
}

/// Return of the store from a copy: the member `restore` of a `/control` request, beside faults
/// that are set at the same moment. It happens once; the faults stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreReturn {
    /// Age of the copy, in milliseconds.
    pub age_ms: u64,
    /// Time after which the operator writes again what it wrote since the copy, unless it has
    /// written that row meanwhile, in milliseconds. With zero, no client reads the store before.
    #[serde(default)]
    pub rewrite_delay_ms: u64,
}

#[derive(Debug, Default)]
struct StoreState {
    rows: RowTable,
    faults: StoreFaults,
    request_count: u64,
    /// Time at which the operator writes its lost rows again.
    rewrite_at: Option<Instant>,
}

impl StoreState {
    /// Changes the faults and, if the request asks for it, returns from a copy. Changes nothing if
    /// the request is invalid.
    fn apply_control(&mut self, body: &[u8]) -> web::TextResult<()> {
        let mut patch: serde_json::Map<String, Value> =
            serde_json::from_slice(body).map_err(|error| error.to_string())?;
        let store_return = patch.remove(RESTORE_MEMBER).map(serde_json::from_value);
        let store_return: Option<StoreReturn> = store_return
            .transpose()
            .map_err(|error| error.to_string())?;
        let mut faults = self.faults.clone();
        web::apply_patch(&mut faults, Value::Object(patch).to_string().as_bytes())?;
        if let Some(store_return) = store_return {
            self.restore(store_return)?;
        }
        self.faults = faults;
        Ok(())
    }

    fn restore(&mut self, store_return: StoreReturn) -> web::TextResult<()> {
        let now = Instant::now();
        self.rows
            .restore(now, Duration::from_millis(store_return.age_ms))?;
        self.rewrite_at = Some(now + Duration::from_millis(store_return.rewrite_delay_ms));
        self.rewrite_if_due(now);
        Ok(())
    }

    /// Deletes expired rows and writes lost ones of the operator again when it is time; returns
    /// whether there were any.
    fn maintain_rows(&mut self) -> bool {
        let now = Instant::now();
        let is_rewritten = self.rewrite_if_due(now);
        if self.faults.refuses || self.faults.is_silent {
            self.rows.renew_targets(now);
        }
        let has_expired =
            self.faults.expires_targets && self.rows.expire_targets(now, TARGET_LIFETIME);
        is_rewritten || has_expired
    }

    fn rewrite_if_due(&mut self, now: Instant) -> bool {
        let is_due = self.rewrite_at.is_some_and(|rewrite_at| now >= rewrite_at);
        if is_due {
            self.rewrite_at = None;
            self.rows.rewrite_lost_rows(now);
        }
        is_due
    }
}

/// A running emulated store.
#[derive(Clone, Debug)]
pub struct StoreEmulator {
    state: Arc<Mutex<StoreState>>,
    changed: Arc<Notify>,
    started_at: Instant,
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
    /// Creates an empty store and starts to maintain its rows in the background.
    pub fn start() -> Self {
        let store = Self {
            state: Arc::default(),
            changed: Arc::default(),
            started_at: Instant::now(),
        };
        tokio::spawn(store.clone().run_maintenance());
        store
    }

    async fn run_maintenance(self) {
        loop {
            tokio::time::sleep(MAINTENANCE_INTERVAL).await;
            if self.state.lock().expect("store lock").maintain_rows() {
                self.changed.notify_waiters();
            }
        }
    }

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
            return Ok(self.error_response(StatusCode::SERVICE_UNAVAILABLE, "down"));
        }
        let query = Query(head.uri.query().unwrap_or_default().to_owned());
        let response = match (head.method, head.uri.path()) {
            (Method::POST, "/rows-tx") => self.transact(&body),
            (Method::GET, "/rows-get") => self.get(&query),
            (Method::GET, "/rows-feed") => self.feed(&query).await,
            _ => self.error_response(StatusCode::NOT_FOUND, "no such call"),
        };
        tokio::time::sleep(Duration::from_millis(faults.answer_delay_ms)).await;
        if faults.loses_answers && head.uri.path() == "/rows-tx" {
            return Err(io::Error::other("fault: response dropped"));
        }
        Ok(response)
    }

    fn control(&self, body: &[u8]) -> Response<web::ResponseBody> {
        let mut state = self.state.lock().expect("store lock");
        let response = match state.apply_control(body) {
            Ok(()) => web::json_response(
                StatusCode::OK,
                &json!({
                    "calls": state.request_count, "era": state.rows.era(),
                    "ver": state.rows.version(),
                }),
            ),
            Err(error) => web::error_response(StatusCode::BAD_REQUEST, &error),
        };
        drop(state);
        self.changed.notify_waiters();
        response
    }

    fn transact(&self, body: &[u8]) -> Response<web::ResponseBody> {
        let request: TransactionRequest = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(error) => return self.error_response(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let mut state = self.state.lock().expect("store lock");
        let rows = &state.rows;
        let is_unchanged = |row: &RequestedRow| rows.version_of(&row.row_key()) == row.ver;
        if !request.expected_rev.iter().all(is_unchanged) {
            return self.rows_response(&state, StatusCode::PRECONDITION_FAILED, Vec::new());
        }
        let writes = request.writes.into_iter();
        let writes = writes.map(|row| (row.row_key(), row.value));
        let deletes = request.deletes.into_iter().map(|row| (row.row_key(), None));
        let rows = writes.chain(deletes).collect();
        state.rows.write(Instant::now(), rows);
        let response = self.rows_response(&state, StatusCode::OK, Vec::new());
        drop(state);
        self.changed.notify_waiters();
        response
    }

    fn get(&self, query: &Query) -> Response<web::ResponseBody> {
        let state = self.state.lock().expect("store lock");
        let (table, part, from) = (query.get("table"), query.get("part"), query.get("from"));
        let limit: usize = query.get("limit").parse().unwrap_or(500);
        let live_rows = state.rows.rows().filter(|((in_table, in_part, key), row)| {
            *in_table == table && *in_part == part && *key >= from && row.value.is_some()
        });
        let rows: Vec<Value> = live_rows.take(limit).map(row_json).collect();
        self.rows_response(&state, StatusCode::OK, rows)
    }

    /// Responds with the changes after a version as soon as there are any. A request that waits
    /// while the store comes back from a copy ends with the state of the copy.
    async fn feed(&self, query: &Query) -> Response<web::ResponseBody> {
        let table = query.get("table");
        let after: u64 = query.get("after").parse().unwrap_or(0);
        let wait_ms = query
            .get("wait_ms")
            .parse()
            .unwrap_or(0)
            .min(MAX_FEED_WAIT_MS);
        let deadline = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
        let first_era = self.state.lock().expect("store lock").rows.era();
        loop {
            let next_change = self.changed.notified();
            {
                let state = self.state.lock().expect("store lock");
                if after < state.faults.forgotten || after > state.rows.version() {
                    return self.gone_response(&state);
                }
                let changes = state.rows.rows();
                let changes = changes
                    .filter(|((in_table, _, _), row)| *in_table == table && row.version > after);
                let mut changes: Vec<_> = changes.collect();
                changes.sort_by_key(|(_, row)| row.version);
                let is_ended =
                    state.rows.era() != first_era || tokio::time::Instant::now() >= deadline;
                if !changes.is_empty() || is_ended {
                    let rows = changes.into_iter().map(row_json).collect();
                    return self.rows_response(&state, StatusCode::OK, rows);
                }
            }
            // After a timeout, the next iteration responds with an empty list of changes.
            let _ = tokio::time::timeout_at(deadline, next_change).await;
        }
    }

    /// Creates the response to a feed request whose history the store does not have; it names the
    /// newest version.
    fn gone_response(&self, state: &StoreState) -> Response<web::ResponseBody> {
        let mut body = self.response_body(state, Vec::new());
        body["error"] = json!({"reason": "history"});
        with_era(state, web::json_response(StatusCode::GONE, &body))
    }

    fn rows_response(
        &self,
        state: &StoreState,
        status: StatusCode,
        rows: Vec<Value>,
    ) -> Response<web::ResponseBody> {
        let body = self.response_body(state, rows);
        with_era(state, web::json_response(status, &body))
    }

    fn error_response(&self, status: StatusCode, reason: &str) -> Response<web::ResponseBody> {
        let state = self.state.lock().expect("store lock");
        with_era(&state, web::error_response(status, reason))
    }

    fn response_body(&self, state: &StoreState, rows: Vec<Value>) -> Value {
        let now_ms = self.started_at.elapsed().as_millis() as u64;
        json!({"rows": rows, "truncated": false, "ver": state.rows.version(), "now_ms": now_ms})
    }
}

/// Adds the era in which the store performed a request to its response.
fn with_era(
    state: &StoreState,
    mut response: Response<web::ResponseBody>,
) -> Response<web::ResponseBody> {
    let era = HeaderValue::from(state.rows.era());
    response.headers_mut().insert(ERA_HEADER, era);
    response
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
