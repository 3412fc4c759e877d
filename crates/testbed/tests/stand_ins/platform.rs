//! Platform: conditions, lost answers, rate limits, host list.

use std::net;

use acaciabank_testbed::{harness, web};
use serde_json::{Value, json};

use crate::{LIMIT, get, launcher, start};

async fn table(
    address: net::SocketAddr,
    operation: &str,
    body: &Value,
) -> std::io::Result<web::BufferedResponse> {
    let target = format!("DynamoDB_20120810.{operation}");
    let headers = [("x-amz-target", target.as_str())];
    web::call(address, "POST", "/", &headers, body.to_string()).await
}

fn put(sk: &str, version: u64, token: &str) -> Value {
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

async fn version(address: net::SocketAddr, sk: &str) -> Value {
    let key = json!({"pk": {"S": "key"}, "sk": {"S": sk}});
    let body = json!({"TableName": "acaciabank", "Key": key, "ConsistentRead": true});
    let answer = table(address, "GetItem", &body).await.expect("an answer");
    answer.json()["Item"]["version"]["N"].clone()
}

/// Guards against a transaction that writes although a condition fails.
#[tokio::test]
async fn a_failed_condition_writes_nothing() {
    let launcher = launcher();
    let (_process, address) = start(&launcher, "platform", "platform", &[]).await;
    let first = table(address, "TransactWriteItems", &put("a", 1, "t1")).await;
    assert_eq!(first.expect("an answer").status, 200);
    let mut both = put("b", 1, "t2");
    let again = put("a", 1, "")["TransactItems"][0].clone();
    both["TransactItems"]
        .as_array_mut()
        .expect("items")
        .push(again);
    let refused = table(address, "TransactWriteItems", &both)
        .await
        .expect("an answer");
    assert_eq!(refused.status, 400);
    let codes = refused.json()["CancellationReasons"].clone();
    assert_eq!(
        codes,
        json!([{"Code": "None"}, {"Code": "ConditionalCheckFailed"}])
    );
    assert_eq!(version(address, "b").await, Value::Null);
    let update = table(address, "TransactWriteItems", &put("a", 2, "t3")).await;
    assert_eq!(update.expect("an answer").status, 200);
    let outdated = table(address, "TransactWriteItems", &put("a", 2, "t4")).await;
    assert_eq!(outdated.expect("an answer").status, 400);
    let query = json!({
        "TableName": "acaciabank",
        "KeyConditionExpression": "pk = :pk AND begins_with(sk, :prefix)",
        "ExpressionAttributeValues": {":pk": {"S": "key"}, ":prefix": {"S": "a"}},
    });
    let rows = table(address, "Query", &query).await.expect("an answer");
    assert_eq!(rows.json()["Count"], 1);
}

/// Guards against a lost answer that undoes its write, and a token that does not make the
/// repetition harmless.
#[tokio::test]
async fn a_write_with_a_lost_answer_took_effect() {
    let launcher = launcher();
    let (_process, address) = start(&launcher, "platform", "platform", &[]).await;
    let control = json!({"lose_next": 1});
    harness::Fleet::control(address, &control)
        .await
        .expect("control");
    let lost = table(address, "TransactWriteItems", &put("a", 1, "t1")).await;
    assert!(lost.is_err(), "the answer is lost: {lost:?}");
    assert_eq!(version(address, "a").await, "1");
    let repeated = table(address, "TransactWriteItems", &put("a", 1, "t1")).await;
    assert_eq!(repeated.expect("an answer").status, 200);
    let other = table(address, "TransactWriteItems", &put("b", 1, "t1")).await;
    let kind = other.expect("an answer").json()["__type"].to_string();
    assert!(
        kind.contains("IdempotentParameterMismatchException"),
        "{kind}"
    );
    assert_eq!(get(address, "/counters").await["transactions"], 1);
}

/// Guards against a table without a limit: a daemon that writes too much would go unnoticed.
#[tokio::test]
async fn writes_above_the_rate_are_refused() {
    let launcher = launcher();
    let arguments = ["--writes-per-second", "5"];
    let (_process, address) = start(&launcher, "platform", "platform", &arguments).await;
    let mut refusals = 0;
    for number in 0..40 {
        let write = put(&format!("row-{number}"), 1, &format!("t{number}"));
        let answer = table(address, "TransactWriteItems", &write)
            .await
            .expect("an answer");
        let kind = answer.json()["__type"].to_string();
        refusals += usize::from(kind.contains("ProvisionedThroughputExceededException"));
    }
    assert!(refusals > 0);
    let rows = get(address, "/counters").await["rows"].as_u64();
    assert_eq!(rows, Some(40 - refusals as u64));
}

/// Guards against a control interface that an outage takes away, and outages without effect.
#[tokio::test]
async fn outages_start_and_end_by_control() {
    let launcher = launcher();
    let (_process, address) = start(&launcher, "platform", "platform", &[]).await;
    let control = json!({"down": "error", "hosts": {"host-1": "leaving"}});
    harness::Fleet::control(address, &control)
        .await
        .expect("control");
    let answer = table(address, "TransactWriteItems", &put("a", 1, "t1")).await;
    assert_eq!(answer.expect("an answer").status, 500);
    harness::wait_until(LIMIT, "the host list shows the state", async || {
        get(address, "/hosts").await["hosts"][0]["state"] == "leaving"
    })
    .await;
    let control = json!({"down": "none"});
    harness::Fleet::control(address, &control)
        .await
        .expect("control");
    let answer = table(address, "TransactWriteItems", &put("a", 1, "t1")).await;
    assert_eq!(answer.expect("an answer").status, 200);
}

/// Guards against rows with a time to live that stay for ever, and against rows without one that
/// are removed.
#[tokio::test]
async fn expired_rows_are_removed() {
    let launcher = launcher();
    let (_process, address) = start(&launcher, "platform", "platform", &[]).await;
    let mut short = put("short", 1, "t1");
    short["TransactItems"][0]["Put"]["Item"]["expires"] = json!({"N": "1"});
    let kept = put("kept", 1, "t2");
    for write in [&short, &kept] {
        let answer = table(address, "TransactWriteItems", write).await;
        assert_eq!(answer.expect("an answer").status, 200);
    }
    harness::wait_until(LIMIT, "the expired row is removed", async || {
        version(address, "short").await.is_null()
    })
    .await;
    assert_eq!(version(address, "kept").await, "1");
}
