//! Requests that all hold one prompt part that crashes engines, and sound requests that share their
//! other parts. The engines are started again after each crash.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use acaciabank_testbed::{harness, journal, web};
use serde_json::json;

use crate::{
    fixture::{EmulatorProcess, Fixture, Relay, TIMEOUT, event_ids},
    restarts,
};

/// Prompt part that crashes the engine that begins to write the answer.
const CRASH_PART: &str = "crashing";
/// Further parts that do so, one for each way in which requests come at one moment.
const WAVE_PARTS: [&str; 3] = ["crashing-a", "crashing-b", "crashing-c"];
/// Prompt parts that sound requests share with the crashing ones.
const SOUND_PARTS: [&str; 2] = ["shared-1", "shared-2"];
/// Parts of a crashing request in front of its own last part.
const CRASHING_PARTS: [&str; 3] = ["shared-1", CRASH_PART, "shared-2"];
/// Parts of the requests that show whether the engines serve at all.
const PROBE_PARTS: [&str; 1] = ["probe"];
/// Length of each prompt part in tokens.
const PART_TOKENS: u32 = 500;
const EVENT_COUNT: u32 = 4;
/// Deadline that requests carry, in milliseconds.
const REQUEST_DEADLINE_MS: &str = "3000";
const RELAY_COUNT: usize = 3;
/// Ids of the prefill engines (`p`) and decode engines (`d`). With these numbers the planner changes
/// no stage.
const ENGINE_IDS: [&str; 12] = [
    "p-1", "p-2", "p-3", "p-4", "p-5", "p-6", "p-7", "p-8", "d-1", "d-2", "d-3", "d-4",
];
/// Time after which a crashed engine is started again.
const RESTART_DELAY: Duration = Duration::from_millis(800);
/// Number of engines that a part may crash.
const MAX_CRASHES: usize = 5;
/// Number of requests with a known crashing part that may still reach engines (users' rule).
const MAX_LATE_REQUESTS: usize = 3;
/// Time that relays in touch have to tell each other of a part, in milliseconds (`contact_ms` of
/// the users' rule).
const CONTACT_MS: u64 = 3_000;
/// Time by which the first token of a stream is due on the users' sites, in milliseconds.
const LATENCY_TARGET_MS: u64 = 1_000;
/// Time after a crash by which its engine serves again, in milliseconds.
const SETTLE_MS: u64 = 2_000;
/// Smallest share of sound requests served beside crashing ones, relative to that at other times
/// (users' rule).
const MIN_SOUND_SHARE: f64 = 0.5;

/// What a caller received.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Answer {
    Complete,
    /// Refused with this status and cause.
    Refused(u16, String),
    /// The connection ended before the end of the response.
    Broken,
}

impl Answer {
    /// Whether the request was refused as one that crashes engines.
    fn is_suspected(&self) -> bool {
        match self {
            Self::Refused(_, cause) => cause.starts_with("crash"),
            Self::Complete | Self::Broken => false,
        }
    }
}

/// A request that a test has sent.
#[derive(Clone, Debug)]
struct SentRequest {
    attempt: String,
    sent_ms: u64,
    elapsed_ms: u64,
    answer: Answer,
}

/// Requests that a test sends at equal intervals, to all relays in turn.
#[derive(Clone, Copy, Debug)]
struct RequestSeries<'a> {
    /// Beginning of the attempt ids.
    name: &'a str,
    /// Route, without slashes.
    route: &'a str,
    /// Parts in front of the last one, which no other request has.
    parts: &'a [&'a str],
    interval: Duration,
    count: u32,
}

/// A series of crashing requests, 40 in 6 s.
const CRASHING_SERIES: RequestSeries = RequestSeries {
    name: "crash",
    route: "resumable",
    parts: &CRASHING_PARTS,
    interval: Duration::from_millis(150),
    count: 40,
};

/// A series that goes on after the trial of a refused part, in 12 s.
const LONG_CRASHING_SERIES: RequestSeries = RequestSeries {
    count: 80,
    ..CRASHING_SERIES
};

