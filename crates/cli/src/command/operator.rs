//! Commands that read or change the running system through the admin API.

use bytes::Bytes;

use crate::{
    arguments::{Endpoint, KeysCommand},
    client,
    error::{Error, Result},
    output,
};

/// Creates a client of a daemon's admin address.
pub(super) fn connect(endpoint: &Endpoint) -> Result<client::HttpClient> {
    client::HttpClient::new(
        &endpoint.admin,
        endpoint.key.clone(),
        endpoint.ca.as_deref(),
    )
}

/// Prints the array `field` of a response as a table, or the whole response as JSON.
fn print_rows(
    endpoint: &Endpoint,
    response: &serde_json::Value,
    field: &str,
    columns: &[(&str, &str)],
) -> Result<()> {
    if endpoint.json {
        output::print_json(response);
        return Ok(());
    }
    let rows = response
        .get(field)
        .and_then(serde_json::Value::as_array)
        .ok_or_else(|| Error::UnexpectedContent(format!("`{field}` is missing or not an array")))?;
    output::print_table(columns, rows);
    Ok(())
}

pub(super) async fn status(endpoint: &Endpoint) -> Result<()> {
    let response = connect(endpoint)?.get_json("/admin/status").await?;
    if !endpoint.json {
        for field in ["daemon", "phase", "config_version"] {
            println!("{field}: {}", output::to_cell(&response[field]));
        }
        println!();
    }
    let columns = [
        ("DAEMON", "daemon"),
        ("ZONE", "zone"),
        ("CONDITION", "condition"),
        ("CONFIG", "config_version"),
        ("CALLERS", "caller_address"),
    ];
    print_rows(endpoint, &response, "members", &columns)
}

pub(super) async fn targets(endpoint: &Endpoint) -> Result<()> {
    let response = connect(endpoint)?.get_json("/admin/targets").await?;
    let columns = [
        ("TARGET", "target"),
        ("KIND", "kind"),
        ("ZONE", "zone"),
        ("ADDRESS", "address"),
        ("ACCEPTING", "accepting"),
        ("CAUSE", "cause"),
        ("ROLE", "role"),
        ("RUNNING", "load.running"),
        ("WAITING", "load.waiting"),
        ("OWN", "own_in_flight"),
    ];
    print_rows(endpoint, &response, "targets", &columns)
}

pub(super) async fn requests(endpoint: &Endpoint) -> Result<()> {
    let response = connect(endpoint)?.get_json("/admin/requests").await?;
    let columns = [
        ("REQUEST", "request_id"),
        ("TEAM", "team"),
        ("PRIORITY", "priority"),
        ("WORK", "work"),
        ("AGE_MS", "age_ms"),
    ];
    print_rows(endpoint, &response, "requests", &columns)
}

pub(super) async fn drain(endpoint: &Endpoint, target: &str, drained: bool) -> Result<()> {
    let action = if drained { "drain" } else { "undrain" };
    let path = format!("/admin/targets/{target}/{action}");
    let response = post(endpoint, &path, Bytes::new()).await?;
    if endpoint.json {
        output::print_json(&response);
    } else {
        println!(
            "{action}ed {target}; configuration {}",
            output::to_cell(&response["version"])
        );
    }
    Ok(())
}

pub(super) async fn log_level(endpoint: &Endpoint, level: &str) -> Result<()> {
    let body = serde_json::json!({"level": level}).to_string();
    let response = post(endpoint, "/admin/log-level", Bytes::from(body)).await?;
    if endpoint.json {
        output::print_json(&response);
    } else {
        println!("log level {level}");
    }
    Ok(())
}

pub(super) async fn keys(command: KeysCommand) -> Result<()> {
    match command {
        KeysCommand::Get {
            endpoint,
            team,
            name,
        } => {
            let path = format!("/admin/keys/{team}/{}", percent_encode(&name));
            let response = connect(&endpoint)?.get_json(&path).await?;
            print_record(&endpoint, &response);
        }
        KeysCommand::Resolve {
            endpoint,
            ran,
            not_run,
            team,
            name,
        } => {
            if ran == not_run {
                return Err(Error::Usage(
                    "exactly one of --ran and --not-run must be given".to_owned(),
                ));
            }
            let path = format!("/admin/keys/{team}/{}/resolve", percent_encode(&name));
            let body = serde_json::json!({"ran": ran}).to_string();
            let response = post(&endpoint, &path, Bytes::from(body)).await?;
            print_record(&endpoint, &response);
            if response["state"] == "intent" {
                let message = "not resolved: the request may still be running, try again later";
                return Err(Error::Conflict(message.to_owned()));
            }
        }
    }
    Ok(())
}

/// Prints the record of an idempotency key.
fn print_record(endpoint: &Endpoint, record: &serde_json::Value) {
    if endpoint.json {
        output::print_json(record);
        return;
    }
    for (name, value) in record.as_object().into_iter().flatten() {
        println!("{name}: {}", output::to_cell(value));
    }
}

async fn post(endpoint: &Endpoint, path: &str, body: Bytes) -> Result<serde_json::Value> {
    let headers = [("content-type", "application/json")];
    let client = connect(endpoint)?;
    client
        .call(http::Method::POST, path, &headers, body)
        .await?
        .into_success()?
        .to_json()
}

/// Percent-encodes all but unreserved characters, so that any key forms a single path segment.
fn percent_encode(text: &str) -> String {
    text.bytes()
        .map(|byte| match byte {
            b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => {
                char::from(byte).to_string()
            }
            _ => format!("%{byte:02X}"),
        })
        .collect()
}
