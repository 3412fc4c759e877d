//! Clients send the same sound request again and again, on a route that was added by a later
//! configuration, and two runners crash, one after the other.

use std::{
    collections::HashMap,
    env, fs, io,
    path::Path,
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    lab::{self, Lab},
    Outcome,
};

/// Time for which a crashed runner is down.
const DOWN: Duration = Duration::from_secs(2);
/// Seconds since the start of traffic: when a runner crashes, when the steady state after it is
/// looked at, and when the case ends. The runners are back and `contact_ms` has passed by then.
const CRASHES_S: [u64; 2] = [6, 12];
const STEADY_S: u64 = 24;
const END_S: u64 = 40;

/// A runner that is started again after its crash.
struct Runner {
    id: String,
    address: String,
    child: Child,
    has_crashed: bool,
}

impl Drop for Runner {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the runner that has begun the last request on the added route, of those that have not
/// crashed yet.
fn busy_runner(runners: &[Runner], record: &str) -> Option<usize> {
    let text = fs::read_to_string(record).unwrap_or_default();
    let begun = text.lines().rev().filter(|line| line.contains("/suno17/"));
    let indices = begun.filter_map(|line| {
        let is_sound = |runner: &Runner| !runner.has_crashed && line.contains(&runner.id);
        runners.iter().position(is_sound)
    });
    indices.take(1).next()
}

fn start(number: usize, id: &str, address: &str, store: &str, record: &str) -> io::Result<Child> {
    let zone = ["tanta", "mansoura", "zagazig"][number];
    Command::new(env::current_exe()?)
        .args(["engine", id, address, store, zone, "-", "none", record])
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
}

pub fn run(folder: &Path) -> io::Result<Outcome> {
    let mut lab = Lab::start(folder)?;
    lab.store.put("op", "config", &lab::config(7, &[]));
    let record = lab.folder.join("runners.txt").display().to_string();
    let store = lab.store_address.to_string();
    let mut runners = Vec::new();
    for number in 0..3 {
        let address = lab.free_address()?.to_string();
        let id = format!("i-{:010x}", lab::random() >> 24);
        let child = start(number, &id, &address, &store, &record)?;
        runners.push(Runner {
            id,
            address,
            child,
            has_crashed: false,
        });
    }
    for zone in ["tanta", "mansoura", "zagazig"] {
        lab.start_daemon(zone, lab::BOUNDS)?;
    }
    let is_ready = lab.wait_ready();
    thread::sleep(Duration::from_secs(2));
    // A later version adds a route.
    let added = format!(
        r#""routes":[{{"name":"r-open","host":"{}","prefix":"/suno17/","kind":"idempotent","timeout_ms":1000,"target_latency_ms":150,"priority":2,"service":"registry","max_attempts":2}},"#,
        lab::HOST
    );
    lab.store.put(
        "op",
        "config",
        &lab::config(19, &[(r#""routes":["#, added.as_str())]),
    );
    lab.record.line("configuration 19 adds the route /suno17/");
    thread::sleep(Duration::from_secs(3));
    let fronts: Vec<_> = lab.daemons.iter().map(|daemon| daemon.front).collect();
    // By route: requests and successes in the steady state after the crashes.
    type Counts = HashMap<&'static str, (u64, u64)>;
    let counts: Arc<Mutex<Counts>> = Arc::default();
    let threads = Arc::new(AtomicU64::new(0));
    let started = Instant::now();
    let mut crashes = 0;
    let mut down: Option<(usize, Instant)> = None;
    let mut number = 0u64;
    while is_ready && started.elapsed() < Duration::from_secs(END_S) {
        // Three requests each 50 ms on the added route, which are all alike, and one on a first
        // route.
        for part in 0..4 {
            number += 1;
            let front = fronts[number as usize % fronts.len()];
            let (record, counts) = (Arc::clone(&lab.record), Arc::clone(&counts));
            let threads = Arc::clone(&threads);
            threads.fetch_add(1, Ordering::Relaxed);
            thread::spawn(move || {
                let (route, path) = match part {
                    0 => ("first", format!("/cufi504/sheet{number}")),
                    _ => ("added", "/suno17/open".to_owned()),
                };
                let is_steady = started.elapsed() > Duration::from_secs(STEADY_S);
                let attempt = format!("{:016x}", lab::random());
                let response =
                    lab::send_as(&record, &attempt, front, "GET", &path, &[], b"", 1_000);
                if is_steady {
                    let mut counts = counts.lock().unwrap();
                    let (sent, served) = counts.entry(route).or_default();
                    *sent += 1;
                    *served += u64::from(response.status == 200 && response.is_whole);
                }
                threads.fetch_sub(1, Ordering::Relaxed);
            });
        }
        let due = CRASHES_S
            .get(crashes)
            .is_some_and(|at| started.elapsed().as_secs() >= *at);
        if lab.has_trouble && due {
            // The requests that were just sent have reached the runners by then.
            thread::sleep(Duration::from_millis(25));
            if let Some(index) = busy_runner(&runners, &record) {
                let runner = &mut runners[index];
                lab.record
                    .line(format!("runner {index}, {}, crashes", runner.id));
                runner.child.kill()?;
                runner.child.wait()?;
                runner.has_crashed = true;
                down = Some((index, Instant::now()));
                crashes += 1;
            }
        }
        if let Some((index, _)) = down.filter(|(_, since)| since.elapsed() > DOWN) {
            let runner = &mut runners[index];
            runner.id = format!("i-{:010x}", lab::random() >> 24);
            runner.child = start(index, &runner.id, &runner.address, &store, &record)?;
            lab.record.line(format!("runner {index} is back"));
            down = None;
        }
        thread::sleep(Duration::from_millis(50));
    }
    let deadline = Instant::now() + Duration::from_secs(3);
    while threads.load(Ordering::Relaxed) > 0 && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(50));
    }
    drop(runners);
    if !is_ready {
        return Err(io::Error::other("the daemons did not become ready"));
    }
    lab.record_log(&["target_crashed"], 20);
    lab.record_log(&["crash_suspect"], 2);
    let counts = counts.lock().unwrap();
    let of = |route: &str| counts.get(route).copied().unwrap_or_default();
    let ((first_sent, first_served), (sent, served)) = (of("first"), of("added"));
    lab.record.line(format!(
        "in the steady state after the crashes: first route {first_served} of {first_sent} served, added \
         route {served} of {sent} served"
    ));
    let share = |served: u64, sent: u64| served as f64 / sent.max(1) as f64;
    let is_broken = sent >= 20 && share(served, sent) < share(first_served, first_sent) / 4.0;
    Ok(if is_broken {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}
