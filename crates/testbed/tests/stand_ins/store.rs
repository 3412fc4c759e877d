//! Tests of the emulated store of the relay's platform: its returns from a copy, and expiring rows.

use std::{net, time::Duration};

use acaciabank_testbed::{harness, web};
use serde_json::{Value, json};

use crate::{TIMEOUT, launcher};

/// A running emulated store.
struct Store {
    launcher: harness::Launcher,
    _process: harness::Process,
    address: net::SocketAddr,
}

impl Store {
    async fn start() -> Self {
        let launcher = launcher();
        let address = launcher.next_address().expect("address");
        let arguments = ["--listen".to_owned(), address.to_string()];
        let process = launcher.start_ready("store", "store", arguments).await;
        Self {
            _process: process.expect("store"),
            launcher,
            address,
        }
    }

    async fn call(&self, method: &str, path: &str, body: Value) -> web::BufferedResponse {
        let call = web::call(self.address, method, path, &[], body.to_string());
        call.await.expect("a response")
    }

    /// Sends a control request and returns its status and body.
    async fn control(&self, patch: Value) -> (u16, Value) {
        let response = self.call("POST", "/control", patch).await;
        (response.status, response.json())
    }

    async fn restore(&self, age: Duration, rewrite_delay_ms: u64) {
        let age_ms = age.as_millis() as u64;
        let restore = json!({"age_ms": age_ms, "rewrite_delay_ms": rewrite_delay_ms});
        let (status, body) = self.control(json!({"restore": restore})).await;
        assert_eq!(status, 200, "{body}");
    }

    /// Writes a row and returns its version.
    async fn write(&self, table: &str, key: &str, value: &str) -> u64 {
        let row = json!({"table": table, "part": "", "key": key, "value": value});
        self.transact(json!({"writes": [row]})).await
    }

    async fn delete(&self, table: &str, key: &str) -> u64 {
        let row = json!({"table": table, "part": "", "key": key});
        self.transact(json!({"deletes": [row]})).await
    }

    async fn transact(&self, transaction: Value) -> u64 {
        let response = self.call("POST", "/rows-tx", transaction).await;
        assert_eq!(response.status, 200);
        response.json()["ver"].as_u64().expect("a version")
    }

    /// Returns the value and the version of a row.
    async fn row(&self, table: &str, key: &str) -> Option<(String, u64)> {
        let path = format!("/rows-get?table={table}&part=&from={key}&limit=1");
        let body = self.call("GET", &path, Value::Null).await.json();
        let row = &body["rows"][0];
        let value = row["value"].as_str().filter(|_| row["key"] == key)?;
        Some((value.to_owned(), row["ver"].as_u64()?))
    }

    async fn feed(&self, table: &str, after: u64, wait_ms: u64) -> web::BufferedResponse {
        let path = format!("/rows-feed?table={table}&after={after}&wait_ms={wait_ms}");
        self.call("GET", &path, Value::Null).await
    }
}

fn era(response: &web::BufferedResponse) -> u64 {
    let header = response.headers.get("store-era").expect("a header");
    let text = header.to_str().expect("text");
    text.parse().expect("a number")
}

/// Guards against responses, such as refusals, that do not name the era, and against an era that
/// does not rise by one.
#[tokio::test]
async fn all_responses_name_the_era() {
    let store = Store::start().await;
    for expected in 1..=3 {
        let version = store.write("t", "a", "1").await;
        let stale = json!({"expected_rev": [{"table": "t", "key": "a", "ver": version + 7}]});
        let responses = [
            (
                200,
                store.call("GET", "/rows-get?table=t&part=", Value::Null),
            ),
            (412, store.call("POST", "/rows-tx", stale)),
            (400, store.call("POST", "/rows-tx", json!("text"))),
            (404, store.call("GET", "/other", Value::Null)),
        ];
        for (status, response) in responses {
            let response = response.await;
            assert_eq!((response.status, era(&response)), (status, expected));
        }
        let gone = store.feed("t", version + 1, 0).await;
        assert_eq!((gone.status, era(&gone)), (410, expected));
        store.control(json!({"refuses": true})).await;
        let refused = store.feed("t", version, 0).await;
        assert_eq!((refused.status, era(&refused)), (503, expected));
        store.control(json!({"refuses": false})).await;
        store.restore(Duration::ZERO, 0).await;
    }
}

/// Guards against a copy that has rows or versions of the lost time, and against a feed that goes
/// on from a version that is lost.
#[tokio::test]
async fn a_return_gives_lost_versions_out_again() {
    let store = Store::start().await;
    let kept = store.write("t", "kept", "1").await;
    let left = store.write("servers", "left", "1").await;
    let changed = store.write("t", "changed", "old").await;
    // The copy is of the middle of a pause, as calls may take a while on a busy machine.
    let written_at = tokio::time::Instant::now();
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let copied_at = written_at + Duration::from_millis(500);
    store.write("t", "changed", "new").await;
    store.write("t", "added", "1").await;
    let lost = store.delete("servers", "left").await;
    store.restore(copied_at.elapsed(), 0).await;
    assert_eq!(store.row("t", "kept").await, Some(("1".to_owned(), kept)));
    let restored = Some(("old".to_owned(), changed));
    assert_eq!(store.row("t", "changed").await, restored);
    assert_eq!(store.row("t", "added").await, None);
    let present = Some(("1".to_owned(), left));
    assert_eq!(store.row("servers", "left").await, present);
    let gone = store.feed("t", lost, 0).await;
    assert_eq!((gone.status, &gone.json()["ver"]), (410, &json!(changed)));
    let known = store.feed("t", changed, 0).await;
    assert_eq!((known.status, &known.json()["rows"]), (200, &json!([])));
    assert_eq!(store.write("t", "next", "1").await, changed + 1);
    // Two more writes, and the version that was lost is there again.
    for _ in 0..2 {
        store.write("t", "next", "2").await;
    }
    assert_eq!(store.feed("t", lost, 0).await.status, 200);
}

