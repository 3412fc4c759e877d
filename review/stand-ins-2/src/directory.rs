//! A crowd of clients keeps connections open to the address where callers look up the daemons.

use std::{
    env,
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    CaseResult, callers,
    deployment::{Deployment, HOST, Record, Shape, max_fds, plain_request},
    http::Connection,
};

/// Processes of the crowd.
const CROWDS: usize = 2;
/// Bytes that each of them sends of a head; `max_header_bytes` of the configuration is 16,384.
const HEAD_BYTES: usize = 16_000;
/// Time for which the crowd stays.
const LENGTH: Duration = Duration::from_secs(30);
/// Ordinary callers on connections that they keep.
const KEPT_CALLERS: usize = 24;
/// Ordinary clients that open a connection for each request.
const NEW_CALLERS: usize = 10;

/// Returns the number of clients in a process of the crowd: with 4,100 descriptors 2,100, so that both
/// together are a few more than a daemon can take.
fn crowd_size() -> usize {
    max_fds() as usize / 2 + 50
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> CaseResult {
    let shape = Shape {
        daemons: 3,
        prefill: 2,
        decode: 2,
        services: 3,
        others: 0,
    };
    let deployment = Deployment::start(Arc::clone(record), &shape)?;
    if !deployment.wait_ready() {
        return Err(io::Error::other("the daemons are not ready"));
    }
    let seen = Arc::default();
    let kept = callers::start_kept(KEPT_CALLERS, &deployment.daemons, record, &seen);
    let target = Arc::clone(&deployment.daemons[0]);
    let new = Arc::new(NewConnections::default());
    let stop = Arc::new(AtomicBool::new(false));
    let mut threads: Vec<_> = (0..NEW_CALLERS)
        .map(|number| {
            let (new, stop) = (Arc::clone(&new), Arc::clone(&stop));
            let front = target.front;
            thread::spawn(move || new.run(number, front, &stop))
        })
        .collect();
    threads.extend(kept);
    let mut ready = callers::ReadyCheck::new(target.ready);
    let mut crowd = Crowd::default();
    let start = Instant::now();
    let mut longest = Duration::ZERO;
    while start.elapsed() < LENGTH && !target.has_ended() {
        if crowd.0.is_empty() && has_trouble && start.elapsed() > Duration::from_secs(2) {
            record.line(&format!(
                "{} clients connect to the directory address of {}, with {} bytes of a head each",
                CROWDS * crowd_size(),
                target.name,
                HEAD_BYTES
            ));
            for _ in 0..CROWDS {
                crowd.0.push(start_crowd(target.directory)?);
            }
        }
        thread::sleep(Duration::from_secs(1));
        let is_ready = ready.ask();
        let gap = new.gap();
        if is_ready {
            longest = longest.max(gap);
        }
        record.line(&format!(
            "{}: ready {is_ready}, no new connection served for {:.1} s; {} tried, {} served; {} MB, {} descriptors",
            target.name,
            gap.as_secs_f64(),
            new.tried.load(Ordering::Acquire),
            new.served.load(Ordering::Acquire),
            target.peak_kb.load(Ordering::Acquire) >> 10,
            target.peak_fds.load(Ordering::Acquire),
        ));
    }
    thread::sleep(Duration::from_secs(2));
    seen.stop.store(true, Ordering::Release);
    stop.store(true, Ordering::Release);
    drop(crowd);
    threads.into_iter().for_each(|thread| {
        let _ = thread.join();
    });
    deployment.describe_daemons();
    let lost = callers::closed_after_run(&seen);
    record.line(&format!(
        "ordinary requests on kept connections: {} sent, {} served, {} refused, {} without an answer in time, {} closed without an answer, {} of them after a runner had begun",
        seen.sent.load(Ordering::Acquire),
        seen.served.load(Ordering::Acquire),
        seen.refused.load(Ordering::Acquire),
        seen.unanswered.load(Ordering::Acquire),
        seen.closed_kept.lock().unwrap().len(),
        lost.len()
    ));
    record.line(&format!(
        "longest time for which a ready daemon took no new connection: {:.1} s",
        longest.as_secs_f64()
    ));
    Ok((target.has_ended() && lost.len() > 3) || longest > Duration::from_secs(3))
}

/// Ordinary clients that open a connection for each request.
#[derive(Default)]
struct NewConnections {
    tried: AtomicU64,
    served: AtomicU64,
    /// Milliseconds of the record's clock at which the last one was served.
    last_served_ms: AtomicU64,
}

impl NewConnections {
    fn run(&self, number: usize, front: SocketAddr, stop: &AtomicBool) {
        let mut count = 0;
        while !stop.load(Ordering::Acquire) {
            count += 1;
            self.tried.fetch_add(1, Ordering::AcqRel);
            let id = format!("new-{number}-{count}");
            let request = plain_request("lookup", &id, 1_500);
            let connected = Connection::connect(front, Duration::from_secs(1));
            let deadline = Instant::now() + Duration::from_millis(1_500);
            let response =
                connected.and_then(|mut connection| connection.call(request.as_bytes(), deadline));
            if response.is_ok() {
                self.served.fetch_add(1, Ordering::AcqRel);
                self.last_served_ms.store(now_ms(), Ordering::Release);
            }
            thread::sleep(Duration::from_millis(100));
        }
    }

    fn gap(&self) -> Duration {
        let last = self.last_served_ms.load(Ordering::Acquire);
        Duration::from_millis(now_ms().saturating_sub(last))
    }
}

fn now_ms() -> u64 {
    static START: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

/// The processes of the crowd, which end with it.
#[derive(Default)]
struct Crowd(Vec<Child>);

impl Drop for Crowd {
    fn drop(&mut self) {
        for process in &mut self.0 {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

fn start_crowd(address: SocketAddr) -> io::Result<Child> {
    let child = Command::new(env::current_exe()?)
        .args(["crowd", &address.to_string()])
        .stdin(Stdio::null())
        .spawn()?;
    if let Ok(path) = env::var("PID_FILE") {
        let file = std::fs::OpenOptions::new().append(true).open(path);
        if let Ok(mut file) = file {
            let _ = writeln!(file, "{}", child.id());
        }
    }
    Ok(child)
}

/// Keeps connections open until the process is killed, and opens those again that have been closed.
pub fn run_crowd(address: &str) -> io::Result<()> {
    let address: SocketAddr = address.parse().map_err(io::Error::other)?;
    let mut head = format!(
        "GET /resolve?name={HOST}&region=perth&zone=perth-a HTTP/1.1\r\nHost: directory\r\nX-Fill: "
    );
    while head.len() < HEAD_BYTES {
        head.push('x');
    }
    let mut open: Vec<TcpStream> = Vec::new();
    loop {
        open.retain_mut(|stream| {
            let mut byte = [0];
            // Nothing has arrived on an open connection.
            matches!(stream.read(&mut byte), Err(error) if callers::is_timeout(&error))
        });
        while open.len() < crowd_size() {
            let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(500))
            else {
                break;
            };
            stream.set_write_timeout(Some(Duration::from_millis(100)))?;
            let _ = stream.write_all(head.as_bytes());
            stream.set_nonblocking(true)?;
            open.push(stream);
        }
        thread::sleep(Duration::from_millis(200));
    }
}
