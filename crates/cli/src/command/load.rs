//! `acaciabank load` and `acaciabank plot`: runs load scripts and compares their reports.

use std::{collections::BTreeMap, path};

use bytes::Bytes;

use super::check;
use crate::{
    arguments::LoadArguments,
    client,
    error::{Error, Result},
    load,
};

/// Name of the counter of role changes.
const ROLE_CHANGES_METRIC: &str = "acaciabank_role_changes_total";
/// Name of the counter of retries, without labels.
const RETRIES_METRIC: &str = "acaciabank_retries_total";

pub(super) async fn load(arguments: LoadArguments) -> Result<()> {
    let text = check::read_text(&arguments.script)?;
    let script = load::LoadScript::from_json(&text)
        .map_err(|message| Error::Usage(format!("{}: {message}", arguments.script.display())))?;
    let before = read_counters(&arguments.admin).await?;
    let options = load::RunOptions {
        name: arguments.name.clone(),
        seed_addresses: arguments.caller.clone(),
        zone: arguments.zone.clone(),
        seed: arguments.seed,
        progress: Some(|ended, in_time| eprintln!("{ended} requests ended, {in_time} in time")),
    };
    let mut report = load::run(&script, options).await;
    if !arguments.admin.is_empty() {
        let after = read_counters(&arguments.admin).await?;
        let increase =
            |name: &str, value: u64| value - before.get(name).copied().unwrap_or(0).min(value);
        report.role_changes = Some(
            after
                .iter()
                .filter(|(name, _)| name.starts_with(ROLE_CHANGES_METRIC))
                .map(|(name, value)| increase(name, *value))
                .sum(),
        );
        report.system_retries = after
            .iter()
            .filter(|(name, _)| name.starts_with(RETRIES_METRIC))
            .map(|(name, value)| (first_label(name), increase(name, *value)))
            .filter(|(_, count)| *count > 0)
            .collect();
    }
    if arguments.json {
        let json = serde_json::to_string(&report).expect("maps in reports have string keys");
        println!("{json}");
    } else {
        print!("{report}");
    }
    Ok(())
}

pub(super) fn plot(svg: &path::Path, files: &[path::PathBuf]) -> Result<()> {
    let mut reports = Vec::new();
    for file in files {
        let text = check::read_text(file)?;
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            let report = serde_json::from_str(line)
                .map_err(|error| Error::Usage(format!("{}: {error}", file.display())))?;
            reports.push(report);
        }
    }
    load::write_comparison(svg, &reports)
        .map_err(|message| Error::Usage(format!("{}: {message}", svg.display())))?;
    println!("wrote {} with {} runs", svg.display(), reports.len());
    Ok(())
}

/// Reads the role change and retry counters of the daemons, summed over the daemons by name with
/// labels.
async fn read_counters(addresses: &[String]) -> Result<BTreeMap<String, u64>> {
    let mut counters = BTreeMap::new();
    for address in addresses {
        let client = client::HttpClient::new(address, None, None)?;
        let response = client
            .call(http::Method::GET, "/metrics", &[], Bytes::new())
            .await?
            .into_success()?;
        let text = String::from_utf8_lossy(&response.body);
        for line in text.lines().filter(|line| !line.starts_with('#')) {
            let Some((name, value)) = line.rsplit_once(' ') else {
                continue;
            };
            let is_relevant =
                name.starts_with(ROLE_CHANGES_METRIC) || name.starts_with(RETRIES_METRIC);
            if let (true, Ok(value)) = (is_relevant, value.parse::<f64>()) {
                *counters.entry(name.to_owned()).or_default() += value as u64;
            }
        }
    }
    Ok(counters)
}

/// Returns the value of the first label, or the whole name if it has none.
fn first_label(name: &str) -> String {
    name.split('"').nth(1).unwrap_or(name).to_owned()
}
