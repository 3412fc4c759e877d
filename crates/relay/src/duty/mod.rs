//! Calls to the platform that are the duty of the daemon that holds the lease.

use std::{cell::RefCell, net, time::Duration};

use acaciabank_core::duty;
use http_body_util::Full;

use crate::{clock, connection, platform, state};

/// Time limit for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time limit for the response. Three calls fit into the time within which a report is due.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Duties that the platform's settings give to the holder of the lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DutySet {
    /// Reports of usage.
    pub usage: bool,
    /// Orders of capacity.
    pub capacity: bool,
}

impl DutySet {
    /// Whether there is no duty.
    pub fn is_empty(self) -> bool {
        !self.usage && !self.capacity
    }
}

/// State of this daemon's calls.
#[derive(Debug)]
pub struct DutyState {
    pacer: RefCell<duty::CallPacer>,
}

impl DutyState {
    /// Creates the state for a platform that accepts the given number of calls per second.
    pub fn new(platform_calls_per_s: f64) -> Self {
        Self {
            pacer: RefCell::new(duty::CallPacer::new(platform_calls_per_s)),
        }
    }
}

/// Makes a call as the holder of the lease. Waits while earlier calls use up the rate or failures
/// require a pause. Nothing is written to the connection when the lease may have expired.
pub async fn call<Codec: platform::MessageCodec, Store>(
    state: &state::RelayState<Codec, Store>,
    call: &platform::DutyCall<'_>,
) -> platform::DutyResponse {
    let now_ms = clock::now_ms();
    let address = state.settings.duty_address;
    let Some(address) = address.filter(|_| state.lease.grant(now_ms).is_some()) else {
        return platform::DutyResponse::Unsent;
    };
    let at_ms = state.duty.pacer.borrow_mut().reserve(now_ms);
    tokio::time::sleep(Duration::from_millis(at_ms.saturating_sub(now_ms))).await;
    let response = exchange(state, address, call).await;
    let outcome = match response {
        platform::DutyResponse::Limited
        | platform::DutyResponse::Failed
        | platform::DutyResponse::Unsent
        | platform::DutyResponse::Unknown => duty::CallOutcome::Failed,
        platform::DutyResponse::Accepted
        | platform::DutyResponse::Unavailable
        | platform::DutyResponse::Refused => duty::CallOutcome::Answered,
    };
    let mut pacer = state.duty.pacer.borrow_mut();
    pacer.record(clock::now_ms(), outcome);
    metrics::counter!(
        "acaciabank_duty_calls_total",
        "call" => call.as_str(),
        "response" => response.as_str()
    )
    .increment(1);
    response
}

async fn exchange<Codec: platform::MessageCodec, Store>(
    state: &state::RelayState<Codec, Store>,
    address: net::SocketAddr,
    call: &platform::DutyCall<'_>,
) -> platform::DutyResponse {
    let connected = connection::TargetConnection::connect(address, CONNECT_TIMEOUT).await;
    let Ok(mut connection) = connected else {
        return platform::DutyResponse::Unsent;
    };
    // The lease may have been lost, and another daemon may have held it, while this one waited.
    let now_ms = clock::now_ms();
    let Some(grant) = state.lease.grant(now_ms) else {
        return platform::DutyResponse::Unsent;
    };
    let authority = platform::DutyAuthority {
        holder: &state.settings.host,
        fencing_token: grant.token.to_fencing_token(),
    };
    let mut request = state.codec.write_duty_call(&authority, call).map(Full::new);
    if let Ok(host) = http::HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().insert(http::header::HOST, host);
    }
    connection.set_write_deadline(Some(connection::WriteDeadline::at_boot_ms(
        grant.act_until_ms,
    )));
    let written_before = connection.bytes_written();
    let sent = tokio::time::timeout(RESPONSE_TIMEOUT, connection.send(request)).await;
    match sent {
        Ok(Ok(response)) => state.codec.read_duty_response(response.status()),
        _ if connection.bytes_written() == written_before => platform::DutyResponse::Unsent,
        _ => platform::DutyResponse::Unknown,
    }
}
