//! HTTP connections to the administration API of targets and to the object store. They never
//! reconnect by themselves: the check before an order to a target that ignores fencing tokens
//! relies on the times at which the connection was opened and last used.

use std::{net, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time};

/// Largest accepted response body.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Reason why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection could not be opened; nothing was sent.
    #[error("no connection: {0}")]
    Connect(String),
    /// No complete or readable response was received; the call may have taken effect.
    #[error("no answer: {0}")]
    NoResponse(String),
    /// The response has an unexpected status.
    #[error("unexpected status {0}")]
    Status(http::StatusCode),
}

/// Response to a call.
#[derive(Debug)]
pub struct CallResponse {
    /// HTTP status.
    pub status: http::StatusCode,
    /// Body of the response, received in full.
    pub body: Bytes,
}

/// HTTP/1.1 connection that serves one call at a time.
#[derive(Debug)]
pub struct AdminConnection {
    address: net::SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    last_used: time::Instant,
}

impl AdminConnection {
    /// Connects to `address` and completes the HTTP handshake within `timeout`.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Connect`] if the connection fails or the timeout ends.
    pub async fn open(address: net::SocketAddr, timeout: Duration) -> Result<Self, CallError> {
        let handshake = async {
            let stream = TcpStream::connect(address)
                .await
                .map_err(|error| CallError::Connect(error.to_string()))?;
            http1::handshake(TokioIo::new(stream))
                .await
                .map_err(|error| CallError::Connect(error.to_string()))
        };
        let (sender, connection) = time::timeout(timeout, handshake)
            .await
            .map_err(|_| CallError::Connect("timeout".to_owned()))??;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} ended: {error}");
            }
        });
        Ok(Self {
            address,
            sender,
            last_used: time::Instant::now(),
        })
    }

    /// Returns the time since the last call ended, or since the connection was opened.
    pub fn idle_time(&self) -> Duration {
        self.last_used.elapsed()
    }

    /// Sends a request and receives the complete response. The connection must not be used again
    /// after an error.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NoResponse`] if the exchange fails or the timeout ends.
    pub async fn call(
        &mut self,
        method: http::Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<CallResponse, CallError> {
        let request = http::Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, self.address.to_string())
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| CallError::NoResponse(error.to_string()))?;
        let exchange = async {
            let response = self.sender.send_request(request).await?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
                .collect()
                .await?
                .to_bytes();
            Ok::<_, Box<dyn std::error::Error + Send + Sync>>(CallResponse { status, body })
        };
        let response = time::timeout(timeout, exchange)
            .await
            .map_err(|_| CallError::NoResponse("timeout".to_owned()))?
            .map_err(|error| CallError::NoResponse(error.to_string()))?;
        self.last_used = time::Instant::now();
        Ok(response)
    }
}

/// Opens a connection, makes one call and closes the connection. `timeout` applies to connecting
/// and to the call separately.
///
/// # Errors
///
/// Returns [`CallError::Connect`] if no connection can be opened, and [`CallError::NoResponse`] if
/// the call fails on it.
pub async fn call_once(
    address: net::SocketAddr,
    method: http::Method,
    path: &str,
    body: Bytes,
    timeout: Duration,
) -> Result<CallResponse, CallError> {
    let mut connection = AdminConnection::open(address, timeout).await?;
    connection.call(method, path, body, timeout).await
}
