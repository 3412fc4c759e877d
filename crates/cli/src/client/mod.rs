//! HTTP/1.1 client over TCP or TLS, one connection a call.

use std::{path, sync, time};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper_util::rt::TokioIo;
use rustls_pki_types::{CertificateDer, ServerName, pem::PemObject as _};
use tokio::{io, net, time as clock};

use crate::error::{Error, Result};

/// Time for a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 3_000;
/// Time to the head of an answer, in milliseconds; longer than the daemon's long poll of 30 s.
const ANSWER_TIMEOUT_MS: u64 = 120_000;

trait Stream: io::AsyncRead + io::AsyncWrite + Send + Unpin {}
impl<T: io::AsyncRead + io::AsyncWrite + Send + Unpin> Stream for T {}

/// A peer to call.
#[derive(Clone)]
pub(crate) struct HttpClient {
    address: String,
    key: Option<String>,
    tls: Option<tokio_rustls::TlsConnector>,
}

/// An answer whose body is whole.
pub(crate) struct WholeAnswer {
    pub(crate) status: u16,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: Bytes,
}

impl WholeAnswer {
    /// The body as JSON.
    pub(crate) fn to_json(&self) -> Result<serde_json::Value> {
        serde_json::from_slice(&self.body)
            .map_err(|error| Error::InvalidResponse(error.to_string()))
    }

    /// The answer when it is a success, the system's message as an error otherwise.
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
    /// A client of one address; with `ca`, over TLS.
    pub(crate) fn new(address: &str, key: Option<String>, ca: Option<&path::Path>) -> Result<Self> {
        let tls = ca.map(connector).transpose()?;
        Ok(Self {
            address: address.to_owned(),
            key,
            tls,
        })
    }

    /// Sends a request and reads the whole answer.
    pub(crate) async fn call(
        &self,
        method: http::Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<WholeAnswer> {
        let response = self.send(method, path, headers, body).await?;
        let (head, body) = response.into_parts();
        let body = body
            .collect()
            .await
            .map_err(|error| self.unreachable(error))?
            .to_bytes();
        Ok(WholeAnswer {
            status: head.status.as_u16(),
            headers: head.headers,
            body,
        })
    }

    /// Reads JSON with GET.
    pub(crate) async fn get_json(&self, path: &str) -> Result<serde_json::Value> {
        let answer = self
            .call(http::Method::GET, path, &[], Bytes::new())
            .await?;
        answer.into_success()?.to_json()
    }

    /// Sends a request and returns the answer with its body still open.
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
            .map_err(|error| Error::Usage(format!("cannot build the request: {error}")))?;
        let stream = within(CONNECT_TIMEOUT_MS, self.connect())
            .await
            .map_err(|message| self.unreachable(message))?;
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| self.unreachable(error))?;
        tokio::spawn(connection);
        within(ANSWER_TIMEOUT_MS, async {
            sender
                .send_request(request)
                .await
                .map_err(|error| error.to_string())
        })
        .await
        .map_err(|message| self.unreachable(message))
    }

    async fn connect(&self) -> std::result::Result<Box<dyn Stream>, String> {
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

    fn unreachable(&self, error: impl std::fmt::Display) -> Error {
        Error::Unreachable {
            address: self.address.clone(),
            message: error.to_string(),
        }
    }
}

async fn within<T>(
    limit_ms: u64,
    future: impl Future<Output = std::result::Result<T, String>>,
) -> std::result::Result<T, String> {
    match clock::timeout(time::Duration::from_millis(limit_ms), future).await {
        Ok(result) => result,
        Err(_) => Err(format!("no answer within {limit_ms} ms")),
    }
}

fn connector(file: &path::Path) -> Result<tokio_rustls::TlsConnector> {
    let fault = |message: String| Error::Usage(format!("{}: {message}", file.display()));
    let certificates =
        CertificateDer::pem_file_iter(file).map_err(|error| fault(error.to_string()))?;
    let mut roots = rustls::RootCertStore::empty();
    for certificate in certificates {
        let certificate = certificate.map_err(|error| fault(error.to_string()))?;
        roots
            .add(certificate)
            .map_err(|error| fault(error.to_string()))?;
    }
    let provider = sync::Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|error| fault(error.to_string()))?
        .with_root_certificates(roots)
        .with_no_client_auth();
    Ok(tokio_rustls::TlsConnector::from(sync::Arc::new(config)))
}
