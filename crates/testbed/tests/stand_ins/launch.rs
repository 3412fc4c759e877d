//! Addresses that the launcher hands out for processes.

use std::{
    net, process,
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

use crate::launcher;

/// Addresses that are handed out and bound while other threads start processes.
const ADDRESS_COUNT: usize = 3_000;
/// Threads that start processes meanwhile.
const STARTING_THREADS: usize = 6;

/// Guards against a process that cannot listen on its address because a child process that another
/// thread was starting had inherited the listener with which the free port was found.
#[test]
fn addresses_can_be_bound_while_other_processes_start() {
    let launcher = launcher();
    let is_done = AtomicBool::new(false);
    let failures = thread::scope(|scope| {
        for _ in 0..STARTING_THREADS {
            scope.spawn(|| {
                while !is_done.load(Ordering::Relaxed) {
                    let mut command = process::Command::new(env!("CARGO_BIN_EXE_testbed"));
                    let status = command
                        .arg("--help")
                        .stderr(process::Stdio::null())
                        .status();
                    status.expect("the program starts");
                }
            });
        }
        let mut failures = Vec::new();
        for _ in 0..ADDRESS_COUNT {
            let address = launcher.next_address().expect("address");
            if let Err(error) = net::TcpListener::bind(address) {
                failures.push(error.to_string());
            }
        }
        is_done.store(true, Ordering::Relaxed);
        failures
    });
    assert!(
        failures.is_empty(),
        "{} of {ADDRESS_COUNT}: {}",
        failures.len(),
        failures[0]
    );
}

/// Guards against a process that cannot listen on a fixed port because the counter of the addresses
/// has come round to one that a process of another test still uses.
#[test]
fn addresses_of_other_launchers_are_not_handed_out() {
    let holder = launcher();
    let held = holder.next_ip();
    for _ in 0..6 {
        let other = launcher();
        let handed_out: Vec<_> = (0..100).map(|_| other.next_ip()).collect();
        assert!(!handed_out.contains(&held), "{held}");
    }
}

/// Guards against a reserved port that the kernel gives to another socket of the same host, such as
/// that of an outgoing connection.
#[test]
fn a_reserved_port_is_given_to_no_other_socket() {
    let launcher = launcher();
    let ip = launcher.next_ip();
    let reserved = launcher.free_address(ip).expect("address");
    let mut sockets = Vec::new();
    for _ in 0..500 {
        let other = net::TcpListener::bind((ip, 0)).expect("a free port");
        assert_ne!(other.local_addr().expect("address"), reserved);
        sockets.push(other);
    }
    assert!(
        launcher.reserve(reserved).is_ok(),
        "the port can be bound again before it listens"
    );
    net::TcpListener::bind(reserved).expect("the reserved port can be listened on");
}
