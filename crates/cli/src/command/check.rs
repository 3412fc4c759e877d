//! `acaciabank check`: validates a settings file.

use std::{fs, path};

use acaciabank_protocol::settings;

use crate::error::{Error, Result};

/// Validates a settings file and prints a summary of it.
pub(super) fn check(file: &path::Path) -> Result<()> {
    let settings = read_settings(file)?;
    let deployment = &settings.deployment;
    let instances: usize = deployment
        .services
        .iter()
        .map(|service| service.instances.len())
        .sum();
    println!(
        "{}: valid; daemon {}, {} engines, {} models, {} service instances, {} teams",
        file.display(),
        settings.process.daemon,
        deployment.engines.len(),
        deployment.models.len(),
        instances,
        deployment.teams.len(),
    );
    Ok(())
}

fn read_settings(file: &path::Path) -> Result<settings::Settings> {
    let text = read_text(file)?;
    settings::parse(&text).map_err(|problem| Error::Settings {
        file: file.display().to_string(),
        problem,
    })
}

/// Reads a file as UTF-8 text.
pub(super) fn read_text(file: &path::Path) -> Result<String> {
    fs::read_to_string(file).map_err(|source| Error::File {
        file: file.display().to_string(),
        source,
    })
}
