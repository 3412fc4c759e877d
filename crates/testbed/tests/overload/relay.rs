//! Crowds at the relay.

use acaciabank_testbed::{
    crowd::{self, CrowdKind},
    web,
};

use crate::{
    checks::{self, ProcessBounds},
    fixture::{EmulatorProcess, Fixture, ROUTE_HOST, Relay},
};

/// Memory that the settings state, in megabytes: half of that of the smallest hosts.
const MEMORY_MB: u32 = 64;
/// Descriptors that the settings state.
const MAX_DESCRIPTORS: usize = 400;
/// Descriptors that the settings state for the crowd of idle connections, which are fewer than the
/// crowd has.
const FEW_DESCRIPTORS: usize = 240;
/// Descriptors of the settings that are for files.
const FILE_DESCRIPTORS: usize = 200;
/// Largest size of a body, which is that of the users' configuration.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Number of largest bodies that one caller sends one after another.
const LARGEST_BODIES: usize = 6;

/// A relay with the memory and descriptors of the tests, and the processes that it needs.
struct RelayFixture {
    relay: Relay,
    _runner: EmulatorProcess,
    _fixture: Fixture,
}

impl RelayFixture {
    async fn start(max_descriptors: usize) -> Self {
        let mut fixture = Fixture::start().await;
        fixture.relay_memory_mb = MEMORY_MB;
        fixture.relay_max_fds = max_descriptors;
        let limits = |config: &mut serde_json::Value| {
            config["limits"]["max_body_bytes"] = MAX_BODY_BYTES.into();
        };
        fixture.write_config(1, limits).await;
        let runner = fixture.start_runner("r-1", "ledger", None).await;
        let relay = fixture.start_relay(&[]).await;
        relay.wait_serving("/safe/a").await;
        Self {
            relay,
            _runner: runner,
            _fixture: fixture,
        }
    }

    /// Returns the status of a request with the largest legal body; it must be answered.
    async fn send_largest(&self, attempt: &str, is_chunked: bool) -> u16 {
        let headers = [
            ("host", ROUTE_HOST),
            ("x-acaciabank-attempt-id", attempt),
            ("x-acaciabank-deadline-ms", "14000"),
        ];
        let address = self.relay.caller_address;
        let body = vec![b'x'; MAX_BODY_BYTES];
        let response = match is_chunked {
            true => web::call_chunked(address, "POST", "/safe/a", &headers, body).await,
            false => web::call(address, "POST", "/safe/a", &headers, body).await,
        };
        let response = response.expect("a response");
        // The runner answers with the attempt, a colon and the body.
        if response.status == 200 {
            assert_eq!(response.body.len(), attempt.len() + 1 + MAX_BODY_BYTES);
        }
        response.status
    }
}

/// Guards against a crowd that takes the relay past the memory or descriptors of its settings.
async fn check_crowd(kinds: &[CrowdKind], max_descriptors: usize) {
    let _turn = checks::wait_turn().await;
    let mut fixture = RelayFixture::start(max_descriptors).await;
    let plan = crowd::CrowdPlan {
        address: fixture.relay.caller_address,
        head: format!(
            "POST /safe/a HTTP/1.1\r\nhost: {ROUTE_HOST}\r\nx-acaciabank-attempt-id: crowd\r\n\
             x-acaciabank-deadline-ms: 60000\r\n"
        ),
        max_body_bytes: MAX_BODY_BYTES,
    };
    let bounds = ProcessBounds {
        memory_bytes: (MEMORY_MB as usize) << 20,
        descriptors: max_descriptors - FILE_DESCRIPTORS,
    };
    let address = fixture.relay.caller_address;
    let ordinary = async || {
        let headers = [
            ("host", ROUTE_HOST),
            ("x-acaciabank-attempt-id", "ordinary"),
            ("x-acaciabank-deadline-ms", "10000"),
        ];
        let response = web::call(address, "POST", "/safe/b", &headers, "ordinary").await;
        response.is_ok_and(|response| response.status == 200)
    };
    checks::check_crowd(&mut fixture.relay.process, &plan, kinds, bounds, ordinary).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_short_of_their_end_fit_into_the_memory() {
    check_crowd(&[CrowdKind::WholeBodies], MAX_DESCRIPTORS).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_pieces_fit_into_the_memory() {
    check_crowd(&[CrowdKind::PiecedBodies], MAX_DESCRIPTORS).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn large_chunks_fit_into_the_memory() {
    check_crowd(&[CrowdKind::LargeChunks], MAX_DESCRIPTORS).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn chunks_of_one_byte_fit_into_the_memory() {
    check_crowd(&[CrowdKind::OneByteChunks], MAX_DESCRIPTORS).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn announced_bodies_over_the_limit_fit_into_the_memory() {
    check_crowd(&[CrowdKind::AnnouncedOversize], MAX_DESCRIPTORS).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn chunked_bodies_over_the_limit_fit_into_the_memory() {
    check_crowd(&[CrowdKind::ChunkedOversize], MAX_DESCRIPTORS).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn responses_that_are_not_read_fit_into_the_memory() {
    check_crowd(&[CrowdKind::SlowReaders], MAX_DESCRIPTORS).await;
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
    check_crowd(&kinds, MAX_DESCRIPTORS).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_fit_into_the_descriptors() {
    check_crowd(&[CrowdKind::IdleConnections], FEW_DESCRIPTORS).await;
}

/// Guards against a budget that refuses a single request inside the limits, or that is not given
/// back.
#[tokio::test(flavor = "multi_thread")]
async fn largest_bodies_are_served_one_after_another() {
    let _turn = checks::wait_turn().await;
    let fixture = RelayFixture::start(MAX_DESCRIPTORS).await;
    for number in 0..LARGEST_BODIES {
        for is_chunked in [false, true] {
            let attempt = format!("largest-{number}-{is_chunked}");
            let status = fixture.send_largest(&attempt, is_chunked).await;
            assert_eq!(status, 200, "{attempt}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_largest_whole_body_is_served() {
    let _turn = checks::wait_turn().await;
    let fixture = RelayFixture::start(MAX_DESCRIPTORS).await;
    assert_eq!(fixture.send_largest("whole", false).await, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_largest_chunked_body_is_served() {
    let _turn = checks::wait_turn().await;
    let fixture = RelayFixture::start(MAX_DESCRIPTORS).await;
    assert_eq!(fixture.send_largest("chunked", true).await, 200);
}
