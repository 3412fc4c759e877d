//! Table client against a small fake of the service over TCP.

use std::{collections::BTreeMap, net, sync, time::Duration};

use acaciabank_daemon::table::{RowCondition, RowKey, RowWrite, TableClient, TableError};
use acaciabank_protocol::{ids, settings};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};

/// What the fake does with the next transactions, in order; afterwards it applies and answers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    ApplyThenClose,
    CloseUnapplied,
    ServerError,
    Cancel(&'static str),
    Throttle,
    Garbage,
}

#[derive(Default)]
struct FakeTable {
    rows: BTreeMap<(String, String), Value>,
    tokens: Vec<String>,
    faults: Vec<Fault>,
    transactions: Vec<usize>,
    reads_fail: bool,
    delay: Duration,
}

type SharedTable = sync::Arc<sync::Mutex<FakeTable>>;

fn key_of(value: &Value) -> (String, String) {
    let part = |name: &str| value[name]["S"].as_str().expect("key").to_owned();
    (part("pk"), part("sk"))
}

impl FakeTable {
    fn holds(&self, item: &Value) -> bool {
        let key = key_of(item.get("Item").unwrap_or(&item["Key"]));
        let row = self.rows.get(&key);
        match item["ConditionExpression"].as_str().expect("condition") {
            "attribute_not_exists(pk)" => row.is_none(),
            "version = :version" => {
                let wanted = &item["ExpressionAttributeValues"][":version"];
                row.is_some_and(|row| &row["version"] == wanted)
            }
            other => panic!("condition {other}"),
        }
    }

    fn transact(&mut self, body: &Value) -> (u16, Value) {
        let token = body["ClientRequestToken"].as_str().expect("token");
        if self.tokens.iter().any(|known| known == token) {
            return (200, json!({}));
        }
        let items = body["TransactItems"].as_array().expect("items");
        self.transactions.push(items.len());
        let member = |item: &Value| {
            let (kind, member) = item.as_object().expect("item").iter().next().expect("kind");
            (kind.clone(), member.clone())
        };
        let items: Vec<_> = items.iter().map(member).collect();
        let mut keys: Vec<_> = items
            .iter()
            .map(|(_, item)| key_of(item.get("Item").unwrap_or(&item["Key"])))
            .collect();
        keys.sort();
        keys.dedup();
        assert_eq!(keys.len(), items.len(), "a transaction names a row twice");
        let code = |held: bool| match held {
            true => "None",
            false => "ConditionalCheckFailed",
        };
        let held: Vec<_> = items.iter().map(|(_, item)| self.holds(item)).collect();
        if held.contains(&false) {
            let reasons: Vec<_> = held
                .iter()
                .map(|held| json!({"Code": code(*held)}))
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
                other => panic!("kind {other}"),
            }
        }
        self.tokens.push(token.to_owned());
        (200, json!({}))
    }

    /// Pages of two rows, so that pagination is exercised.
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
        let mut answer = json!({"Items": page});
        if found.len() > 2 {
            let last = found[1].0;
            answer["LastEvaluatedKey"] = json!({"pk": {"S": last.0}, "sk": {"S": last.1}});
        }
        (200, answer)
    }
}

fn canceled(reasons: &Value) -> Value {
    json!({
        "__type": "com.amazonaws.dynamodb.v20120810#TransactionCanceledException",
        "CancellationReasons": reasons,
    })
}

/// `None` closes the connection without an answer.
fn answer(table: &SharedTable, operation: &str, body: &Value) -> Option<(u16, String)> {
    let mut table = table.lock().expect("table");
    let answer = match operation {
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
                Fault::Garbage => return Some((400, "<html>".to_owned())),
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
        other => panic!("operation {other}"),
    };
    Some((answer.0, answer.1.to_string()))
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
    match answer(&table, &operation, &body) {
        Some((status, text)) => Ok(Response::builder()
            .status(status)
            .body(Full::new(Bytes::from(text)))
            .expect("response")),
        None => Err(std::io::Error::other("closed by the test")),
    }
}

