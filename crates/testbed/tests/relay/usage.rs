//! Usage reports: each window once and with the right counts, whatever happens to the relay that
//! holds the lease.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use acaciabank_testbed::{emulator::ReceivedCall, harness, journal, web};
use serde_json::json;

use crate::{
    fixture::{EmulatorProcess, Fixture, ROUTE_HOST, Relay, USAGE_WINDOW_MS},
    handover, returns,
};

/// Time within which a window is reported after its end in these tests: a change of the holder takes
/// up to 9 s, and the machine may be busy.
const REPORT_TIMEOUT: Duration = Duration::from_secs(40);
/// Names of the teams, which are their API keys too.
const TEAMS: [&str; 2] = ["north", "south"];
/// Time between two requests of a team.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Shortest time between the calls of a holder and those of the same one after another was holder.
const LEASE_MS: u64 = 3_000;
/// Largest share of a team's requests by which a report may differ from the true value.
const MAX_ERROR: f64 = 0.05;
/// Difference that is allowed besides: requests that begin within milliseconds of a window's end
/// while the machine is busy.
const MAX_DIFFERENCE: f64 = 2.0;
/// Difference that is allowed in a window in which a relay was killed: what it had counted since
/// its last report, and the requests that it was sending.
const MAX_KILLED_DIFFERENCE: f64 = 12.0;

/// Requests that a relay runs before it is paused.
const UNREPORTED_REQUESTS: usize = 20;

/// Relays with an control interface, and the load of two teams.
struct UsageFleet {
    fixture: Fixture,
    cloud: EmulatorProcess,
    runner: EmulatorProcess,
    relays: Vec<Relay>,
    callers: Arc<Mutex<Vec<std::net::SocketAddr>>>,
    is_loaded: Arc<AtomicBool>,
}

impl UsageFleet {
    async fn start(relay_count: usize) -> Self {
        let mut fixture = Fixture::start().await;
        fixture.start_cloud().await;
        fixture
            .write_config(1, |config| {
                let teams = TEAMS.map(|team| json!({"name": team, "api_keys": [team]}));
                config["tenants"] = json!(teams);
            })
            .await;
        let runner = fixture.start_runner("r-1", "ledger", None).await;
        let mut relays = vec![fixture.start_relay(&[]).await];
        for _ in 1..relay_count {
            let relay = fixture.start_relay(&[&relays[0]]).await;
            relays.push(relay);
        }
        for relay in &relays {
            wait_serving(relay).await;
        }
        let callers = relays.iter().map(|relay| relay.caller_address).collect();
        let address = fixture.cloud.as_ref().expect("an interface").address;
        let process = fixture.cloud.take().expect("an interface").process;
        Self {
            fixture,
            cloud: EmulatorProcess { process, address },
            runner,
            relays,
            callers: Arc::new(Mutex::new(callers)),
            is_loaded: Arc::new(AtomicBool::new(true)),
        }
    }

    /// Sends requests of both teams to all relays in turn until [`Self::end_load`].
    fn start_load(&self) {
        for team in TEAMS {
            let (callers, is_loaded) = (Arc::clone(&self.callers), Arc::clone(&self.is_loaded));
            tokio::spawn(async move {
                let mut number = 0;
                while is_loaded.load(Ordering::Acquire) {
                    number += 1;
                    let caller = {
                        let callers = callers.lock().expect("callers lock");
                        callers[number % callers.len()]
                    };
                    let attempt = format!("{team}-{number}");
                    tokio::spawn(async move { send(caller, team, &attempt).await });
                    tokio::time::sleep(REQUEST_INTERVAL).await;
                }
            });
        }
    }

    fn end_load(&self) {
        self.is_loaded.store(false, Ordering::Release);
    }

    /// Kills a relay, to which no further requests are sent.
    fn kill(&mut self, index: usize) {
        self.stop_calling(index);
        self.relays[index].process.kill();
    }

    fn stop_calling(&self, index: usize) {
        let address = self.relays[index].caller_address;
        let mut callers = self.callers.lock().expect("callers lock");
        callers.retain(|caller| *caller != address);
    }

    async fn calls(&self) -> Vec<ReceivedCall> {
        let response = web::call(self.cloud.address, "GET", "/calls", &[], "").await;
        serde_json::from_slice(&response.expect("a response").body).expect("calls")
    }

