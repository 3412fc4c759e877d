//! HTTP connections to targets' administration API and to the object store, opened and closed by
//! the caller. They are never reopened behind the caller's back: the rule for targets that ignore
//! fencing numbers depends on it.

use std::{net, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time};

/// Bytes of an answer at most.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection; nothing was sent.
    #[error("no connection: {0}")]
    Connect(String),
    /// No complete answer; the call may have taken effect.
    #[error("no answer: {0}")]
    NoResponse(String),
    /// An answer with an unexpected status.
    #[error("unexpected status {0}")]
    Status(http::StatusCode),
}

/// An answer.
#[derive(Debug)]
pub struct CallResponse {
    /// Status.
    pub status: http::StatusCode,
    /// Body.
    pub body: Bytes,
}

/// One connection, used by one call at a time.
#[derive(Debug)]
pub struct AdminConnection {
    address: net::SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    last_used: time::Instant,
}

impl AdminConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// [`CallError::Connect`].
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

    /// Time since the last call ended, or since the connection was opened.
    pub fn idle_time(&self) -> Duration {
        self.last_used.elapsed()
    }

    /// Makes one call. After an error the connection must not be used again.
    ///
    /// # Errors
    ///
    /// [`CallError::NoResponse`].
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
        let answer = time::timeout(timeout, exchange)
            .await
            .map_err(|_| CallError::NoResponse("timeout".to_owned()))?
            .map_err(|error| CallError::NoResponse(error.to_string()))?;
        self.last_used = time::Instant::now();
        Ok(answer)
    }
}

/// Opens a connection for one call.
///
/// # Errors
///
/// [`CallError::Connect`], [`CallError::NoResponse`].
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
