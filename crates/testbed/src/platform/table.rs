//! The table service, a subset of DynamoDB: rows, conditional writes, request tokens, rate limits.

use std::{collections, time};

use serde_json::{Value, json};

/// Time for which a repeated `ClientRequestToken` gets the response of the first request.
const REQUEST_TOKEN_LIFETIME: time::Duration = time::Duration::from_secs(600);
/// Maximum number of items in one transaction, as in the DynamoDB API.
const MAX_TRANSACTION_ITEMS: usize = 100;

/// Attribute with the expiry time of a row, in seconds since the Unix epoch.
const EXPIRY_ATTRIBUTE: &str = "expires";
/// Minimum time between two removals of expired rows.
const SWEEP_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Partition key and sort key of a row.
type RowKey = (String, String);

/// Body of an error response of the given kind.
pub fn error_body(kind: &str, message: &str) -> Value {
    let kind = format!("com.amazonaws.dynamodb.v20120810#{kind}");
    json!({"__type": kind, "message": message})
}

/// Token bucket rate limiter whose capacity is the rate of one second.
struct TokenBucket {
    rate: f64,
    tokens: f64,
    refilled_at: time::Instant,
}

impl TokenBucket {
    fn new(rate: f64) -> Self {
        let refilled_at = time::Instant::now();
        Self {
            rate,
            tokens: rate,
            refilled_at,
        }
    }

    fn take(&mut self, item_count: usize) -> Result<(), Value> {
        let now = time::Instant::now();
        let gained = (now - self.refilled_at).as_secs_f64() * self.rate;
        self.refilled_at = now;
        self.tokens = (self.tokens + gained).min(self.rate);
        if self.tokens < item_count as f64 {
            let kind = "ProvisionedThroughputExceededException";
            return Err(error_body(kind, "the rate limit is exceeded"));
        }
        self.tokens -= item_count as f64;
        Ok(())
    }
}

/// Tables, rate limits and counters of the table service.
pub struct TableState {
    tables: collections::BTreeMap<String, collections::BTreeMap<RowKey, Value>>,
    request_tokens: collections::HashMap<String, (time::Instant, String)>,
    read_limit: TokenBucket,
    write_limit: TokenBucket,
    swept_at: time::Instant,
    read_count: u64,
    write_count: u64,
    transaction_count: u64,
}

impl TableState {
    /// Creates an empty table service with limits in items per second.
    pub fn new(reads_per_second: f64, writes_per_second: f64) -> Self {
        Self {
            tables: Default::default(),
            request_tokens: Default::default(),
            read_limit: TokenBucket::new(reads_per_second),
            write_limit: TokenBucket::new(writes_per_second),
            swept_at: time::Instant::now(),
            read_count: 0,
            write_count: 0,
            transaction_count: 0,
        }
    }

    /// Returns the numbers of items read and written, of transactions and of rows.
    pub fn counters(&self) -> Value {
        let rows: usize = self.tables.values().map(|table| table.len()).sum();
        json!({"reads": self.read_count, "writes": self.write_count,
               "transactions": self.transaction_count, "rows": rows})
    }

    /// Runs an operation and returns its response, or the body of an error response.
    pub fn run_operation(&mut self, operation: &str, input: &Value) -> Result<Value, Value> {
        self.remove_expired();
        match operation {
            "GetItem" => self.get(input),
            "Query" => self.query(input),
            "TransactWriteItems" => self.transact(input),
            _ => Err(error_body("UnknownOperationException", operation)),
        }
    }

    /// Removes rows whose expiry time has passed. As in DynamoDB, an expired row may still be read
    /// for a while.
    fn remove_expired(&mut self) {
        if self.swept_at.elapsed() < SWEEP_INTERVAL {
            return;
        }
        self.swept_at = time::Instant::now();
        let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        let now = since_epoch.map_or(0, |elapsed| elapsed.as_secs());
        let is_unexpired = |row: &Value| {
            let expires = row[EXPIRY_ATTRIBUTE]["N"].as_str();
            expires
                .and_then(|expires| expires.parse::<u64>().ok())
                .is_none_or(|expires| expires > now)
        };
        for rows in self.tables.values_mut() {
            rows.retain(|_, row| is_unexpired(row));
        }
    }

    fn get(&mut self, input: &Value) -> Result<Value, Value> {
        self.read_limit.take(1)?;
        self.read_count += 1;
        let key = row_key(&input["Key"])?;
        let item = self.row(input, &key);
        Ok(item.map_or(json!({}), |item| json!({"Item": item})))
    }

    fn query(&mut self, input: &Value) -> Result<Value, Value> {
        let expression = expand_names(input, "KeyConditionExpression");
        let partition = placeholder_after(&expression, "pk =")
            .and_then(|name| string_value(&input["ExpressionAttributeValues"][name]))
            .ok_or_else(|| error_body("ValidationException", "no condition on pk"))?;
        let prefix = placeholder_after(&expression, "begins_with(sk,")
            .and_then(|name| string_value(&input["ExpressionAttributeValues"][name]))
            .unwrap_or_default();
        let table = input["TableName"].as_str().unwrap_or_default();
        let rows = self.tables.get(table).into_iter().flatten();
        let items: Vec<&Value> = rows
            .filter(|((pk, sk), _)| *pk == partition && sk.starts_with(&prefix))
            .map(|(_, item)| item)
            .collect();
        self.read_limit.take(items.len().max(1))?;
        self.read_count += items.len().max(1) as u64;
        Ok(json!({"Items": items, "Count": items.len()}))
    }

