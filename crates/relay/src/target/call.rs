//! Calls to a target that carry no caller's request.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;

use super::TargetState;
use crate::connection;

impl TargetState {
    /// Sends a request without a body and returns the body of the response, whatever its status.
    ///
    /// # Errors
    ///
    /// Returns a message if the connection fails or the response is not complete within `timeout`.
    pub async fn call(
        &self,
        method: http::Method,
        path: &str,
        timeout: Duration,
    ) -> Result<Bytes, String> {
        let exchange = self.exchange(method, path, timeout);
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err("the target did not respond within the timeout".to_owned()),
        }
    }

    async fn exchange(
        &self,
        method: http::Method,
        path: &str,
        timeout: Duration,
    ) -> Result<Bytes, String> {
        let mut connection = self.open(timeout).await?;
        let message = http::Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, self.entry.address.to_string())
            .body(Full::default())
            .map_err(|error| error.to_string())?;
        let response = connection
            .send(message)
            .await
            .map_err(|error| error.to_string())?;
        let (limits, deadline) = (connection::BodyLimits::DOCUMENT, Instant::now() + timeout);
        let body = connection::read_body(response.into_body(), limits, deadline).await;
        let body = body.map_err(|error| error.to_string())?;
        self.pool.put(connection, None);
        Ok(body)
    }
}