async fn start() -> (SharedTable, TableClient) {
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
    (table, client(address))
}

fn client(address: net::SocketAddr) -> TableClient {
    TableClient::new(settings::TableSettings {
        address,
        name: "acaciabank".to_owned(),
        timeout_ms: 10_000,
        batch_rows: 50,
        batch_wait_ms: 4,
    })
}

fn key(name: &str) -> RowKey {
    RowKey {
        partition: "key".to_owned(),
        name: name.to_owned(),
    }
}

fn put(name: &str, condition: RowCondition) -> RowWrite {
    RowWrite::Put {
        key: key(name),
        condition,
        body: "{}".to_owned(),
    }
}

fn operation(name: &str) -> ids::OperationId {
    ids::OperationId::new(name)
}

fn inject(table: &SharedTable, faults: &[Fault]) {
    table.lock().expect("table").faults = faults.to_vec();
}

/// Guards against wrong versions, lost attributes and a query that stops at its first page.
#[tokio::test]
async fn rows_are_written_and_read() {
    let (_table, client) = start().await;
    for name in ["a#1", "a#2", "a#3", "a#4", "a#5", "b#1"] {
        let write = put(name, RowCondition::Absent);
        client
            .transact(&operation(name), &[write])
            .await
            .expect("insert");
    }
    let write = put("a#1", RowCondition::Version(1));
    client
        .transact(&operation("second"), &[write])
        .await
        .expect("update");
    let row = client.get(&key("a#1")).await.expect("get").expect("row");
    assert_eq!((row.version, row.operation.as_str()), (2, "second"));
    assert_eq!(client.get(&key("none")).await, Ok(None));
    let rows = client.query("key", "a#").await.expect("query");
    let names: Vec<_> = rows.iter().map(|row| row.key.name.as_str()).collect();
    assert_eq!(names, ["a#1", "a#2", "a#3", "a#4", "a#5"]);
}

/// Guards against a conflict that names the wrong row or leaves half of a transaction.
#[tokio::test]
async fn conflict_names_its_rows() {
    let (table, client) = start().await;
    let first = [put("x", RowCondition::Absent)];
    client
        .transact(&operation("1"), &first)
        .await
        .expect("insert");
    let writes = [
        put("y", RowCondition::Absent),
        put("x", RowCondition::Version(7)),
    ];
    let result = client.transact(&operation("2"), &writes).await;
    assert_eq!(result, Err(TableError::Conflict(vec![1])));
    assert_eq!(table.lock().expect("table").rows.len(), 1);
}

/// Guards against a lost answer being reported as a failure, and against a second execution.
#[tokio::test]
async fn lost_answer_is_read_back() {
    let (table, client) = start().await;
    inject(&table, &[Fault::ApplyThenClose]);
    let write = [put("x", RowCondition::Absent)];
    assert_eq!(client.transact(&operation("1"), &write).await, Ok(()));
    assert_eq!(table.lock().expect("table").transactions, [1]);

    inject(&table, &[Fault::ServerError]);
    let write = [put("x", RowCondition::Absent)];
    let result = client.transact(&operation("2"), &write).await;
    assert_eq!(result, Err(TableError::Conflict(vec![0])));

    // Unapplied and unanswered: the same token is sent again and takes effect once.
    inject(&table, &[Fault::CloseUnapplied]);
    let write = [put("x", RowCondition::Version(1))];
    assert_eq!(client.transact(&operation("3"), &write).await, Ok(()));
    assert_eq!(
        client
            .get(&key("x"))
            .await
            .expect("get")
            .expect("row")
            .version,
        2
    );
}

/// Guards against calling a write refused when nobody knows whether it took effect.
#[tokio::test]
async fn failed_read_back_is_unknown() {
    let (table, client) = start().await;
    inject(&table, &[Fault::ApplyThenClose]);
    table.lock().expect("table").reads_fail = true;
    let write = [put("x", RowCondition::Absent)];
    let result = client.transact(&operation("1"), &write).await;
    assert!(matches!(result, Err(TableError::Unknown(_))), "{result:?}");
}

