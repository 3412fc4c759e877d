//! One client sends prompts of many small parts, each within the limits of the configuration.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    CaseResult, callers,
    deployment::{Deployment, Record, Shape, stream_request},
    http::Connection,
};

/// Connections of the client.
const CONNECTIONS: usize = 8;
/// Bytes of the head of each request; `max_header_bytes` of the configuration is 16,384.
const HEAD_BYTES: usize = 15_900;
/// Time for which the client sends.
const LENGTH: Duration = Duration::from_secs(70);
/// Ordinary callers.
const CALLERS: usize = 24;
/// Number of daemons whose end is waited for.
const ENDS: usize = 3;

pub fn run(record: &Arc<Record>, has_trouble: bool) -> CaseResult {
    let shape = Shape {
        daemons: 3,
        prefill: 4,
        decode: 8,
        services: 3,
        others: 0,
    };
    let deployment = Deployment::start(Arc::clone(record), &shape)?;
    if !deployment.wait_ready() {
        return Err(io::Error::other("the daemons are not ready"));
    }
    let seen = Arc::default();
    let ordinary = callers::start_kept(CALLERS, &deployment.daemons, record, &seen);
    let (sent, served) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    if has_trouble {
        for number in 0..CONNECTIONS {
            let fronts: Vec<_> = deployment
                .daemons
                .iter()
                .map(|daemon| daemon.front)
                .collect();
            let (sent, served, stop) = (Arc::clone(&sent), Arc::clone(&served), Arc::clone(&stop));
            clients.push(thread::spawn(move || {
                let mut count = 0;
                while !stop.load(Ordering::Acquire) {
                    let front = fronts[(number + count / 50) % fronts.len()];
                    let Ok(mut connection) = Connection::connect(front, Duration::from_secs(1))
                    else {
                        count += 50;
                        thread::sleep(Duration::from_millis(100));
                        continue;
                    };
                    for _ in 0..50 {
                        let request = many_parts(number, count);
                        count += 1;
                        sent.fetch_add(1, Ordering::AcqRel);
                        let deadline = Instant::now() + Duration::from_secs(9);
                        match connection.call(request.as_bytes(), deadline) {
                            Ok(response) if response.head.status() == 200 => {
                                served.fetch_add(1, Ordering::AcqRel);
                            }
                            Ok(_) => {}
                            Err(_) => break,
                        }
                        if stop.load(Ordering::Acquire) {
                            break;
                        }
                    }
                }
            }));
        }
        let (parts, bytes) = shape_of(&many_parts(0, 0));
        record.line(&format!(
            "{CONNECTIONS} connections send prompts of {parts} parts of one token, heads of {bytes} bytes"
        ));
    }
    let end = Instant::now() + LENGTH;
    let ended = || {
        deployment
            .daemons
            .iter()
            .filter(|daemon| daemon.has_ended())
            .count()
    };
    while Instant::now() < end && ended() < ENDS {
        thread::sleep(Duration::from_secs(1));
        record.line(&format!(
            "prompts sent {}, served {}; memory in MB {:?}",
            sent.load(Ordering::Acquire),
            served.load(Ordering::Acquire),
            deployment
                .daemons
                .iter()
                .map(|daemon| daemon.peak_kb.load(Ordering::Acquire) >> 10)
                .collect::<Vec<_>>()
        ));
    }
    // The callers notice the end of a process.
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::Release);
    seen.stop.store(true, Ordering::Release);
    ordinary.into_iter().chain(clients).for_each(|thread| {
        let _ = thread.join();
    });
    deployment.describe_daemons();
    let lost = callers::closed_after_run(&seen);
    record.line(&format!(
        "ordinary requests: {} sent, {} served, {} refused, {} without an answer in time; on kept connections {} closed without an answer, {} of them after a runner had begun: {lost:?}",
        seen.sent.load(Ordering::Acquire),
        seen.served.load(Ordering::Acquire),
        seen.refused.load(Ordering::Acquire),
        seen.unanswered.load(Ordering::Acquire),
        seen.closed_kept.lock().unwrap().len(),
        lost.len()
    ));
    // The rule allows three.
    Ok(ended() > 0 && lost.len() > 3)
}

/// A request whose prompt has as many parts as its head has room for, no two requests with the same.
fn many_parts(client: usize, number: usize) -> String {
    let id = format!("many-{client}-{number}");
    let room = HEAD_BYTES - stream_request(&id, 10_000, 1, "", 8_000).len();
    let mut parts = String::new();
    let mut count = 0;
    loop {
        let part = format!("{:x}:1,", (client << 44) | (number << 12) | count);
        if parts.len() + part.len() > room {
            break;
        }
        parts.push_str(&part);
        count += 1;
    }
    parts.pop();
    stream_request(&id, count as u64, 1, &parts, 8_000)
}

fn shape_of(request: &str) -> (usize, usize) {
    let head = request.split("\r\n\r\n").next().unwrap_or_default();
    let line = head
        .lines()
        .find(|line| line.starts_with("X-Acaciabank-Prompt-Prefix"));
    (
        line.map_or(0, |line| line.split(',').count()),
        head.len() + 4,
    )
}
