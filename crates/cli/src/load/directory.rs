//! Addresses as callers learn and keep them.

use std::{sync, time};

use acaciabank_protocol::wire;
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper_util::rt::TokioIo;
use tokio::{net, sync::Mutex, time as clock};

/// Time for one question about addresses, in milliseconds.
const QUESTION_TIMEOUT_MS: u64 = 2_000;
/// Time for which old addresses are used when nobody answers, in milliseconds.
const FALLBACK_LIFETIME_MS: u64 = 500;

struct KnownAddresses {
    addresses: sync::Arc<Vec<String>>,
    refresh_at: time::Instant,
}

/// The answer to `GET /v1/addresses`, kept for its lifetime.
pub struct AddressDirectory {
    seed_addresses: Vec<String>,
    zone: Option<String>,
    known: Mutex<KnownAddresses>,
}

impl AddressDirectory {
    /// A directory that asks the seed addresses first.
    pub fn new(seed_addresses: Vec<String>, zone: Option<String>) -> Self {
        let known = KnownAddresses {
            addresses: sync::Arc::new(seed_addresses.clone()),
            refresh_at: time::Instant::now(),
        };
        Self {
            seed_addresses,
            zone,
            known: Mutex::new(known),
        }
    }

    /// Addresses, best first. Asks again when the last answer's lifetime is over; keeps the old
    /// answer when no daemon answers.
    pub async fn addresses(&self) -> sync::Arc<Vec<String>> {
        let mut known = self.known.lock().await;
        if time::Instant::now() < known.refresh_at {
            return sync::Arc::clone(&known.addresses);
        }
        let candidates: Vec<String> = known
            .addresses
            .iter()
            .chain(&self.seed_addresses)
            .cloned()
            .collect();
        let mut lifetime_ms = FALLBACK_LIFETIME_MS;
        for candidate in candidates {
            let question = ask(&candidate, self.zone.as_deref());
            let limit = time::Duration::from_millis(QUESTION_TIMEOUT_MS);
            if let Ok(Some(answer)) = clock::timeout(limit, question).await
                && !answer.addresses.is_empty()
            {
                let addresses = answer
                    .addresses
                    .iter()
                    .map(|entry| entry.address.to_string())
                    .collect();
                known.addresses = sync::Arc::new(addresses);
                lifetime_ms = answer.lifetime_ms;
                break;
            }
        }
        known.refresh_at = time::Instant::now() + time::Duration::from_millis(lifetime_ms);
        sync::Arc::clone(&known.addresses)
    }
}

async fn ask(address: &str, zone: Option<&str>) -> Option<wire::AddressAnswer> {
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
