//! Versions of the deployment: acceptance, propagation, and start without the table service.

use std::sync;

use acaciabank_daemon::{
    config::{self, ProposeError},
    process,
};

use crate::{
    fake_table::{self, Fault, inject},
    fleet::{self, TestDaemon, closed_address, deployment, wait_for},
};

/// Runs the daemon's configuration task with a deployment of the given slots as its settings.
fn run_config(daemon: &TestDaemon, slots: u32) {
    let state = sync::Arc::clone(&daemon.state);
    tokio::spawn(config::run(state, deployment(slots)));
}

async fn wait_for_version(daemon: &TestDaemon, version: u64) {
    let state = &daemon.state;
    wait_for("version in force", || state.config.version() >= version).await;
    assert_eq!(state.config.version(), version);
}

fn slots(state: &process::ProcessState) -> u32 {
    let config = state.config.current().expect("configuration");
    config.deployment.engines[0].slots
}

/// Guards against a change that reaches only the daemon that accepted it, against accepting two
/// changes of the same version, and against a history that lacks a version. The daemons do not poll
/// the table during the test.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accepted_version_reaches_every_daemon() {
    let (_table, address) = fake_table::start().await;
    let a = fleet::start("a", 1, address, &[]);
    run_config(&a, 1);
    wait_for_version(&a, 1).await;
    let seeds = [("a", a.peer_address)];
    let others = ["b", "c"].map(|name| fleet::start(name, 1, address, &seeds));
    for daemon in &others {
        // The table's version takes precedence over these settings.
        run_config(daemon, 99);
        wait_for_version(daemon, 1).await;
        assert_eq!(slots(&daemon.state), 1);
    }
    let version = config::propose(&a.state, 1, "ann", deployment(2)).await;
    assert_eq!(version.expect("accepted"), 2);
    for daemon in &others {
        wait_for_version(daemon, 2).await;
        assert_eq!(slots(&daemon.state), 2);
    }
    let rejected = config::propose(&others[0].state, 1, "bob", deployment(3)).await;
    match rejected {
        Err(ProposeError::Conflict { version, operator }) => {
            assert_eq!((version, operator.as_str()), (2, "ann"));
        }
        other => panic!("{other:?}"),
    }
    let history = config::history(&a.state, 10).await.expect("history");
    let known: Vec<_> = history
        .iter()
        .map(|config| (config.version, config.operator.as_str()))
        .collect();
    assert_eq!(known, [(2, "ann"), (1, "settings")]);
}

/// Guards against two daemons that both put their own settings in force as version 1.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_one_first_version_is_stored() {
    let (_table, address) = fake_table::start().await;
    let daemons = ["a", "b", "c", "d"].map(|name| fleet::start(name, 1, address, &[]));
    for (index, daemon) in daemons.iter().enumerate() {
        run_config(daemon, index as u32 + 1);
    }
    for daemon in &daemons {
        wait_for_version(daemon, 1).await;
    }
    let first = slots(&daemons[0].state);
    assert!(daemons.iter().all(|daemon| slots(&daemon.state) == first));
}

/// Guards against a start from outdated settings while the table is unavailable: the daemon uses
/// the highest version of its peers, and has none while they have none.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn start_without_table_asks_other_daemons() {
    let (_table, address) = fake_table::start().await;
    let closed = closed_address();
    let a = fleet::start("a", 1, address, &[]);
    let b = fleet::start("b", 1, closed, &[("a", a.peer_address)]);
    run_config(&b, 7);
    // Daemon a responds, and has no configuration either.
    let fetched = b.state.peers.fetch_configs(0).await;
    assert_eq!(
        (fetched.response_count, fetched.highest.is_none()),
        (1, true)
    );
    assert_eq!(b.state.config.version(), 0);
    run_config(&a, 1);
    wait_for_version(&a, 1).await;
    config::propose(&a.state, 1, "ann", deployment(2))
        .await
        .expect("accepted");
    wait_for_version(&b, 2).await;
    let c = fleet::start("c", 1, closed, &[("b", b.peer_address)]);
    run_config(&c, 7);
    wait_for_version(&c, 2).await;
    assert_eq!(slots(&c.state), 2);
}

/// Guards against a lost response that is reported as a refusal, and against putting a version in
/// force whose outcome is unknown.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_response_is_resolved_or_unknown() {
    let (table, address) = fake_table::start().await;
    let a = fleet::start("a", 1, address, &[]);
    run_config(&a, 1);
    wait_for_version(&a, 1).await;
    inject(&table, &[Fault::ApplyThenClose]);
    let version = config::propose(&a.state, 1, "ann", deployment(2)).await;
    assert_eq!(version.expect("accepted"), 2);
    inject(&table, &[Fault::ApplyThenClose]);
    table.lock().expect("table").reads_fail = true;
    let unknown = config::propose(&a.state, 2, "ann", deployment(3)).await;
    assert!(
        matches!(unknown, Err(ProposeError::Unknown(_))),
        "{unknown:?}"
    );
    assert_eq!(a.state.config.version(), 2);
    inject(&table, &[Fault::Throttle]);
    let refused = config::propose(&a.state, 2, "ann", deployment(3)).await;
    assert!(
        matches!(refused, Err(ProposeError::Unavailable(_))),
        "{refused:?}"
    );
}
