//! One client states deadlines that are shorter than the work of the service takes.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    CaseResult,
    deployment::{Deployment, Record, Shape, config_with_added, plain_request},
    http::Connection,
    runner,
};

/// Ordinary callers of each of the two routes.
const CALLERS: usize = 6;
/// Pause of an ordinary caller between two requests.
const PAUSE: Duration = Duration::from_millis(150);
/// Connections of the impatient client, one for each daemon.
const IMPATIENT_PAUSE: Duration = Duration::from_millis(50);
/// Deadline of its requests; the service works for 60 ms.
const IMPATIENT_MS: u64 = 40;
/// Time from the client's first request until the steady state is looked at.
const SETTLING: Duration = Duration::from_secs(5);
/// Time for which it is looked at.
const LENGTH: Duration = Duration::from_secs(30);
const DEADLINE_MS: u64 = 1_500;

#[derive(Default)]
struct RouteCounts {
    sent: AtomicU64,
    served: AtomicU64,
    refused: AtomicU64,
}

#[derive(Default)]
struct Shared {
    first: RouteCounts,
    added: RouteCounts,
    impatient: RouteCounts,
    is_counting: AtomicBool,
    stop: AtomicBool,
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> CaseResult {
    let shape = Shape {
        daemons: 3,
        prefill: 2,
        decode: 2,
        services: 3,
        others: 3,
    };
    let deployment = Deployment::start(Arc::clone(record), &shape)?;
    if !deployment.wait_ready() {
        return Err(io::Error::other("the daemons are not ready"));
    }
    if !runner::write_row(deployment.store, "op", "", "config", &config_with_added(8)) {
        return Err(io::Error::other(
            "the store has not taken the configuration",
        ));
    }
    record.line("version 8 adds the route /added/, to puzo12c with three runners");
    thread::sleep(Duration::from_secs(4));
    let shared = Arc::new(Shared::default());
    let fronts: Vec<SocketAddr> = deployment
        .daemons
        .iter()
        .map(|daemon| daemon.front)
        .collect();
    let mut threads = Vec::new();
    for number in 0..2 * CALLERS {
        let front = fronts[number / 2 % fronts.len()];
        let shared = Arc::clone(&shared);
        threads.push(thread::spawn(move || {
            let (route, counts) = match number % 2 {
                0 => ("lookup", &shared.first),
                _ => ("added", &shared.added),
            };
            let name = format!("{route}-{number}");
            call(&name, route, front, DEADLINE_MS, PAUSE, counts, &shared);
        }));
    }
    if has_trouble {
        record.line(&format!(
            "a client sends to /added/ with deadlines of {IMPATIENT_MS} ms, one request after another at each daemon, with pauses of {} ms",
            IMPATIENT_PAUSE.as_millis()
        ));
        for (number, front) in fronts.iter().copied().enumerate() {
            let shared = Arc::clone(&shared);
            threads.push(thread::spawn(move || {
                let (name, counts) = (format!("impatient-{number}"), &shared.impatient);
                call(
                    &name,
                    "added",
                    front,
                    IMPATIENT_MS,
                    IMPATIENT_PAUSE,
                    counts,
                    &shared,
                );
            }));
        }
    }
    thread::sleep(SETTLING);
    shared.is_counting.store(true, Ordering::Release);
    thread::sleep(LENGTH);
    shared.stop.store(true, Ordering::Release);
    threads.into_iter().for_each(|thread| {
        let _ = thread.join();
    });
    let share = |counts: &RouteCounts| {
        let sent = counts.sent.load(Ordering::Acquire);
        counts.served.load(Ordering::Acquire) as f64 / sent.max(1) as f64
    };
    for (name, counts) in [
        ("ordinary callers, first route", &shared.first),
        ("ordinary callers, added route", &shared.added),
        ("the impatient client, added route", &shared.impatient),
    ] {
        record.line(&format!(
            "{name}: {} sent, {} served ({:.3}), {} refused with 503",
            counts.sent.load(Ordering::Acquire),
            counts.served.load(Ordering::Acquire),
            share(counts),
            counts.refused.load(Ordering::Acquire)
        ));
    }
    // The impatient client's own requests are left out.
    let has_enough = shared.added.sent.load(Ordering::Acquire) >= 20;
    Ok(has_enough && share(&shared.added) < share(&shared.first) / 4.0)
}

fn call(
    name: &str,
    route: &str,
    front: SocketAddr,
    deadline_ms: u64,
    pause: Duration,
    counts: &RouteCounts,
    shared: &Shared,
) {
    let mut kept = None;
    let mut number = 0;
    while !shared.stop.load(Ordering::Acquire) {
        number += 1;
        let request = plain_request(route, &format!("{name}-{number}"), deadline_ms);
        let connection = match kept.take() {
            Some(connection) => Ok(connection),
            None => Connection::connect(front, Duration::from_secs(1)),
        };
        let deadline = Instant::now() + Duration::from_millis(deadline_ms + 500);
        let response = connection.and_then(|mut connection| {
            let response = connection.call(request.as_bytes(), deadline)?;
            if response.head.get("connection") != Some("close") {
                kept = Some(connection);
            }
            Ok(response)
        });
        if shared.is_counting.load(Ordering::Acquire) {
            counts.sent.fetch_add(1, Ordering::AcqRel);
            match response.map(|response| response.head.status()) {
                Ok(200) => counts.served.fetch_add(1, Ordering::AcqRel),
                Ok(503) => counts.refused.fetch_add(1, Ordering::AcqRel),
                _ => 0,
            };
        }
        thread::sleep(pause);
    }
}
