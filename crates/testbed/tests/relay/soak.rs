//! Randomized faults against relays as separate processes. The schedule is a pure function of the
//! seed and is printed; promises are checked from what callers got and what the runners ran.
//!
//! `ACACIABANK_SOAK_SEEDS=FROM..TO` runs these seeds in place of the fixed ones.

use std::{
    collections::HashMap,
    env,
    sync::{Arc, Mutex, atomic},
    time::{Duration, Instant},
};

use acaciabank_testbed::{
    harness,
    proxy::{FaultKind, LinkFault},
};
use rand::{RngExt, SeedableRng, rngs};
use serde_json::{Value, json};

use crate::fixture::{Fixture, LIMIT, Member, Relay, event_ids};

/// Seeds that always run. A seed that has failed once is added with a line on its cause.
const FIXED_SEEDS: [u64; 2] = [1, 2];
/// Time in which faults start.
const RUN: Duration = Duration::from_secs(6);
const RELAYS: usize = 3;
const CALLERS: usize = 6;
const EVENTS: u32 = 8;
/// Time within which a caller of the soak waits, in milliseconds.
const DEADLINE_MS: &str = "3000";

/// What fails.
#[derive(Clone, Debug, PartialEq)]
enum SoakFault {
    KillRelay(usize),
    PauseRelay(usize),
    StopRelay(usize),
    Runner(usize, Value),
    KillRunner(usize),
    /// A link to a runner, or from a relay to the store, by its name.
    Link(String, FaultKind),
    Store(Value),
    /// A new configuration with another timeout.
    Configure,
}

/// Faults of links: one way, both ways, or late.
const LINK_FAULTS: [FaultKind; 6] = [
    FaultKind::Cut,
    FaultKind::Blackhole,
    FaultKind::BlackholeUp,
    FaultKind::BlackholeDown,
    FaultKind::Delay,
    FaultKind::DropAnswers,
];
/// Delay of each read of a delayed link, in milliseconds.
const LINK_DELAY_MS: u64 = 60;
/// Names of the runners, plain services first.
const RUNNERS: [&str; 8] = ["r-0", "r-1", "r-2", "p-1", "p-2", "p-3", "d-1", "d-2"];

#[derive(Clone, Debug)]
struct PlannedFault {
    start: Duration,
    end: Duration,
    fault: SoakFault,
}

/// The schedule of a seed; faults come in series and overlap.
fn schedule(seed: u64) -> Vec<PlannedFault> {
    let mut random = rngs::StdRng::seed_from_u64(seed);
    let mut planned = Vec::new();
    let mut start = Duration::from_millis(300);
    while start < RUN {
        let relay = random.random_range(0..RELAYS);
        let runner = random.random_range(0..RUNNERS.len());
        let link_fault = LINK_FAULTS[random.random_range(0..LINK_FAULTS.len())];
        let fault = match random.random_range(0..18) {
            0 => SoakFault::KillRelay(relay),
            1 => SoakFault::PauseRelay(relay),
            2 => SoakFault::StopRelay(relay),
            3 => SoakFault::Store(json!({"is_silent": true})),
            4 => SoakFault::Store(json!({"refuses": true})),
            5 => SoakFault::Store(json!({"loses_answers": true})),
            6 => SoakFault::Runner(runner, json!({"refuses": true})),
            7 => SoakFault::Runner(runner, json!({"loses_answers": true})),
            8 => SoakFault::Runner(runner, json!({"crosses_answers": true})),
            9 => SoakFault::Runner(runner, json!({"breaks_after": random.random_range(0..6)})),
            10 => SoakFault::Runner(runner, json!({"cuts_bodies": true})),
            11 => SoakFault::KillRunner(runner),
            12 | 13 => SoakFault::Link(RUNNERS[runner].to_owned(), link_fault),
            14 => SoakFault::Link(format!("relay-{}", relay + 1), link_fault),
            15 => SoakFault::Configure,
            16 => SoakFault::Runner(runner, json!({"is_draining": true})),
            _ => SoakFault::Runner(runner, json!({"is_mute": true})),
        };
        let end = start + Duration::from_millis(random.random_range(200..1_800));
        planned.push(PlannedFault { start, end, fault });
        start += Duration::from_millis(random.random_range(50..700));
    }
    planned
}

