//! Pool of keep-alive connections to the table service.

use std::{sync, time};

use acaciabank_protocol::settings;
use acaciabank_relay::connection::{BodyLimits, read_body};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::timeout_at};

/// Maximum number of idle connections kept. Calls that find none open a new connection, which is
/// closed after the call if the pool is full.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Largest accepted response: the service returns pages of at most 1 MiB, encoded as JSON.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

type RequestSender = http1::SendRequest<Full<Bytes>>;

/// Response of the service.
#[derive(Debug)]
pub(super) struct CallResponse {
    pub(super) status: u16,
    pub(super) body: Bytes,
}

/// Reason why a call got no response.
#[derive(Debug)]
pub(super) enum CallError {
    /// No byte of the request was written.
    NotWritten(String),
    /// The service may have received the request.
    NoResponse(String),
}

/// Connections to the table service, reused for one call at a time.
#[derive(Debug)]
pub(super) struct ConnectionPool {
    pub(super) settings: settings::TableSettings,
    idle: sync::Mutex<Vec<RequestSender>>,
}

impl ConnectionPool {
    pub(super) fn new(settings: settings::TableSettings) -> Self {
        Self {
            settings,
            idle: sync::Mutex::default(),
        }
    }

    /// Sends one request. The whole call, including a connect, ends within the configured timeout.
    pub(super) async fn call(
        &self,
        operation: &str,
        body: &Bytes,
    ) -> Result<CallResponse, CallError> {
        let timeout = time::Duration::from_millis(self.settings.timeout_ms);
        let deadline = tokio::time::Instant::now() + timeout;
        loop {
            let (mut sender, is_reused) = self.sender(deadline).await?;
            let request = self.request(operation, body)?;
            let sent = timeout_at(deadline, sender.try_send_request(request)).await;
            let response = match sent {
                Err(_) => return Err(CallError::NoResponse("timeout".to_owned())),
                // The service had closed an idle connection. Nothing was written, so another
                // connection is tried.
                Ok(Err(mut error)) => {
                    let not_written = error.take_message().is_some();
                    if not_written && is_reused {
                        continue;
                    }
                    let text = error.into_error().to_string();
                    return Err(match not_written {
                        true => CallError::NotWritten(text),
                        false => CallError::NoResponse(text),
                    });
                }
                Ok(Ok(response)) => response,
            };
            let status = response.status().as_u16();
            let limits = BodyLimits {
                max_bytes: MAX_RESPONSE_BYTES,
                budget: None,
            };
            let body = read_body(response.into_body(), limits, deadline.into_std()).await;
            let body = body.map_err(|error| CallError::NoResponse(error.to_string()))?;
            self.put_back(sender);
            return Ok(CallResponse { status, body });
        }
    }

    fn request(
        &self,
        operation: &str,
        body: &Bytes,
    ) -> Result<http::Request<Full<Bytes>>, CallError> {
        http::Request::post("/")
            .header(http::header::HOST, self.settings.address.to_string())
            .header(http::header::CONTENT_TYPE, "application/x-amz-json-1.0")
            .header("x-amz-target", format!("DynamoDB_20120810.{operation}"))
            .body(Full::new(body.clone()))
            .map_err(|error| CallError::NotWritten(error.to_string()))
    }

    /// Takes an idle connection or opens a new one; also returns whether it was idle.
    async fn sender(
        &self,
        deadline: tokio::time::Instant,
    ) -> Result<(RequestSender, bool), CallError> {
        while let Some(sender) = self.take_idle() {
            if sender.is_ready() {
                return Ok((sender, true));
            }
        }
        match timeout_at(deadline, self.connect()).await {
            Err(_) => Err(CallError::NotWritten("connect timeout".to_owned())),
            Ok(Err(error)) => Err(CallError::NotWritten(error)),
            Ok(Ok(sender)) => Ok((sender, false)),
        }
    }

    async fn connect(&self) -> Result<RequestSender, String> {
        let stream = TcpStream::connect(self.settings.address)
            .await
            .map_err(|error| error.to_string())?;
        stream
            .set_nodelay(true)
            .map_err(|error| error.to_string())?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| error.to_string())?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to the table service ended: {error}");
            }
        });
        Ok(sender)
    }

    fn take_idle(&self) -> Option<RequestSender> {
        self.lock().pop()
    }

    fn put_back(&self, sender: RequestSender) {
        let mut idle = self.lock();
        if !sender.is_closed() && idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(sender);
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, Vec<RequestSender>> {
        self.idle
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
