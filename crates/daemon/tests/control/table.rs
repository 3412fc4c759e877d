//! Client of the table service: transactions, read-back after lost responses, group commit.

use std::{net, time::Duration};

use acaciabank_daemon::table::{RowCondition, RowKey, RowWrite, TableClient, TableError};
use acaciabank_protocol::{ids, settings};

use crate::fake_table::{self, Fault, SharedTable, inject};

async fn start() -> (SharedTable, TableClient) {
    let (table, address) = fake_table::start().await;
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
        expires_unix_s: None,
    }
}

fn operation(name: &str) -> ids::OperationId {
    ids::OperationId::new(name)
}

/// Guards against wrong row versions, lost attributes and a query that stops at its first page.
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

/// Guards against a conflict that names the wrong row or leaves a transaction partially applied.
#[tokio::test]
async fn conflict_names_the_failed_rows() {
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

/// Guards against reporting an applied transaction whose response was lost as failed, and against
/// applying it twice.
#[tokio::test]
async fn lost_response_is_read_back() {
    let (table, client) = start().await;
    inject(&table, &[Fault::ApplyThenClose]);
    let write = [put("x", RowCondition::Absent)];
    assert_eq!(client.transact(&operation("1"), &write).await, Ok(()));
    assert_eq!(table.lock().expect("table").transactions, [1]);

    inject(&table, &[Fault::ServerError]);
    let write = [put("x", RowCondition::Absent)];
    let result = client.transact(&operation("2"), &write).await;
    assert_eq!(result, Err(TableError::Conflict(vec![0])));

    // Not applied and without a response: it is sent again with the same token and applied once.
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

/// Guards against reporting a write as refused when its outcome cannot be determined.
#[tokio::test]
async fn failed_read_back_is_unknown() {
    let (table, client) = start().await;
    inject(&table, &[Fault::ApplyThenClose]);
    table.lock().expect("table").reads_fail = true;
    let write = [put("x", RowCondition::Absent)];
    let result = client.transact(&operation("1"), &write).await;
    assert!(matches!(result, Err(TableError::Unknown(_))), "{result:?}");
}

/// Guards against treating rate limits and cancellations as conflicts or as success.
#[tokio::test]
async fn refusals_are_distinguished() {
    let (table, client) = start().await;
    let write = [put("x", RowCondition::Absent)];
    inject(&table, &[Fault::Throttle]);
    let result = client.transact(&operation("1"), &write).await;
    assert!(
        matches!(result, Err(TableError::Unavailable(_))),
        "{result:?}"
    );
    inject(&table, &[Fault::InvalidBody]);
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

/// Guards against a conflicting row that fails the other rows of its batch, against a transaction
/// with two rows of one key, and against a group commit that sends each row on its own.
#[tokio::test]
async fn group_commit_reports_each_row() {
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

/// Guards against a lost response to a batch that leaves some of its rows without their result.
#[tokio::test]
async fn lost_response_to_a_batch_is_read_back() {
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
