//! `acaciabank config`: reads and changes the deployment.

use std::{collections::BTreeMap, path};

use acaciabank_protocol::settings;
use bytes::Bytes;

use super::{check, operator};
use crate::{
    arguments::{ConfigCommand, Endpoint},
    error::{Error, Result},
    output,
};

pub(super) async fn execute(command: ConfigCommand) -> Result<()> {
    match command {
        ConfigCommand::Get { endpoint } => get(&endpoint).await,
        ConfigCommand::Set {
            endpoint,
            expect,
            file,
        } => set(&endpoint, expect, &file).await,
        ConfigCommand::Watch { endpoint, count } => watch(&endpoint, count).await,
        ConfigCommand::History { endpoint } => history(&endpoint).await,
        ConfigCommand::Diff { endpoint, from, to } => diff(&endpoint, from, to).await,
    }
}

async fn get(endpoint: &Endpoint) -> Result<()> {
    let response = operator::connect(endpoint)?
        .get_json("/admin/config")
        .await?;
    if endpoint.json {
        output::print_json(&response);
        return Ok(());
    }
    // The version goes to standard error so that the deployment can be redirected into a file.
    let operator = output::to_cell(&response["operator"]);
    eprintln!(
        "version {} by {operator}",
        output::to_cell(&response["version"])
    );
    println!("{:#}", response["deployment"]);
    Ok(())
}

async fn set(endpoint: &Endpoint, expect: Option<u64>, file: &path::Path) -> Result<()> {
    let text = check::read_text(file)?;
    settings::parse_deployment(&text).map_err(|problem| Error::Settings {
        file: file.display().to_string(),
        problem,
    })?;
    let client = operator::connect(endpoint)?;
    let expected = match expect {
        Some(version) => version,
        None => read_version(&client.get_json("/admin/config").await?)?,
    };
    let version = expected.to_string();
    let headers = [
        ("if-match", version.as_str()),
        ("content-type", "application/json"),
    ];
    let response = client
        .call(
            http::Method::PUT,
            "/admin/config",
            &headers,
            Bytes::from(text),
        )
        .await?
        .into_success()?
        .to_json()?;
    if endpoint.json {
        output::print_json(&response);
    } else {
        println!("accepted as version {}", read_version(&response)?);
    }
    Ok(())
}

async fn watch(endpoint: &Endpoint, count: Option<u64>) -> Result<()> {
    let client = operator::connect(endpoint)?;
    let mut version = read_version(&client.get_json("/admin/config").await?)?;
    let mut printed = 0;
    while count.is_none_or(|count| printed < count) {
        let path = format!("/admin/config/watch?after={version}");
        let response = client.get_json(&path).await?;
        let next_version = read_version(&response)?;
        if next_version <= version {
            continue;
        }
        version = next_version;
        printed += 1;
        if endpoint.json {
            output::print_json(&response);
        } else {
            println!(
                "version {version} by {}",
                output::to_cell(&response["operator"])
            );
        }
    }
    Ok(())
}

async fn history(endpoint: &Endpoint) -> Result<()> {
    let response = operator::connect(endpoint)?
        .get_json("/admin/config/history")
        .await?;
    if endpoint.json {
        output::print_json(&response);
        return Ok(());
    }
    output::print_table(
        &[("VERSION", "version"), ("OPERATOR", "operator")],
        versions(&response)?,
    );
    Ok(())
}

async fn diff(endpoint: &Endpoint, from: u64, to: u64) -> Result<()> {
    let response = operator::connect(endpoint)?
        .get_json("/admin/config/history")
        .await?;
    let version_leaves = |version: u64| -> Result<BTreeMap<String, String>> {
        let entry = versions(&response)?
            .iter()
            .find(|entry| entry["version"].as_u64() == Some(version))
            .ok_or_else(|| Error::Usage(format!("version {version} is not in the history")))?;
        let mut leaves = BTreeMap::new();
        collect_leaves(&entry["deployment"], "", &mut leaves);
        Ok(leaves)
    };
    let (old, new) = (version_leaves(from)?, version_leaves(to)?);
    for (path, value) in &old {
        match new.get(path) {
            None => println!("- {path}: {value}"),
            Some(new_value) if new_value != value => println!("~ {path}: {value} -> {new_value}"),
            Some(_) => {}
        }
    }
    for (path, value) in new.iter().filter(|(path, _)| !old.contains_key(*path)) {
        println!("+ {path}: {value}");
    }
    Ok(())
}

fn versions(response: &serde_json::Value) -> Result<&Vec<serde_json::Value>> {
    response["versions"]
        .as_array()
        .ok_or_else(|| Error::UnexpectedContent("`versions` is missing or not an array".to_owned()))
}

fn read_version(response: &serde_json::Value) -> Result<u64> {
    response["version"]
        .as_u64()
        .ok_or_else(|| Error::UnexpectedContent("`version` is missing or not a number".to_owned()))
}

/// Collects the scalar values below `value` by their path. Array entries are labelled with their
/// name if they have one, so that an inserted entry does not show every later one as changed.
fn collect_leaves(value: &serde_json::Value, path: &str, leaves: &mut BTreeMap<String, String>) {
    match value {
        serde_json::Value::Object(members) => {
            for (name, member) in members {
                let separator = if path.is_empty() { "" } else { "." };
                collect_leaves(member, &format!("{path}{separator}{name}"), leaves);
            }
        }
        serde_json::Value::Array(entries) => {
            for (index, entry) in entries.iter().enumerate() {
                let label = match (entry, entry["name"].as_str()) {
                    (serde_json::Value::String(text), _) => text.clone(),
                    (_, Some(name)) => name.to_owned(),
                    _ => index.to_string(),
                };
                collect_leaves(entry, &format!("{path}[{label}]"), leaves);
            }
        }
        scalar => {
            leaves.insert(path.to_owned(), scalar.to_string());
        }
    }
}
