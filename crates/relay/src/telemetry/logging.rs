//! Log of JSON lines on standard output. A separate thread writes them from a bounded queue, so
//! that a blocked reader never delays a request.

use std::{
    fmt::Write as _,
    io::Write as _,
    sync::{
        OnceLock,
        atomic::{AtomicU64, Ordering},
        mpsc,
    },
    time,
};

use log::kv;

use crate::clock;

/// Lines that can wait for the writer: about a second of lines at the highest load.
const MAX_QUEUED_LINES: usize = 1_024;

/// Interval at which a flush looks for room in a full queue.
const QUEUE_POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);
static QUEUE: OnceLock<mpsc::SyncSender<LogEntry>> = OnceLock::new();

/// Entry of the writer's queue.
enum LogEntry {
    Line(String),
    /// Acknowledged when all lines before it have been written.
    Flush(mpsc::SyncSender<()>),
}

/// Waits until all lines are written, for `timeout` at most: a blocked reader must not keep the
/// process from ending.
pub fn flush(timeout: time::Duration) {
    let deadline = time::Instant::now() + timeout;
    let (sender, receiver) = mpsc::sync_channel(1);
    let Some(queue) = QUEUE.get() else {
        return;
    };
    let mut entry = LogEntry::Flush(sender);
    while let Err(mpsc::TrySendError::Full(unsent)) = queue.try_send(entry) {
        if time::Instant::now() >= deadline {
            return;
        }
        entry = unsent;
        std::thread::sleep(QUEUE_POLL_INTERVAL);
    }
    let remaining = deadline.saturating_duration_since(time::Instant::now());
    // After the timeout, the remaining lines are lost, as when the queue is full.
    let _: Result<(), mpsc::RecvTimeoutError> = receiver.recv_timeout(remaining);
}

/// Installs the logger of the daemon `host` and starts its writer thread.
///
/// # Errors
///
/// Returns a message when a logger is already set or the thread cannot be started.
pub fn install(host: &str, level: log::LevelFilter) -> Result<(), String> {
    let (sender, receiver) = mpsc::sync_channel(MAX_QUEUED_LINES);
    let queue = QUEUE.get_or_init(|| sender);
    let writer = std::thread::Builder::new().name("log".to_owned());
    writer
        .stack_size(64 << 10)
        .spawn(move || write_lines(&receiver))
        .map_err(|error| format!("cannot start the log writer: {error}"))?;
    let host = host.to_owned();
    let dispatch = fern::Dispatch::new()
        .level(level)
        .format(move |out, _message, record| {
            out.finish(format_args!("{}", format_record(&host, record)));
        })
        .chain(fern::Output::call(move |record| {
            let line = LogEntry::Line(record.args().to_string());
            if queue.try_send(line).is_err() {
                DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            }
        }));
    dispatch.apply().map_err(|error| error.to_string())
}

fn write_lines(receiver: &mpsc::Receiver<LogEntry>) {
    let mut buffer = String::new();
    while let Ok(first) = receiver.recv() {
        buffer.clear();
        let mut flush_acks = Vec::new();
        for entry in std::iter::once(first).chain(receiver.try_iter()) {
            match entry {
                LogEntry::Line(line) => push_line(&mut buffer, &line),
                LogEntry::Flush(ack) => flush_acks.push(ack),
            }
        }
        push_dropped_count(&mut buffer);
        // An error, such as a closed standard output, cannot be reported anywhere.
        let _ = std::io::stdout().write_all(buffer.as_bytes());
        for ack in flush_acks {
            // The waiting caller may have timed out.
            let _ = ack.try_send(());
        }
    }
}

/// Appends a line with the number of lines dropped since the last call, if there are any.
fn push_dropped_count(buffer: &mut String) {
    let dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
    if dropped > 0 {
        metrics::counter!("acaciabank_log_lines_dropped_total").increment(dropped);
        let _ = writeln!(
            buffer,
            "{{\"level\":\"WARN\",\"event\":\"log_dropped\",\"lines\":{dropped}}}"
        );
    }
}

fn push_line(buffer: &mut String, line: &str) {
    buffer.push_str(line);
    buffer.push('\n');
}

/// Formats a record as a JSON object.
fn format_record(host: &str, record: &log::Record<'_>) -> String {
    let unix_ms = clock::unix_ms();
    let mut line = String::with_capacity(192);
    let level = record.level().as_str();
    let _ = write!(
        line,
        "{{\"ms\":{unix_ms},\"host\":\"{host}\",\"level\":\"{level}\",\"event\":"
    );
    push_json_string(&mut line, &record.args().to_string());
    // `FieldWriter` returns no errors.
    let _ = record.key_values().visit(&mut FieldWriter(&mut line));
    line.push('}');
    line
}

fn push_json_string(line: &mut String, text: &str) {
    match serde_json::to_string(text) {
        Ok(quoted) => line.push_str(&quoted),
        Err(_) => line.push_str("\"\""),
    }
}

/// Appends key-value pairs as JSON fields.
struct FieldWriter<'a>(&'a mut String);

impl<'kvs> kv::VisitSource<'kvs> for FieldWriter<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let _ = write!(self.0, ",\"{key}\":");
        if let Some(number) = value.to_u64() {
            let _ = write!(self.0, "{number}");
        } else if let Some(number) = value.to_f64() {
            let _ = write!(self.0, "{number:.1}");
        } else if let Some(flag) = value.to_bool() {
            let _ = write!(self.0, "{flag}");
        } else {
            push_json_string(self.0, &value.to_string());
        }
        Ok(())
    }
}
