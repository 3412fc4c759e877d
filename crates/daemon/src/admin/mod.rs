//! Operators' HTTP interface, metrics and health.
use crate::{
    entry::{self, reply},
    process::listener::Reply,
};
use hyper::{Request, StatusCode, body::Incoming};
use std::sync;
/// Answers one request of an operator.
pub async fn handle(_entry: sync::Arc<entry::EntryState>, _request: Request<Incoming>) -> Reply {
    reply::with_type(StatusCode::NOT_FOUND, "text/plain", "")
}
