//! Checks of settings before anything starts.

use std::fmt;

use super::Settings;

/// One fault in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// JSON path of the value, such as `deployment.engines[3].host`.
    pub path: String,
    /// The value as JSON, or the text at fault.
    pub value: String,
    /// What is allowed there.
    pub allowed: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}: {}", self.path, self.value, self.allowed)
    }
}

/// Reads and checks a whole settings file.
///
/// # Errors
///
/// Returns the first fault found.
pub fn parse(text: &str) -> Result<Settings, Problem> {
    let deserializer = &mut serde_json::Deserializer::from_str(text);
    let settings: Settings =
        serde_path_to_error::deserialize(deserializer).map_err(|error| Problem {
            path: error.path().to_string(),
            value: "invalid".to_owned(),
            allowed: error.inner().to_string(),
        })?;
    check(&settings)?;
    Ok(settings)
}

/// Checks what the types cannot express: references between entries, uniqueness, ranges.
///
/// # Errors
///
/// Returns the first fault found.
pub fn check(_settings: &Settings) -> Result<(), Problem> {
    Ok(())
}
