//! Parsing and validation of settings. Nothing is started with invalid settings.

use std::{collections::HashSet, fmt};

use super::{Deployment, ProcessSettings, Settings, deployment_check, duplicate_key, ranges};

/// An invalid value in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Path of the value, such as `deployment.engines[3].host`; `$` for the whole file.
    pub path: String,
    /// The value as JSON, or a description of what was found.
    pub value: String,
    /// What is allowed at the path.
    pub allowed: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}; {}", self.path, self.value, self.allowed)
    }
}

impl SettingsError {
    /// Creates an error for the value at a path.
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

    /// Prefixes the path with the path of the parent object.
    fn with_parent(mut self, parent: &str) -> Self {
        self.path = format!("{parent}.{}", self.path);
        self
    }
}

/// Parses and checks a settings file.
///
/// # Errors
///
/// Returns a [`SettingsError`] for the first invalid value.
pub fn parse(text: &str) -> Result<Settings, SettingsError> {
    let settings: Settings = parse_document(text)?;
    check(&settings)?;
    Ok(settings)
}

/// Parses and checks a deployment.
///
/// # Errors
///
/// Returns a [`SettingsError`] for the first invalid value.
pub fn parse_deployment(text: &str) -> Result<Deployment, SettingsError> {
    let deployment: Deployment = parse_document(text)?;
    check_deployment(&deployment)?;
    Ok(deployment)
}

fn parse_document<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, SettingsError> {
    let document: serde_json::Value = serde_json::from_str(text)
        .map_err(|error| SettingsError::new("$", "not JSON", format!("expected JSON: {error}")))?;
    if let Some(path) = duplicate_key::find_duplicate_key(text) {
        return Err(SettingsError::new(
            path,
            "given twice",
            "each key must be unique within its object",
        ));
    }
    serde_path_to_error::deserialize(&document).map_err(|error| {
        let path = error.path().to_string();
        let value = describe_value(&document, error.path());
        SettingsError::new(if path == "." { "$".to_owned() } else { path }, value, {
            error.inner().to_string()
        })
    })
}

/// Maximum length of an invalid value in an error message, in characters.
const MAX_VALUE_CHARS: usize = 120;

/// Describes the value at a path, or its nearest existing ancestor if the path does not exist.
fn describe_value(document: &serde_json::Value, path: &serde_path_to_error::Path) -> String {
    use serde_path_to_error::Segment;
    let mut value = document;
    for segment in path {
        let child = match segment {
            Segment::Seq { index } => value.get(index),
            Segment::Map { key } => value.get(key),
            Segment::Enum { variant } => value.get(variant),
            Segment::Unknown => None,
        };
        match child {
            Some(child) => value = child,
            None => break,
        }
    }
    match value {
        serde_json::Value::Object(_) => "an object".to_owned(),
        serde_json::Value::Array(_) => "an array".to_owned(),
        scalar => scalar.to_string().chars().take(MAX_VALUE_CHARS).collect(),
    }
}

/// Checks what the types cannot express: references between entries, uniqueness and ranges.
///
/// # Errors
///
/// Returns a [`SettingsError`] for the first invalid value.
pub fn check(settings: &Settings) -> Result<(), SettingsError> {
    check_process(&settings.process).map_err(|error| error.with_parent("process"))?;
    check_deployment(&settings.deployment).map_err(|error| error.with_parent("deployment"))?;
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

/// Checks a deployment without its process. Paths in errors are relative to the deployment.
///
/// # Errors
///
/// Returns a [`SettingsError`] for the first invalid value.
pub fn check_deployment(deployment: &Deployment) -> Result<(), SettingsError> {
    deployment_check::check_inventory(deployment)?;
    deployment_check::check_access(deployment)?;
    deployment_check::check_rules(deployment)?;
    ranges::check_adaptation(&deployment.policy.adaptation)
        .map_err(|error| error.with_parent("policy.adaptation"))
}

fn check_process(process: &ProcessSettings) -> Result<(), SettingsError> {
    deployment_check::check_name("daemon", process.daemon.as_str())?;
    let mut seen_daemons = HashSet::new();
    for (index, peer) in process.peers.iter().enumerate() {
        deployment_check::check_name(&format!("peers[{index}].daemon"), peer.daemon.as_str())?;
        if !seen_daemons.insert(&peer.daemon) {
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
    ranges::check_table(&process.table).map_err(|error| error.with_parent("table"))?;
    ranges::check_limits(&process.limits).map_err(|error| error.with_parent("limits"))?;
    ranges::check_timers(&process.timers).map_err(|error| error.with_parent("timers"))
}