/// Guards against rate limits and cancellations being mistaken for conflicts or for success.
#[tokio::test]
async fn refusals_are_told_apart() {
    let (table, client) = start().await;
    let write = [put("x", RowCondition::Absent)];
    inject(&table, &[Fault::Throttle]);
    let result = client.transact(&operation("1"), &write).await;
    assert!(
        matches!(result, Err(TableError::Unavailable(_))),
        "{result:?}"
    );
    inject(&table, &[Fault::Garbage]);
    let result = client.transact(&operation("1"), &write).await;
    assert!(matches!(result, Err(TableError::Invalid(_))), "{result:?}");
    inject(&table, &[Fault::Cancel("TransactionConflict"); 8]);
    let result = client.transact(&operation("1"), &write).await;
    assert!(
        matches!(result, Err(TableError::Unavailable(_))),
        "{result:?}"
    );
    inject(&table, &[Fault::Cancel("ThrottlingError")]);
    assert_eq!(client.transact(&operation("1"), &write).await, Ok(()));
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("bind");
    let closed = listener.local_addr().expect("address");
    drop(listener);
    let result = self::client(closed).transact(&operation("1"), &write).await;
    assert!(
        matches!(result, Err(TableError::Unavailable(_))),
        "{result:?}"
    );
}

/// Guards against one conflicting row failing its neighbours, two rows of one key in a transaction,
/// and group commit that does not group.
#[tokio::test]
async fn group_commit_answers_each_row() {
    let (table, client) = start().await;
    let first = [put("taken", RowCondition::Absent)];
    client
        .transact(&operation("first"), &first)
        .await
        .expect("insert");
    table.lock().expect("table").delay = Duration::from_millis(20);
    let names: Vec<String> = (0..40).map(|number| format!("row{number}")).collect();
    let taken = operation("taken");
    let writes = names.iter().map(|name| {
        let client = &client;
        async move {
            let operation = operation(name);
            client
                .write_grouped(&operation, put(name, RowCondition::Absent))
                .await
        }
    });
    let twice = operation("twice");
    let (written, conflict, repeated) = tokio::join!(
        futures::future::join_all(writes),
        client.write_grouped(&taken, put("taken", RowCondition::Absent)),
        client.write_grouped(&twice, put("row0", RowCondition::Version(1))),
    );
    assert!(written.iter().all(Result::is_ok), "{written:?}");
    assert_eq!(conflict, Err(TableError::Conflict(vec![0])));
    // The second write of row0 either follows the first or conflicts with it.
    assert!(
        matches!(repeated, Ok(()) | Err(TableError::Conflict(_))),
        "{repeated:?}"
    );
    let row = client.get(&key("row7")).await.expect("get").expect("row");
    assert_eq!(row.operation.as_str(), "row7");
    let transactions = table.lock().expect("table").transactions.len();
    assert!(transactions < 20, "{transactions} transactions for 42 rows");
}

/// Guards against a lost answer of a group being answered to some of its rows only.
#[tokio::test]
async fn lost_answer_of_a_group_is_read_back() {
    let (table, client) = start().await;
    inject(&table, &[Fault::ApplyThenClose, Fault::ApplyThenClose]);
    let names: Vec<String> = (0..10).map(|number| format!("row{number}")).collect();
    let writes = names.iter().map(|name| {
        let client = &client;
        async move {
            let operation = operation(name);
            client
                .write_grouped(&operation, put(name, RowCondition::Absent))
                .await
        }
    });
    let results = futures::future::join_all(writes).await;
    assert!(results.iter().all(Result::is_ok), "{results:?}");
    let rows = client.query("key", "row").await.expect("query");
    assert!(
        rows.iter()
            .all(|row| row.version == 1 && row.operation.as_str() == row.key.name)
    );
    assert_eq!(rows.len(), 10);
}
