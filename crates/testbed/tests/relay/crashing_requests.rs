//! Plain services whose runners crash while identical requests are in flight: sound ones go on, and
//! one that crashes each runner is stopped.

use std::{
    cell::RefCell,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use acaciabank_testbed::{harness, journal};
use futures::StreamExt;

use crate::{
    fixture::{EmulatorProcess, Fixture, Relay, TIMEOUT},
    restarts,
};

const RELAY_COUNT: usize = 3;
const RUNNER_COUNT: usize = 3;
/// Time that a runner works on a request.
const WORK_MS: &str = "80";
/// Interval between identical requests: some are in flight at each runner.
const INTERVAL: Duration = Duration::from_millis(10);
/// Time after which an ended runner is started again.
const RESTART_DELAY: Duration = Duration::from_millis(800);
/// Time after the last crash by which all runners serve again.
const SETTLE_TIME: Duration = Duration::from_millis(3_000);
/// Time in which requests are counted after that.
const STEADY_TIME: Duration = Duration::from_millis(1_500);
/// Smallest share of sound requests that is served after the crashes.
const MIN_SERVED_SHARE: f64 = 0.95;
/// Beginning of path and query of requests that crash each runner.
const CRASH_BEGIN: &str = "/safe/page?crash=";
/// Time that relays in touch have to tell each other of a request, in milliseconds (`contact_ms` of
/// the users' rule).
const CONTACT_MS: u64 = 3_000;
/// Crashes after which a request may reach runners three times more (users' rule).
const KNOWN_CRASHES: usize = 3;
const MAX_LATE_RUNS: usize = 3;

/// Method, path and body of requests that are all alike.
#[derive(Clone, Copy, Debug)]
struct RequestForm {
    method: &'static str,
    path: &'static str,
    body: &'static str,
}

/// What a caller received.
#[derive(Clone, Debug)]
struct Outcome {
    sent_ms: u64,
    status: u16,
    text: String,
}

impl Outcome {
    /// Whether the request was refused as one that crashes runners.
    fn is_suspected(&self) -> bool {
        self.status != 200 && self.text.starts_with("crash")
    }
}

/// Times at which runners crash.
#[derive(Clone, Copy, Debug)]
struct CrashPlan {
    /// Number of crashes one after the other.
    moments: usize,
    /// Runners that crash at each moment.
    at_once: usize,
    /// Time between two moments.
    pause: Duration,
    /// Whether the same runner crashes each time.
    is_repeated: bool,
}

struct RequestFixture {
    fixture: Fixture,
    runners: Arc<Mutex<Vec<EmulatorProcess>>>,
    relays: Vec<Relay>,
    restarts: tokio::task::JoinHandle<()>,
    _permit: tokio::sync::SemaphorePermit<'static>,
}

impl Drop for RequestFixture {
    fn drop(&mut self) {
        self.restarts.abort();
    }
}

impl RequestFixture {
    async fn start() -> Self {
        let permit = harness::acquire_fleet_permit().await;
        let mut fixture = Fixture::start().await;
        fixture.write_config(1, |_| {}).await;
        fixture.runner_arguments = ["--crash-path", CRASH_BEGIN, "--work-ms", WORK_MS]
            .map(str::to_owned)
            .to_vec();
        let mut runners = Vec::new();
        for number in 0..RUNNER_COUNT {
            let id = format!("r-{number}");
            runners.push(fixture.start_runner(&id, "ledger", None).await);
        }
        let mut relays = vec![fixture.start_relay(&[]).await];
        for _ in 1..RELAY_COUNT {
            let relay = fixture.start_relay(&[&relays[0]]).await;
            relays.push(relay);
        }
        let runners = Arc::new(Mutex::new(runners));
        let fixture = Self {
            restarts: tokio::spawn(restarts::run(Arc::clone(&runners), RESTART_DELAY)),
            fixture,
            runners,
            relays,
            _permit: permit,
        };
        for relay in &fixture.relays {
            relay.wait_serving("/safe/probe").await;
            harness::wait_until(TIMEOUT, "the relay lists all relays", async || {
                relay.listed_addresses().await.len() == RELAY_COUNT
            })
            .await;
        }
        fixture
    }

    /// Sends identical requests to all relays in turn; does not wait for the response of one before
    /// it sends the next.
    async fn send_alike(
        &self,
        form: RequestForm,
        interval: Duration,
        time: Duration,
    ) -> Vec<Outcome> {
        let started_at = tokio::time::Instant::now();
        let count = (time.as_millis() / interval.as_millis()) as u32;
        let sent = (0..count).map(|number| async move {
            tokio::time::sleep_until(started_at + interval * number).await;
            let relay = &self.relays[number as usize % RELAY_COUNT];
            self.send(relay, form).await
        });
        futures::future::join_all(sent).await
    }

    /// The same until `is_stopped` is set.
    async fn send_alike_until(&self, form: RequestForm, is_stopped: &AtomicBool) -> Vec<Outcome> {
        let started_at = tokio::time::Instant::now();
        let collected = RefCell::new(Vec::new());
        let outcomes = &collected;
        let numbers = futures::stream::iter(0_u32..).then(|number| async move {
            tokio::time::sleep_until(started_at + INTERVAL * number).await;
            number
        });
        let numbers = numbers.take_while(|_| {
            let is_stopped = is_stopped.load(Ordering::Relaxed);
            std::future::ready(!is_stopped)
        });
        let send = |number: u32| async move {
            let relay = &self.relays[number as usize % RELAY_COUNT];
            let outcome = self.send(relay, form).await;
            outcomes.borrow_mut().push(outcome);
        };
        numbers.for_each_concurrent(None, send).await;
        collected.into_inner()
    }

    async fn send(&self, relay: &Relay, form: RequestForm) -> Outcome {
        let sent_ms = journal::unix_ms();
        let attempt = format!("{:016x}", rand::random::<u64>());
        let RequestForm { method, path, body } = form;
        let response = relay.send(method, path, &attempt, &[], body).await;
        let (status, text) = response.map_or((0, String::new()), |response| {
            let text = String::from_utf8_lossy(&response.body).into_owned();
            (response.status, text)
        });
        Outcome {
            sent_ms,
            status,
            text,
        }
    }

    /// Kills runners as planned; returns the time of the last crash.
    async fn crash_runners(&self, plan: CrashPlan) -> u64 {
        for moment in 0..plan.moments {
            if moment > 0 {
                tokio::time::sleep(plan.pause).await;
            }
            let mut runners = self.runners.lock().expect("runners lock");
            let first = if plan.is_repeated { 0 } else { moment };
            for number in first..first + plan.at_once {
                runners[number % RUNNER_COUNT].process.kill();
            }
        }
        journal::unix_ms()
    }

    /// Returns the times of the journal entries with this member, of all runs of the runners.
    fn entry_times(
        &self,
        member: &str,
        is_counted: impl Fn(&serde_json::Value) -> bool,
    ) -> Vec<u64> {
        let runners = self.runners.lock().expect("runners lock");
        let entries = runners
            .iter()
            .flat_map(|runner| runner.full_journal(&self.fixture.launcher));
        let entries = entries.filter(|entry| entry[member].is_string() && is_counted(entry));
        let mut times: Vec<u64> = entries
            .filter_map(|entry| entry["unix_ms"].as_u64())
            .collect();
        times.sort_unstable();
        times
    }
}

/// Guards against sound requests that all relays refuse because runners crashed while identical ones
/// were in flight, although others of them are answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_sound_request_that_was_in_flight_in_crashes_is_served_afterwards() {
    let fixture = RequestFixture::start().await;
    let plan = |moments, at_once, pause_ms, is_repeated| CrashPlan {
        moments,
        at_once,
        pause: Duration::from_millis(pause_ms),
        is_repeated,
    };
    let plans = [
        ("GET", "", plan(2, 1, 1_500, false)),
        ("GET", "", plan(1, 2, 0, false)),
        ("POST", "a body", plan(3, 1, 700, false)),
        ("PUT", "a body", plan(1, 3, 0, false)),
        ("GET", "", plan(3, 1, 1_300, true)),
    ];
    for (number, (method, body, plan)) in plans.into_iter().enumerate() {
        let paths = ["/safe/a", "/safe/b", "/safe/c", "/safe/d", "/safe/e"];
        let path = paths[number];
        let form = RequestForm { method, path, body };
        let is_stopped = AtomicBool::new(false);
        let (outcomes, last_crash_ms) =
            tokio::join!(fixture.send_alike_until(form, &is_stopped), async {
                tokio::time::sleep(Duration::from_millis(300)).await;
                let last_crash_ms = fixture.crash_runners(plan).await;
                tokio::time::sleep(SETTLE_TIME + STEADY_TIME).await;
                is_stopped.store(true, Ordering::Relaxed);
                last_crash_ms
            });
        let steady_ms = last_crash_ms + SETTLE_TIME.as_millis() as u64;
        let steady = outcomes.iter().filter(|sent| sent.sent_ms >= steady_ms);
        let count = steady.clone().count();
        let served = steady.filter(|sent| sent.status == 200).count();
        let suspected = outcomes.iter().filter(|sent| sent.is_suspected()).count();
        println!("{plan:?}: {served} of {count} served, {suspected} refused as suspects");
        assert!(count >= 100, "{count} requests");
        let share = served as f64 / count as f64;
        assert!(share >= MIN_SERVED_SHARE, "{plan:?}: {served} of {count}");
    }
}

