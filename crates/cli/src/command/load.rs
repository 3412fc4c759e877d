//! `acaciabank load` and `acaciabank plot`.

use std::{collections::BTreeMap, path};

use bytes::Bytes;

use super::check;
use crate::{
    arguments::LoadCall,
    client,
    error::{Error, Result},
    load,
};

/// Counter of role changes.
const ROLE_CHANGES: &str = "acaciabank_role_changes_total";
/// Counter of retries.
const RETRIES: &str = "acaciabank_retries_total";

pub(super) async fn load(call: LoadCall) -> Result<()> {
    let text = check::read_text(&call.script)?;
    let script = load::LoadScript::from_json(&text)
        .map_err(|fault| Error::Usage(format!("{}: {fault}", call.script.display())))?;
    let before = read_counters(&call.admin).await?;
    let options = load::RunOptions {
        name: call.name.clone(),
        seed_addresses: call.caller.clone(),
        zone: call.zone.clone(),
        seed: call.seed,
        progress: Some(|ended, in_time| eprintln!("{ended} requests ended, {in_time} in time")),
    };
    let mut report = load::run(&script, options).await;
    if !call.admin.is_empty() {
        let after = read_counters(&call.admin).await?;
        let grown =
            |name: &str, value: u64| value - before.get(name).copied().unwrap_or(0).min(value);
        report.role_changes = Some(
            after
                .iter()
                .filter(|(name, _)| name.starts_with(ROLE_CHANGES))
                .map(|(name, value)| grown(name, *value))
                .sum(),
        );
        report.system_retries = after
            .iter()
            .filter(|(name, _)| name.starts_with(RETRIES))
            .map(|(name, value)| (label(name), grown(name, *value)))
            .filter(|(_, count)| *count > 0)
            .collect();
    }
    if call.json {
        let json = serde_json::to_string(&report).expect("reports have text keys");
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

/// Counters of the daemons, summed by name with labels.
async fn read_counters(addresses: &[String]) -> Result<BTreeMap<String, u64>> {
    let mut counters = BTreeMap::new();
    for address in addresses {
        let client = client::HttpClient::new(address, None, None)?;
        let answer = client
            .call(http::Method::GET, "/metrics", &[], Bytes::new())
            .await?
            .into_success()?;
        let text = String::from_utf8_lossy(&answer.body);
        for line in text.lines().filter(|line| !line.starts_with('#')) {
            let Some((name, value)) = line.rsplit_once(' ') else {
                continue;
            };
            let wanted = name.starts_with(ROLE_CHANGES) || name.starts_with(RETRIES);
            if let (true, Ok(value)) = (wanted, value.parse::<f64>()) {
                *counters.entry(name.to_owned()).or_default() += value as u64;
            }
        }
    }
    Ok(counters)
}

/// The value of the first label, or the name without labels.
fn label(name: &str) -> String {
    name.split('"').nth(1).unwrap_or(name).to_owned()
}