/// Sends a request with its own path, body and last prompt part.
async fn send(relay: &Relay, route: &str, attempt: &str, parts: &[&str]) -> SentRequest {
    let sent_ms = journal::unix_ms();
    let all_parts = parts.iter().chain([&attempt]);
    let prefix: Vec<String> = all_parts
        .map(|part| format!("{part}:{PART_TOKENS}"))
        .collect();
    let prefix = prefix.join(",");
    let tokens = format!("{},{EVENT_COUNT}", PART_TOKENS * (parts.len() as u32 + 1));
    let headers = [
        ("x-acaciabank-deadline-ms", REQUEST_DEADLINE_MS),
        ("x-acaciabank-model", "m"),
        ("x-acaciabank-token-count", tokens.as_str()),
        ("x-acaciabank-prompt-prefix", prefix.as_str()),
    ];
    let path = format!("/{route}/{attempt}");
    let response = relay.send("POST", &path, attempt, &headers, attempt).await;
    let answer = match response {
        Err(_) => Answer::Broken,
        Ok(response) if response.status == 200 => {
            let all_ids: Vec<u64> = (0..u64::from(EVENT_COUNT)).collect();
            assert_eq!(event_ids(&response.body), all_ids, "{attempt}");
            Answer::Complete
        }
        Ok(response) => {
            let cause = String::from_utf8_lossy(&response.body).trim().to_owned();
            Answer::Refused(response.status, cause)
        }
    };
    SentRequest {
        attempt: attempt.to_owned(),
        sent_ms,
        elapsed_ms: journal::unix_ms().saturating_sub(sent_ms),
        answer,
    }
}

/// Three relays, and engines that are started again after they have ended.
struct CrashFixture {
    fixture: Fixture,
    engines: Arc<Mutex<Vec<EmulatorProcess>>>,
    relays: Vec<Relay>,
    restarts: tokio::task::JoinHandle<()>,
    _permit: tokio::sync::SemaphorePermit<'static>,
}

impl Drop for CrashFixture {
    fn drop(&mut self) {
        self.restarts.abort();
    }
}

impl CrashFixture {
    /// Starts relays and engines, with the time that engines take to the first event.
    async fn start(first_event_delay_ms: u64) -> Self {
        let permit = harness::acquire_fleet_permit().await;
        let mut fixture = Fixture::start().await;
        fixture.write_config(1, |_| {}).await;
        fixture.runner_arguments = vec![
            "--first-event-delay-ms".to_owned(),
            first_event_delay_ms.to_string(),
        ];
        let crash_parts = [CRASH_PART].into_iter().chain(WAVE_PARTS);
        let crash_arguments = crash_parts.flat_map(|part| ["--crash-part", part]);
        fixture
            .runner_arguments
            .extend(crash_arguments.map(str::to_owned));
        let mut engines = Vec::new();
        for id in ENGINE_IDS {
            let stage = match id.starts_with('p') {
                true => "prefill",
                false => "decode",
            };
            engines.push(fixture.start_runner(id, "models", Some(stage)).await);
        }
        let mut relays = vec![fixture.start_relay(&[]).await];
        for _ in 1..RELAY_COUNT {
            let relay = fixture.start_relay(&[&relays[0]]).await;
            relays.push(relay);
        }
        let engines = Arc::new(Mutex::new(engines));
        let fixture = Self {
            restarts: tokio::spawn(restarts::run(Arc::clone(&engines), RESTART_DELAY)),
            fixture,
            engines,
            relays,
            _permit: permit,
        };
        fixture.wait_discovered().await;
        for relay in &fixture.relays {
            wait_serving(relay).await;
        }
        fixture
    }

    /// Waits until every relay lists all of them.
    async fn wait_discovered(&self) {
        harness::wait_until(TIMEOUT, "every relay lists all relays", async || {
            for relay in &self.relays {
                if relay.listed_addresses().await.len() < self.relays.len() {
                    return false;
                }
            }
            true
        })
        .await;
    }

