//! Handling of a caller's request: routing, attempts at targets, retries and response streams.

mod access;
mod attempt;
mod engines;
mod events;
mod generate;
mod limits;
mod pause;
mod refusal;
mod request;
mod selection;
mod service;
mod stopping;
mod suspects;
mod unanswered;
mod unread;

pub use engines::{PREFILL_OVERHEAD_MS, PromptView, decide_share, pick_engines};
pub use refusal::{HttpResponse, RefusalResponse};
pub use request::RelayRequest;

use std::rc;

use acaciabank_protocol::verdict::Verdict;
use hyper::body::Incoming;

use crate::{config, panics, platform, state, telemetry::RefusalCause};
use request::RequestProgress;
use unanswered::UnansweredGuard;

/// Handles a request from a caller.
pub async fn handle<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: state::SharedState<Codec, Store>,
    request: http::Request<Incoming>,
) -> HttpResponse {
    let metadata = state.codec.read_request(request.headers());
    let id = metadata.attempt_id.clone().unwrap_or_default();
    let Some(config) = state.config() else {
        unread::discard(&state, request, None);
        let refusal = match state.phase.get() {
            state::RelayPhase::Serving => RefusalResponse::not_run(RefusalCause::NotConfigured),
            state::RelayPhase::Draining => stopping::refusal(Verdict::NotRun),
        };
        return refusal.into_response(&id, "", "");
    };
    let route = match find_route(&config, &request) {
        Some(route) => route,
        None => {
            unread::discard(&state, request, Some(&config.limits));
            return RefusalResponse::not_run(RefusalCause::NoRoute).into_response(&id, "", "");
        }
    };
    let name = route.name.clone();
    let access = access::authenticate(&state, &config, route, request.headers());
    let team = match &access {
        Ok(team) => team.clone(),
        Err(refusal) => refusal.team.clone(),
    };
    let counters = team.as_ref().map(|team| state.teams.counters(team));
    if let Some(counters) = &counters {
        counters.requests.increment(1);
    }
    let refuse = |refusal: RefusalResponse| {
        if let Some(counters) = &counters {
            counters.refusals.increment(1);
        }
        let team = team.as_ref().map_or("", |team| team.name.as_str());
        refusal.into_response(&id, &name, team)
    };
    if let Err(refusal) = access {
        unread::discard(&state, request, Some(&config.limits));
        return refuse(RefusalResponse::not_run(refusal.cause));
    }
    let mut unanswered = UnansweredGuard::new(&id, &name);
    let answer = async {
        let read = RelayRequest::read(&state, &config, route, team.clone(), metadata, request);
        let request = tokio::select! {
            biased;
            request = read => request?,
            () = state.shutdown.wait_end() => return Err(stopping::refusal(Verdict::NotRun)),
        };
        unanswered.record_read();
        state.record_request(&request.service);
        run(&state, rc::Rc::new(request)).await
    };
    // Without this, a panic would close the caller's connection.
    let result = panics::catch(answer).await;
    let result = result.unwrap_or_else(|_| Err(RefusalResponse::internal_error()));
    unanswered.close();
    match result {
        Ok(response) => {
            if let Some(counters) = &counters {
                counters.responses.increment(1);
            }
            response
        }
        Err(refusal) => refuse(refusal),
    }
}

fn find_route<'a>(
    config: &'a config::RelayConfig,
    request: &http::Request<Incoming>,
) -> Option<&'a config::RouteRule> {
    let host = request.headers().get(http::header::HOST)?.to_str().ok()?;
    config.route(host, request.uri().path())
}

async fn run<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    request: rc::Rc<RelayRequest>,
) -> Result<HttpResponse, RefusalResponse> {
    stopping::check(
        state,
        &request,
        Verdict::NotRun,
        stopping::PendingWork::Whole,
    )?;
    let progress = RequestProgress::default();
    let answer = async {
        match request.is_generation() {
            true => generate::run(state, rc::Rc::clone(&request), progress).await,
            false => service::run(state, &request, progress).await,
        }
    };
    tokio::select! {
        biased;
        answer = answer => answer,
        refusal = stopping::wait_ended(state, &request) => Err(refusal),
    }
}
