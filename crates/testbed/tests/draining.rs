//! P7: a leaving target gets no new work after 5 s; P2: what runs there finishes whole.

use std::time;

use acaciabank_testbed::{
    harness::{self, Fleet, FleetSpec},
    load, web,
};
use serde_json::{Value, json};

const PROGRAM: &str = env!("CARGO_BIN_EXE_testbed");
/// Generous limit for conditions on a busy machine.
const LIMIT: time::Duration = time::Duration::from_secs(60);
/// Time after which a leaving target gets no new work, in milliseconds.
const BOUND_MS: u64 = 5_000;
/// Interval of the polls.
const POLL_MS: u64 = 500;
/// Interval of the polls where a target returns; a long one tells the return after two good polls
/// from that after one.
const RETURN_POLL_MS: u64 = 2_000;

/// Two daemons, two engines; a stream of 40 tokens takes about 0.4 s.
async fn start_fleet(poll_ms: u64) -> Fleet {
    let mut spec = FleetSpec::small(2, 2, 1);
    spec.engine_arguments = ["--decode-step-ms", "10", "--per-sequence-ms", "0.1"]
        .map(str::to_owned)
        .into();
    spec.timers.target_poll_ms = poll_ms;
    spec.timers.host_list_poll_ms = 500;
    let launcher = harness::Launcher::new(PROGRAM).expect("a temporary folder");
    let fleet = spec.start(launcher).await.expect("the fleet starts");
    fleet.wait_settled().await;
    fleet
}

fn stream(name: &str, number: usize, max_tokens: u64) -> harness::CompletionRequest {
    harness::CompletionRequest {
        model: "drafting".to_owned(),
        prompt: format!("{name} {number}"),
        max_tokens,
        is_stream: true,
        headers: Vec::new(),
    }
}

fn unix_ms() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since.expect("a time after 1970").as_millis() as u64
}

/// Times at which the engine's journal shows an event.
fn times(fleet: &Fleet, event: &str, engine: usize) -> Vec<u64> {
    let journals = fleet.journals().expect("journals");
    let name = fleet.engines[engine].name.as_str();
    let events = journals
        .events(event)
        .filter(|entry| entry["engine"] == *name);
    events
        .filter_map(|entry| entry["unix_ms"].as_u64())
        .collect()
}

/// Sends short streams until a condition holds; all of them must arrive whole.
async fn load_until(fleet: &Fleet, name: &str, mut is_over: impl FnMut() -> bool) {
    let caller = fleet.caller(None, LIMIT);
    let deadline = time::Instant::now() + LIMIT;
    let mut round = 0;
    while !is_over() {
        assert!(
            time::Instant::now() < deadline,
            "{name}: not within {LIMIT:?}"
        );
        let requests: Vec<_> = (0..8)
            .map(|number| stream(name, round * 8 + number, 10))
            .map(load::LoadRequest::Completion)
            .collect();
        for outcome in load::run(&caller, &requests, 8, |_| {}).await {
            assert!(
                outcome.is_complete && outcome.faults.is_empty(),
                "{outcome:?}"
            );
        }
        round += 1;
    }
}

/// Long streams that run while the target leaves.
async fn long_streams(fleet: &Fleet) {
    let caller = fleet.caller(None, LIMIT);
    let requests: Vec<_> = (0..8)
        .map(|number| load::LoadRequest::Completion(stream("long", number, 300)))
        .collect();
    for outcome in load::run(&caller, &requests, 8, |_| {}).await {
        assert!(
            outcome.is_complete && outcome.faults.is_empty(),
            "{outcome:?}"
        );
        assert_eq!(outcome.attempts, 1, "{outcome:?}");
    }
}

/// Runs load over a withdrawal of engine 0 and checks the journals: both engines worked before, no
/// new work came after the bound, and every stream that had started finished at the same engine.
async fn check_withdrawal(fleet: &Fleet, withdraw: impl Future<Output = ()>) -> u64 {
    let is_started = || times(fleet, "started", 0).len() >= 2;
    let left_at = std::cell::Cell::new(u64::MAX);
    let leaving = async {
        load_until(fleet, "before", is_started).await;
        withdraw.await;
        left_at.set(unix_ms());
        load_until(fleet, "after", || {
            unix_ms() > left_at.get() + BOUND_MS + 1_500
        })
        .await;
    };
    tokio::join!(long_streams(fleet), leaving);
    let left_at = left_at.get();
    let received = times(fleet, "received", 0);
    let late: Vec<_> = received
        .iter()
        .filter(|at| **at > left_at + BOUND_MS)
        .collect();
    assert!(
        late.is_empty(),
        "work received after {left_at} + 5 s: {late:?}"
    );
    let journals = fleet.journals().expect("journals");
    assert_eq!(journals.events("cancelled").count(), 0);
    let started = journals.events("started");
    let resumed = started.filter(|entry| entry["resume_from"] != 0).count();
    assert_eq!(resumed, 0, "streams were moved to another engine");
    left_at
}