    /// Sends a series of requests; does not wait for the response of one before it sends the next.
    async fn send_series(&self, series: RequestSeries<'_>) -> Vec<SentRequest> {
        let started_at = tokio::time::Instant::now();
        let sent = (0..series.count).map(|number| async move {
            tokio::time::sleep_until(started_at + series.interval * number).await;
            let relay = &self.relays[number as usize % self.relays.len()];
            let attempt = format!("{}-{number}", series.name);
            send(relay, series.route, &attempt, series.parts).await
        });
        futures::future::join_all(sent).await
    }

    /// Sends sound requests with these parts, 20 in a second.
    async fn send_sound(&self, name: &str, parts: &[&str], count: u32) -> Vec<SentRequest> {
        let interval = Duration::from_millis(50);
        let route = "resumable";
        let series = RequestSeries {
            name,
            route,
            parts,
            interval,
            count,
        };
        self.send_series(series).await
    }

    /// Sends crashing requests one after the other until every relay has refused one as a suspect,
    /// 12 at the most.
    async fn send_until_refused(&self) {
        let mut refused = [false; RELAY_COUNT];
        for number in 0..12 {
            let relay = number % RELAY_COUNT;
            let attempt = format!("first-{number}");
            let sent = send(&self.relays[relay], "resumable", &attempt, &CRASHING_PARTS).await;
            refused[relay] |= sent.answer.is_suspected();
            if refused.iter().all(|is_refused| *is_refused) {
                return;
            }
        }
    }

    /// Returns times and attempt ids of the journal entries with this member, of all runs of the
    /// engines, in the order of time.
    fn entries(&self, member: &str) -> Vec<(u64, String)> {
        let engines = self.engines.lock().expect("engines lock");
        let entries = engines
            .iter()
            .flat_map(|engine| engine.full_journal(&self.fixture.launcher));
        let entries = entries.filter_map(|entry| {
            let attempt = entry[member].as_str()?.to_owned();
            Some((entry["unix_ms"].as_u64()?, attempt))
        });
        let mut entries: Vec<_> = entries.collect();
        entries.sort();
        entries
    }

    /// Returns the times of all crashes in order.
    fn crash_times(&self) -> Vec<u64> {
        let crashes = self.entries("crashed");
        crashes.into_iter().map(|(at, _)| at).collect()
    }

    /// Returns the time of the fifth crash, or of the last one if there are fewer.
    fn known_ms(&self) -> u64 {
        let crashes = self.crash_times();
        assert!(!crashes.is_empty(), "no engine crashed");
        crashes[crashes.len().min(MAX_CRASHES) - 1]
    }

    /// Returns the crashing requests that reached an engine after this time, to run or for their
    /// prompt. A request counts once for each time that it was run.
    fn reached_after(&self, after_ms: u64) -> Vec<String> {
        let is_late = |(at, attempt): &(u64, String)| *at > after_ms && attempt.contains("crash");
        let ran = self.entries("ran").into_iter().filter(is_late);
        let mut reached: Vec<String> = ran.map(|(_, attempt)| attempt).collect();
        let prefilled = self.entries("prefilled").into_iter().filter(is_late);
        for (_, attempt) in prefilled {
            if !reached.contains(&attempt) {
                reached.push(attempt);
            }
        }
        reached
    }

    /// Changes the time that prefill engines take for a prompt.
    async fn delay_prefills(&self, delay_ms: u64) {
        let addresses: Vec<_> = {
            let engines = self.engines.lock().expect("engines lock");
            let prefill = engines
                .iter()
                .filter(|engine| engine.process.name().starts_with('p'));
            prefill.map(|engine| engine.address).collect()
        };
        for address in addresses {
            let patch = json!({"prefill_delay_ms": delay_ms}).to_string();
            let response = web::call(address, "POST", "/control", &[], patch).await;
            assert_eq!(response.expect("a response").status, 200);
        }
    }