/// Guards against feed requests that go on waiting in the store that has come back.
#[tokio::test]
async fn a_return_ends_waiting_feed_requests() {
    let store = Store::start().await;
    let version = store.write("t", "a", "1").await;
    let waiting = async {
        let started_at = tokio::time::Instant::now();
        let responses = tokio::join!(
            store.feed("t", version, 25_000),
            store.feed("t", 0, 0),
            store.feed("other", version, 25_000)
        );
        assert!(started_at.elapsed() < Duration::from_secs(20));
        responses
    };
    let restore = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        store.restore(Duration::from_secs(50), 0).await;
    };
    let ((lost, known, other), ()) = tokio::join!(waiting, restore);
    assert_eq!((known.status, era(&known)), (200, 1));
    for ended in [lost, other] {
        assert_eq!((ended.status, era(&ended)), (410, 2));
        assert_eq!(ended.json()["ver"], 0);
    }
}

/// Guards against an operator whose lost rows do not come back, or come back over what the operator
/// has written since, also if the store returns again before.
#[tokio::test]
async fn lost_rows_of_the_operator_are_written_again() {
    let store = Store::start().await;
    store.write("op", "config", "5").await;
    store.write("op", "config", "7").await;
    let all = Duration::from_secs(50);
    store.restore(all, 0).await;
    let rewritten = Some(("7".to_owned(), 1));
    assert_eq!(store.row("op", "config").await, rewritten);
    store.restore(all, 60_000).await;
    assert_eq!(store.row("op", "config").await, None);
    store.restore(all, 300).await;
    harness::wait_until(TIMEOUT, "the row is written again", async || {
        store.row("op", "config").await == rewritten
    })
    .await;
    store.restore(all, 300).await;
    store.write("op", "config", "8").await;
    tokio::time::sleep(Duration::from_millis(700)).await;
    let newer = Some(("8".to_owned(), 1));
    assert_eq!(store.row("op", "config").await, newer);
}

/// Guards against rows of ended targets that stay after a return, and against expiring rows of
/// targets that go on, also after a silence of the store.
#[tokio::test]
async fn rows_of_ended_targets_expire() {
    let store = Store::start().await;
    let runner = |id: &str| {
        let listen = store.launcher.next_address().expect("address").to_string();
        let journal = store.launcher.journal_file(id).display().to_string();
        let address = store.address.to_string();
        let arguments = [
            "--listen",
            &listen,
            "--journal",
            &journal,
            "--id",
            id,
            "--service",
            "s",
            "--store",
            &address,
        ];
        let arguments = arguments.map(str::to_owned);
        let launcher = store.launcher.clone();
        let id = id.to_owned();
        async move { launcher.start_ready(&id, "runner", arguments).await }
    };
    let _living = runner("living").await.expect("runner");
    let mut ended = runner("ended").await.expect("runner");
    let is_listed = async |id: &str| store.row("servers", id).await.is_some();
    harness::wait_until(TIMEOUT, "both are listed", async || {
        is_listed("living").await && is_listed("ended").await
    })
    .await;
    ended.kill();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert!(is_listed("ended").await, "rows do not expire by default");
    store.control(json!({"expires_targets": true})).await;
    harness::wait_until(TIMEOUT, "the row of the ended runner expires", async || {
        !is_listed("ended").await
    })
    .await;
    store.control(json!({"is_silent": true})).await;
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    let restore = json!({"age_ms": 3_000});
    let patch = json!({"is_silent": false, "restore": restore});
    let (status, body) = store.control(patch).await;
    assert_eq!((status, &body["era"]), (200, &json!(2)));
    assert!(is_listed("ended").await, "the copy has the row");
    harness::wait_until(TIMEOUT, "the restored row expires", async || {
        !is_listed("ended").await
    })
    .await;
    for _ in 0..20 {
        assert!(is_listed("living").await);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against a control request that is refused and has an effect nevertheless.
#[tokio::test]
async fn an_invalid_control_request_changes_nothing() {
    let store = Store::start().await;
    let version = store.write("t", "a", "1").await;
    let invalid = [
        json!({"refuses": true, "restore": {"age_ms": 1_000_000}}),
        json!({"refuses": true, "restore": {"age": 1}}),
        json!({"refuses": true, "restore": 1}),
        json!({"other": 1, "restore": {"age_ms": 50_000}}),
    ];
    for patch in invalid {
        let (status, _) = store.control(patch).await;
        assert_eq!(status, 400);
        let row = store.feed("t", version, 0).await;
        assert_eq!((row.status, era(&row)), (200, 1));
    }
}
