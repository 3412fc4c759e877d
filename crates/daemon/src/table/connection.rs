//! Kept-alive connections to the table service.

use std::{sync, time};

use acaciabank_protocol::settings;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::timeout_at};

/// Idle connections kept at most; more concurrent calls open connections of their own.
const MAX_IDLE_CONNECTIONS: usize = 16;

type RequestSender = http1::SendRequest<Full<Bytes>>;

/// Answer of the service.
#[derive(Debug)]
pub(super) struct CallAnswer {
    pub(super) status: u16,
    pub(super) body: Bytes,
}

/// Why a call brought no answer.
#[derive(Debug)]
pub(super) enum CallFailure {
    /// No byte of the request was written.
    NotWritten(String),
    /// The request may have been read by the service.
    NoAnswer(String),
}

/// Connections to the table service.
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

    /// Sends one request; the whole call ends within the configured timeout.
    pub(super) async fn call(
        &self,
        operation: &str,
        body: &Bytes,
    ) -> Result<CallAnswer, CallFailure> {
        let timeout = time::Duration::from_millis(self.settings.timeout_ms);
        let deadline = tokio::time::Instant::now() + timeout;
        loop {
            let (mut sender, pooled) = self.sender(deadline).await?;
            let request = self.request(operation, body)?;
            let sent = timeout_at(deadline, sender.try_send_request(request)).await;
            let response = match sent {
                Err(_) => return Err(CallFailure::NoAnswer("timeout".to_owned())),
                // The service closed an idle connection: nothing was written, so another
                // connection is tried.
                Ok(Err(mut error)) => {
                    let not_written = error.take_message().is_some();
                    if not_written && pooled {
                        continue;
                    }
                    let text = error.into_error().to_string();
                    return Err(match not_written {
                        true => CallFailure::NotWritten(text),
                        false => CallFailure::NoAnswer(text),
                    });
                }
                Ok(Ok(response)) => response,
            };
            let status = response.status().as_u16();
            let body = match timeout_at(deadline, response.into_body().collect()).await {
                Err(_) => return Err(CallFailure::NoAnswer("timeout".to_owned())),
                Ok(Err(error)) => return Err(CallFailure::NoAnswer(error.to_string())),
                Ok(Ok(body)) => body.to_bytes(),
            };
            self.put_back(sender);
            return Ok(CallAnswer { status, body });
        }
    }

    fn request(
        &self,
        operation: &str,
        body: &Bytes,
    ) -> Result<http::Request<Full<Bytes>>, CallFailure> {
        http::Request::post("/")
            .header(http::header::HOST, self.settings.address.to_string())
            .header(http::header::CONTENT_TYPE, "application/x-amz-json-1.0")
            .header("x-amz-target", format!("DynamoDB_20120810.{operation}"))
            .body(Full::new(body.clone()))
            .map_err(|error| CallFailure::NotWritten(error.to_string()))
    }

    async fn sender(
        &self,
        deadline: tokio::time::Instant,
    ) -> Result<(RequestSender, bool), CallFailure> {
        while let Some(sender) = self.take_idle() {
            if sender.is_ready() {
                return Ok((sender, true));
            }
        }
        match timeout_at(deadline, self.connect()).await {
            Err(_) => Err(CallFailure::NotWritten("connect timeout".to_owned())),
            Ok(Err(error)) => Err(CallFailure::NotWritten(error)),
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
