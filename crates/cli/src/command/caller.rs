//! Commands that send requests as a caller: `addresses` and `complete`.

use acaciabank_protocol::wire;
use bytes::Bytes;

use crate::{arguments::CallerEndpoint, client, error::Result, output};

/// Parameters of one completion.
pub(super) struct CompletionRequest {
    pub(super) model: String,
    pub(super) max_tokens: u32,
    pub(super) idempotency_key: Option<String>,
    pub(super) prompt: String,
}

fn connect(endpoint: &CallerEndpoint) -> Result<client::HttpClient> {
    let key = endpoint.caller_key.clone();
    client::HttpClient::new(&endpoint.caller, key, endpoint.caller_ca.as_deref())
}

pub(super) async fn addresses(endpoint: &CallerEndpoint, zone: Option<&str>) -> Result<()> {
    let headers: Vec<(&str, &str)> = zone
        .map(|zone| (wire::ZONE_HEADER, zone))
        .into_iter()
        .collect();
    let response = connect(endpoint)?
        .call(http::Method::GET, "/v1/addresses", &headers, Bytes::new())
        .await?
        .into_success()?
        .to_json()?;
    output::print_json(&response);
    Ok(())
}

pub(super) async fn complete(endpoint: &CallerEndpoint, request: &CompletionRequest) -> Result<()> {
    let body = serde_json::json!({
        "model": request.model, "prompt": request.prompt, "max_tokens": request.max_tokens,
    });
    let mut headers = vec![("content-type", "application/json")];
    if let Some(key) = &request.idempotency_key {
        headers.push((wire::IDEMPOTENCY_HEADER, key));
    }
    let response = connect(endpoint)?
        .call(
            http::Method::POST,
            "/v1/completions",
            &headers,
            Bytes::from(body.to_string()),
        )
        .await?
        .into_success()?;
    let request_id = response
        .headers
        .get(wire::REQUEST_ID_HEADER)
        .and_then(|id| id.to_str().ok());
    eprintln!("request {}", request_id.unwrap_or("-"));
    let json = response.to_json()?;
    println!(
        "{}",
        json["choices"][0]["text"].as_str().unwrap_or_default()
    );
    Ok(())
}
