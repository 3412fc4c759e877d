//! Tests of the stand-ins themselves: a fault in them would hide faults of the daemon.

mod engine;
mod fleet;
mod platform;
mod proxy;
mod service;

use std::{net, time};

use acaciabank_testbed::{harness, web};
use serde_json::Value;

/// Generous limit for conditions on a busy machine.
const LIMIT: time::Duration = time::Duration::from_secs(30);

fn launcher() -> harness::Launcher {
    harness::Launcher::new(env!("CARGO_BIN_EXE_testbed")).expect("launcher")
}

/// A stand-in on an address of its own, with its journal in the launcher's folder.
async fn start(
    launcher: &harness::Launcher,
    name: &str,
    role: &str,
    arguments: &[&str],
) -> (harness::Process, net::SocketAddr) {
    let address = launcher.next_address().expect("address");
    let journal = launcher.journal_file(name).display().to_string();
    let mut all = vec!["--listen".to_owned(), address.to_string()];
    if role != "proxy" {
        all.extend(["--journal".to_owned(), journal]);
    }
    all.extend(arguments.iter().map(|argument| (*argument).to_owned()));
    let process = launcher.start_ready(name, role, all).await;
    (process.expect("process"), address)
}

async fn post(address: net::SocketAddr, path: &str, body: &Value) -> web::BufferedResponse {
    let call = web::call(address, "POST", path, &[], body.to_string());
    call.await.expect("an answer")
}

async fn get(address: net::SocketAddr, path: &str) -> Value {
    let call = web::call(address, "GET", path, &[], "");
    call.await.expect("an answer").json()
}