/// What a caller got for an attempt.
#[derive(Clone, Debug)]
struct CallRecord {
    kind: &'static str,
    attempt: String,
    /// Status and body; `None` when the connection broke.
    answer: Option<(u16, Vec<u8>)>,
}

struct Soak {
    fixture: Fixture,
    relays: Vec<Relay>,
    runners: Vec<Member>,
    version: u64,
}

impl Soak {
    async fn start() -> Self {
        let mut fixture = Fixture::start_proxied().await;
        fixture.configure(1, |_| {}).await;
        let mut runners = Vec::new();
        for id in RUNNERS {
            let (service, stage) = match id.split_once('-') {
                Some(("p", _)) => ("models", Some("prefill")),
                Some(("d", _)) => ("models", Some("decode")),
                _ => ("ledger", None),
            };
            runners.push(fixture.runner(id, service, stage).await);
        }
        let first = fixture.relay(&[]).await;
        let mut relays = vec![first];
        for _ in 1..RELAYS {
            let relay = fixture.relay(&[&relays[0]]).await;
            relays.push(relay);
        }
        for relay in &relays {
            relay.wait_serving("/safe/a").await;
            harness::wait_until(LIMIT, "a stream is served", async || {
                let answer = relay.stream("/stream/a", "probe", 2).await;
                answer.is_ok_and(|answer| answer.status == 200)
            })
            .await;
        }
        Self {
            fixture,
            relays,
            runners,
            version: 1,
        }
    }

    async fn play(&mut self, planned: &[PlannedFault]) {
        let begin = Instant::now();
        let mut steps: Vec<(Duration, bool, &SoakFault)> = planned
            .iter()
            .flat_map(|planned| {
                [
                    (planned.start, true, &planned.fault),
                    (planned.end, false, &planned.fault),
                ]
            })
            .collect();
        steps.sort_by_key(|(at, _, _)| *at);
        for (at, is_start, fault) in steps {
            tokio::time::sleep_until((begin + at).into()).await;
            match is_start {
                true => self.begin(fault).await,
                false => self.end(fault).await,
            }
        }
    }

    async fn begin(&mut self, fault: &SoakFault) {
        match fault {
            SoakFault::KillRelay(relay) => self.relays[*relay].process.kill(),
            SoakFault::PauseRelay(relay) => self.relays[*relay].process.pause(),
            SoakFault::StopRelay(relay) => self.relays[*relay].process.terminate(),
            SoakFault::Store(patch) => {
                self.fixture.store.control(patch.clone()).await;
            }
            SoakFault::Runner(runner, patch) => self.control(*runner, patch.clone()).await,
            SoakFault::KillRunner(runner) => self.runners[*runner].process.kill(),
            SoakFault::Link(name, kind) => self.set_link(name, *kind).await,
            SoakFault::Configure => self.configure().await,
        }
    }

    /// Switches a runner's faults; one that was killed has none.
    async fn control(&self, runner: usize, patch: Value) {
        let runner = &self.runners[runner];
        if runner.process.id().is_some() {
            runner.control(patch).await;
        }
    }

    async fn set_link(&self, name: &str, kind: FaultKind) {
        let proxy = self.fixture.proxy.as_ref().expect("a proxied fixture");
        let fault = LinkFault {
            kind,
            delay_ms: LINK_DELAY_MS,
            source: None,
        };
        proxy.set_fault(name, &fault).await.expect("a link");
    }

    /// Writes a configuration, unless the store does not answer now.
    async fn configure(&mut self) {
        let version = self.version + 1;
        let write = self.fixture.try_configure(version, |config| {
            config["routes"][0]["timeout_ms"] = (10_000 + version).into();
        });
        // The stand-in may be silent or refuse; the operator tries again with the next change.
        if tokio::time::timeout(Duration::from_millis(500), write)
            .await
            .is_ok_and(|is_written| is_written)
        {
            self.version = version;
        }
    }

