//! Service: journal and faults around executing.

use acaciabank_testbed::{harness, web};
use serde_json::json;

use crate::{LIMIT, launcher, post, start};

/// Guards against a fault that blurs whether a call was executed: verdicts would be untestable.
#[tokio::test]
async fn faults_execute_or_not_as_stated() {
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
    harness::wait_until(LIMIT, "the service exits", async || {
        process.exit_status().is_some()
    })
    .await;
    let journals = harness::read_journals(launcher.folder()).expect("journals");
    assert_eq!(journals.executions_by_key().get("k1"), Some(&1));
}
