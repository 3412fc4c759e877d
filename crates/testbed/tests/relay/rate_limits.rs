//! Targets that name in their responses how many requests a second they take from all relays.

use std::time::{Duration, Instant};

use acaciabank_core::rate_limit::{GrantAnswer, GrantRequest, RateLimit};
use acaciabank_relay::{
    rate_limit::{GrantQuestion, LimitEntry},
    scheduler::PeerMessage,
};
use acaciabank_testbed::{harness, journal, web};
use serde_json::{Value, json};
use tokio::net::UdpSocket;

use crate::fixture::{self, EmulatorProcess, Fixture, Relay, TIMEOUT};

/// Time after the first statement from which a limit has to hold, in milliseconds (`contact_ms` of
/// the users' rule).
const CONTACT_MS: u64 = 3_000;
/// Length of the windows in which requests are counted, in milliseconds (users' rule).
const WINDOW_MS: u64 = 4_000;
/// Factor on what a limit allows in a window (users' rule).
const ALLOWED_FACTOR: f64 = 1.5;
/// Requests in a window beyond that (users' rule).
const ALLOWED_EXTRA: f64 = 5.0;
/// Time for which a test sends requests after its targets have named their limits.
const TEST_TIME: Duration = Duration::from_secs(12);
/// Interval between two requests of a test: 60 a second.
const SEND_INTERVAL: Duration = Duration::from_micros(16_667);

/// Returns the times at which requests reached a target: those run, refused and prefilled.
pub(crate) fn arrival_times(entries: &[Value]) -> Vec<u64> {
    let is_arrival = |entry: &&Value| {
        let members = ["ran", "refused", "prefilled"];
        members.iter().any(|member| !entry[*member].is_null())
    };
    let arrivals = entries.iter().filter(is_arrival);
    let mut times: Vec<u64> = arrivals
        .filter_map(|entry| entry["unix_ms"].as_u64())
        .collect();
    times.sort_unstable();
    times
}

/// Returns the largest number of times in a window that begins at `from_ms` or later.
pub(crate) fn worst_window(times: &[u64], from_ms: u64) -> usize {
    let times = &times[times.partition_point(|time| *time < from_ms)..];
    let windows = times.iter().enumerate().map(|(first, start_ms)| {
        times.partition_point(|time| *time < start_ms + WINDOW_MS) - first
    });
    windows.max().unwrap_or(0)
}

/// Returns the largest number of requests that a limit allows in a window.
pub(crate) fn allowed(per_s: f64) -> f64 {
    ALLOWED_FACTOR * per_s * (WINDOW_MS as f64 / 1_000.0) + ALLOWED_EXTRA
}

/// What callers got.
struct SentRequest {
    status: u16,
    retry_after_s: Option<f64>,
    elapsed: Duration,
}

/// Sends plain requests at a steady rate, half of them to the first relay.
async fn send_steadily(relays: &[Relay], time: Duration) -> Vec<SentRequest> {
    let started_at = Instant::now();
    let sends = (0u32..).take_while(|number| SEND_INTERVAL * *number < time);
    let calls = sends.map(|number| async move {
        tokio::time::sleep_until((started_at + SEND_INTERVAL * number).into()).await;
        let index = match number % 2 {
            0 => 0,
            _ => number as usize / 2 % relays.len(),
        };
        let sent_at = Instant::now();
        let attempt = format!("steady-{number}");
        let response = relays[index].response("GET", "/safe/a", &attempt, &[], "");
        let response = response.await;
        let retry_after = response.headers.get("retry-after");
        let retry_after = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
        SentRequest {
            status: response.status,
            retry_after_s: retry_after,
            elapsed: sent_at.elapsed(),
        }
    });
    futures::future::join_all(calls).await
}

/// Three relays, and plain runners with limits.
struct PlainFixture {
    fixture: Fixture,
    _engines: Vec<EmulatorProcess>,
    runners: Vec<EmulatorProcess>,
    relays: Vec<Relay>,
}

async fn start_plain(limits: &[Option<&str>]) -> PlainFixture {
    start_relays(3, limits).await
}

