//! Starts runners again some time after they have ended.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use crate::fixture::EmulatorProcess;

/// Interval at which ended runners are looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Starts each of the runners again `delay` after it has ended, until the task is aborted.
pub async fn run(runners: Arc<Mutex<Vec<EmulatorProcess>>>, delay: Duration) {
    let mut restart_at: HashMap<usize, Instant> = HashMap::new();
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let mut runners = runners.lock().expect("runners lock");
        for (index, runner) in runners.iter_mut().enumerate() {
            let process = &mut runner.process;
            if process.id().is_some() && process.exit_status().is_none() {
                continue;
            }
            let now = Instant::now();
            let at = *restart_at.entry(index).or_insert(now + delay);
            if now >= at {
                process.restart().expect("the process restarts");
                restart_at.remove(&index);
            }
        }
    }
}
