//! Calls to the platform that only the daemon that holds the lease makes.

use std::{cell::RefCell, net, time::Duration};

use acaciabank_core::control;
use http_body_util::Full;

use crate::{clock, connection, platform, state};

/// Time limit for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time limit for the response. Three calls fit into the time within which a report is due.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Tasks that the platform's settings give to the holder of the lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ControlTasks {
    /// Reports of usage.
    pub usage: bool,
    /// Orders of capacity.
    pub capacity: bool,
}

impl ControlTasks {
    /// Whether there is no task.
    pub fn is_empty(self) -> bool {
        !self.usage && !self.capacity
    }
}

/// State of this daemon's calls.
#[derive(Debug)]
pub struct ControlState {
    pacer: RefCell<control::CallPacer>,
}

impl ControlState {
    /// Creates the state for a platform that accepts the given number of calls per second.
    pub fn new(platform_calls_per_s: f64) -> Self {
        Self {
            pacer: RefCell::new(control::CallPacer::new(platform_calls_per_s)),
        }
    }
}

/// Makes a call as the holder of the lease. Waits while earlier calls use up the rate or failures
/// require a pause. Nothing is written to the connection when the lease may have expired.
pub async fn call<Codec: platform::MessageCodec, Store>(
    state: &state::RelayState<Codec, Store>,
    call: &platform::ControlCall<'_>,
) -> platform::ControlResponse {
    let now_ms = clock::now_ms();
    let address = state.settings.control_address;
    let Some(address) = address.filter(|_| state.lease.grant(now_ms).is_some()) else {
        return platform::ControlResponse::Unsent;
    };
    let at_ms = state.control.pacer.borrow_mut().reserve(now_ms);
    tokio::time::sleep(Duration::from_millis(at_ms.saturating_sub(now_ms))).await;
    let response = exchange(state, address, call).await;
    let outcome = match response {
        platform::ControlResponse::Limited
        | platform::ControlResponse::Failed
        | platform::ControlResponse::Unsent
        | platform::ControlResponse::Unknown => control::CallOutcome::Failed,
        platform::ControlResponse::Accepted
        | platform::ControlResponse::Unavailable
        | platform::ControlResponse::Refused => control::CallOutcome::Answered,
    };
    let mut pacer = state.control.pacer.borrow_mut();
    pacer.record(clock::now_ms(), outcome);
    metrics::counter!(
        "acaciabank_control_calls_total",
        "call" => call.as_str(),
        "response" => response.as_str()
    )
    .increment(1);
    response
}

async fn exchange<Codec: platform::MessageCodec, Store>(
    state: &state::RelayState<Codec, Store>,
    address: net::SocketAddr,
    call: &platform::ControlCall<'_>,
) -> platform::ControlResponse {
    let connected = connection::TargetConnection::connect(address, CONNECT_TIMEOUT).await;
    let Ok(mut connection) = connected else {
        return platform::ControlResponse::Unsent;
    };
    // The lease may have been lost, and another daemon may have held it, while this one waited.
    let now_ms = clock::now_ms();
    let Some(grant) = state.lease.grant(now_ms) else {
        return platform::ControlResponse::Unsent;
    };
    let authority = platform::ControlAuthority {
        holder: &state.settings.host,
        fencing_token: grant.token.to_fencing_token(),
    };
    let mut request = state
        .codec
        .write_control_call(&authority, call)
        .map(Full::new);
    if let Ok(host) = http::HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().insert(http::header::HOST, host);
    }
    connection.set_write_deadline(Some(connection::WriteDeadline::at_boot_ms(
        grant.act_until_ms,
    )));
    let written_before = connection.bytes_written();
    let sent = tokio::time::timeout(RESPONSE_TIMEOUT, connection.send(request)).await;
    match sent {
        Ok(Ok(response)) => state.codec.read_control_response(response.status()),
        _ if connection.bytes_written() == written_before => platform::ControlResponse::Unsent,
        _ => platform::ControlResponse::Unknown,
    }
}