    /// Waits until a call fulfils a condition.
    async fn wait_call(&self, description: &str, condition: impl Fn(&ReceivedCall) -> bool) {
        harness::wait_until(REPORT_TIMEOUT, description, async || {
            self.calls().await.iter().any(&condition)
        })
        .await;
    }

    /// Waits until a window after the present one has been accepted.
    async fn wait_next_window(&self) -> u64 {
        let window = journal::unix_ms() / USAGE_WINDOW_MS + 1;
        self.wait_call("the report of the next window", |call| {
            call.is_accepted && window_of(call) >= window
        })
        .await;
        window
    }

    /// Returns the true counts by window and team: the requests that the runner ran.
    fn true_counts(&self) -> BTreeMap<(u64, String), u64> {
        let mut counts = BTreeMap::new();
        for entry in self.runner.full_journal(&self.fixture.launcher) {
            let Some((team, _)) = entry["ran"].as_str().and_then(|id| id.split_once('-')) else {
                continue;
            };
            let unix_ms = entry["unix_ms"].as_u64().expect("a time");
            let key = (unix_ms / USAGE_WINDOW_MS, team.to_owned());
            *counts.entry(key).or_default() += 1;
        }
        counts
    }
}

async fn send(caller: std::net::SocketAddr, team: &str, attempt: &str) -> u16 {
    let authorization = format!("Bearer {team}");
    let headers = [
        ("host", ROUTE_HOST),
        ("authorization", authorization.as_str()),
        ("x-acaciabank-attempt-id", attempt),
        ("x-acaciabank-deadline-ms", "5000"),
    ];
    let response = web::call(caller, "GET", "/safe/a", &headers, "").await;
    response.map_or(0, |response| response.status)
}

async fn wait_serving(relay: &Relay) {
    harness::wait_until(REPORT_TIMEOUT, "a relay that serves teams", async || {
        send(relay.caller_address, "north", "north-0").await == 200
    })
    .await;
}

fn window_of(call: &ReceivedCall) -> u64 {
    call.body["window"].as_u64().expect("a window")
}

/// Checks that no window between the first and the last is missing.
fn check_complete(calls: &[ReceivedCall]) {
    let accepted = calls.iter().filter(|call| call.is_accepted);
    let accepted: BTreeSet<u64> = accepted.map(window_of).collect();
    let expected: BTreeSet<u64> = match (accepted.first(), accepted.last()) {
        (Some(first), Some(last)) => (*first..=*last).collect(),
        _ => panic!("no window was accepted"),
    };
    assert_eq!(accepted, expected, "windows that are missing");
}

/// Checks what holds whatever is lost: no window has two different reports, and tokens and holders
/// follow each other in order. Returns the counts by window.
fn check_order(calls: &[ReceivedCall]) -> BTreeMap<u64, serde_json::Value> {
    let mut windows = BTreeMap::new();
    for call in calls {
        let counts = windows
            .entry(window_of(call))
            .or_insert_with(|| call.body["counts"].clone());
        assert_eq!(*counts, call.body["counts"], "window {}", window_of(call));
    }
    for pair in calls.windows(2) {
        let [earlier, later] = pair else { continue };
        assert!(later.token >= earlier.token, "{earlier:?} before {later:?}");
        if later.token == earlier.token {
            assert_eq!(later.holder, earlier.holder, "two holders of one token");
        }
    }
    for (index, first) in calls.iter().enumerate() {
        let rest = &calls[index..];
        let Some(other) = rest.iter().position(|call| call.holder != first.holder) else {
            break;
        };
        let again = rest[other..]
            .iter()
            .find(|call| call.holder == first.holder);
        let is_apart = again.is_none_or(|again| again.unix_ms >= first.unix_ms + LEASE_MS);
        assert!(is_apart, "{first:?} and {again:?}");
    }
    windows
}