    /// Checks that few requests reach engines once the part is known.
    fn check_late_requests(&self, after_ms: u64) {
        let late = self.reached_after(self.known_ms() + after_ms);
        let crash_count = self.crash_times().len();
        assert!(
            late.len() <= MAX_LATE_REQUESTS,
            "{crash_count} crashes, {} late requests: {late:?}",
            late.len()
        );
    }

    /// Checks that a sound request is served at each relay.
    async fn check_sound(&self, name: &str, parts: &[&str]) {
        for (number, relay) in self.relays.iter().enumerate() {
            wait_serving(relay).await;
            let attempt = format!("{name}-{number}");
            let sent = send(relay, "resumable", &attempt, parts).await;
            assert_eq!(sent.answer, Answer::Complete, "{attempt}");
        }
    }
}

/// Waits until a relay serves requests that share no part with the crashing ones.
async fn wait_serving(relay: &Relay) {
    harness::wait_until(TIMEOUT, "the relay serves streams", async || {
        let sent = send(relay, "stream", "probe", &PROBE_PARTS).await;
        sent.answer == Answer::Complete
    })
    .await;
}

/// Returns the share of requests with a complete response.
fn served_share(requests: &[&SentRequest]) -> f64 {
    let served = requests
        .iter()
        .filter(|request| request.answer == Answer::Complete);
    served.count() as f64 / requests.len().max(1) as f64
}

/// Checks that sound requests sent after `after_ms` are served almost as at other times and that
/// none is refused as a suspect.
fn check_sound_share(sound: &[SentRequest], after_ms: u64, usual_share: f64) {
    let sent = sound.iter().filter(|request| request.sent_ms >= after_ms);
    let sent: Vec<&SentRequest> = sent.collect();
    assert!(sent.len() >= 20, "only {} sound requests", sent.len());
    let share = served_share(&sent);
    let failed: Vec<_> = sent
        .iter()
        .filter(|request| request.answer != Answer::Complete)
        .map(|request| (request.attempt.as_str(), &request.answer))
        .collect();
    assert!(
        share >= MIN_SOUND_SHARE * usual_share,
        "{share} of the sound requests served, {usual_share} at other times: {failed:?}"
    );
    let suspected = sent.iter().find(|request| request.answer.is_suspected());
    assert!(suspected.is_none(), "{suspected:?}");
}

/// Guards against a part that crashes engines for as long as requests with it come, because no two
/// of them are equal.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_share_a_crashing_part_are_refused_after_a_few_crashes() {
    let fixture = CrashFixture::start(0).await;
    let (crashing, _sound) = tokio::join!(
        fixture.send_series(CRASHING_SERIES),
        fixture.send_sound("sound", &SOUND_PARTS, 120),
    );
    let crash_count = fixture.crash_times().len();
    println!("{crash_count} crashes");
    assert!(crash_count <= MAX_CRASHES, "{crash_count} crashes");
    let answered = crashing
        .iter()
        .find(|request| request.answer == Answer::Complete);
    assert!(answered.is_none(), "{answered:?}");
    // Relays in touch know the part within a fraction of a second.
    fixture.check_late_requests(CONTACT_MS / 3);
    for (number, relay) in fixture.relays.iter().enumerate() {
        let attempt = format!("crash-again-{number}");
        let sent = send(relay, "resumable", &attempt, &CRASHING_PARTS).await;
        assert!(sent.answer.is_suspected(), "{sent:?}");
    }
    assert_eq!(fixture.crash_times().len(), crash_count);
}

/// Guards against sound requests that are refused, or find no engine, because they share their
/// first part with crashing ones.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sound_requests_with_the_same_first_part_are_served() {
    let fixture = CrashFixture::start(0).await;
    let before = fixture.send_sound("before", &SOUND_PARTS, 20).await;
    let usual_share = served_share(&before.iter().collect::<Vec<_>>());
    let (_crashing, sound) = tokio::join!(
        fixture.send_series(LONG_CRASHING_SERIES),
        fixture.send_sound("sound", &SOUND_PARTS, 240),
    );
    check_sound_share(&sound, fixture.known_ms() + SETTLE_MS, usual_share);
    fixture.check_late_requests(CONTACT_MS);
}

