//! The log on standard output.

use std::{env, io::Read, process, time::Duration};

use acaciabank_relay::telemetry;

/// Set in the child process that writes the log.
const WRITER_VARIABLE: &str = "ACACIABANK_TEST_LOG_WRITER";
/// Number and size of the lines: several times the capacity of a pipe, but few enough for the log's
/// queue.
const LINE_COUNT: usize = 500;
const LINE_BYTES: usize = 400;

/// Guards against a process that exits before its log is written: the lines of its shutdown and of
/// the last requests were still in the queue.
#[test]
fn all_lines_are_written_before_the_process_ends() {
    if env::var_os(WRITER_VARIABLE).is_some() {
        write_and_exit();
    }
    let program = env::current_exe().expect("this program");
    let mut writer = process::Command::new(program)
        .args(["--exact", "all_lines_are_written_before_the_process_ends"])
        .args(["--nocapture", "--test-threads", "1"])
        .env(WRITER_VARIABLE, "1")
        .stdout(process::Stdio::piped())
        .spawn()
        .expect("a process");
    // Delays reading so that the pipe fills up and the writer blocks.
    std::thread::sleep(Duration::from_millis(300));
    let mut output = writer.stdout.take().expect("output");
    let mut text = String::new();
    output.read_to_string(&mut text).expect("text");
    writer.wait().expect("an end");
    let lines = text
        .lines()
        .filter(|line| line.contains("\"event\":\"line\""));
    assert_eq!(lines.count(), LINE_COUNT);
}

fn write_and_exit() -> ! {
    telemetry::install_log("host", log::LevelFilter::Info).expect("a log");
    let padding = "x".repeat(LINE_BYTES);
    for _ in 0..LINE_COUNT {
        log::info!(padding = padding.as_str(); "line");
    }
    telemetry::flush_log(Duration::from_secs(10));
    process::exit(0);
}