/// Guards against windows that are missing, reported twice with different counts or wrong when a
/// relay and then the holder of the lease are killed under load.
#[tokio::test]
async fn each_window_is_reported_once_while_relays_are_killed() {
    let mut fleet = UsageFleet::start(4).await;
    let holder = handover::wait_holder(&fleet.relays).await;
    fleet.wait_next_window().await;
    fleet.start_load();
    let first_full = fleet.wait_next_window().await;
    let other = (holder + 1) % fleet.relays.len();
    fleet.kill(other);
    let killed_ms = journal::unix_ms();
    fleet.wait_next_window().await;
    fleet.kill(holder);
    let holder_killed_ms = journal::unix_ms();
    fleet.wait_next_window().await;
    let last_full = fleet.wait_next_window().await;
    fleet.end_load();
    // The load ends in a window that is not compared.
    fleet.wait_next_window().await;
    let calls = fleet.calls().await;
    check_complete(&calls);
    let windows = check_order(&calls);
    let holders: BTreeSet<&str> = calls.iter().map(|call| call.holder.as_str()).collect();
    assert!(holders.len() >= 2, "{holders:?}");
    let truth = fleet.true_counts();
    for window in first_full..last_full {
        for team in TEAMS {
            let true_count = truth.get(&(window, team.to_owned())).copied().unwrap_or(0) as f64;
            let reported = windows[&window][team].as_u64().unwrap_or(0) as f64;
            let is_killed = [killed_ms, holder_killed_ms]
                .iter()
                .any(|killed_ms| (killed_ms / USAGE_WINDOW_MS).abs_diff(window) <= 1);
            let allowed = match is_killed {
                true => MAX_KILLED_DIFFERENCE,
                false => MAX_DIFFERENCE,
            };
            assert!(
                (reported - true_count).abs() <= true_count * MAX_ERROR + allowed,
                "window {window}, {team}: {reported} reported, {true_count} ran"
            );
            assert!(
                true_count > 10.0,
                "window {window}, {team}: {true_count} ran"
            );
        }
    }
}

/// Guards against a window that is reported again with other counts, or not at all, by the successor
/// of a holder that was killed after its report was carried out and before it was answered; and
/// against reports that are given up after refusals.
#[tokio::test]
async fn a_successor_repeats_an_unanswered_report_unchanged() {
    let mut fleet = UsageFleet::start(3).await;
    let holder = handover::wait_holder(&fleet.relays).await;
    fleet.wait_next_window().await;
    fleet.start_load();
    fleet.wait_next_window().await;
    fleet.cloud.control(json!({"loses_answers": true})).await;
    // Another relay is paused with counts that it has not reported, and reports them to the
    // successor.
    let paused = (holder + 1) % fleet.relays.len();
    fleet.stop_calling(paused);
    let elapsed_ms = journal::unix_ms() % USAGE_WINDOW_MS;
    tokio::time::sleep(Duration::from_millis(USAGE_WINDOW_MS + 500 - elapsed_ms)).await;
    let unanswered = journal::unix_ms() / USAGE_WINDOW_MS;
    for number in 0..UNREPORTED_REQUESTS {
        let caller = fleet.relays[paused].caller_address;
        tokio::spawn(async move { send(caller, "north", &format!("north-late-{number}")).await });
    }
    tokio::time::sleep(Duration::from_millis(60)).await;
    fleet.relays[paused].process.pause();
    fleet
        .wait_call("a report without an answer", |call| {
            window_of(call) == unanswered
        })
        .await;
    let name = fleet.relays[holder].process.name().to_owned();
    fleet.kill(holder);
    fleet.relays[paused].process.resume();
    fleet
        .cloud
        .control(json!({"loses_answers": false, "refuses_with": 503}))
        .await;
    fleet
        .wait_call("a refused report of the successor", |call| {
            call.holder != name && !call.is_accepted
        })
        .await;
    fleet.cloud.control(json!({"refuses_with": 429})).await;
    tokio::time::sleep(Duration::from_millis(USAGE_WINDOW_MS)).await;
    fleet.cloud.control(json!({"refuses_with": 0})).await;
    fleet.wait_next_window().await;
    fleet.end_load();
    let calls = fleet.calls().await;
    check_complete(&calls);
    check_order(&calls);
    let repeated = calls
        .iter()
        .any(|call| call.holder != name && call.is_accepted && window_of(call) == unanswered);
    assert!(repeated, "the successor did not repeat window {unanswered}");
}