/// Guards against a request that crashes one runner after the other, and against refusing sound ones
/// that have the same path or the same body.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_crashes_each_runner_is_stopped_and_others_are_served() {
    let fixture = RequestFixture::start().await;
    let form = |method, path, body| RequestForm { method, path, body };
    let crashing = form("POST", "/safe/page?crash=1", "a body");
    let sound = [
        form("POST", "/safe/page", "a body"),
        form("POST", "/safe/page?page=1", "a body"),
        form("GET", "/safe/page", ""),
    ];
    let time = Duration::from_secs(14);
    let slowly = Duration::from_millis(90);
    let (crashed, first, second, third) = tokio::join!(
        fixture.send_alike(crashing, Duration::from_millis(150), time),
        fixture.send_alike(sound[0], slowly, time),
        fixture.send_alike(sound[1], slowly, time),
        fixture.send_alike(sound[2], slowly, time),
    );
    assert!(crashed.iter().all(|sent| sent.status != 200));
    let crashes = fixture.entry_times("crashed", |_| true);
    assert!(crashes.len() >= KNOWN_CRASHES, "{} crashes", crashes.len());
    let known_ms = crashes[KNOWN_CRASHES - 1];
    let is_crashing = |entry: &serde_json::Value| entry["query"] == "crash=1";
    let runs = fixture.entry_times("ran", is_crashing);
    let late_count = runs
        .iter()
        .filter(|at| **at > known_ms + CONTACT_MS)
        .count();
    println!(
        "{} crashes, {} runs, {late_count} of them late",
        crashes.len(),
        runs.len()
    );
    assert!(late_count <= MAX_LATE_RUNS, "{late_count} late runs");
    for sent in first.iter().chain(&second).chain(&third) {
        assert!(!sent.is_suspected(), "{sent:?}");
    }
    let steady_ms = known_ms + SETTLE_TIME.as_millis() as u64;
    let sound = first.iter().chain(&second).chain(&third);
    let sound: Vec<_> = sound.filter(|sent| sent.sent_ms >= steady_ms).collect();
    let served = sound.iter().filter(|sent| sent.status == 200).count();
    println!("{served} of {} sound requests served", sound.len());
    // At most three of the runners end once more, each for less than a second.
    assert!(served * 4 >= sound.len() * 3, "{served} of {}", sound.len());
}

