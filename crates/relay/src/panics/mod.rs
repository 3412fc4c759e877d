//! Containment of panics: a fault in one request or task must not end others without a trace.

use std::{any::Any, future::Future, panic, time::Duration};

use futures::FutureExt;

/// Delay before a task that has panicked is started again, so that a panic that repeats does not
/// use up the processor.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// A panic that was caught. Its place is in the log line `panic`.
#[derive(Debug)]
pub struct CaughtPanic {
    payload: Box<dyn Any + Send>,
}

impl CaughtPanic {
    /// Returns the message of the panic; empty if it has none.
    pub fn message(&self) -> &str {
        message(&*self.payload)
    }
}

/// Logs each panic with its place from now on. The default hook writes to standard error only.
pub fn install_hook() {
    panic::set_hook(Box::new(|info| {
        let location = info.location().map(ToString::to_string).unwrap_or_default();
        log::error!(location = location.as_str(), error = message(info.payload()); "panic");
    }));
}

/// Runs a future and catches its panic. Borrows of shared state end when the panic unwinds; a value
/// that was being changed may be left half changed, which costs less than the end of the process.
///
/// # Errors
///
/// Returns the panic.
pub async fn catch<F: Future>(future: F) -> Result<F::Output, CaughtPanic> {
    let result = panic::AssertUnwindSafe(future).catch_unwind().await;
    result.map_err(|payload| CaughtPanic { payload })
}

/// Runs a task of the process and starts it again if it panics.
pub async fn run_task<F: Future<Output = ()>>(name: &str, start: impl Fn() -> F) {
    while catch(start()).await.is_err() {
        log::error!(task = name; "task_restarted");
        tokio::time::sleep(RESTART_DELAY).await;
    }
}

fn message(payload: &(dyn Any + Send)) -> &str {
    let owned = payload.downcast_ref::<String>().map(String::as_str);
    owned
        .or(payload.downcast_ref::<&str>().copied())
        .unwrap_or_default()
}