/// Guards against a holder that was frozen and sends what it was about to send when it is resumed,
/// although another relay holds the lease, and against tokens that fall.
#[tokio::test]
async fn a_resumed_holder_sends_nothing_of_its_former_term() {
    let fleet = UsageFleet::start(3).await;
    let holder = handover::wait_holder(&fleet.relays).await;
    fleet.wait_next_window().await;
    fleet.start_load();
    // Reports that are not accepted are always about to be repeated.
    fleet.cloud.control(json!({"refuses_with": 503})).await;
    fleet
        .wait_call("a refused report", |call| !call.is_accepted)
        .await;
    let former = fleet.relays[holder].process.name().to_owned();
    fleet.stop_calling(holder);
    fleet.relays[holder].process.pause();
    fleet
        .wait_call("a report of the successor", |call| call.holder != former)
        .await;
    let resumed_ms = journal::unix_ms();
    fleet.relays[holder].process.resume();
    tokio::time::sleep(Duration::from_millis(LEASE_MS)).await;
    fleet.cloud.control(json!({"refuses_with": 0})).await;
    fleet.wait_next_window().await;
    fleet.end_load();
    let calls = fleet.calls().await;
    check_complete(&calls);
    check_order(&calls);
    let late = calls
        .iter()
        .find(|call| call.holder == former && call.unix_ms >= resumed_ms);
    assert!(late.is_none(), "{late:?}");
}

/// Guards against windows that the holder reports again with other counts, or leaves out, when the
/// store has returned from a copy without their rows; and against a successor that settles windows
/// which the former holder may have reported.
#[tokio::test]
async fn a_return_of_the_store_changes_no_report() {
    let mut fleet = UsageFleet::start(3).await;
    let holder = handover::wait_holder(&fleet.relays).await;
    fleet.wait_next_window().await;
    fleet.start_load();
    let copied_at = returns::mark_copy().await;
    fleet.wait_next_window().await;
    // Between the end of a window and its settling.
    let elapsed_ms = journal::unix_ms() % USAGE_WINDOW_MS;
    tokio::time::sleep(Duration::from_millis(USAGE_WINDOW_MS + 100 - elapsed_ms)).await;
    returns::restore(&fleet.fixture, copied_at, 0).await;
    fleet.wait_next_window().await;
    fleet.wait_next_window().await;
    let calls = fleet.calls().await;
    check_complete(&calls);
    check_order(&calls);
    let copied_at = returns::mark_copy().await;
    fleet.wait_next_window().await;
    fleet.kill(holder);
    returns::restore(&fleet.fixture, copied_at, 0).await;
    fleet.wait_next_window().await;
    fleet.end_load();
    check_order(&fleet.calls().await);
}

/// Guards against refused requests that are charged, and against a request that is counted once for
/// each engine that it was sent to.
#[tokio::test]
async fn a_request_is_counted_once_and_only_if_it_begins_to_run() {
    let fleet = UsageFleet::start(1).await;
    // The numbers that the stage planner keeps.
    let ids = ["p-1", "p-2", "p-3", "d-1", "d-2"];
    let engines = fleet.fixture.start_runners(&ids).await;
    let relay = &fleet.relays[0];
    let stream = async |attempt: &str, key: &str| {
        let authorization = format!("Bearer {key}");
        let headers = [
            ("authorization", authorization.as_str()),
            ("x-acaciabank-model", "m"),
            ("x-acaciabank-token-count", "2000,12"),
        ];
        let sent = relay.send("POST", "/resumable/a", attempt, &headers, "prompt");
        sent.await.map_or(0, |response| response.status)
    };
    harness::wait_until(REPORT_TIMEOUT, "streams", async || {
        stream("probe", "north").await == 200
    })
    .await;
    // The probes are counted for the other team and in earlier windows only.
    fleet.wait_next_window().await;
    // Of engines that are equal in all else, the one that was listed first gets the streams.
    assert_eq!(stream("last-probe", "north").await, 200);
    let first = match engines[3].run_count("last-probe").await {
        0 => &engines[4],
        _ => &engines[3],
    };
    first.control(json!({"breaks_after": 3})).await;
    for number in 0..5 {
        assert_eq!(stream(&format!("broken-{number}"), "south").await, 200);
        assert_eq!(stream(&format!("unknown-{number}"), "other").await, 401);
    }
    fleet.wait_next_window().await;
    let calls = fleet.calls().await;
    let windows = check_order(&calls);
    let counts = windows
        .values()
        .filter_map(|counts| counts["south"].as_u64());
    assert_eq!(counts.sum::<u64>(), 5);
    let mut runs = 0;
    for engine in &engines {
        for number in 0..5 {
            runs += engine.run_count(&format!("broken-{number}")).await;
        }
    }
    assert!(runs > 5, "no stream was continued: {runs} runs");
    let teams = windows.values().filter_map(|counts| counts.as_object());
    let teams: BTreeSet<&String> = teams.flat_map(|counts| counts.keys()).collect();
    let expected: BTreeSet<String> = TEAMS.map(str::to_owned).into();
    assert_eq!(teams, expected.iter().collect());
}
