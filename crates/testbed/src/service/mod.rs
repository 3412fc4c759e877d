//! Simulated plain service that executes calls and records them in a journal.

use std::{io, path, process, sync, time};

use acaciabank_protocol::{value_type, wire};
use bytes::Bytes;
use hyper::{Request, StatusCode, body::Incoming};
use serde_json::json;

use crate::{journal, web};

value_type!(
    /// Faults set by `POST /control`; members that the request omits keep their value.
    #[derive(Default)]
    #[serde(default)]
    pub struct ServiceFaults {
        /// Delay before each call is executed, in milliseconds.
        pub delay_ms: u64,
        /// Whether the process exits with status 3, without a response, after the next call ran.
        pub crash_after_executing: bool,
        /// Number of upcoming calls that are read and not executed; their connection is closed.
        pub close_unexecuted: u32,
        /// Number of upcoming calls that are refused with status 503 and the verdict `not_run`.
        pub refuse_not_run: u32,
        /// Number of upcoming calls that are refused with status 503 and no verdict.
        pub refuse_unmarked: u32,
    }
);

/// A running simulated service.
#[derive(Debug)]
pub struct ServiceState {
    name: String,
    boot_id: u64,
    journal: journal::Journal,
    faults: sync::Mutex<ServiceFaults>,
}

impl ServiceState {
    /// Creates a service, with a journal file if a path is given.
    ///
    /// # Errors
    ///
    /// Returns an error if the journal file cannot be opened.
    pub fn new(name: &str, journal: Option<&path::Path>) -> io::Result<sync::Arc<Self>> {
        let journal = journal::Journal::open(journal)?;
        Ok(sync::Arc::new(Self {
            name: name.to_owned(),
            boot_id: rand::random(),
            journal,
            faults: sync::Mutex::default(),
        }))
    }

    /// Handles one request.
    ///
    /// # Errors
    ///
    /// Returns an error, which closes the connection without a response, if the body cannot be read
    /// or an injected fault requires it.
    pub async fn handle(self: sync::Arc<Self>, request: Request<Incoming>) -> web::HandlerResult {
        let (head, body) = request.into_parts();
        let path = head.uri.path().to_owned();
        let body = web::read_body(body).await?;
        match path.as_str() {
            "/journal" => return Ok(hyper::Response::new(web::full_body(self.journal.text()))),
            "/control" => return Ok(self.control(&body)),
            "/admin/state" => {
                let state = json!({"boot_id": self.boot_id.to_string(), "service": self.name});
                return Ok(web::json_response(StatusCode::OK, &state));
            }
            _ => {}
        }
        let attempt = head.headers.get(wire::REQUEST_ID_HEADER).cloned();
        let mut response = self.respond(&head, body).await?;
        if let Some(attempt) = attempt {
            let headers = response.headers_mut();
            headers.insert(wire::REQUEST_ID_HEADER, attempt);
        }
        Ok(response)
    }

    /// Runs or refuses a request of a daemon.
    async fn respond(&self, head: &http::request::Parts, body: Bytes) -> web::HandlerResult {
        let path = head.uri.path();
        let header = |name| head.headers.get(name).and_then(|value| value.to_str().ok());
        let entry = json!({
            "event": "received", "service": self.name, "method": head.method.as_str(),
            "path": path, "key": header(wire::IDEMPOTENCY_HEADER),
            "attempt": header(wire::REQUEST_ID_HEADER),
            "body_hash": format!("{:016x}", xxhash_rust::xxh3::xxh3_64(&body)),
        });
        self.journal.record(entry.clone());
        let faults = self.take_faults();
        if faults.refuse_not_run > 0 {
            return Ok(web::not_run_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "busy",
            ));
        }
        if faults.refuse_unmarked > 0 {
            return Ok(web::error_response(StatusCode::SERVICE_UNAVAILABLE, "busy"));
        }
        if faults.close_unexecuted > 0 {
            return Err(io::Error::other(
                "fault: connection closed before execution",
            ));
        }
        tokio::time::sleep(time::Duration::from_millis(faults.delay_ms)).await;
        let mut executed = entry;
        executed["event"] = "executed".into();
        self.journal.record(executed);
        if faults.crash_after_executing {
            process::exit(crate::engine::CRASH_STATUS);
        }
        let response = match path {
            "/notices" | "/certificates" => {
                web::json_response(StatusCode::CREATED, &json!({"recorded": true}))
            }
            "/records" => web::json_response(StatusCode::OK, &json!({"records": self.executed()})),
            _ => hyper::Response::new(web::full_body(body)),
        };
        Ok(response)
    }

    fn control(&self, body: &[u8]) -> hyper::Response<web::ResponseBody> {
        let mut faults = self.faults.lock().expect("fault lock");
        match web::apply_patch(&mut *faults, body) {
            Ok(()) => web::json_response(StatusCode::OK, &*faults),
            Err(message) => web::error_response(StatusCode::BAD_REQUEST, &message),
        }
    }

    /// Returns the faults for one call, and decrements those that affect a number of calls.
    fn take_faults(&self) -> ServiceFaults {
        let mut faults = self.faults.lock().expect("fault lock");
        let current = faults.clone();
        faults.close_unexecuted = faults.close_unexecuted.saturating_sub(1);
        faults.refuse_not_run = faults.refuse_not_run.saturating_sub(1);
        faults.refuse_unmarked = faults.refuse_unmarked.saturating_sub(1);
        current
    }

    /// Returns the journal entries of the executed calls.
    fn executed(&self) -> Vec<serde_json::Value> {
        let text = self.journal.text();
        let entries = text
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok());
        let entries = entries.filter(|entry: &serde_json::Value| entry["event"] == "executed");
        entries.collect()
    }
}
