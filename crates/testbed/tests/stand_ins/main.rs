//! Tests of the simulated processes: a fault in them could hide faults of the daemon.

mod engine;
mod fleet;
mod launch;
mod platform;
mod proxy;
mod service;
mod store;

use std::{net, time};

use acaciabank_testbed::{harness, web};
use serde_json::Value;

/// Maximum wait for a condition; generous because the machine may be busy.
const TIMEOUT: time::Duration = time::Duration::from_secs(30);

fn launcher() -> harness::Launcher {
    harness::Launcher::new(env!("CARGO_BIN_EXE_testbed")).expect("launcher")
}

/// Starts a simulated process on its own address, with its journal in the launcher's folder.
async fn start(
    launcher: &harness::Launcher,
    name: &str,
    role: &str,
    arguments: &[&str],
) -> (harness::Process, net::SocketAddr) {
    let address = launcher.next_address().expect("address");
    let journal = launcher.journal_file(name).display().to_string();
    let mut all_arguments = vec!["--listen".to_owned(), address.to_string()];
    if role != "proxy" {
        all_arguments.extend(["--journal".to_owned(), journal]);
    }
    all_arguments.extend(arguments.iter().map(|argument| (*argument).to_owned()));
    let process = launcher.start_ready(name, role, all_arguments).await;
    (process.expect("process"), address)
}

async fn post(address: net::SocketAddr, path: &str, body: &Value) -> web::BufferedResponse {
    let call = web::call(address, "POST", path, &[], body.to_string());
    call.await.expect("a response")
}

async fn get(address: net::SocketAddr, path: &str) -> Value {
    let call = web::call(address, "GET", path, &[], "");
    call.await.expect("a response").json()
}