async fn start_relays(count: usize, limits: &[Option<&str>]) -> PlainFixture {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let engines = fixture
        .start_runners(&["p-1", "p-2", "p-3", "d-1", "d-2"])
        .await;
    let mut runners = Vec::new();
    for number in 0..limits.len() {
        let id = format!("r-{number}");
        runners.push(fixture.start_runner(&id, "ledger", None).await);
    }
    let relays = fixture.start_relays(count).await;
    for (runner, limit) in runners.iter().zip(limits) {
        runner.control(json!({"rate_limit": limit})).await;
    }
    PlainFixture {
        fixture,
        _engines: engines,
        runners,
        relays,
    }
}

async fn assert_limits_hold(runners: &[EmulatorProcess], limits: &[Option<&str>], named_ms: u64) {
    for (runner, limit) in runners.iter().zip(limits) {
        let Some(limit) = limit else {
            continue;
        };
        let per_s: f64 = limit.parse().expect("a number");
        let times = arrival_times(&runner.journal().await);
        let worst = worst_window(&times, named_ms + CONTACT_MS);
        let allowed = allowed(per_s);
        assert!(
            worst as f64 <= allowed,
            "{worst} requests in 4 s at a target that names {limit} a second; allowed {allowed}"
        );
    }
}

/// Guards against a target that gets more requests than it takes, and against refusals while other
/// targets have room.
#[tokio::test]
async fn a_target_gets_no_more_requests_than_it_takes() {
    check_beside_others(3, [Some("4.8"), None, None]).await;
}

/// Runs relays and targets of which some name limits; every request must be served by the others.
async fn check_beside_others(relay_count: usize, limits: [Option<&str>; 3]) {
    let fixture = start_relays(relay_count, &limits).await;
    let named_ms = journal::unix_ms();
    let sent = send_steadily(&fixture.relays, TEST_TIME).await;
    assert!(sent.iter().all(|sent| sent.status == 200));
    assert_limits_hold(&fixture.runners, &limits, named_ms).await;
}

/// Guards against limits that are kept by each relay alone, for which a share of a low limit is less
/// than one request.
#[tokio::test]
async fn low_limits_hold_over_all_relays() {
    check_beside_others(3, [Some("0.4"), Some("1.3"), None]).await;
}

/// Guards against a limit below one a second that a dozen relays may each use at once.
#[tokio::test]
async fn a_low_limit_holds_over_many_relays() {
    check_beside_others(12, [Some("0.4"), None, None]).await;
}

/// Guards against a limit that only the relay knows that was told.
#[tokio::test]
async fn other_relays_know_a_limit_and_its_end() {
    let fixture = start_plain(&[Some("2"), None, None]).await;
    let (told, others) = fixture.relays.split_first().expect("relays");
    for (event, limit) in [("target_limit", Some("2")), ("target_limit_ended", None)] {
        fixture.runners[0]
            .control(json!({"rate_limit": limit}))
            .await;
        send_steadily(std::slice::from_ref(told), Duration::from_secs(2)).await;
        for relay in others {
            harness::wait_until(TIMEOUT, "another relay knows", async || {
                has_heard(relay, event)
            })
            .await;
        }
    }
}

/// Whether a relay has logged an event about a limit that it knows from another relay.
fn has_heard(relay: &Relay, event: &str) -> bool {
    let log = std::fs::read_to_string(relay.process.output_file()).unwrap_or_default();
    let lines = log.lines().map(serde_json::from_str::<Value>);
    let mut lines = lines.flatten();
    lines.any(|line| line["event"] == event && line["cause"] == "peer")
}

/// Guards against limits that are exceeded, or used in part only, when all targets of a service name
/// one, and against callers that wait in vain or are not told when to return.
#[tokio::test]
async fn what_all_targets_together_take_is_used_and_the_rest_refused_at_once() {
    let limits = [Some("5"), Some("3.1"), Some("8")];
    let fixture = start_plain(&limits).await;
    let named_ms = journal::unix_ms();
    let sent = send_steadily(&fixture.relays, TEST_TIME).await;
    assert_limits_hold(&fixture.runners, &limits, named_ms).await;
    let taken: f64 = 5.0 + 3.1 + 8.0;
    let from_ms = named_ms + CONTACT_MS;
    let mut used = 0;
    for runner in &fixture.runners {
        let times = arrival_times(&runner.journal().await);
        used += times.iter().filter(|time| **time >= from_ms).count();
    }
    let seconds = TEST_TIME.as_secs_f64() - CONTACT_MS as f64 / 1_000.0;
    assert!(used as f64 >= 0.7 * taken * seconds, "{used} requests used");
    let refused = sent.iter().filter(|sent| sent.status == 503);
    for refused in refused {
        assert!(refused.retry_after_s.is_some_and(|time| time > 0.0));
        assert!(
            refused.elapsed < Duration::from_millis(900),
            "{:?}",
            refused.elapsed
        );
    }
}

