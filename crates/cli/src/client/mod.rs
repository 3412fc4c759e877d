//! HTTP/1.1 client over TCP or TLS that opens one connection per call.

use std::{path, sync, time};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper_util::rt::TokioIo;
use rustls_pki_types::{CertificateDer, ServerName, pem::PemObject as _};
use tokio::{io, net, time as clock};

use crate::error::{Error, Result};

/// Timeout of a TCP connect and TLS handshake, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 3_000;
/// Timeout until the head of a response, in milliseconds; longer than the daemon's long poll of
/// 30 s.
const RESPONSE_TIMEOUT_MS: u64 = 120_000;

/// A TCP or TLS connection.
trait IoStream: io::AsyncRead + io::AsyncWrite + Send + Unpin {}
impl<T: io::AsyncRead + io::AsyncWrite + Send + Unpin> IoStream for T {}

/// A client of one server address.
#[derive(Clone)]
pub(crate) struct HttpClient {
    address: String,
    key: Option<String>,
    tls: Option<tokio_rustls::TlsConnector>,
}

/// A response whose body has been read to its end.
pub(crate) struct BufferedResponse {
    pub(crate) status: u16,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: Bytes,
}

impl BufferedResponse {
    /// Parses the body as JSON.
    pub(crate) fn to_json(&self) -> Result<serde_json::Value> {
        serde_json::from_slice(&self.body)
            .map_err(|error| Error::UnexpectedContent(error.to_string()))
    }

    /// Returns the response if its status is 2xx, otherwise an error with the system's message.
    pub(crate) fn into_success(self) -> Result<Self> {
        if (200..300).contains(&self.status) {
            return Ok(self);
        }
        let message = self
            .to_json()
            .ok()
            .and_then(|json| {
                let error = json.get("error")?;
                let text = error.get("message").unwrap_or(error);
                Some(
                    text.as_str()
                        .map_or_else(|| text.to_string(), str::to_owned),
                )
            })
            .unwrap_or_else(|| String::from_utf8_lossy(&self.body).trim().to_owned());
        match self.status {
            409 | 412 => Err(Error::Conflict(message)),
            status => Err(Error::Refused { status, message }),
        }
    }
}

impl HttpClient {
    /// Creates a client of `address`; uses TLS if `ca` is given.
    pub(crate) fn new(address: &str, key: Option<String>, ca: Option<&path::Path>) -> Result<Self> {
        let tls = ca.map(tls_connector).transpose()?;
        Ok(Self {
            address: address.to_owned(),
            key,
            tls,
        })
    }

    /// Sends a request and reads the response to its end.
    pub(crate) async fn call(
        &self,
        method: http::Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<BufferedResponse> {
        let response = self.send(method, path, headers, body).await?;
        let (head, body) = response.into_parts();
        let body = body
            .collect()
            .await
            .map_err(|error| self.unreachable_error(error))?
            .to_bytes();
        Ok(BufferedResponse {
            status: head.status.as_u16(),
            headers: head.headers,
            body,
        })
    }

    /// Sends a GET request and parses the body of a successful response as JSON.
    pub(crate) async fn get_json(&self, path: &str) -> Result<serde_json::Value> {
        let response = self
            .call(http::Method::GET, path, &[], Bytes::new())
            .await?;
        response.into_success()?.to_json()
    }

    /// Sends a request and returns the response with its body unread.
    pub(crate) async fn send(
        &self,
        method: http::Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<http::Response<hyper::body::Incoming>> {
        let mut request = http::Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, &self.address);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        if let Some(key) = &self.key {
            request = request.header(http::header::AUTHORIZATION, format!("Bearer {key}"));
        }
        let request = request
            .body(Full::new(body))
            .map_err(|error| Error::Usage(format!("invalid request path or header: {error}")))?;
        let stream = with_timeout(CONNECT_TIMEOUT_MS, self.connect())
            .await
            .map_err(|message| self.unreachable_error(message))?;
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| self.unreachable_error(error))?;
        tokio::spawn(connection);
        with_timeout(RESPONSE_TIMEOUT_MS, async {
            sender
                .send_request(request)
                .await
                .map_err(|error| error.to_string())
        })
        .await
        .map_err(|message| self.unreachable_error(message))
    }

    async fn connect(&self) -> std::result::Result<Box<dyn IoStream>, String> {
        let stream = net::TcpStream::connect(&self.address)
            .await
            .map_err(|error| error.to_string())?;
        stream
            .set_nodelay(true)
            .map_err(|error| error.to_string())?;
        let Some(tls) = &self.tls else {
            return Ok(Box::new(stream));
        };
        let host = self
            .address
            .rsplit_once(':')
            .map_or(self.address.as_str(), |(host, _)| host);
        let name = ServerName::try_from(host.to_owned()).map_err(|error| error.to_string())?;
        let stream = tls
            .connect(name, stream)
            .await
            .map_err(|error| error.to_string())?;
        Ok(Box::new(stream))
    }

    fn unreachable_error(&self, error: impl std::fmt::Display) -> Error {
        Error::Unreachable {
            address: self.address.clone(),
            message: error.to_string(),
        }
    }
}

/// Runs `future` with a timeout.
async fn with_timeout<T>(
    timeout_ms: u64,
    future: impl Future<Output = std::result::Result<T, String>>,
) -> std::result::Result<T, String> {
    match clock::timeout(time::Duration::from_millis(timeout_ms), future).await {
        Ok(result) => result,
        Err(_) => Err(format!("no response within {timeout_ms} ms")),
    }
}

/// Creates a TLS connector that trusts the certificates of a PEM file.
fn tls_connector(file: &path::Path) -> Result<tokio_rustls::TlsConnector> {
    let usage_error = |message: String| Error::Usage(format!("{}: {message}", file.display()));
    let certificates =
        CertificateDer::pem_file_iter(file).map_err(|error| usage_error(error.to_string()))?;
    let mut roots = rustls::RootCertStore::empty();
    for certificate in certificates {
        let certificate = certificate.map_err(|error| usage_error(error.to_string()))?;
        roots
            .add(certificate)
            .map_err(|error| usage_error(error.to_string()))?;
    }
    let provider = sync::Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|error| usage_error(error.to_string()))?
        .with_root_certificates(roots)
        .with_no_client_auth();
    Ok(tokio_rustls::TlsConnector::from(sync::Arc::new(config)))
}