/// Identical crashing requests that come at the same moment, through all relays.
#[derive(Clone, Copy, Debug)]
struct CrashWave {
    path: &'static str,
    query: &'static str,
    /// Number of requests at one moment.
    at_once: usize,
    /// Number of moments and the time between them.
    moments: usize,
    pause: Duration,
}

/// Guards against crashes at one moment that count as one, so that the requests of the next moments
/// reach runners too, and against sound requests that wait or are refused beside them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crashing_requests_that_come_at_one_moment_are_stopped() {
    let fixture = RequestFixture::start().await;
    let wave = |path, query, at_once, moments, pause_ms| CrashWave {
        path,
        query,
        at_once,
        moments,
        pause: Duration::from_millis(pause_ms),
    };
    let waves = [
        wave("/safe/page?crash=a", "crash=a", 3, 5, 3_200),
        wave("/safe/page?crash=b", "crash=b", 9, 4, 3_600),
        wave("/safe/page?crash=c", "crash=c", 18, 3, 4_500),
    ];
    for wave in waves {
        let form = RequestForm {
            method: "POST",
            path: wave.path,
            body: "a body",
        };
        let sound = RequestForm {
            path: "/safe/page",
            ..form
        };
        let time = wave.pause * wave.moments as u32;
        let (sound, ()) = tokio::join!(
            fixture.send_alike(sound, Duration::from_millis(50), time),
            async {
                for _ in 0..wave.moments {
                    let sent = (0..wave.at_once).map(|number| {
                        let relay = &fixture.relays[number % RELAY_COUNT];
                        fixture.send(relay, form)
                    });
                    let (outcomes, ()) = tokio::join!(
                        futures::future::join_all(sent),
                        tokio::time::sleep(wave.pause)
                    );
                    assert!(outcomes.iter().all(|sent| sent.status != 200));
                }
            }
        );
        let runs = fixture.entry_times("ran", |entry| entry["query"] == wave.query);
        let crashes = fixture.entry_times("crashed", |_| true);
        let first_ms = runs.first().copied().unwrap_or_default();
        let known = crashes.iter().filter(|at| **at >= first_ms);
        let known_ms = known.copied().nth(KNOWN_CRASHES - 1).expect("crashes");
        let late = runs.iter().filter(|at| **at > known_ms + CONTACT_MS);
        let late_count = late.count();
        println!("{wave:?}: {} runs, {late_count} of them late", runs.len());
        assert!(late_count <= MAX_LATE_RUNS, "{wave:?}: {late_count}");
        let suspected = sound.iter().find(|sent| sent.is_suspected());
        assert!(suspected.is_none(), "{wave:?}: {suspected:?}");
    }
}