async fn post_admin(fleet: &Fleet, path: &str) {
    let address = fleet.daemons[0].admin_address;
    let answer = web::call(address, "POST", path, &[], "").await;
    assert_eq!(answer.expect("an answer").status, 200, "{path}");
}

/// Guards against new work at a target that an operator drained, against streams interrupted by the
/// drain, and against a target that does not return after `undrain`.
#[tokio::test(flavor = "multi_thread")]
async fn drained_target_gets_no_new_work() {
    let _turn = harness::fleet_turn().await;
    let fleet = start_fleet(POLL_MS).await;
    let target = fleet.engines[0].name.clone();
    let drain = format!("/admin/targets/{target}/drain");
    check_withdrawal(&fleet, post_admin(&fleet, &drain)).await;
    let before = times(&fleet, "received", 0).len();
    post_admin(&fleet, &format!("/admin/targets/{target}/undrain")).await;
    load_until(&fleet, "undrained", || {
        times(&fleet, "received", 0).len() > before
    })
    .await;
}

/// Guards against new work at a target whose host the platform lists as leaving, and against streams
/// interrupted by that.
#[tokio::test(flavor = "multi_thread")]
async fn target_on_a_leaving_host_gets_no_new_work() {
    let _turn = harness::fleet_turn().await;
    let fleet = start_fleet(POLL_MS).await;
    let host = fleet.deployment.engines[0].host.clone();
    let mark = async |state: &str| {
        let hosts = fleet.deployment.hosts.iter();
        let states: serde_json::Map<String, Value> = hosts
            .map(|entry| match entry.name == host {
                true => (entry.name.to_string(), state.into()),
                false => (entry.name.to_string(), "live".into()),
            })
            .collect();
        let message = json!({"hosts": states});
        let control = Fleet::control(fleet.platform_address, &message);
        control.await.expect("the platform takes the host list");
    };
    check_withdrawal(&fleet, mark("leaving")).await;
    let before = times(&fleet, "received", 0).len();
    mark("live").await;
    load_until(&fleet, "live again", || {
        times(&fleet, "received", 0).len() > before
    })
    .await;
}

async fn accepting(fleet: &Fleet, daemon: usize, target: &str) -> Option<bool> {
    let report = fleet.admin_json(daemon, "/admin/targets").await.ok()?;
    let mut targets = report["targets"].as_array()?.iter();
    let entry = targets.find(|entry| entry["target"] == target)?;
    entry["accepting"].as_bool()
}

/// Guards against requests lost with a stopped target, against a target that stays in use after it
/// stopped, and against one that returns after fewer than two good polls.
#[tokio::test(flavor = "multi_thread")]
async fn stopped_target_returns_after_two_good_polls() {
    let _turn = harness::fleet_turn().await;
    let mut fleet = start_fleet(RETURN_POLL_MS).await;
    let target = fleet.engines[0].name.clone();
    load_until(&fleet, "before", || times(&fleet, "started", 0).len() >= 2).await;
    fleet.engines[0].process.kill();
    let stopped_at = time::Instant::now();
    for daemon in 0..2 {
        let description = format!("daemon-{daemon} has withdrawn {target}");
        let bound = time::Duration::from_millis(BOUND_MS);
        let rest = bound.saturating_sub(stopped_at.elapsed());
        harness::wait_until(rest, &description, async || {
            accepting(&fleet, daemon, &target).await == Some(false)
        })
        .await;
    }
    let withdrawn_at = unix_ms();
    let received_before = times(&fleet, "received", 0).len();
    let restarted = fleet.engines[0].process.restart();
    restarted.expect("the engine starts again");
    load_until(&fleet, "after", || {
        times(&fleet, "received", 0).len() > received_before
    })
    .await;
    let first = times(&fleet, "received", 0)[received_before];
    // The poll that withdrew the target is at most a gossip round older than `withdrawn_at`, and two
    // good polls follow it at whole intervals. One good poll would end after one interval.
    let earliest = withdrawn_at + 3 * RETURN_POLL_MS / 2;
    assert!(
        first >= earliest,
        "work {} ms after the withdrawal",
        first - withdrawn_at
    );
}
