//! Emulates the platform's control interface: accepts the calls of the holder of the lease and
//! records them. `/control` sets its faults and `/calls` returns what it has received.

use std::{
    io,
    sync::{Arc, Mutex},
    time::Duration,
};

use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{journal, web};

/// Faults of the interface, set through `/control`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CloudFaults {
    /// Refuses every call with this status, without doing anything; 0 accepts them.
    pub refuses_with: u16,
    /// Accepts connections, records nothing and never responds.
    pub is_silent: bool,
    /// Carries out calls and closes their connection without a response.
    pub loses_answers: bool,
    /// Delay between carrying out a call and responding to it, in milliseconds.
    pub answer_delay_ms: u64,
}

/// A call that was received.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReceivedCall {
    /// Time of receipt.
    pub unix_ms: u64,
    /// Path of the call.
    pub path: String,
    /// Daemon that made it.
    pub holder: String,
    /// Fencing token of the daemon's lease.
    pub token: u64,
    /// Whether it was carried out.
    pub is_accepted: bool,
    /// Body of the call.
    pub body: Value,
}

#[derive(Debug, Default)]
struct CloudState {
    faults: CloudFaults,
    calls: Vec<ReceivedCall>,
}

/// A running emulated interface.
#[derive(Clone, Debug, Default)]
pub struct CloudEmulator {
    state: Arc<Mutex<CloudState>>,
}

impl CloudEmulator {
    /// Handles one request.
    ///
    /// # Errors
    ///
    /// Returns an error, which closes the connection without a response, if the body cannot be read
    /// or an injected fault requires it.
    pub async fn handle(self, request: Request<Incoming>) -> web::HandlerResult {
        let (head, body) = request.into_parts();
        let body = web::read_body(body).await?;
        match (&head.method, head.uri.path()) {
            (_, "/control") => return Ok(self.control(&body)),
            (&Method::GET, "/calls") => {
                let state = self.state.lock().expect("cloud lock");
                return Ok(web::json_response(StatusCode::OK, &state.calls));
            }
            (&Method::POST, "/usage" | "/scale") => {}
            _ => return Ok(web::error_response(StatusCode::NOT_FOUND, "no such call")),
        }
        let faults = self.state.lock().expect("cloud lock").faults.clone();
        if faults.is_silent {
            std::future::pending::<()>().await;
        }
        let header = |name: &str| {
            let value = head.headers.get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let (Ok(token), Ok(body)) = (
            header("x-acaciabank-fencing-token").parse(),
            serde_json::from_slice(&body),
        ) else {
            return Ok(web::error_response(StatusCode::BAD_REQUEST, "malformed"));
        };
        self.state
            .lock()
            .expect("cloud lock")
            .calls
            .push(ReceivedCall {
                unix_ms: journal::unix_ms(),
                path: head.uri.path().to_owned(),
                holder: header("x-acaciabank-duty-holder"),
                token,
                is_accepted: faults.refuses_with == 0,
                body,
            });
        tokio::time::sleep(Duration::from_millis(faults.answer_delay_ms)).await;
        if faults.loses_answers {
            return Err(io::Error::other("fault: response dropped"));
        }
        match StatusCode::from_u16(faults.refuses_with) {
            Ok(status) => Ok(web::error_response(status, "fault")),
            Err(_) => Ok(web::json_response(StatusCode::OK, &serde_json::json!({}))),
        }
    }

    fn control(&self, body: &[u8]) -> Response<web::ResponseBody> {
        let mut state = self.state.lock().expect("cloud lock");
        match web::apply_patch(&mut state.faults, body) {
            Ok(()) => web::json_response(StatusCode::OK, &state.faults),
            Err(error) => web::error_response(StatusCode::BAD_REQUEST, &error),
        }
    }
}