    /// Starts relays again that have ended after SIGTERM, as the platform does, until all are ready.
    async fn revive(&mut self) {
        let until = Instant::now() + LIMIT;
        loop {
            let mut ready = 0;
            for relay in &mut self.relays {
                if relay.process.id().is_none() || relay.process.exit_status().is_some() {
                    relay.process.restart().expect("a restart");
                }
                ready += usize::from(relay.readiness().await == 200);
            }
            if ready == self.relays.len() {
                return;
            }
            assert!(Instant::now() < until, "{ready} relays are ready");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Ends a fault; a relay that was killed, paused or stopped is resumed and started again if it
    /// has ended.
    async fn end(&mut self, fault: &SoakFault) {
        match fault {
            SoakFault::KillRelay(relay)
            | SoakFault::PauseRelay(relay)
            | SoakFault::StopRelay(relay) => {
                let process = &mut self.relays[*relay].process;
                process.resume();
                if process.id().is_none() || process.exit_status().is_some() {
                    process.restart().expect("a restart");
                }
            }
            SoakFault::Store(patch) => {
                self.fixture.store.control(cleared(patch)).await;
            }
            SoakFault::Runner(runner, patch) => self.control(*runner, cleared(patch)).await,
            SoakFault::KillRunner(runner) => {
                let process = &mut self.runners[*runner].process;
                if process.id().is_none() {
                    process.restart().expect("a restart");
                    process.wait_ready().await;
                }
            }
            SoakFault::Link(name, _) => self.set_link(name, FaultKind::None).await,
            SoakFault::Configure => {}
        }
    }
}

/// The patch that ends the fault of another one.
fn cleared(patch: &Value) -> Value {
    let fields = patch.as_object().cloned().unwrap_or_default();
    let cleared = fields.into_iter().map(|(name, value)| match value {
        Value::Bool(_) => (name, json!(false)),
        _ => (name, Value::Null),
    });
    Value::Object(cleared.collect())
}

/// Sends one request after the other until told to stop.
async fn call(
    fronts: Vec<std::net::SocketAddr>,
    caller: usize,
    seed: u64,
    is_over: Arc<atomic::AtomicBool>,
    records: Arc<Mutex<Vec<CallRecord>>>,
) {
    let mut random = rngs::StdRng::seed_from_u64(seed * 100 + caller as u64);
    for number in 0.. {
        if is_over.load(atomic::Ordering::Relaxed) {
            return;
        }
        let front = fronts[random.random_range(0..fronts.len())];
        let kind = ["once", "safe", "stream", "resumable"][random.random_range(0..4)];
        let attempt = format!("{kind}-{caller}-{number}");
        let tokens = format!("2000,{EVENTS}");
        let mut headers = vec![
            ("host", crate::fixture::HOST),
            ("x-acaciabank-attempt-id", attempt.as_str()),
            ("x-acaciabank-deadline-ms", DEADLINE_MS),
        ];
        if matches!(kind, "stream" | "resumable") {
            headers.push(("x-acaciabank-model", "m"));
            headers.push(("x-acaciabank-token-count", &tokens));
            headers.push(("x-acaciabank-prompt-prefix", "aa:1500,bb:500"));
        }
        let path = format!("/{kind}/{number}");
        let sent = acaciabank_testbed::web::call(front, "POST", &path, &headers, attempt.clone());
        let limit = Duration::from_millis(3_500);
        let answer = tokio::time::timeout(limit, sent).await;
        let answer = answer.ok().and_then(Result::ok);
        records.lock().expect("records lock").push(CallRecord {
            kind,
            answer: answer.map(|answer| (answer.status, answer.body.to_vec())),
            attempt,
        });
        tokio::time::sleep(Duration::from_millis(random.random_range(1..30))).await;
    }
}

/// Every promise that the records and journals disprove.
fn broken_promises(records: &[CallRecord], runs: &HashMap<String, usize>) -> Vec<String> {
    let mut broken = Vec::new();
    for record in records {
        let ran = runs.get(&record.attempt).copied().unwrap_or(0);
        if matches!(record.kind, "once" | "stream") && ran > 1 {
            broken.push(format!("{} ran {ran} times", record.attempt));
        }
        let Some((status, body)) = &record.answer else {
            continue;
        };
        if matches!(status, 429 | 503) && ran > 0 && matches!(record.kind, "once" | "stream") {
            broken.push(format!(
                "{} was refused with {status} and ran",
                record.attempt
            ));
        }
        if *status != 200 {
            continue;
        }
        let is_whole = match record.kind {
            "once" | "safe" => *body == format!("{0}:{0}", record.attempt).into_bytes(),
            _ => event_ids(body) == (0..u64::from(EVENTS)).collect::<Vec<_>>(),
        };
        if !is_whole {
            let text = String::from_utf8_lossy(body).into_owned();
            broken.push(format!(
                "{} got another or partial answer: {text}",
                record.attempt
            ));
        }
    }
    broken
}

async fn run_seed(seed: u64) {
    let mut soak = Soak::start().await;
    let planned = schedule(seed);
    println!("seed {seed}: {planned:?}");
    let is_over = Arc::new(atomic::AtomicBool::new(false));
    let records = Arc::new(Mutex::new(Vec::new()));
    let fronts: Vec<_> = soak.relays.iter().map(|relay| relay.front).collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (is_over, records) = (Arc::clone(&is_over), Arc::clone(&records));
            tokio::spawn(call(fronts.clone(), caller, seed, is_over, records))
        })
        .collect();
    soak.play(&planned).await;
    soak.revive().await;
    // Targets that were left aside for their failures come back within some seconds.
    for relay in &soak.relays {
        relay.wait_serving("/safe/a").await;
    }
    is_over.store(true, atomic::Ordering::Relaxed);
    for caller in callers {
        caller.await.expect("a caller");
    }
    let mut runs: HashMap<String, usize> = HashMap::new();
    for runner in &soak.runners {
        for entry in runner.all_runs(&soak.fixture.launcher) {
            if let Some(attempt) = entry["ran"].as_str() {
                *runs.entry(attempt.to_owned()).or_default() += 1;
            }
        }
    }
    let records = records.lock().expect("records lock").clone();
    let served = records
        .iter()
        .filter(|record| matches!(record.answer, Some((200, _))));
    println!(
        "seed {seed}: {} of {} answered",
        served.count(),
        records.len()
    );
    let broken = broken_promises(&records, &runs);
    assert!(broken.is_empty(), "seed {seed}: {}", broken.join("\n"));
}

