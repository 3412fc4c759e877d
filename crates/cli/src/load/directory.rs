//! Address discovery of a caller.

use std::{sync, time};

use acaciabank_protocol::wire;
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper_util::rt::TokioIo;
use tokio::{net, sync::Mutex, time as clock};

/// Timeout of one request for addresses, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 2_000;
/// Time for which the previous addresses are kept when no daemon responds, in milliseconds.
const FALLBACK_LIFETIME_MS: u64 = 500;

struct CachedAddresses {
    addresses: sync::Arc<Vec<String>>,
    refresh_at: time::Instant,
}

/// Caches the response to `GET /v1/addresses` for the lifetime that it states.
pub struct AddressDirectory {
    seed_addresses: Vec<String>,
    zone: Option<String>,
    cached: Mutex<CachedAddresses>,
}

impl AddressDirectory {
    /// Creates a directory whose first lookup goes to the seed addresses.
    pub fn new(seed_addresses: Vec<String>, zone: Option<String>) -> Self {
        let cached = CachedAddresses {
            addresses: sync::Arc::new(seed_addresses.clone()),
            refresh_at: time::Instant::now(),
        };
        Self {
            seed_addresses,
            zone,
            cached: Mutex::new(cached),
        }
    }

    /// Returns the addresses, best first. Looks them up again after the lifetime of the last
    /// response; keeps the previous ones when no daemon responds.
    pub async fn addresses(&self) -> sync::Arc<Vec<String>> {
        let mut cached = self.cached.lock().await;
        if time::Instant::now() < cached.refresh_at {
            return sync::Arc::clone(&cached.addresses);
        }
        let candidates: Vec<String> = cached
            .addresses
            .iter()
            .chain(&self.seed_addresses)
            .cloned()
            .collect();
        let mut lifetime_ms = FALLBACK_LIFETIME_MS;
        for candidate in candidates {
            let lookup = fetch_addresses(&candidate, self.zone.as_deref());
            let timeout = time::Duration::from_millis(REQUEST_TIMEOUT_MS);
            if let Ok(Some(response)) = clock::timeout(timeout, lookup).await
                && !response.addresses.is_empty()
            {
                let addresses = response
                    .addresses
                    .iter()
                    .map(|entry| entry.address.to_string())
                    .collect();
                cached.addresses = sync::Arc::new(addresses);
                lifetime_ms = response.lifetime_ms;
                break;
            }
        }
        cached.refresh_at = time::Instant::now() + time::Duration::from_millis(lifetime_ms);
        sync::Arc::clone(&cached.addresses)
    }
}

async fn fetch_addresses(address: &str, zone: Option<&str>) -> Option<wire::AddressResponse> {
    let stream = net::TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .ok()?;
    tokio::spawn(connection);
    let mut request = http::Request::builder()
        .uri("/v1/addresses")
        .header(http::header::HOST, address);
    if let Some(zone) = zone {
        request = request.header(wire::ZONE_HEADER, zone);
    }
    let request = request.body(Full::new(Bytes::new())).ok()?;
    let response = sender.send_request(request).await.ok()?;
    let body = response.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}
