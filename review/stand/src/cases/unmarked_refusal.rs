//! A plain service's runner fails a part of the requests that it runs with status 503, without the
//! header by which a runner says that it has not run a request.

use std::{
    io,
    path::Path,
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::Duration,
};

use crate::{
    http::{self, Request},
    lab::{self, Lab, Line, Runner, Turn},
    Outcome,
};

/// Share of its requests that the faulty runner fails, in percent.
const FAILED_PERCENT: u64 = 40;

pub fn run(folder: &Path) -> io::Result<Outcome> {
    let mut lab = Lab::start(folder)?;
    lab.store.put("op", "config", &lab::config(7, &[]));
    for number in 0..3 {
        let is_faulty = lab.has_trouble && number == 0;
        let count = AtomicU64::new(0);
        let fault = move |runner: &Runner, request: &Request, _: &mut Line| {
            let attempt = request.header("x-acaciabank-attempt-id");
            let is_failed =
                count.fetch_add(1, Ordering::Relaxed) * FAILED_PERCENT % 100 < FAILED_PERCENT;
            if !is_faulty || attempt.is_empty() || !is_failed {
                return Turn::Sound;
            }
            let headers = [
                ("x-acaciabank-attempt-id", attempt.to_owned()),
                (
                    "x-acaciabank-response-signature",
                    format!("sig.{}", runner.id),
                ),
            ];
            let status = "503 Service Unavailable";
            Turn::Answer(http::response_bytes(status, &headers, b"cannot finish\n"))
        };
        let id = format!("i-{:010x}", lab::random() >> 24);
        let work = Duration::from_millis(30);
        let zone = ["tanta", "mansoura", "zagazig"][number];
        lab.start_runner(&id, "registry", zone, None, work, Box::new(fault))?;
    }
    for zone in ["tanta", "mansoura", "zagazig"] {
        lab.start_daemon(zone, lab::BOUNDS)?;
    }
    if !lab.wait_ready() {
        return Err(io::Error::other("the daemons did not become ready"));
    }
    thread::sleep(Duration::from_secs(2));
    let mut broken = Vec::new();
    for number in 0..150 {
        let address = lab.daemons[number % lab.daemons.len()].front;
        let work = format!("certificate {number}");
        for _try in 0..2 {
            let (attempt, response) = lab::send(
                &lab,
                address,
                "POST",
                "/puxa403/2f",
                &[],
                work.as_bytes(),
                1_000,
            );
            let runs = lab.runs.of(&attempt);
            let says_not_run = [408, 421, 429, 503].contains(&response.status);
            if says_not_run && !runs.is_empty() {
                broken.push(format!(
                    "{attempt} ({work}): answered {}, run by {runs:?}",
                    response.status
                ));
            }
            if !says_not_run {
                break;
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
    lab.record.line(format!(
        "{} requests were answered as not run and had run",
        broken.len()
    ));
    broken.iter().for_each(|text| lab.record.line(text));
    Ok(if broken.is_empty() {
        Outcome::Held
    } else {
        Outcome::Broken
    })
}
