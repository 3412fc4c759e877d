//! Calls to a target that run no request.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};

use super::TargetState;

impl TargetState {
    /// Makes a call without a body and reads the whole answer; any status counts as an answer.
    ///
    /// # Errors
    ///
    /// Returns a message when there is no whole answer within `timeout`.
    pub async fn call(
        &self,
        method: http::Method,
        path: &str,
        timeout: Duration,
    ) -> Result<Bytes, String> {
        let exchange = self.exchange(method, path, timeout);
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err("no answer in time".to_owned()),
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
        let answer = connection
            .send(message)
            .await
            .map_err(|error| error.to_string())?;
        let body = answer.into_body().collect().await;
        let body = body.map_err(|error| error.to_string())?;
        self.pool.put(connection, None);
        Ok(body.to_bytes())
    }
}
