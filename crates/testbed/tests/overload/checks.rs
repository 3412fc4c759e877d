//! The check that all cases share: a crowd, the bounds of the process, and ordinary requests.

use std::{
    fs,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use acaciabank_testbed::{crowd, harness};
use tokio::sync::{Mutex, MutexGuard};

/// Maximum wait for a condition; generous because the machine may be busy.
pub const TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum time for a crowd to send. Clients that the process reads nothing from send no more.
const SEND_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two counts of the open descriptors.
const COUNT_INTERVAL: Duration = Duration::from_millis(20);
/// Time in which a process that has read what the crowd has sent uses hardly any processor time.
const QUIET_INTERVAL: Duration = Duration::from_millis(500);
/// Processor time of a quiet process in that interval, in ticks of the kernel's clock (10 ms).
const QUIET_TICKS: u64 = 5;
/// Maximum number of intervals to wait for that.
const MAX_QUIET_INTERVALS: usize = 40;
/// Clients of a crowd of one kind.
const CROWD_SIZE: usize = 60;
/// Clients of each kind in a crowd of several kinds.
const MIXED_CROWD_SIZE: usize = 9;

/// One test runs at a time, as the crowds load the machine.
static TURN: Mutex<()> = Mutex::const_new(());

/// Waits until no other test of this program runs. Hold the guard for as long as the test runs.
pub async fn wait_turn() -> MutexGuard<'static, ()> {
    TURN.lock().await
}

/// What a process may use.
#[derive(Clone, Copy, Debug)]
pub struct ProcessBounds {
    /// Peak of its resident memory.
    pub memory_bytes: usize,
    /// Open descriptors.
    pub descriptors: usize,
}

/// Lets a crowd act on a process. Checks that the process lives and stays within its bounds, and that
/// an ordinary request is answered beside the crowd and afterwards. `ordinary` sends one and returns
/// whether it was answered; it is sent again after a refusal, as callers do.
pub async fn check_crowd(
    process: &mut harness::Process,
    plan: &crowd::CrowdPlan,
    kinds: &[crowd::CrowdKind],
    bounds: ProcessBounds,
    ordinary: impl AsyncFn() -> bool,
) {
    let id = process.id().expect("a running process");
    let count = match kinds.len() {
        1 => CROWD_SIZE,
        _ => MIXED_CROWD_SIZE,
    };
    let peak_descriptors = Arc::new(AtomicUsize::new(0));
    let counter = tokio::spawn(count_descriptors(id, Arc::clone(&peak_descriptors)));
    let mut clients = crowd::Crowd::start(plan, kinds, count);
    clients.wait_sent(SEND_TIMEOUT).await;
    wait_quiet(id).await;
    let beside = harness::holds_within(TIMEOUT, &ordinary).await;
    drop(clients);
    let afterwards = harness::holds_within(TIMEOUT, &ordinary).await;
    let peak_bytes = peak_memory(id);
    let status = process.exit_status();
    counter.abort();
    let descriptors = peak_descriptors.load(Ordering::Acquire);
    println!(
        "{kinds:?}: peak of {} KiB of {}, {descriptors} descriptors of {}",
        peak_bytes.unwrap_or_default() >> 10,
        bounds.memory_bytes >> 10,
        bounds.descriptors,
    );
    assert_eq!(status, None, "the process ended");
    let peak_bytes = peak_bytes.expect("the status of a running process");
    assert!(beside, "no ordinary request was answered beside the crowd");
    assert!(afterwards, "no ordinary request was answered afterwards");
    assert!(
        peak_bytes <= bounds.memory_bytes,
        "the process took {peak_bytes} bytes of {}",
        bounds.memory_bytes
    );
    assert!(
        descriptors <= bounds.descriptors,
        "the process had {descriptors} descriptors of {}",
        bounds.descriptors
    );
}

/// Returns the peak of the resident memory of a process, in bytes; `None` if it does not run.
fn peak_memory(id: u32) -> Option<usize> {
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kilobytes: usize = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kilobytes << 10)
}

/// Records the highest number of open descriptors of a process, until the task is aborted.
async fn count_descriptors(id: u32, peak: Arc<AtomicUsize>) {
    loop {
        let entries = fs::read_dir(format!("/proc/{id}/fd"));
        let count = entries.map_or(0, Iterator::count);
        peak.fetch_max(count, Ordering::AcqRel);
        tokio::time::sleep(COUNT_INTERVAL).await;
    }
}

/// Waits until a process has read what the crowd has sent. What has been received and not read is not
/// in its resident memory yet.
async fn wait_quiet(id: u32) {
    let mut used = processor_ticks(id);
    for _ in 0..MAX_QUIET_INTERVALS {
        tokio::time::sleep(QUIET_INTERVAL).await;
        let before = std::mem::replace(&mut used, processor_ticks(id));
        if used.saturating_sub(before) < QUIET_TICKS {
            return;
        }
    }
}

/// Returns the processor time of a process in ticks of the kernel's clock; 0 if it does not run.
fn processor_ticks(id: u32) -> u64 {
    /// Position of the time in user mode behind the name of the program; the one in kernel mode
    /// follows.
    const USER_TIME_FIELD: usize = 11;
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let Some((_, fields)) = stat.rsplit_once(')') else {
        return 0;
    };
    let times = fields.split_whitespace().skip(USER_TIME_FIELD).take(2);
    times.filter_map(|ticks| ticks.parse::<u64>().ok()).sum()
}
