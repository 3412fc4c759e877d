//! The operator keeps a draft of its next configuration in another part of its table.

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
    deployment::{Deployment, OTHER_SERVICE, Record, Shape, config, plain_request},
    http::Connection,
    runner,
};

const CALLERS: usize = 6;
const LENGTH: Duration = Duration::from_secs(15);
/// Time of the draft, from the callers' start.
const DRAFT_AT: Duration = Duration::from_secs(3);
const DEADLINE_MS: u64 = 1_500;

pub fn run(record: &Arc<Record>, has_trouble: bool) -> CaseResult {
    let shape = Shape {
        daemons: 2,
        prefill: 2,
        decode: 2,
        services: 3,
        others: 3,
    };
    let deployment = Deployment::start(Arc::clone(record), &shape)?;
    if !deployment.wait_ready() {
        return Err(io::Error::other("the daemons are not ready"));
    }
    let (sent, served) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let end = Instant::now() + LENGTH;
    let threads: Vec<_> = (0..CALLERS)
        .map(|number| {
            let front = deployment.daemons[number % deployment.daemons.len()].front;
            let (sent, served) = (Arc::clone(&sent), Arc::clone(&served));
            thread::spawn(move || call(number, front, end, &sent, &served))
        })
        .collect();
    thread::sleep(DRAFT_AT);
    record.line("op/config, the row with an empty part, holds version 7: notices go to wuno96b");
    if has_trouble {
        let draft = config(8, OTHER_SERVICE);
        if !runner::write_row(deployment.store, "op", "drafts", "config", &draft) {
            return Err(io::Error::other("the store has not taken the draft"));
        }
        record.line(&format!(
            "the operator has kept a draft in table op, part drafts, key config: version 8, notices go to {OTHER_SERVICE}"
        ));
    }
    threads.into_iter().for_each(|thread| {
        let _ = thread.join();
    });
    let mut astray = 0;
    for runner in &deployment.runners {
        let runs = runner.runs.load(Ordering::Acquire);
        if runner.service == OTHER_SERVICE {
            astray += runs;
        }
        record.line(&format!(
            "runner {} of {}: {runs} requests run",
            runner.id, runner.service
        ));
    }
    record.line(&format!(
        "notices: {} sent, {} served; {astray} run by {OTHER_SERVICE}, to which no configuration in op/config leads",
        sent.load(Ordering::Acquire),
        served.load(Ordering::Acquire)
    ));
    Ok(astray > 0)
}

fn call(number: usize, front: SocketAddr, end: Instant, sent: &AtomicU64, served: &AtomicU64) {
    let mut kept = None;
    let mut count = 0;
    while Instant::now() < end {
        let request = plain_request("notice", &format!("draft-{number}-{count}"), DEADLINE_MS);
        count += 1;
        sent.fetch_add(1, Ordering::AcqRel);
        let connection = match kept.take() {
            Some(connection) => Ok(connection),
            None => Connection::connect(front, Duration::from_secs(1)),
        };
        let deadline = Instant::now() + Duration::from_millis(DEADLINE_MS + 500);
        let response = connection.and_then(|mut connection| {
            let response = connection.call(request.as_bytes(), deadline)?;
            kept = Some(connection);
            Ok(response)
        });
        if response.is_ok_and(|response| response.head.status() == 200) {
            served.fetch_add(1, Ordering::AcqRel);
        }
        thread::sleep(Duration::from_millis(50));
    }
}
