//! In-process fake of the table service over TCP, with injectable faults.

use std::{collections::BTreeMap, net, sync, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};

/// Fault in the handling of one transaction.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Applies the transaction and closes the connection without a response.
    ApplyThenClose,
    /// Closes the connection without applying the transaction.
    CloseUnapplied,
    /// Responds with status 500 without applying the transaction.
    ServerError,
    /// Cancels the transaction with this reason code.
    Cancel(&'static str),
    /// Refuses the transaction because of a rate limit.
    Throttle,
    /// Responds with a body that is not JSON.
    InvalidBody,
}

#[derive(Default)]
pub struct FakeTable {
    /// Rows by partition and name.
    pub rows: BTreeMap<(String, String), Value>,
    /// Tokens of applied transactions.
    pub tokens: Vec<String>,
    /// Faults of the next transactions, in order.
    pub faults: Vec<Fault>,
    /// Number of rows of each transaction that was not a repeated one.
    pub transactions: Vec<usize>,
    /// Whether reads get no response.
    pub reads_fail: bool,
    /// Time that each call takes.
    pub delay: Duration,
}

pub type SharedTable = sync::Arc<sync::Mutex<FakeTable>>;

fn key_of(value: &Value) -> (String, String) {
    let part = |name: &str| value[name]["S"].as_str().expect("a string").to_owned();
    (part("pk"), part("sk"))
}

impl FakeTable {
    fn condition_holds(&self, item: &Value) -> bool {
        let key = key_of(item.get("Item").unwrap_or(&item["Key"]));
        let row = self.rows.get(&key);
        match item["ConditionExpression"].as_str().expect("condition") {
            "attribute_not_exists(pk)" => row.is_none(),
            "version = :version" => {
                let wanted = &item["ExpressionAttributeValues"][":version"];
                row.is_some_and(|row| &row["version"] == wanted)
            }
            other => panic!("unexpected condition {other}"),
        }
    }

    fn transact(&mut self, body: &Value) -> (u16, Value) {
        let token = body["ClientRequestToken"].as_str().expect("token");
        if self.tokens.iter().any(|known| known == token) {
            return (200, json!({}));
        }
        let items = body["TransactItems"].as_array().expect("items");
        self.transactions.push(items.len());
        let split = |item: &Value| {
            let (kind, action) = item.as_object().expect("item").iter().next().expect("kind");
            (kind.clone(), action.clone())
        };
        let items: Vec<_> = items.iter().map(split).collect();
        let mut keys: Vec<_> = items
            .iter()
            .map(|(_, item)| key_of(item.get("Item").unwrap_or(&item["Key"])))
            .collect();
        keys.sort();
        keys.dedup();
        assert_eq!(keys.len(), items.len(), "a transaction names a row twice");
        let code = |holds: bool| match holds {
            true => "None",
            false => "ConditionalCheckFailed",
        };
        let results: Vec<_> = items
            .iter()
            .map(|(_, item)| self.condition_holds(item))
            .collect();
        if results.contains(&false) {
            let reasons: Vec<_> = results
                .iter()
                .map(|holds| json!({"Code": code(*holds)}))
                .collect();
            return (400, canceled(&json!(reasons)));
        }
        for (kind, item) in items {
            match kind.as_str() {
                "Put" => drop(
                    self.rows
                        .insert(key_of(&item["Item"]), item["Item"].clone()),
                ),
                "Delete" => drop(self.rows.remove(&key_of(&item["Key"]))),
                "ConditionCheck" => {}
                other => panic!("unexpected kind of item {other}"),
            }
        }
        self.tokens.push(token.to_owned());
        (200, json!({}))
    }

    /// Returns pages of two rows, so that the tests exercise pagination.
    fn query(&self, body: &Value) -> (u16, Value) {
        let values = &body["ExpressionAttributeValues"];
        let partition = values[":pk"]["S"].as_str().expect("pk");
        let prefix = values[":prefix"]["S"].as_str().expect("prefix");
        let after = body.get("ExclusiveStartKey").map(key_of);
        let found: Vec<_> = self
            .rows
            .iter()
            .filter(|((pk, sk), _)| pk == partition && sk.starts_with(prefix))
            .filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after))
            .collect();
        let page: Vec<_> = found
            .iter()
            .take(2)
            .map(|(_, row)| (*row).clone())
            .collect();
        let mut response = json!({"Items": page});
        if found.len() > 2 {
            let last = found[1].0;
            response["LastEvaluatedKey"] = json!({"pk": {"S": last.0}, "sk": {"S": last.1}});
        }
        (200, response)
    }
}

fn canceled(reasons: &Value) -> Value {
    json!({
        "__type": "com.amazonaws.dynamodb.v20120810#TransactionCanceledException",
        "CancellationReasons": reasons,
    })
}

/// Status and body of the response; `None` closes the connection without a response.
fn respond(table: &SharedTable, operation: &str, body: &Value) -> Option<(u16, String)> {
    let mut table = table.lock().expect("table");
    let response = match operation {
        "DynamoDB_20120810.TransactWriteItems" if !table.faults.is_empty() => {
            match table.faults.remove(0) {
                Fault::ApplyThenClose => {
                    table.transact(body);
                    return None;
                }
                Fault::CloseUnapplied => return None,
                Fault::ServerError => (500, json!({})),
                Fault::Cancel(code) => (400, canceled(&json!([{"Code": code}]))),
                Fault::Throttle => (400, json!({"__type": "ThrottlingException"})),
                Fault::InvalidBody => return Some((400, "<html>".to_owned())),
            }
        }
        "DynamoDB_20120810.TransactWriteItems" => table.transact(body),
        _ if table.reads_fail => return None,
        "DynamoDB_20120810.GetItem" => {
            assert_eq!(body["ConsistentRead"], true);
            match table.rows.get(&key_of(&body["Key"])) {
                Some(row) => (200, json!({"Item": row})),
                None => (200, json!({})),
            }
        }
        "DynamoDB_20120810.Query" => table.query(body),
        other => panic!("unexpected operation {other}"),
    };
    Some((response.0, response.1.to_string()))
}

async fn serve(
    table: SharedTable,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, std::io::Error> {
    let operation = request.headers()["x-amz-target"].to_str().expect("target");
    let operation = operation.to_owned();
    let body = request
        .into_body()
        .collect()
        .await
        .expect("body")
        .to_bytes();
    let body = serde_json::from_slice(&body).expect("JSON");
    let delay = table.lock().expect("table").delay;
    tokio::time::sleep(delay).await;
    match respond(&table, &operation, &body) {
        Some((status, text)) => Ok(Response::builder()
            .status(status)
            .body(Full::new(Bytes::from(text)))
            .expect("response")),
        None => Err(std::io::Error::other(
            "connection closed by an injected fault",
        )),
    }
}

/// Starts a fake that stops with the runtime of the test.
pub async fn start() -> (SharedTable, net::SocketAddr) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind");
    let address = listener.local_addr().expect("address");
    let table = SharedTable::default();
    let served = sync::Arc::clone(&table);
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.expect("accept");
            let table = sync::Arc::clone(&served);
            let service = service_fn(move |request| serve(sync::Arc::clone(&table), request));
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    (table, address)
}

/// Sets the faults of the next transactions.
pub fn inject(table: &SharedTable, faults: &[Fault]) {
    table.lock().expect("table").faults = faults.to_vec();
}