    fn transact(&mut self, input: &Value) -> Result<Value, Value> {
        let no_items = Vec::new();
        let items = input["TransactItems"].as_array().unwrap_or(&no_items);
        if items.is_empty() || items.len() > MAX_TRANSACTION_ITEMS {
            let message = "TransactItems must have 1 to 100 entries";
            return Err(error_body("ValidationException", message));
        }
        let token = input["ClientRequestToken"].as_str().unwrap_or_default();
        let content = input["TransactItems"].to_string();
        self.request_tokens
            .retain(|_, (written_at, _)| written_at.elapsed() < REQUEST_TOKEN_LIFETIME);
        if let Some((_, first_content)) = self.request_tokens.get(token) {
            if *first_content == content {
                return Ok(json!({}));
            }
            let message = "the token was used with other items";
            return Err(error_body("IdempotentParameterMismatchException", message));
        }
        self.write_limit.take(items.len())?;
        self.apply(items)?;
        self.transaction_count += 1;
        self.write_count += items.len() as u64;
        if !token.is_empty() {
            let entry = (time::Instant::now(), content);
            self.request_tokens.insert(token.to_owned(), entry);
        }
        Ok(json!({}))
    }

    /// Checks the conditions of all items, then writes all items if every condition holds.
    fn apply(&mut self, items: &[Value]) -> Result<(), Value> {
        let mut item_ids = Vec::new();
        let mut reasons = Vec::new();
        let mut has_failed = false;
        for item in items {
            let (kind, action) = action_of(item)?;
            let key = row_key(if kind == "Put" {
                &action["Item"]
            } else {
                &action["Key"]
            })?;
            let holds = condition_holds(action, self.row(action, &key))?;
            has_failed |= !holds;
            let code = if holds {
                "None"
            } else {
                "ConditionalCheckFailed"
            };
            reasons.push(json!({"Code": code}));
            let item_id = (action["TableName"].clone(), key.clone());
            if item_ids.contains(&item_id) {
                let message = "a transaction cannot name an item twice";
                return Err(error_body("ValidationException", message));
            }
            item_ids.push(item_id);
        }
        if has_failed {
            let mut cancelled = error_body("TransactionCanceledException", "a condition failed");
            cancelled["CancellationReasons"] = reasons.into();
            return Err(cancelled);
        }
        for (item, (table, key)) in items.iter().zip(item_ids) {
            let (kind, action) = action_of(item)?;
            let table = table.as_str().unwrap_or_default().to_owned();
            let rows = self.tables.entry(table).or_default();
            match kind {
                "Put" => drop(rows.insert(key, action["Item"].clone())),
                "Delete" => drop(rows.remove(&key)),
                _ => {}
            }
        }
        Ok(())
    }

    fn row(&self, action: &Value, key: &RowKey) -> Option<&Value> {
        let table = action["TableName"].as_str().unwrap_or_default();
        self.tables.get(table)?.get(key)
    }
}

/// Returns the kind of a transaction item and its parameters.
fn action_of(item: &Value) -> Result<(&'static str, &Value), Value> {
    for kind in ["Put", "Delete", "ConditionCheck"] {
        if let Some(action) = item.get(kind) {
            return Ok((kind, action));
        }
    }
    Err(error_body("ValidationException", "unknown kind of item"))
}

fn string_value(attribute: &Value) -> Option<String> {
    attribute["S"].as_str().map(str::to_owned)
}

fn row_key(attributes: &Value) -> Result<RowKey, Value> {
    let string_attribute = |name: &str| {
        string_value(&attributes[name])
            .ok_or_else(|| error_body("ValidationException", "pk and sk must be strings"))
    };
    Ok((string_attribute("pk")?, string_attribute("sk")?))
}

/// Returns the expression in `member` with its `#name` placeholders replaced.
fn expand_names(input: &Value, member: &str) -> String {
    let mut expression = input[member].as_str().unwrap_or_default().to_owned();
    let names = input["ExpressionAttributeNames"].as_object();
    for (placeholder, name) in names.into_iter().flatten() {
        expression = expression.replace(placeholder, name.as_str().unwrap_or_default());
    }
    expression
}

/// Returns the `:placeholder` that follows `start` in an expression.
fn placeholder_after<'a>(expression: &'a str, start: &str) -> Option<&'a str> {
    let rest = expression.split_once(start)?.1.trim_start();
    let is_end = |character: char| !character.is_alphanumeric() && !":_".contains(character);
    let end = rest.find(is_end).unwrap_or(rest.len());
    rest[..end].starts_with(':').then_some(&rest[..end])
}

fn condition_holds(action: &Value, row: Option<&Value>) -> Result<bool, Value> {
    let expression = expand_names(action, "ConditionExpression");
    match expression.trim() {
        "" => Ok(true),
        "attribute_not_exists(pk)" => Ok(row.is_none()),
        other => {
            let name = placeholder_after(other, "version =")
                .filter(|_| other.starts_with("version ="))
                .ok_or_else(|| error_body("ValidationException", "unsupported condition"))?;
            let expected = &action["ExpressionAttributeValues"][name];
            Ok(row.is_some_and(|row| row["version"] == *expected))
        }
    }
}