/// Asks a relay whether a request may be sent to some target with a limit.
async fn ask(peer: std::net::SocketAddr) -> GrantAnswer {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let (id, target_hash) = (rand::random(), 7);
    let question = GrantQuestion {
        request: GrantRequest {
            id,
            target_hash,
            priority: 0,
            team: None,
        },
        limit: Some(LimitEntry {
            target_hash,
            limit: Some(RateLimit::parse("1").expect("a limit")),
            age_ms: 0,
        }),
    };
    let datagram = postcard::to_stdvec(&PeerMessage::GrantRequest(question));
    let datagram = datagram.expect("a datagram");
    socket.send_to(&datagram, peer).await.expect("a question");
    let mut buffer = [0; 1_024];
    let received = tokio::time::timeout(TIMEOUT, socket.recv(&mut buffer)).await;
    let length = received.expect("an answer in time").expect("an answer");
    match postcard::from_bytes(&buffer[..length]).expect("a message") {
        PeerMessage::GrantResponse(reply) if reply.id == id => reply.answer,
        other => panic!("{other:?}"),
    }
}

/// Returns the peers that grant requests.
async fn granters(peers: &[std::net::SocketAddr]) -> Vec<std::net::SocketAddr> {
    let mut granters = Vec::new();
    for peer in peers {
        granters.extend((ask(*peer).await != GrantAnswer::NotGranter).then_some(*peer));
    }
    granters
}

/// Guards against two relays that grant requests at the same time, and against none that does after the
/// one that did was killed.
#[tokio::test]
async fn one_relay_grants_requests_and_the_next_one_only_after_it() {
    let mut fixture = start_plain(&[None, None, None]).await;
    let relays = fixture.relays.iter();
    let mut peers: Vec<_> = relays
        .map(|relay| fixture.fixture.peer_address(relay))
        .collect();
    harness::wait_until(TIMEOUT, "the relays know each other", async || {
        granters(&peers).await.len() == 1
    })
    .await;
    let first = granters(&peers).await[0];
    let position = peers.iter().position(|peer| *peer == first);
    let position = position.expect("the granter is a peer");
    fixture.relays[position].process.kill();
    peers.remove(position);
    assert!(granters(&peers).await.is_empty());
    harness::wait_until(TIMEOUT, "the next relay grants", async || {
        granters(&peers).await.len() == 1
    })
    .await;
}

/// Guards against limits that are exceeded when the relay that grants requests is killed and comes
/// back, and against relays that send nothing for good.
#[tokio::test]
async fn limits_hold_while_relays_are_killed_in_turn() {
    let limits = [Some("4.8"), Some("1.3"), Some("0.4")];
    let mut fixture = start_plain(&limits).await;
    let named_ms = journal::unix_ms();
    let addresses: Vec<_> = fixture
        .relays
        .iter()
        .map(|relay| relay.caller_address)
        .collect();
    let started_at = Instant::now();
    let time = Duration::from_secs(16);
    let callers = (0u32..).take_while(|number| SEND_INTERVAL * *number < time);
    let callers = callers.map(|number| {
        let address = addresses[number as usize % addresses.len()];
        async move {
            tokio::time::sleep_until((started_at + SEND_INTERVAL * number).into()).await;
            // Relays that are down refuse connections.
            let _ = send_plain(address, &format!("kill-{number}")).await;
        }
    });
    let kills = async {
        for relay in &mut fixture.relays {
            tokio::time::sleep(Duration::from_secs(3)).await;
            relay.process.kill();
            tokio::time::sleep(Duration::from_secs(1)).await;
            relay.process.restart().expect("the process restarts");
        }
    };
    tokio::join!(futures::future::join_all(callers), kills);
    assert_limits_hold(&fixture.runners, &limits, named_ms).await;
    let times = arrival_times(&fixture.runners[0].journal().await);
    let last_ms = named_ms + 14_000;
    assert!(times.iter().any(|time| *time > last_ms), "not used again");
}

