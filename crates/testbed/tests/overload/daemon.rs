//! Crowds at the daemon of the product's own interface.

use acaciabank_testbed::{
    crowd::{self, CrowdKind},
    harness, web,
};

use crate::checks::{self, ProcessBounds};

/// Path of the requests; the simulated service answers with the body.
const PATH: &str = "/services/ledger/echo";
/// Largest size of a body, which is the default of the settings.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Memory for the answers that are kept for late callers.
const ANSWER_BUFFER_BYTES: usize = 8 << 20;
/// Largest bodies that may be in memory at the same time. The settings of the daemon state no memory,
/// so the bound is derived from this number, the size of a body and the memory for answers.
const CONCURRENT_BODIES: usize = 8;
/// Memory of a daemon without requests, with its program and threads.
const BASE_BYTES: usize = 48 << 20;
/// Most connections of callers, more than the crowd has.
const MAX_CONNECTIONS: usize = 100;
/// Descriptors that a daemon has beside the connections of callers: listeners, logs, connections to
/// targets (at most 64 idle ones a target) and to the platform.
const OTHER_DESCRIPTORS: usize = 200;
/// Number of largest bodies that one caller sends one after another.
const LARGEST_BODIES: usize = 6;

/// Starts a daemon with one service instance.
async fn start_fleet() -> harness::Fleet {
    let mut spec = harness::FleetSpec::small(1, 1, 1);
    spec.proxied = harness::ProxiedLinks::default();
    spec.limits.max_body_bytes = MAX_BODY_BYTES;
    spec.limits.answer_buffer_bytes = ANSWER_BUFFER_BYTES;
    spec.limits.max_connections = MAX_CONNECTIONS;
    let launcher = harness::Launcher::new(env!("CARGO_BIN_EXE_testbed")).expect("launcher");
    let fleet = spec.start(launcher).await.expect("a fleet");
    fleet.wait_converged().await;
    fleet
}

/// Guards against a crowd that takes the daemon past the memory or descriptors that its settings
/// allow.
async fn check_crowd(kinds: &[CrowdKind]) {
    let _turn = checks::wait_turn().await;
    let mut fleet = start_fleet().await;
    let daemon = &mut fleet.daemons[0];
    let address = daemon.caller_address;
    let plan = crowd::CrowdPlan {
        address,
        head: format!("POST {PATH} HTTP/1.1\r\nhost: {address}\r\nx-timeout-ms: 60000\r\n"),
        max_body_bytes: MAX_BODY_BYTES,
    };
    let bounds = ProcessBounds {
        memory_bytes: BASE_BYTES + ANSWER_BUFFER_BYTES + CONCURRENT_BODIES * MAX_BODY_BYTES,
        descriptors: MAX_CONNECTIONS + OTHER_DESCRIPTORS,
    };
    let ordinary = async || {
        let headers = [("x-timeout-ms", "10000")];
        let response = web::call(address, "POST", PATH, &headers, "ordinary").await;
        response.is_ok_and(|response| response.status == 200)
    };
    checks::check_crowd(&mut daemon.process, &plan, kinds, bounds, ordinary).await;
}

/// Returns the status of a request with the largest legal body; it must be answered.
async fn send_largest(fleet: &harness::Fleet, is_chunked: bool) -> u16 {
    let address = fleet.daemons[0].caller_address;
    let body = vec![b'x'; MAX_BODY_BYTES];
    let response = match is_chunked {
        true => web::call_chunked(address, "POST", PATH, &[], body).await,
        false => web::call(address, "POST", PATH, &[], body).await,
    };
    let response = response.expect("a response");
    if response.status == 200 {
        assert_eq!(response.body.len(), MAX_BODY_BYTES);
    }
    response.status
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_short_of_their_end_fit_into_the_memory() {
    check_crowd(&[CrowdKind::WholeBodies]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_pieces_fit_into_the_memory() {
    check_crowd(&[CrowdKind::PiecedBodies]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn large_chunks_fit_into_the_memory() {
    check_crowd(&[CrowdKind::LargeChunks]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn chunks_of_one_byte_fit_into_the_memory() {
    check_crowd(&[CrowdKind::OneByteChunks]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn announced_bodies_over_the_limit_fit_into_the_memory() {
    check_crowd(&[CrowdKind::AnnouncedOversize]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn chunked_bodies_over_the_limit_fit_into_the_memory() {
    check_crowd(&[CrowdKind::ChunkedOversize]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn responses_that_are_not_read_fit_into_the_memory() {
    check_crowd(&[CrowdKind::SlowReaders]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn all_kinds_at_once_fit_into_the_memory() {
    let kinds = [
        CrowdKind::WholeBodies,
        CrowdKind::PiecedBodies,
        CrowdKind::LargeChunks,
        CrowdKind::OneByteChunks,
        CrowdKind::AnnouncedOversize,
        CrowdKind::ChunkedOversize,
        CrowdKind::SlowReaders,
    ];
    check_crowd(&kinds).await;
}

/// Guards against a budget that refuses a single request inside the limits, or that is not given
/// back.
#[tokio::test(flavor = "multi_thread")]
async fn largest_bodies_are_served_one_after_another() {
    let _turn = checks::wait_turn().await;
    let fleet = start_fleet().await;
    for number in 0..LARGEST_BODIES {
        for is_chunked in [false, true] {
            let status = send_largest(&fleet, is_chunked).await;
            assert_eq!(status, 200, "number {number}, chunked: {is_chunked}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_largest_whole_body_is_served() {
    let _turn = checks::wait_turn().await;
    let fleet = start_fleet().await;
    assert_eq!(send_largest(&fleet, false).await, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_largest_chunked_body_is_served() {
    let _turn = checks::wait_turn().await;
    let fleet = start_fleet().await;
    assert_eq!(send_largest(&fleet, true).await, 200);
}
