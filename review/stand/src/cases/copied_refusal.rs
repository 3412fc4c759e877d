//! An engine that is full refuses to list what it holds, and a second copy of that refusal comes
//! where the answer to the next request on the connection is due.

use std::{
    io,
    path::Path,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::Request,
    lab::{self, Lab, Line, Runner, Turn},
    Outcome,
};

pub fn run(folder: &Path) -> io::Result<Outcome> {
    let mut lab = Lab::start(folder)?;
    lab.store.put("op", "config", &lab::config(7, &[]));
    let copies_left = Arc::new(AtomicU64::new(u64::from(lab.has_trouble)));
    let refused_lists = Arc::new(AtomicU64::new(0));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut engines = Vec::new();
    for number in 0..9 {
        let stage = if number % 3 == 0 { "decode" } else { "prefill" };
        let (copies_left, refused_lists) = (Arc::clone(&copies_left), Arc::clone(&refused_lists));
        let is_over = Arc::clone(&is_over);
        let fault = move |runner: &Runner, request: &Request, line: &mut Line| {
            let is_decode = runner.state.lock().unwrap().stage.as_deref() == Some("decode");
            if request.path == "/kv-list" && is_decode && !is_over.load(Ordering::Relaxed) {
                refused_lists.fetch_add(1, Ordering::Relaxed);
                line.copy = Some(runner.refusal(request, "503 Service Unavailable"));
                return Turn::Full;
            }
            let Some(copy) = line.copy.take() else {
                return Turn::Sound;
            };
            let take = |left: u64| left.checked_sub(1);
            match copies_left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take) {
                Ok(_) => Turn::After(copy),
                Err(_) => Turn::Sound,
            }
        };
        let id = format!("i-{:010x}", lab::random() >> 24);
        let work = Duration::from_millis(20);
        let zone = ["tanta", "mansoura", "zagazig"][number / 3];
        engines.push(lab.start_runner(&id, "models", zone, Some(stage), work, Box::new(fault))?);
    }
    for zone in ["tanta", "mansoura", "zagazig"] {
        lab.start_daemon(zone, lab::BOUNDS)?;
    }
    if !lab.wait_ready() {
        return Err(io::Error::other("the daemons did not become ready"));
    }
    // A daemon that has just started reads what the engines hold.
    let deadline = Instant::now() + Duration::from_secs(10);
    while refused_lists.load(Ordering::Relaxed) < 3 && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(10));
    }
    is_over.store(true, Ordering::Relaxed);
    if refused_lists.load(Ordering::Relaxed) == 0 {
        return Err(io::Error::other("no daemon has read what the engines hold"));
    }
    thread::sleep(Duration::from_millis(200));
    let mut broken = Vec::new();
    let mut sent = 0;
    let started = Instant::now();
    while sent < 240 {
        let address = lab.daemons[sent % lab.daemons.len()].front;
        for _try in 0..2 {
            let headers = [
                ("X-Acaciabank-Model", "m".to_owned()),
                ("X-Acaciabank-Token-Count", "120,4".to_owned()),
                (
                    "X-Acaciabank-Prompt-Prefix",
                    format!("5c1e07a2:60,{:08x}:60", 0x1000 + sent),
                ),
            ];
            let (attempt, response) =
                lab::send(&lab, address, "POST", "/pufi791/2f", &headers, b"{}", 4_000);
            let runs = lab.runs.of(&attempt);
            let says_not_run = [408, 421, 429, 503].contains(&response.status);
            if (says_not_run && !runs.is_empty()) || runs.len() > 1 {
                broken.push(format!(
                    "{attempt}: answered {}, run by {runs:?}",
                    response.status
                ));
            }
            if !says_not_run {
                break;
            }
            // The promise allows the client to send the work again, with a new id.
            let wait: f64 = response.header("retry-after").parse().unwrap_or(0.0);
            thread::sleep(Duration::from_secs_f64(wait.min(1.0)));
        }
        sent += 1;
        if started.elapsed() > Duration::from_secs(60) {
            break;
        }
    }
    lab.record_log(
        &["holdings_", "attempt_failed", "\"refused\"", "crossed"],
        20,
    );
    lab.record
        .line(format!("{sent} requests; {} broke the rule", broken.len()));
    broken.iter().for_each(|text| lab.record.line(text));
    Ok(if broken.is_empty() {
        Outcome::Held
    } else {
        Outcome::Broken
    })
}