/// Sends a plain request; the response does not matter.
async fn send_plain(address: std::net::SocketAddr, attempt: &str) -> std::io::Result<()> {
    let headers = [
        ("host", fixture::ROUTE_HOST),
        ("x-acaciabank-attempt-id", attempt),
        ("x-acaciabank-deadline-ms", "3000"),
    ];
    web::call(address, "GET", "/safe/a", &headers, "").await?;
    Ok(())
}

/// Guards against a limit that outlasts its target's statement, for the relay that hears of the end
/// and for the others.
#[tokio::test]
async fn a_target_that_names_no_limit_any_more_is_used_as_before() {
    let limits = [Some("1"), None, None];
    let fixture = start_plain(&limits).await;
    send_steadily(&fixture.relays, Duration::from_secs(3)).await;
    let limited = &fixture.runners[0];
    limited.control(json!({"rate_limit": null})).await;
    let ended_ms = journal::unix_ms();
    send_steadily(&fixture.relays, Duration::from_secs(6)).await;
    let times = arrival_times(&limited.journal().await);
    let later = times.iter().filter(|time| **time > ended_ms + 3_000);
    let later = later.count();
    // A third of 60 a second for three seconds is 60.
    assert!(later > 30, "{later} requests");
}

/// Guards against prompts that are processed in vain, for decode engines that take no stream.
#[tokio::test]
async fn prompts_are_processed_for_engines_that_take_their_streams() {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let ids = ["p-1", "p-2", "p-3", "p-4", "p-5", "d-1", "d-2"];
    let engines = fixture.start_runners(&ids).await;
    let _ledger = fixture.start_runners(&["r-1"]).await;
    let relays = fixture.start_relays(3).await;
    for engine in &engines[5..] {
        engine.control(json!({"rate_limit": "1"})).await;
    }
    // The relays hear of the limits.
    for relay in &relays {
        for number in 0..4 {
            let attempt = format!("told-{}-{number}", relay.process.name());
            let told = relay.request_stream("/resumable/a", &attempt, 2).await;
            told.expect("a response");
        }
    }
    let started_at = Instant::now();
    let calls = (0u32..300).map(|number| {
        let relay = &relays[number as usize % relays.len()];
        async move {
            tokio::time::sleep_until((started_at + SEND_INTERVAL * number).into()).await;
            let attempt = format!("vain-{number}");
            let response = relay.request_stream("/resumable/a", &attempt, 2).await;
            response.expect("a response").status
        }
    });
    let statuses = futures::future::join_all(calls).await;
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert!(statuses.iter().all(|status| matches!(status, 200 | 503)));
    let mut processed = 0;
    for engine in &engines[..5] {
        let entries = engine.journal().await;
        let prompts = entries
            .iter()
            .filter_map(|entry| entry["prefilled"].as_str());
        processed += prompts.filter(|id| id.starts_with("vain-")).count();
    }
    // Both engines take one a second for five seconds.
    assert!(served >= 5, "only {served} streams");
    assert!(
        processed <= served,
        "{processed} prompts for {served} streams"
    );
}

/// Guards against prompts and streams beyond what an engine takes: its prefill calls, streams and
/// resumptions count alike.
#[tokio::test]
async fn engines_get_no_more_prompts_and_streams_than_they_take() {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let ids = ["p-1", "p-2", "p-3", "p-4", "p-5", "d-1", "d-2"];
    let engines = fixture.start_runners(&ids).await;
    let _ledger = fixture.start_runners(&["r-1"]).await;
    let relays = fixture.start_relays(3).await;
    let limits = [Some("2.5"), None, None, None, None, Some("1.5"), None];
    for (engine, limit) in engines.iter().zip(limits) {
        engine.control(json!({"rate_limit": limit})).await;
    }
    let named_ms = journal::unix_ms();
    let started_at = Instant::now();
    let calls = (0u32..).take_while(|number| SEND_INTERVAL * *number < TEST_TIME);
    let calls = calls.map(|number| {
        let relay = &relays[number as usize % relays.len()];
        async move {
            tokio::time::sleep_until((started_at + SEND_INTERVAL * number).into()).await;
            let attempt = format!("stream-{number}");
            let response = relay.request_stream("/resumable/a", &attempt, 2).await;
            response.expect("a response").status
        }
    });
    let statuses = futures::future::join_all(calls).await;
    assert!(statuses.iter().all(|status| *status == 200));
    assert_limits_hold(&engines, &limits, named_ms).await;
}
