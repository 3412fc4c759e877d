//! Tests of the simulated platform: conditional writes, dropped responses, rate limits, outages,
//! host list and expiry of rows.

use std::net;

use acaciabank_testbed::{harness, web};
use serde_json::{Value, json};

use crate::{TIMEOUT, get, launcher, start};

/// Sends an operation to the table service.
async fn call_table(
    address: net::SocketAddr,
    operation: &str,
    body: &Value,
) -> std::io::Result<web::BufferedResponse> {
    let target = format!("DynamoDB_20120810.{operation}");
    let headers = [("x-amz-target", target.as_str())];
    web::call(address, "POST", "/", &headers, body.to_string()).await
}

/// Input of `TransactWriteItems` that writes a row if its stored version is `version - 1`, or, for
/// version 1, if the row does not exist.
fn put_input(sk: &str, version: u64, token: &str) -> Value {
    let mut action = json!({"TableName": "acaciabank", "Item": {
        "pk": {"S": "key"}, "sk": {"S": sk}, "version": {"N": version.to_string()},
    }});
    if version == 1 {
        action["ConditionExpression"] = "attribute_not_exists(pk)".into();
    } else {
        let expected = (version - 1).to_string();
        action["ConditionExpression"] = "version = :version".into();
        action["ExpressionAttributeValues"] = json!({":version": {"N": expected}});
    }
    json!({"ClientRequestToken": token, "TransactItems": [{"Put": action}]})
}

/// Reads the stored version of a row; `null` if there is no row.
async fn read_version(address: net::SocketAddr, sk: &str) -> Value {
    let key = json!({"pk": {"S": "key"}, "sk": {"S": sk}});
    let body = json!({"TableName": "acaciabank", "Key": key, "ConsistentRead": true});
    let response = call_table(address, "GetItem", &body)
        .await
        .expect("a response");
    response.json()["Item"]["version"]["N"].clone()
}

/// Guards against a transaction that writes some items although the condition of another one fails.
#[tokio::test]
async fn a_failed_condition_writes_nothing() {
    let launcher = launcher();
    let (_process, address) = start(&launcher, "platform", "platform", &[]).await;
    let first = call_table(address, "TransactWriteItems", &put_input("a", 1, "t1")).await;
    assert_eq!(first.expect("a response").status, 200);
    let mut two_items = put_input("b", 1, "t2");
    let existing_item = put_input("a", 1, "")["TransactItems"][0].clone();
    two_items["TransactItems"]
        .as_array_mut()
        .expect("items")
        .push(existing_item);
    let refused = call_table(address, "TransactWriteItems", &two_items)
        .await
        .expect("a response");
    assert_eq!(refused.status, 400);
    let codes = refused.json()["CancellationReasons"].clone();
    assert_eq!(
        codes,
        json!([{"Code": "None"}, {"Code": "ConditionalCheckFailed"}])
    );
    assert_eq!(read_version(address, "b").await, Value::Null);
    let update = call_table(address, "TransactWriteItems", &put_input("a", 2, "t3")).await;
    assert_eq!(update.expect("a response").status, 200);
    let outdated = call_table(address, "TransactWriteItems", &put_input("a", 2, "t4")).await;
    assert_eq!(outdated.expect("a response").status, 400);
    let query = json!({
        "TableName": "acaciabank",
        "KeyConditionExpression": "pk = :pk AND begins_with(sk, :prefix)",
        "ExpressionAttributeValues": {":pk": {"S": "key"}, ":prefix": {"S": "a"}},
    });
    let rows = call_table(address, "Query", &query)
        .await
        .expect("a response");
    assert_eq!(rows.json()["Count"], 1);
}

/// Guards against a dropped response that undoes its write, and against a request token that does
/// not prevent a repeated write from being executed twice.
#[tokio::test]
async fn a_write_with_a_dropped_response_takes_effect() {
    let launcher = launcher();
    let (_process, address) = start(&launcher, "platform", "platform", &[]).await;
    let control = json!({"lose_next": 1});
    harness::Fleet::control(address, &control)
        .await
        .expect("control");
    let dropped = call_table(address, "TransactWriteItems", &put_input("a", 1, "t1")).await;
    assert!(dropped.is_err(), "the response is dropped: {dropped:?}");
    assert_eq!(read_version(address, "a").await, "1");
    let repeated = call_table(address, "TransactWriteItems", &put_input("a", 1, "t1")).await;
    assert_eq!(repeated.expect("a response").status, 200);
    let other = call_table(address, "TransactWriteItems", &put_input("b", 1, "t1")).await;
    let kind = other.expect("a response").json()["__type"].to_string();
    assert!(
        kind.contains("IdempotentParameterMismatchException"),
        "{kind}"
    );
    assert_eq!(get(address, "/counters").await["transactions"], 1);
}

/// Guards against a table service without a rate limit: a daemon that writes too much would go
/// unnoticed.
#[tokio::test]
async fn writes_above_the_rate_are_refused() {
    let launcher = launcher();
    let arguments = ["--writes-per-second", "5"];
    let (_process, address) = start(&launcher, "platform", "platform", &arguments).await;
    let mut refusals = 0;
    for number in 0..40 {
        let write = put_input(&format!("row-{number}"), 1, &format!("t{number}"));
        let response = call_table(address, "TransactWriteItems", &write)
            .await
            .expect("a response");
        let kind = response.json()["__type"].to_string();
        refusals += usize::from(kind.contains("ProvisionedThroughputExceededException"));
    }
    assert!(refusals > 0);
    let rows = get(address, "/counters").await["rows"].as_u64();
    assert_eq!(rows, Some(40 - refusals as u64));
}

/// Guards against outages that also affect the control interface, and against outages without
/// effect.
#[tokio::test]
async fn control_requests_start_and_end_outages() {
    let launcher = launcher();
    let (_process, address) = start(&launcher, "platform", "platform", &[]).await;
    let control = json!({"down": "error", "hosts": {"host-1": "leaving"}});
    harness::Fleet::control(address, &control)
        .await
        .expect("control");
    let response = call_table(address, "TransactWriteItems", &put_input("a", 1, "t1")).await;
    assert_eq!(response.expect("a response").status, 500);
    harness::wait_until(TIMEOUT, "the host list shows the state", async || {
        get(address, "/hosts").await["hosts"][0]["state"] == "leaving"
    })
    .await;
    let control = json!({"down": "none"});
    harness::Fleet::control(address, &control)
        .await
        .expect("control");
    let response = call_table(address, "TransactWriteItems", &put_input("a", 1, "t1")).await;
    assert_eq!(response.expect("a response").status, 200);
}

/// Guards against rows that are not removed after their expiry time, and against rows without one
/// that are removed.
#[tokio::test]
async fn expired_rows_are_removed() {
    let launcher = launcher();
    let (_process, address) = start(&launcher, "platform", "platform", &[]).await;
    let mut expiring = put_input("expiring", 1, "t1");
    expiring["TransactItems"][0]["Put"]["Item"]["expires"] = json!({"N": "1"});
    let kept = put_input("kept", 1, "t2");
    for write in [&expiring, &kept] {
        let response = call_table(address, "TransactWriteItems", write).await;
        assert_eq!(response.expect("a response").status, 200);
    }
    harness::wait_until(TIMEOUT, "the expired row is removed", async || {
        read_version(address, "expiring").await.is_null()
    })
    .await;
    assert_eq!(read_version(address, "kept").await, "1");
}