/// Guards against a first part that is taken for the crashing one because every request with it
/// crashed an engine so far.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sound_requests_with_a_first_part_that_was_never_answered_are_served() {
    let fixture = CrashFixture::start(0).await;
    let before = fixture.send_sound("before", &PROBE_PARTS, 20).await;
    let usual_share = served_share(&before.iter().collect::<Vec<_>>());
    let crashing = RequestSeries {
        parts: &["new", CRASH_PART],
        ..LONG_CRASHING_SERIES
    };
    let (_crashing, sound) = tokio::join!(fixture.send_series(crashing), async {
        tokio::time::sleep(Duration::from_secs(2)).await;
        fixture.send_sound("sound", &["new"], 200).await
    });
    let first_ms = sound.first().map_or(0, |request| request.sent_ms);
    let after_ms = first_ms.max(fixture.known_ms()) + SETTLE_MS;
    check_sound_share(&sound, after_ms, usual_share);
    fixture.check_late_requests(CONTACT_MS);
}

/// Guards against sound requests that are blamed for a crash because they waited at the engine at
/// that moment.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sound_requests_at_a_crashing_engine_are_served_and_not_refused_later() {
    let fixture = CrashFixture::start(300).await;
    for round in 0..3 {
        let crashing = format!("crash-{round}");
        let sound_name = format!("sound-{round}");
        let (_, sound) = tokio::join!(
            // This route allows one attempt, so that each sound request loses one engine at most.
            send(&fixture.relays[0], "stream", &crashing, &CRASHING_PARTS),
            async {
                tokio::time::sleep(Duration::from_millis(60)).await;
                let series = RequestSeries {
                    name: &sound_name,
                    route: "resumable",
                    parts: &SOUND_PARTS,
                    interval: Duration::from_millis(5),
                    count: 16,
                };
                fixture.send_series(series).await
            }
        );
        for request in sound {
            assert_eq!(request.answer, Answer::Complete, "{request:?}");
        }
        fixture
            .check_sound(&format!("after-{round}"), &SOUND_PARTS)
            .await;
        tokio::time::sleep(RESTART_DELAY).await;
    }
    let crashes = fixture.crash_times();
    let ran = fixture.entries("ran");
    let is_lost = |attempt: &str| ran.iter().filter(|(_, other)| other == attempt).count() > 1;
    let lost = ran
        .iter()
        .filter(|(_, attempt)| attempt.starts_with("sound") && is_lost(attempt));
    let lost_count = lost.count() / 2;
    println!("{} crashes met {lost_count} sound requests", crashes.len());
    assert!(
        lost_count >= 1,
        "no sound request waited at a crashed engine"
    );
}

/// Guards against parts that are taken for crashing ones because several engines failed at the same
/// moment, as in a failure of a rack.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_failure_of_several_engines_refuses_no_sound_request_afterwards() {
    let fixture = CrashFixture::start(300).await;
    fixture.check_sound("before", &SOUND_PARTS[..1]).await;
    // The second part has not been answered before the first failure.
    let parts = [SOUND_PARTS[0], "new"];
    for round in 0..3 {
        let name = format!("sound-{round}");
        let series = RequestSeries {
            name: &name,
            route: "resumable",
            parts: &parts,
            interval: Duration::from_millis(5),
            count: 16,
        };
        let (sound, ()) = tokio::join!(fixture.send_series(series), async {
            tokio::time::sleep(Duration::from_millis(250)).await;
            let mut engines = fixture.engines.lock().expect("engines lock");
            for engine in engines.iter_mut() {
                if engine.process.name().starts_with('d') {
                    engine.process.kill();
                }
            }
        });
        let failed = sound
            .iter()
            .filter(|request| request.answer != Answer::Complete);
        println!("round {round}: {} requests failed", failed.count());
        let suspected = sound.iter().find(|request| request.answer.is_suspected());
        assert!(suspected.is_none(), "{suspected:?}");
        fixture.check_sound(&format!("after-{round}"), &parts).await;
    }
}

