//! Tests of the proxy: faults of a link.

use std::net;

use acaciabank_testbed::{harness, web};
use serde_json::{Value, json};

use crate::{TIMEOUT, launcher, post, start};

/// A service behind a proxy link.
struct LinkFixture {
    launcher: harness::Launcher,
    proxy_address: net::SocketAddr,
    link_address: net::SocketAddr,
    _processes: [harness::Process; 2],
}

async fn start_link() -> LinkFixture {
    let launcher = launcher();
    let (service, upstream) = start(&launcher, "ledger", "service", &[]).await;
    let (proxy_process, proxy_address) = start(&launcher, "proxy", "proxy", &[]).await;
    let listen = net::SocketAddr::new(proxy_address.ip(), 0);
    let body = json!({"listen": listen, "upstream": upstream}).to_string();
    let response = web::call(proxy_address, "PUT", "/links/a", &[], body).await;
    let address = response.expect("a response").json()["address"].clone();
    LinkFixture {
        launcher,
        proxy_address,
        link_address: serde_json::from_value(address).expect("address"),
        _processes: [service, proxy_process],
    }
}

impl LinkFixture {
    async fn set_fault(&self, fault: &Value) {
        let response = post(self.proxy_address, "/links/a/fault", fault).await;
        assert_eq!(response.status, 200, "{:?}", response.json());
    }

    async fn report(&self) -> Value {
        let response = web::call(self.proxy_address, "GET", "/links/a", &[], "").await;
        response.expect("a response").json()
    }

    /// Returns the number of calls that the service has executed.
    fn executed_count(&self) -> usize {
        let journals = harness::read_journals(self.launcher.folder()).expect("journals");
        journals.events("executed").count()
    }
}

/// Guards against a one-way partition that blocks both directions, and against held bytes that are
/// never forwarded.
#[tokio::test]
async fn blackhole_down_forwards_requests_and_holds_responses() {
    let fixture = start_link().await;
    fixture.set_fault(&json!({"kind": "blackhole_down"})).await;
    let link_address = fixture.link_address;
    let call =
        tokio::spawn(async move { web::call(link_address, "POST", "/notices", &[], "{}").await });
    harness::wait_until(TIMEOUT, "the request arrives", async || {
        fixture.executed_count() == 1
    })
    .await;
    assert!(!call.is_finished(), "the response is held");
    fixture.set_fault(&json!({"kind": "none"})).await;
    let response = call.await.expect("task").expect("a response");
    assert_eq!(response.status, 201);
}

/// Guards against a partition towards the upstream that forwards requests, or that loses them.
#[tokio::test]
async fn blackhole_up_holds_requests_until_the_fault_ends() {
    let fixture = start_link().await;
    fixture.set_fault(&json!({"kind": "blackhole_up"})).await;
    let link_address = fixture.link_address;
    let call =
        tokio::spawn(async move { web::call(link_address, "POST", "/notices", &[], "{}").await });
    harness::wait_until(TIMEOUT, "the proxy holds the request", async || {
        fixture.report().await["bytes_held"].as_u64() > Some(0)
    })
    .await;
    let report = fixture.report().await;
    assert_eq!(report["bytes_up"], 0, "no byte reached the upstream");
    assert_eq!(fixture.executed_count(), 0);
    fixture.set_fault(&json!({"kind": "none"})).await;
    let response = call.await.expect("task").expect("a response");
    assert_eq!(response.status, 201);
    assert_eq!(fixture.report().await["bytes_held"], 0);
}

/// Guards against a dropped response whose request did not run, and against a cut that forwards
/// requests or affects other sources.
#[tokio::test]
async fn drop_answers_executes_and_cut_does_not() {
    let fixture = start_link().await;
    fixture.set_fault(&json!({"kind": "drop_answers"})).await;
    let dropped = web::call(fixture.link_address, "POST", "/notices", &[], "{}").await;
    assert!(dropped.is_err(), "{dropped:?}");
    assert_eq!(fixture.executed_count(), 1);
    fixture.set_fault(&json!({"kind": "cut"})).await;
    let cut = web::call(fixture.link_address, "POST", "/notices", &[], "{}").await;
    assert!(cut.is_err(), "{cut:?}");
    assert_eq!(fixture.executed_count(), 1);
    let other = json!({"kind": "cut", "source": "127.99.99.99"});
    fixture.set_fault(&other).await;
    let response = web::call(fixture.link_address, "POST", "/notices", &[], "{}").await;
    assert_eq!(
        response.expect("a response").status,
        201,
        "other sources are not cut"
    );
}
