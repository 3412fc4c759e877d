//! Proxy: faults of a link.

use std::net;

use acaciabank_testbed::{harness, web};
use serde_json::{Value, json};

use crate::{LIMIT, launcher, post, start};

struct LinkSetup {
    launcher: harness::Launcher,
    proxy: net::SocketAddr,
    link: net::SocketAddr,
    _processes: [harness::Process; 2],
}

async fn set_up() -> LinkSetup {
    let launcher = launcher();
    let (service, upstream) = start(&launcher, "ledger", "service", &[]).await;
    let (process, proxy) = start(&launcher, "proxy", "proxy", &[]).await;
    let listen = net::SocketAddr::new(proxy.ip(), 0);
    let body = json!({"listen": listen, "upstream": upstream}).to_string();
    let answer = web::call(proxy, "PUT", "/links/a", &[], body).await;
    let address = answer.expect("an answer").json()["address"].clone();
    LinkSetup {
        launcher,
        proxy,
        link: serde_json::from_value(address).expect("address"),
        _processes: [service, process],
    }
}

impl LinkSetup {
    async fn set_fault(&self, fault: &Value) {
        let answer = post(self.proxy, "/links/a/fault", fault).await;
        assert_eq!(answer.status, 200, "{:?}", answer.json());
    }

    async fn report(&self) -> Value {
        let answer = web::call(self.proxy, "GET", "/links/a", &[], "").await;
        answer.expect("an answer").json()
    }

    fn executed(&self) -> usize {
        let journals = harness::read_journals(self.launcher.folder()).expect("journals");
        journals.events("executed").count()
    }
}

/// Guards against a one-way partition that blocks both ways, and against held bytes that get lost.
#[tokio::test]
async fn blackhole_down_delivers_requests_and_holds_answers() {
    let setup = set_up().await;
    setup.set_fault(&json!({"kind": "blackhole_down"})).await;
    let link = setup.link;
    let call = tokio::spawn(async move { web::call(link, "POST", "/notices", &[], "{}").await });
    harness::wait_until(LIMIT, "the request arrives", async || setup.executed() == 1).await;
    assert!(!call.is_finished(), "the answer is held");
    setup.set_fault(&json!({"kind": "none"})).await;
    let answer = call.await.expect("task").expect("an answer");
    assert_eq!(answer.status, 201);
}

/// Guards against a partition towards the upstream that lets requests through.
#[tokio::test]
async fn blackhole_up_holds_requests_until_it_ends() {
    let setup = set_up().await;
    setup.set_fault(&json!({"kind": "blackhole_up"})).await;
    let link = setup.link;
    let call = tokio::spawn(async move { web::call(link, "POST", "/notices", &[], "{}").await });
    harness::wait_until(LIMIT, "the proxy holds the request", async || {
        setup.report().await["bytes_held"].as_u64() > Some(0)
    })
    .await;
    let report = setup.report().await;
    assert_eq!(report["bytes_up"], 0, "no byte reached the upstream");
    assert_eq!(setup.executed(), 0);
    setup.set_fault(&json!({"kind": "none"})).await;
    let answer = call.await.expect("task").expect("an answer");
    assert_eq!(answer.status, 201);
    assert_eq!(setup.report().await["bytes_held"], 0);
}

/// Guards against a dropped answer whose request did not run, and a cut that lets bytes through.
#[tokio::test]
async fn drop_answers_executes_and_cut_does_not() {
    let setup = set_up().await;
    setup.set_fault(&json!({"kind": "drop_answers"})).await;
    let dropped = web::call(setup.link, "POST", "/notices", &[], "{}").await;
    assert!(dropped.is_err(), "{dropped:?}");
    assert_eq!(setup.executed(), 1);
    setup.set_fault(&json!({"kind": "cut"})).await;
    let cut = web::call(setup.link, "POST", "/notices", &[], "{}").await;
    assert!(cut.is_err(), "{cut:?}");
    assert_eq!(setup.executed(), 1);
    let other = json!({"kind": "cut", "source": "127.99.99.99"});
    setup.set_fault(&other).await;
    let answer = web::call(setup.link, "POST", "/notices", &[], "{}").await;
    assert_eq!(
        answer.expect("an answer").status,
        201,
        "other sources are not cut"
    );
}
