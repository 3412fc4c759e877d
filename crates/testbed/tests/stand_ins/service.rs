//! Test of the simulated service: journal and faults.

use acaciabank_testbed::{harness, web};
use serde_json::json;

use crate::{TIMEOUT, launcher, post, start};

/// Guards against faults after which it is unclear whether a call was executed: tests of verdicts
/// rely on it.
#[tokio::test]
async fn faults_determine_whether_a_call_is_executed() {
    let launcher = launcher();
    let (mut process, address) = start(&launcher, "ledger", "service", &[]).await;
    let notice = json!({"member": 1});
    assert_eq!(post(address, "/notices", &notice).await.status, 201);
    let control = json!({"close_unexecuted": 1});
    harness::Fleet::control(address, &control)
        .await
        .expect("control");
    let closed = web::call(address, "POST", "/notices", &[], "{}").await;
    assert!(closed.is_err(), "{closed:?}");
    let control = json!({"refuse_not_run": 1});
    harness::Fleet::control(address, &control)
        .await
        .expect("control");
    let refused = post(address, "/notices", &notice).await;
    assert_eq!(refused.headers["x-verdict"], "not_run");
    let journals = harness::read_journals(launcher.folder()).expect("journals");
    assert_eq!(journals.events("executed").count(), 1);
    let control = json!({"crash_after_executing": true});
    harness::Fleet::control(address, &control)
        .await
        .expect("control");
    let headers = [("idempotency-key", "k1")];
    let crashed = web::call(address, "POST", "/notices", &headers, "{}").await;
    assert!(crashed.is_err(), "{crashed:?}");
    harness::wait_until(TIMEOUT, "the service exits", async || {
        process.exit_status().is_some()
    })
    .await;
    let journals = harness::read_journals(launcher.folder()).expect("journals");
    assert_eq!(journals.executions_by_key().get("k1"), Some(&1));
}
