//! The callers' HTTP interface: authentication, daemon addresses, completions, service calls and
//! look-up of earlier responses.

pub mod access;
pub mod addresses;
mod body;
mod lookup;
pub mod parse;
pub mod response;
mod run;
pub mod running;

use std::{sync, time};

use acaciabank_protocol::{
    ids,
    reason::{Refusal, RefusalReason},
};
use acaciabank_relay::connection;
use arc_swap::ArcSwapOption;
use hyper::{Method, Request, body::Incoming, header};

use crate::{
    config,
    process::{Phase, SharedState, listener::HttpResponse},
};

/// State shared by all connections of callers and operators.
pub struct EntryState {
    /// The process-wide state.
    pub state: SharedState,
    /// Requests that are running.
    pub running: sync::Arc<running::RunningRegistry>,
    access: ArcSwapOption<access::AccessTable>,
    /// Bodies of refused requests that are being drained.
    drains: connection::DrainSlots,
}

impl EntryState {
    /// Creates a state without running requests.
    pub fn new(state: SharedState) -> Self {
        Self {
            state,
            running: sync::Arc::default(),
            access: ArcSwapOption::empty(),
            drains: connection::DrainSlots::default(),
        }
    }

    /// Returns the current configuration with its look-up tables. They are built when a new version
    /// is first used.
    ///
    /// # Errors
    ///
    /// `not_ready` while no configuration has been received.
    pub fn access(&self) -> Result<sync::Arc<access::AccessTable>, Refusal> {
        let Some(config) = self.state.config.current() else {
            return Err(Refusal::not_run(
                RefusalReason::NotReady,
                "no configuration learned yet",
            ));
        };
        if let Some(table) = self.access.load_full()
            && table.config.version == config.version
        {
            return Ok(table);
        }
        let table = sync::Arc::new(access::AccessTable::new(config));
        self.access.store(Some(sync::Arc::clone(&table)));
        Ok(table)
    }
}

/// A request after authentication, before its body is read.
struct RequestScope {
    id: ids::RequestId,
    team: ids::TeamId,
    access: sync::Arc<access::AccessTable>,
    arrival: time::Instant,
}

impl RequestScope {
    fn config(&self) -> &sync::Arc<config::ConfigVersion> {
        &self.access.config
    }
}

/// Handles one request of a caller.
pub async fn handle(entry: sync::Arc<EntryState>, request: Request<Incoming>) -> HttpResponse {
    let id = new_request_id(&entry.state.settings.daemon);
    let version = entry.state.config.version();
    let mut response = match route(&entry, &id, request).await {
        Ok(mut response) => {
            response::add_identity(response.headers_mut(), &id, version);
            response
        }
        Err(refusal) => {
            log::debug!(
                request_id = id.as_str(), reason = refusal.reason.as_str();
                "request refused: {}", refusal.message
            );
            response::refusal(&refusal, &id, version)
        }
    };
    if entry.state.phase.get() >= Phase::Draining {
        // Asks callers to close kept-alive connections now. Otherwise the listener would close them
        // when it stops, possibly while their next request is on its way.
        let value = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, value);
    }
    response
}

fn new_request_id(daemon: &ids::DaemonId) -> ids::RequestId {
    ids::RequestId::new(format!("{daemon}-{:032x}", rand::random::<u128>()))
}

async fn route(
    entry: &sync::Arc<EntryState>,
    id: &ids::RequestId,
    request: Request<Incoming>,
) -> Result<HttpResponse, Refusal> {
    let limits = &entry.state.settings.limits;
    parse::check_head_size(request.uri(), request.headers(), limits.max_header_bytes)?;
    let path = request.uri().path().to_owned();
    if request.method() == Method::GET && path == "/v1/addresses" {
        return Ok(addresses::respond(&entry.state, &request));
    }
    let access = entry.access()?;
    let team = access.team(request.headers())?;
    let scope = RequestScope {
        id: id.clone(),
        team,
        access,
        arrival: time::Instant::now(),
    };
    if path.starts_with("/services/") {
        return run::run_service(entry, scope, request).await;
    }
    match (request.method(), path.as_str()) {
        (&Method::POST, parse::COMPLETIONS_PATH) => {
            run::run_completion(entry, scope, parse::COMPLETIONS_PATH, request).await
        }
        (&Method::POST, parse::CHAT_PATH) => {
            run::run_completion(entry, scope, parse::CHAT_PATH, request).await
        }
        (&Method::GET, "/v1/models") => Ok(lookup::list_models(&scope)),
        (&Method::GET, path) => match path.strip_prefix("/v1/requests/") {
            Some(request_id) => lookup::find_response(entry, &scope, request_id).await,
            None => Err(unknown_route()),
        },
        _ => Err(unknown_route()),
    }
}

fn unknown_route() -> Refusal {
    Refusal::not_run(RefusalReason::NotFound, "no such path or method")
}