/// Seeds that the environment asks for, or the fixed ones.
fn seeds() -> Vec<u64> {
    let Ok(range) = env::var("ACACIABANK_SOAK_SEEDS") else {
        return FIXED_SEEDS.to_vec();
    };
    let parsed = range
        .split_once("..")
        .and_then(|(from, to)| Some(from.parse::<u64>().ok()?..to.parse::<u64>().ok()?));
    parsed.expect("ACACIABANK_SOAK_SEEDS is FROM..TO").collect()
}

/// Guards against promises that hold against one fault and fail when several overlap.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_under_random_faults() {
    for seed in seeds() {
        run_seed(seed).await;
    }
}

/// Guards against a soak that cannot be repeated from its seed.
#[test]
fn the_schedule_depends_on_the_seed_alone() {
    let text = |seed| format!("{:?}", schedule(seed));
    assert_eq!(text(7), text(7));
    assert_ne!(text(7), text(8));
}

/// Guards against a check that finds nothing.
#[test]
fn the_check_finds_broken_promises() {
    let record = |kind, attempt: &str, status, body: &str| CallRecord {
        kind,
        attempt: attempt.to_owned(),
        answer: Some((status, body.as_bytes().to_vec())),
    };
    let records = [
        record("once", "a", 200, "a:a"),
        record("once", "b", 503, "refused"),
        record("safe", "c", 200, "c:"),
        record("stream", "d", 200, "id: 0\n\nid: 2\n\n"),
        record("safe", "e", 200, "e:e"),
    ];
    let runs = [("a", 2), ("b", 1), ("c", 2), ("d", 1), ("e", 2)];
    let runs = runs
        .iter()
        .map(|(attempt, runs)| ((*attempt).to_owned(), *runs))
        .collect();
    let broken = broken_promises(&records, &runs);
    assert_eq!(broken.len(), 4, "{broken:?}");
}
