//! JSON bodies of the table service's protocol.

use acaciabank_protocol::ids;
use bytes::Bytes;
use serde_json::{Value, json};

use super::{RowCondition, RowKey, RowWrite, TableError, TableRow};

/// Attribute that the table's time-to-live setting must name.
const EXPIRY_ATTRIBUTE: &str = "expires";

/// One page of a query.
pub(super) struct RowPage {
    pub(super) rows: Vec<TableRow>,
    pub(super) next: Option<Value>,
}

fn to_bytes(value: &Value) -> Bytes {
    Bytes::from(value.to_string())
}

fn key_value(key: &RowKey) -> Value {
    json!({"pk": {"S": key.partition}, "sk": {"S": key.name}})
}

pub(super) fn get(table: &str, key: &RowKey) -> Bytes {
    to_bytes(&json!({"TableName": table, "Key": key_value(key), "ConsistentRead": true}))
}

pub(super) fn query(table: &str, partition: &str, prefix: &str, start: Option<&Value>) -> Bytes {
    let mut body = json!({
        "TableName": table,
        "ConsistentRead": true,
        "KeyConditionExpression": "pk = :pk AND begins_with(sk, :prefix)",
        "ExpressionAttributeValues": {":pk": {"S": partition}, ":prefix": {"S": prefix}},
    });
    if let Some(start) = start {
        body["ExclusiveStartKey"] = start.clone();
    }
    to_bytes(&body)
}

pub(super) fn transact(table: &str, token: &str, rows: &[(&ids::OperationId, &RowWrite)]) -> Bytes {
    let items: Vec<Value> = rows
        .iter()
        .map(|(operation, write)| item(table, operation, write))
        .collect();
    to_bytes(&json!({"ClientRequestToken": token, "TransactItems": items}))
}

fn item(table: &str, operation: &ids::OperationId, write: &RowWrite) -> Value {
    let mut member = json!({"TableName": table});
    let version = match write.condition() {
        RowCondition::Absent => {
            member["ConditionExpression"] = json!("attribute_not_exists(pk)");
            1
        }
        RowCondition::Version(version) => {
            member["ConditionExpression"] = json!("version = :version");
            member["ExpressionAttributeValues"] = json!({":version": {"N": version.to_string()}});
            version + 1
        }
    };
    match write {
        RowWrite::Put {
            key,
            body,
            expires_unix_s,
            ..
        } => {
            member["Item"] = json!({
                "pk": {"S": key.partition},
                "sk": {"S": key.name},
                "version": {"N": version.to_string()},
                "operation": {"S": operation.as_str()},
                "body": {"S": body},
            });
            if let Some(expires) = expires_unix_s {
                member["Item"][EXPIRY_ATTRIBUTE] = json!({"N": expires.to_string()});
            }
            json!({"Put": member})
        }
        RowWrite::Delete { key, .. } => {
            member["Key"] = key_value(key);
            json!({"Delete": member})
        }
        RowWrite::Check { key, .. } => {
            member["Key"] = key_value(key);
            json!({"ConditionCheck": member})
        }
    }
}

fn parse(body: &[u8]) -> Result<Value, TableError> {
    serde_json::from_slice(body).map_err(|error| TableError::Invalid(error.to_string()))
}

fn text<'a>(item: &'a Value, name: &str, kind: &str) -> Result<&'a str, TableError> {
    item[name][kind]
        .as_str()
        .ok_or_else(|| TableError::Invalid(format!("attribute {name} is missing or not {kind}")))
}

fn row(item: &Value) -> Result<TableRow, TableError> {
    let version = text(item, "version", "N")?;
    Ok(TableRow {
        key: RowKey {
            partition: text(item, "pk", "S")?.to_owned(),
            name: text(item, "sk", "S")?.to_owned(),
        },
        version: version
            .parse()
            .map_err(|_| TableError::Invalid(format!("version {version} is not a number")))?,
        operation: ids::OperationId::new(text(item, "operation", "S")?),
        body: text(item, "body", "S")?.to_owned(),
    })
}

pub(super) fn read_row(body: &[u8]) -> Result<Option<TableRow>, TableError> {
    let answer = parse(body)?;
    match answer.get("Item") {
        None | Some(Value::Null) if answer.is_object() => Ok(None),
        None | Some(Value::Null) => Err(TableError::Invalid("not an object".to_owned())),
        Some(item) => row(item).map(Some),
    }
}

pub(super) fn read_page(body: &[u8]) -> Result<RowPage, TableError> {
    let answer = parse(body)?;
    let items = answer["Items"]
        .as_array()
        .ok_or_else(|| TableError::Invalid("member Items is missing".to_owned()))?;
    let rows = items.iter().map(row).collect::<Result<_, _>>()?;
    let next = answer
        .get("LastEvaluatedKey")
        .filter(|key| !key.is_null())
        .cloned();
    Ok(RowPage { rows, next })
}

/// What an error answer of the service says.
pub(super) enum ErrorKind {
    /// Conditions of these rows do not hold.
    Conflict(Vec<usize>),
    /// Worth another try; nothing was written.
    Transient(String),
    /// Rate limit; nothing was written.
    Throttled(String),
    /// Anything else.
    Other(String),
}

pub(super) fn read_error(body: &[u8]) -> ErrorKind {
    let Ok(answer) = parse(body) else {
        return ErrorKind::Other("error answer is not JSON".to_owned());
    };
    let kind = answer["__type"].as_str().unwrap_or_default();
    let kind = kind.rsplit('#').next().unwrap_or_default();
    match kind {
        "TransactionCanceledException" => canceled(&answer),
        "ProvisionedThroughputExceededException"
        | "ThrottlingException"
        | "RequestLimitExceeded" => ErrorKind::Throttled(kind.to_owned()),
        "TransactionConflictException" | "TransactionInProgressException" => {
            ErrorKind::Transient(kind.to_owned())
        }
        _ => ErrorKind::Other(answer.to_string()),
    }
}

fn canceled(answer: &Value) -> ErrorKind {
    let Some(reasons) = answer["CancellationReasons"].as_array() else {
        return ErrorKind::Other("cancellation without reasons".to_owned());
    };
    let is_conflict = |reason: &Value| reason["Code"] == "ConditionalCheckFailed";
    let failed: Vec<usize> = (0..reasons.len())
        .filter(|index| is_conflict(&reasons[*index]))
        .collect();
    if failed.is_empty() {
        return ErrorKind::Transient(Value::from(reasons.clone()).to_string());
    }
    ErrorKind::Conflict(failed)
}
