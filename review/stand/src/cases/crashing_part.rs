//! A prompt part that ends each engine that begins to answer it, in requests that come a few at the
//! same moment.

use std::{
    env, fs, io,
    path::Path,
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    lab::{self, Lab},
    Outcome,
};

/// Requests with the part that come at one moment, and the time between two such moments.
const AT_ONCE: usize = 9;
const PAUSE: Duration = Duration::from_secs(8);
const MOMENTS: usize = 5;
/// Time after which an engine that has crashed is back.
const DOWN: Duration = Duration::from_millis(2_500);
const CONTACT_MS: u64 = 3_000;
/// More requests than this may not reach runners later than `contact_ms` after the fifth crash.
const MOST_LATE: usize = 3;
const PART: &str = "dead0001";

/// An engine that is started again when it has ended.
struct Engine {
    address: String,
    zone: &'static str,
    stage: &'static str,
    child: Child,
    down_since: Option<Instant>,
}

impl Drop for Engine {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start(engine: (&str, &str, &str), store: &str, record: &str) -> io::Result<Child> {
    let (address, zone, stage) = engine;
    let id = format!("i-{:010x}", lab::random() >> 24);
    Command::new(env::current_exe()?)
        .args(["engine", &id, address, store, zone, stage, PART, record])
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
}

pub fn run(folder: &Path) -> io::Result<Outcome> {
    let mut lab = Lab::start(folder)?;
    lab.store.put("op", "config", &lab::config(7, &[]));
    let engine_record = lab.folder.join("engines.txt");
    let record_path = engine_record.display().to_string();
    let store = lab.store_address.to_string();
    let mut engines = Vec::new();
    for number in 0..9 {
        let stage = if number % 3 == 0 { "decode" } else { "prefill" };
        let zone = ["tanta", "mansoura", "zagazig"][number / 3];
        let address = lab.free_address()?.to_string();
        let child = start((&address, zone, stage), &store, &record_path)?;
        engines.push(Engine {
            address,
            zone,
            stage,
            child,
            down_since: None,
        });
    }
    for zone in ["tanta", "mansoura", "zagazig"] {
        lab.start_daemon(zone, lab::BOUNDS)?;
    }
    let is_ready = lab.wait_ready();
    let fronts: Vec<_> = lab.daemons.iter().map(|daemon| daemon.front).collect();
    let (cut, whole) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    thread::sleep(Duration::from_secs(if is_ready { 11 } else { 0 }));
    let mut threads = Vec::new();
    let send = |number: u64, parts: String, deadline_ms: u64| {
        let (record, front) = (
            Arc::clone(&lab.record),
            fronts[number as usize % fronts.len()],
        );
        let (cut, whole) = (Arc::clone(&cut), Arc::clone(&whole));
        move || {
            let attempt = format!("{:016x}", lab::random());
            let headers = [
                ("X-Acaciabank-Model", "m".to_owned()),
                ("X-Acaciabank-Token-Count", "1460,20".to_owned()),
                (
                    "X-Acaciabank-Prompt-Prefix",
                    format!("5c1e07a2:800,{parts},{attempt}:250"),
                ),
            ];
            let response = lab::send_as(
                &record,
                &attempt,
                front,
                "POST",
                "/pufi791/2f",
                &headers,
                format!("prompt of {attempt}").as_bytes(),
                deadline_ms,
            );
            let counter = if response.is_whole { &whole } else { &cut };
            if response.status == 200 {
                counter.fetch_add(1, Ordering::Relaxed);
            }
        }
    };
    // Sound requests, five a second, which share the first part.
    let started = Instant::now();
    let mut next_sound = 0;
    let mut moment = 0;
    while is_ready && started.elapsed() < PAUSE * MOMENTS as u32 + Duration::from_secs(3) {
        if started.elapsed() > Duration::from_millis(200 * next_sound) {
            threads.push(thread::spawn(send(
                next_sound,
                "91bd3f06:410".to_owned(),
                4_000,
            )));
            next_sound += 1;
        }
        if lab.has_trouble && moment < MOMENTS && started.elapsed() > PAUSE * moment as u32 {
            lab.record
                .line(format!("{AT_ONCE} requests with the part come"));
            for number in 0..AT_ONCE {
                let parts = format!("{PART}:410");
                threads.push(thread::spawn(send(number as u64, parts, 4_000)));
            }
            moment += 1;
        }
        for engine in &mut engines {
            let has_ended = matches!(engine.child.try_wait(), Ok(Some(_)));
            if has_ended && engine.down_since.is_none() {
                engine.down_since = Some(Instant::now());
            }
            if engine
                .down_since
                .is_some_and(|since| since.elapsed() > DOWN)
            {
                let of = (engine.address.as_str(), engine.zone, engine.stage);
                engine.child = start(of, &store, &record_path)?;
                engine.down_since = None;
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    for thread in threads {
        let _ = thread.join();
    }
    drop(engines);
    if !is_ready {
        return Err(io::Error::other("the daemons did not become ready"));
    }
    let text = fs::read_to_string(&engine_record).unwrap_or_default();
    let at_ms = |line: &str| {
        let seconds = line
            .trim()
            .split(' ')
            .next()
            .and_then(|word| word.parse::<f64>().ok());
        (seconds.unwrap_or(0.0) * 1_000.0) as u64
    };
    lab.record
        .line("what the engines wrote, by the machine's uptime:");
    let kept = |line: &&str| line.contains("crashes by") || line.contains("with the part");
    text.lines()
        .filter(kept)
        .for_each(|line| lab.record.line(line));
    // The first line of an engine's crash: several requests may have begun it at the same moment.
    let mut crashes: Vec<(u64, &str)> = Vec::new();
    for line in text.lines().filter(|line| line.contains("crashes by")) {
        let engine = line.split_whitespace().nth(2).unwrap_or_default();
        if crashes.iter().all(|(_, other)| *other != engine) {
            crashes.push((at_ms(line), engine));
        }
    }
    crashes.sort_unstable();
    let fifth = crashes.get(4).map(|(at, _)| *at);
    let late = text.lines().filter(|line| line.contains("with the part"));
    let late = late.filter(|line| fifth.is_some_and(|fifth| at_ms(line) > fifth + CONTACT_MS));
    let mut late: Vec<&str> = late
        .filter_map(|line| line.split_whitespace().nth(2))
        .collect();
    late.sort_unstable();
    late.dedup();
    lab.record_log(&["part_refused"], 3);
    lab.record_log(&["\"order\""], 20);
    lab.record.line(format!(
        "{} crashes; {} requests with the part reached runners later than {CONTACT_MS} ms after the fifth; of the \
         accepted streams {} came to their end and {} were cut",
        crashes.len(),
        late.len(),
        whole.load(Ordering::Relaxed),
        cut.load(Ordering::Relaxed)
    ));
    Ok(if late.len() > MOST_LATE {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}
