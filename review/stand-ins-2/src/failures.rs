//! One runner of a plain service fails a part of its requests with a 503 of its own, after it has run
//! them.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    CaseResult,
    deployment::{Deployment, Record, Shape, plain_request},
    http::Connection,
    runner,
};

const CALLERS: usize = 6;
const LENGTH: Duration = Duration::from_secs(15);
const DEADLINE_MS: u64 = 1_500;

#[derive(Default)]
struct Counts {
    notices: AtomicU64,
    attempts: AtomicU64,
    served: AtomicU64,
    refused: AtomicU64,
    /// Attempts answered 503 that had run.
    refused_run: AtomicU64,
    /// Notices of which more than one attempt has run.
    doubled: AtomicU64,
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> CaseResult {
    let shape = Shape {
        daemons: 2,
        prefill: 2,
        decode: 2,
        services: 7,
        others: 0,
    };
    let deployment = Deployment::start(Arc::clone(record), &shape)?;
    if !deployment.wait_ready() {
        return Err(io::Error::other("the daemons are not ready"));
    }
    let grey = deployment.runners.iter().find(|runner| runner.id == "i-s0");
    let grey = grey.ok_or(io::Error::other("no runner"))?;
    if has_trouble {
        grey.is_grey.store(true, Ordering::Release);
        record.line("i-s0, one of seven runners, fails 0.4 of its requests with a 503 of its own, after it has run them");
    }
    let counts = Arc::new(Counts::default());
    let end = Instant::now() + LENGTH;
    let threads: Vec<_> = (0..CALLERS)
        .map(|number| {
            let front = deployment.daemons[number % deployment.daemons.len()].front;
            let (counts, record) = (Arc::clone(&counts), Arc::clone(record));
            thread::spawn(move || call(number, front, end, &counts, &record))
        })
        .collect();
    threads.into_iter().for_each(|thread| {
        let _ = thread.join();
    });
    let refused_run = counts.refused_run.load(Ordering::Acquire);
    record.line(&format!(
        "notices: {} sent in {} attempts; attempts: {} served, {} refused with 503, {refused_run} of these had run; {} notices ran twice; i-s0 has failed {} requests",
        counts.notices.load(Ordering::Acquire),
        counts.attempts.load(Ordering::Acquire),
        counts.served.load(Ordering::Acquire),
        counts.refused.load(Ordering::Acquire),
        counts.doubled.load(Ordering::Acquire),
        grey.failed.load(Ordering::Acquire)
    ));
    Ok(refused_run > 0)
}

/// Sends notices. One that is refused is sent once more, as an attempt of its own: a 503 promises that
/// it has not run.
fn call(number: usize, front: SocketAddr, end: Instant, counts: &Counts, record: &Record) {
    let mut count = 0;
    while Instant::now() < end {
        count += 1;
        counts.notices.fetch_add(1, Ordering::AcqRel);
        let mut runs = 0;
        for attempt in 0..2 {
            let id = format!("notice-{number}-{count}-{attempt}");
            counts.attempts.fetch_add(1, Ordering::AcqRel);
            let deadline = Instant::now() + Duration::from_millis(DEADLINE_MS + 500);
            let request = plain_request("notice", &id, DEADLINE_MS);
            let response = Connection::connect(front, Duration::from_secs(1))
                .and_then(|mut connection| connection.call(request.as_bytes(), deadline));
            let status = response.map_or(0, |response| response.head.status());
            let has_run = runner::has_run(&id);
            runs += u32::from(has_run);
            match status {
                200 => {
                    counts.served.fetch_add(1, Ordering::AcqRel);
                }
                503 => {
                    counts.refused.fetch_add(1, Ordering::AcqRel);
                    if has_run {
                        counts.refused_run.fetch_add(1, Ordering::AcqRel);
                        record.detail(&format!("{id}: answered 503, and a runner has run it"));
                    }
                    thread::sleep(Duration::from_millis(200));
                    continue;
                }
                _ => {}
            }
            break;
        }
        if runs > 1 {
            counts.doubled.fetch_add(1, Ordering::AcqRel);
        }
        thread::sleep(Duration::from_millis(50));
    }
}