/// Guards against sound requests that wait long for their turn, or in vain, after engines have crashed
/// that had others with the same first part in flight.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sound_requests_wait_shortly_after_crashes() {
    let fixture = CrashFixture::start(50).await;
    let mut usual = fixture.send_sound("before", &SOUND_PARTS, 40).await;
    usual.sort_by_key(|sent| sent.elapsed_ms);
    let usual_ms = usual[usual.len() / 2].elapsed_ms;
    let series = RequestSeries {
        name: "sound",
        route: "resumable",
        parts: &SOUND_PARTS,
        interval: Duration::from_millis(10),
        count: 400,
    };
    let (mut sound, ()) = tokio::join!(fixture.send_series(series), async {
        for name in ["d-1", "d-2"] {
            tokio::time::sleep(Duration::from_millis(1_200)).await;
            let mut engines = fixture.engines.lock().expect("engines lock");
            let engine = engines
                .iter_mut()
                .find(|engine| engine.process.name() == name);
            engine.expect("an engine").process.kill();
        }
    });
    let held_back = |sent: &&SentRequest| match &sent.answer {
        Answer::Refused(_, cause) => cause.starts_with("held_back") || sent.answer.is_suspected(),
        Answer::Complete | Answer::Broken => false,
    };
    let held_back: Vec<_> = sound.iter().filter(held_back).collect();
    assert!(held_back.is_empty(), "{held_back:?}");
    sound.sort_by_key(|sent| sent.elapsed_ms);
    let at_share = |percent: usize| sound[sound.len() * percent / 100].elapsed_ms;
    let (median_ms, high_ms) = (at_share(50), at_share(99));
    println!("usual {usual_ms} ms, p50 {median_ms} ms, p99 {high_ms} ms");
    assert!(high_ms <= usual_ms + LATENCY_TARGET_MS, "{high_ms} ms");
}

/// Guards against a relay that has to lose engines of its own before it refuses a part that the
/// others know.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_relay_that_starts_later_refuses_the_part_without_a_crash() {
    let mut fixture = CrashFixture::start(0).await;
    fixture.check_sound("before", &SOUND_PARTS).await;
    fixture.send_until_refused().await;
    let relay = fixture.fixture.start_relay(&[&fixture.relays[0]]).await;
    fixture.relays.push(relay);
    fixture.wait_discovered().await;
    fixture.relays[0]
        .process
        .restart()
        .expect("the process restarts");
    fixture.wait_discovered().await;
    let crash_count = fixture.crash_times().len();
    for relay in [&fixture.relays[RELAY_COUNT], &fixture.relays[0]] {
        wait_serving(relay).await;
        for number in 0..2 {
            let attempt = format!("crash-{}-{number}", relay.process.name());
            let sent = send(relay, "resumable", &attempt, &CRASHING_PARTS).await;
            assert!(sent.answer.is_suspected(), "{sent:?}");
        }
    }
    assert_eq!(fixture.crash_times().len(), crash_count);
    fixture.check_sound("after", &SOUND_PARTS).await;
}

