//! Checks of settings before anything starts.

use std::{collections::HashSet, fmt};

use super::{Deployment, ProcessSettings, Settings, fleet, ranges, unique};

/// One fault in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// JSON path of the value, such as `deployment.engines[3].host`.
    pub path: String,
    /// The value as JSON, or the text at fault.
    pub value: String,
    /// What is allowed there.
    pub allowed: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}; {}", self.path, self.value, self.allowed)
    }
}

impl SettingsError {
    /// A fault at a path.
    pub fn new(
        path: impl Into<String>,
        value: impl fmt::Display,
        allowed: impl Into<String>,
    ) -> Self {
        Self {
            path: path.into(),
            value: value.to_string(),
            allowed: allowed.into(),
        }
    }

    /// The same fault below another path.
    fn below(mut self, parent: &str) -> Self {
        self.path = format!("{parent}.{}", self.path);
        self
    }
}

/// Reads and checks a whole settings file.
///
/// # Errors
///
/// Returns the first fault found.
pub fn parse(text: &str) -> Result<Settings, SettingsError> {
    let settings: Settings = read(text)?;
    check(&settings)?;
    Ok(settings)
}

/// Reads and checks a deployment.
///
/// # Errors
///
/// Returns the first fault found.
pub fn parse_deployment(text: &str) -> Result<Deployment, SettingsError> {
    let deployment: Deployment = read(text)?;
    check_deployment(&deployment)?;
    Ok(deployment)
}

fn read<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, SettingsError> {
    let document: serde_json::Value = serde_json::from_str(text)
        .map_err(|error| SettingsError::new("$", "not JSON", format!("expected JSON: {error}")))?;
    if let Some(path) = unique::find_repeated_key(text) {
        return Err(SettingsError::new(
            path,
            "given twice",
            "each key is given once",
        ));
    }
    serde_path_to_error::deserialize(&document).map_err(|error| {
        let path = error.path().to_string();
        let value = value_at(&document, error.path());
        SettingsError::new(if path == "." { "$".to_owned() } else { path }, value, {
            error.inner().to_string()
        })
    })
}

/// Characters of a faulty value that a message repeats.
const MAX_VALUE_CHARS: usize = 120;

/// Text of the value at a path; the parent's where the last member is missing or unknown.
fn value_at(document: &serde_json::Value, path: &serde_path_to_error::Path) -> String {
    use serde_path_to_error::Segment;
    let mut value = document;
    for segment in path {
        let next = match segment {
            Segment::Seq { index } => value.get(index),
            Segment::Map { key } => value.get(key),
            Segment::Enum { variant } => value.get(variant),
            Segment::Unknown => None,
        };
        match next {
            Some(next) => value = next,
            None => break,
        }
    }
    match value {
        serde_json::Value::Object(_) => "an object".to_owned(),
        serde_json::Value::Array(_) => "an array".to_owned(),
        scalar => scalar.to_string().chars().take(MAX_VALUE_CHARS).collect(),
    }
}

/// Checks what the types cannot express: references between entries, uniqueness, ranges.
///
/// # Errors
///
/// Returns the first fault found.
pub fn check(settings: &Settings) -> Result<(), SettingsError> {
    check_process(&settings.process).map_err(|problem| problem.below("process"))?;
    check_deployment(&settings.deployment).map_err(|problem| problem.below("deployment"))?;
    let zones: HashSet<&str> = settings
        .deployment
        .regions
        .iter()
        .filter(|region| region.name == settings.process.region)
        .flat_map(|region| region.zones.iter().map(|zone| zone.as_str()))
        .collect();
    if !zones.contains(settings.process.zone.as_str()) {
        return Err(SettingsError::new(
            "process.zone",
            format!("\"{}\"", settings.process.zone),
            format!("must be a zone of region \"{}\"", settings.process.region),
        ));
    }
    Ok(())
}

/// Checks the deployment alone; paths start at the deployment.
///
/// # Errors
///
/// Returns the first fault found.
pub fn check_deployment(deployment: &Deployment) -> Result<(), SettingsError> {
    fleet::check_inventory(deployment)?;
    fleet::check_access(deployment)?;
    fleet::check_rules(deployment)?;
    ranges::check_adaptation(&deployment.policy.adaptation)
        .map_err(|problem| problem.below("policy.adaptation"))
}

fn check_process(process: &ProcessSettings) -> Result<(), SettingsError> {
    fleet::check_name("daemon", process.daemon.as_str())?;
    let mut seen = HashSet::new();
    for (index, peer) in process.peers.iter().enumerate() {
        fleet::check_name(&format!("peers[{index}].daemon"), peer.daemon.as_str())?;
        if !seen.insert(&peer.daemon) {
            return Err(SettingsError::new(
                format!("peers[{index}].daemon"),
                format!("\"{}\"", peer.daemon),
                "names must be unique",
            ));
        }
        if peer.address.port() == 0 {
            return Err(SettingsError::new(
                format!("peers[{index}].address"),
                format!("\"{}\"", peer.address),
                "the port must not be 0",
            ));
        }
    }
    ranges::check_table(&process.table).map_err(|problem| problem.below("table"))?;
    ranges::check_limits(&process.limits).map_err(|problem| problem.below("limits"))?;
    ranges::check_timers(&process.timers).map_err(|problem| problem.below("timers"))
}
