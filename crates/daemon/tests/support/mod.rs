//! Settings, state and HTTP helpers shared by the integration tests.

#![allow(dead_code)]

use std::{net, sync};

use acaciabank_daemon::{
    admin, config,
    entry::{self, EntryState},
    process::{
        ProcessState,
        listener::{self, ListenerOptions},
    },
};
use acaciabank_protocol::settings::{Deployment, ProcessSettings};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Process settings with ports that the kernel assigns and an unreachable table.
pub fn process_json() -> Value {
    json!({
        "daemon": "front-1", "region": "perth", "zone": "perth-a",
        "caller_address": "127.0.0.1:0", "admin_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0", "table": {"address": "127.0.0.1:1"},
        "limits": {"max_body_bytes": 1_024, "max_header_bytes": 8_192, "max_connections": 8}
    })
}

/// SHA-256 of `letmein`.
pub const KEY_SHA256: &str = "1c8bfe8f801d79745c4631d09fff36c82aa37fc4cce4fc946683d7b336b63032";

pub fn deployment_json() -> Value {
    json!({
        "regions": [{"name": "perth", "zones": ["perth-a"]}],
        "hosts": [{"name": "h1", "zone": "perth-a"}],
        "models": [{"name": "draft", "version": "1", "adapters": ["chess"]}],
        "engines": [{"name": "e1", "host": "h1", "address": "127.0.0.1:9", "model": "draft",
            "slots": 4, "fencing": "checked"}],
        "services": [{"name": "ledger", "instances": [
            {"name": "l1", "host": "h1", "address": "127.0.0.1:7", "slots": 4}]}],
        "teams": [{"name": "clubs", "key_sha256": [KEY_SHA256], "urgent_allowed": false}],
        "rules": {
            "never_repeat": [{"service": "ledger", "method": "POST", "path_prefix": "/fees"}],
            "urgent": [{"service": "ledger"}]
        }
    })
}

pub fn deployment() -> Deployment {
    serde_json::from_value(deployment_json()).expect("deployment")
}

pub fn config(version: u64) -> config::ConfigVersion {
    config::ConfigVersion {
        version,
        operator: "test".to_owned(),
        deployment: deployment(),
    }
}

pub fn entry_state() -> sync::Arc<EntryState> {
    let settings: ProcessSettings = serde_json::from_value(process_json()).expect("settings");
    sync::Arc::new(EntryState::new(sync::Arc::new(ProcessState::new(settings))))
}

/// Interface that a test listener serves.
#[derive(Clone, Copy)]
pub enum Interface {
    Callers,
    Operators,
}

/// Serves an interface on a port that the kernel assigns. Returns its address.
pub async fn serve(entry: &sync::Arc<EntryState>, interface: Interface) -> net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let limits = &entry.state.settings.limits;
    let options = ListenerOptions {
        name: "test",
        max_connections: limits.max_connections,
        max_header_bytes: limits.max_header_bytes,
        tls: None,
        stop: CancellationToken::new(),
    };
    let entry = sync::Arc::clone(entry);
    match interface {
        Interface::Callers => tokio::spawn(listener::serve(listener, options, move |request| {
            entry::handle(sync::Arc::clone(&entry), request)
        })),
        Interface::Operators => tokio::spawn(listener::serve(listener, options, move |request| {
            admin::handle(sync::Arc::clone(&entry), request)
        })),
    };
    address
}

/// Sends one request on a new connection. Returns status, headers and body of the response.
pub async fn call(
    address: net::SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> (StatusCode, HeaderMap, Bytes) {
    let stream = TcpStream::connect(address).await.expect("connect");
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .expect("handshake");
    tokio::spawn(connection);
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "test");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(body.into())).expect("request");
    let response = sender.send_request(request).await.expect("response");
    let (head, body) = response.into_parts();
    let body = body.collect().await.expect("body").to_bytes();
    (head.status, head.headers, body)
}

pub fn reason(body: &[u8]) -> String {
    let value: Value = serde_json::from_slice(body).expect("JSON body");
    value["error"]["reason"]
        .as_str()
        .expect("reason")
        .to_owned()
}
