//! The log on standard output.

use std::{env, io::Read, process, time::Duration};

use acaciabank_relay::telemetry;

/// Set in the process that writes the log.
const WRITER_VARIABLE: &str = "ACACIABANK_TEST_LOG_WRITER";
/// Lines and their size: together several times what a pipe holds, and fewer than the queue of the
/// log.
const LINES: usize = 500;
const LINE_BYTES: usize = 400;

/// Guards against a process that ends before its log: the line about its end, and those of the last
/// requests, were still in the queue.
#[test]
fn all_lines_are_written_before_the_process_ends() {
    if env::var_os(WRITER_VARIABLE).is_some() {
        write_and_end();
    }
    let program = env::current_exe().expect("this program");
    let mut writer = process::Command::new(program)
        .args(["--exact", "all_lines_are_written_before_the_process_ends"])
        .args(["--nocapture", "--test-threads", "1"])
        .env(WRITER_VARIABLE, "1")
        .stdout(process::Stdio::piped())
        .spawn()
        .expect("a process");
    // The reader is slow, so the pipe fills up and the writer has to wait.
    std::thread::sleep(Duration::from_millis(300));
    let mut output = writer.stdout.take().expect("output");
    let mut text = String::new();
    output.read_to_string(&mut text).expect("text");
    writer.wait().expect("an end");
    let lines = text
        .lines()
        .filter(|line| line.contains("\"event\":\"line\""));
    assert_eq!(lines.count(), LINES);
}

fn write_and_end() -> ! {
    telemetry::install_log("host", log::LevelFilter::Info).expect("a log");
    let padding = "x".repeat(LINE_BYTES);
    for _ in 0..LINES {
        log::info!(padding = padding.as_str(); "line");
    }
    telemetry::flush_log(Duration::from_secs(10));
    process::exit(0);
}