/// Guards against a request that was accepted before its part became known and is sent to an engine
/// after its prompt has been processed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_in_prefill_is_not_sent_on_once_its_part_is_known() {
    let fixture = CrashFixture::start(0).await;
    fixture.check_sound("before", &SOUND_PARTS).await;
    fixture.delay_prefills(2_500).await;
    // This route waits for a prompt until the deadline of the request.
    let waiting = RequestSeries {
        name: "wait",
        route: "stream",
        parts: &CRASHING_PARTS,
        interval: Duration::from_millis(10),
        count: 3,
    };
    let (waiting, ()) = tokio::join!(fixture.send_series(waiting), async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        fixture.delay_prefills(0).await;
        fixture.send_until_refused().await;
    });
    let crash_count = fixture.crash_times().len();
    let in_prefill = fixture.entries("prefilled");
    let in_prefill = in_prefill
        .iter()
        .filter(|(_, attempt)| attempt.starts_with("wait"));
    let in_prefill: Vec<_> = in_prefill.map(|(_, attempt)| attempt).collect();
    assert!(!in_prefill.is_empty(), "no request waited: {waiting:?}");
    let ran = fixture.entries("ran");
    let sent_on = ran
        .iter()
        .find(|(_, attempt)| in_prefill.contains(&attempt));
    assert!(sent_on.is_none(), "{crash_count} crashes, {sent_on:?}");
}

/// Guards against retries that each take down a further engine, although earlier requests have
/// shown which part crashes them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retries_of_crashing_requests_end_when_the_part_is_known() {
    let fixture = CrashFixture::start(0).await;
    fixture.check_sound("before", &SOUND_PARTS).await;
    // Each request has two attempts, and all engines run when the next one comes.
    let crashing = RequestSeries {
        interval: Duration::from_millis(1_000),
        count: 4,
        ..CRASHING_SERIES
    };
    fixture.send_series(crashing).await;
    let crash_count = fixture.crash_times().len();
    println!("{crash_count} crashes");
    assert!(crash_count <= MAX_CRASHES, "{crash_count} crashes");
}

/// Guards against crashes at one moment that count as one, so that the requests of the next moments
/// reach engines too, and against sound requests with the same first part that are held back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crashing_parts_that_come_at_one_moment_are_stopped() {
    let fixture = CrashFixture::start(0).await;
    let before = fixture.send_sound("before", &SOUND_PARTS, 20).await;
    let usual_share = served_share(&before.iter().collect::<Vec<_>>());
    // Requests at one moment, number of moments, and time between them.
    let waves = [(4, 5, 3_500), (9, 4, 4_000), (18, 3, 4_500)];
    for (part, (at_once, moments, pause_ms)) in WAVE_PARTS.into_iter().zip(waves) {
        let pause = Duration::from_millis(pause_ms);
        let sound_count = pause.as_millis() as u32 * moments / 50;
        let parts = [SOUND_PARTS[0], part, SOUND_PARTS[1]];
        let sound_name = format!("sound-{part}");
        let (sound, ()) = tokio::join!(
            fixture.send_sound(&sound_name, &SOUND_PARTS, sound_count),
            async {
                for moment in 0..moments {
                    let name = format!("crash-{part}-{moment}");
                    let series = RequestSeries {
                        name: &name,
                        // One attempt each, so that the crashes of a moment come together.
                        route: "stream",
                        parts: &parts,
                        interval: Duration::ZERO,
                        count: at_once,
                    };
                    tokio::join!(fixture.send_series(series), tokio::time::sleep(pause));
                }
            }
        );
        let of_part = |attempt: &str| attempt.starts_with(&format!("crash-{part}-"));
        let crashes = fixture.entries("crashed");
        let crashes = crashes.iter().filter(|(_, attempt)| of_part(attempt));
        let crashes: Vec<u64> = crashes.map(|(at, _)| *at).collect();
        let known_ms = crashes[crashes.len().min(MAX_CRASHES) - 1];
        let late_ms = match crashes.len() < MAX_CRASHES {
            true => u64::MAX,
            false => known_ms + CONTACT_MS,
        };
        let late = fixture.reached_after(late_ms);
        let late: Vec<_> = late.iter().filter(|attempt| of_part(attempt)).collect();
        println!(
            "{at_once} at once: {} crashes, late {late:?}",
            crashes.len()
        );
        assert!(late.len() <= MAX_LATE_REQUESTS, "{part}: {late:?}");
        check_sound_share(&sound, known_ms + SETTLE_MS, usual_share);
    }
}
