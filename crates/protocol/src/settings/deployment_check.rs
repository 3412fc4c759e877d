//! Validation of a deployment: names, references between entries, addresses, keys and ranges.

use std::{
    collections::{HashMap, HashSet},
    net,
};

use super::{Deployment, EngineEntry, FencingSupport, SettingsError};

/// Maximum length of a name, in bytes. Names are used in URL paths, log lines and row keys.
const MAX_NAME_BYTES: usize = 64;

pub(super) fn check_name(path: &str, name: &str) -> Result<(), SettingsError> {
    let is_valid = !name.is_empty()
        && name.len() <= MAX_NAME_BYTES
        && name
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
    if is_valid {
        return Ok(());
    }
    let allowed = "must be 1 to 64 letters, digits, '-', '_' or '.'";
    Err(SettingsError::new(path, format!("{name:?}"), allowed))
}

/// Names of one kind of entry, each with the path of its first definition.
#[derive(Default)]
struct NameTable<'a>(HashMap<&'a str, String>);

impl<'a> NameTable<'a> {
    /// Adds a name; fails if it is malformed or already defined.
    fn insert(&mut self, path: String, name: &'a str) -> Result<(), SettingsError> {
        check_name(&path, name)?;
        match self.0.get(name) {
            Some(first) => Err(SettingsError::new(
                path,
                format!("{name:?}"),
                format!("names must be unique; first used at {first}"),
            )),
            None => {
                self.0.insert(name, path);
                Ok(())
            }
        }
    }

    /// Checks that a referenced name is defined.
    fn require(
        &self,
        path: impl Into<String>,
        name: &str,
        kind: &str,
    ) -> Result<(), SettingsError> {
        if self.0.contains_key(name) {
            return Ok(());
        }
        Err(SettingsError::new(
            path,
            format!("{name:?}"),
            format!("must be the name of a {kind}"),
        ))
    }
}

pub(super) fn check_inventory(deployment: &Deployment) -> Result<(), SettingsError> {
    let zones = check_regions(deployment)?;
    let mut hosts = NameTable::default();
    for (index, host) in deployment.hosts.iter().enumerate() {
        hosts.insert(format!("hosts[{index}].name"), host.name.as_str())?;
        zones.require(format!("hosts[{index}].zone"), host.zone.as_str(), "zone")?;
    }
    let models = check_models(deployment)?;
    let mut targets = NameTable::default();
    let mut addresses = HashMap::new();
    for (index, engine) in deployment.engines.iter().enumerate() {
        let path = format!("engines[{index}]");
        targets.insert(format!("{path}.name"), engine.name.as_str())?;
        hosts.require(format!("{path}.host"), engine.host.as_str(), "host")?;
        models.require(format!("{path}.model"), engine.model.as_str(), "model")?;
        check_address(&path, engine.address, &mut addresses)?;
        check_slots(&path, engine.slots)?;
        check_fencing(&path, engine)?;
    }
    let mut services = NameTable::default();
    for (index, service) in deployment.services.iter().enumerate() {
        services.insert(format!("services[{index}].name"), service.name.as_str())?;
        for (instance_index, instance) in service.instances.iter().enumerate() {
            let path = format!("services[{index}].instances[{instance_index}]");
            targets.insert(format!("{path}.name"), instance.name.as_str())?;
            hosts.require(format!("{path}.host"), instance.host.as_str(), "host")?;
            check_address(&path, instance.address, &mut addresses)?;
            check_slots(&path, instance.slots)?;
        }
    }
    Ok(())
}

fn check_regions(deployment: &Deployment) -> Result<NameTable<'_>, SettingsError> {
    if deployment.regions.is_empty() {
        return Err(SettingsError::new(
            "regions",
            "[]",
            "must name at least one region",
        ));
    }
    let mut regions = NameTable::default();
    let mut zones = NameTable::default();
    for (index, region) in deployment.regions.iter().enumerate() {
        regions.insert(format!("regions[{index}].name"), region.name.as_str())?;
        if region.zones.is_empty() {
            let path = format!("regions[{index}].zones");
            return Err(SettingsError::new(
                path,
                "[]",
                "must name at least one zone",
            ));
        }
        for (zone_index, zone) in region.zones.iter().enumerate() {
            zones.insert(
                format!("regions[{index}].zones[{zone_index}]"),
                zone.as_str(),
            )?;
        }
    }
    for (index, distance) in deployment.distances.iter().enumerate() {
        zones.require(
            format!("distances[{index}].from"),
            distance.from.as_str(),
            "zone",
        )?;
        zones.require(
            format!("distances[{index}].to"),
            distance.to.as_str(),
            "zone",
        )?;
    }
    Ok(zones)
}

fn check_models(deployment: &Deployment) -> Result<NameTable<'_>, SettingsError> {
    let mut models = NameTable::default();
    for (index, model) in deployment.models.iter().enumerate() {
        models.insert(format!("models[{index}].name"), model.name.as_str())?;
        check_name(&format!("models[{index}].version"), &model.version)?;
        let mut adapters = NameTable::default();
        for (adapter_index, adapter) in model.adapters.iter().enumerate() {
            adapters.insert(
                format!("models[{index}].adapters[{adapter_index}]"),
                adapter,
            )?;
        }
        if model.piece_tokens == 0 {
            let path = format!("models[{index}].piece_tokens");
            return Err(SettingsError::new(path, 0, "must be at least 1"));
        }
    }
    Ok(models)
}

fn check_address(
    path: &str,
    address: net::SocketAddr,
    seen_addresses: &mut HashMap<net::SocketAddr, String>,
) -> Result<(), SettingsError> {
    let path = format!("{path}.address");
    let value = format!("\"{address}\"");
    if address.port() == 0 {
        return Err(SettingsError::new(path, value, "the port must not be 0"));
    }
    if let Some(first) = seen_addresses.get(&address) {
        let allowed = format!("addresses must be unique; first used at {first}");
        return Err(SettingsError::new(path, value, allowed));
    }
    seen_addresses.insert(address, path);
    Ok(())
}

fn check_slots(path: &str, slots: u32) -> Result<(), SettingsError> {
    if (1..=100_000).contains(&slots) {
        return Ok(());
    }
    Err(SettingsError::new(
        format!("{path}.slots"),
        slots,
        "must be from 1 to 100000",
    ))
}

fn check_fencing(path: &str, engine: &EngineEntry) -> Result<(), SettingsError> {
    let path = format!("{path}.admin_idle_close_ms");
    match (engine.fencing, engine.admin_idle_close_ms) {
        (FencingSupport::Ignored, Some(idle_ms)) if !(100..=600_000).contains(&idle_ms) => Err(
            SettingsError::new(path, idle_ms, "must be from 100 to 600000"),
        ),
        (FencingSupport::Checked, Some(idle_ms)) => Err(SettingsError::new(
            path,
            idle_ms,
            "only for engines whose `fencing` is \"ignored\"; leave it out",
        )),
        _ => Ok(()),
    }
}

pub(super) fn check_access(deployment: &Deployment) -> Result<(), SettingsError> {
    let mut teams = NameTable::default();
    let mut seen_keys = HashSet::new();
    for (index, team) in deployment.teams.iter().enumerate() {
        teams.insert(format!("teams[{index}].name"), team.name.as_str())?;
        check_keys(&format!("teams[{index}]"), &team.key_sha256, &mut seen_keys)?;
        if !(1..=1_000).contains(&team.weight) {
            let path = format!("teams[{index}].weight");
            return Err(SettingsError::new(
                path,
                team.weight,
                "must be from 1 to 1000",
            ));
        }
    }
    let mut operators = NameTable::default();
    let mut seen_keys = HashSet::new();
    for (index, operator) in deployment.operators.iter().enumerate() {
        operators.insert(format!("operators[{index}].name"), &operator.name)?;
        check_keys(
            &format!("operators[{index}]"),
            &operator.key_sha256,
            &mut seen_keys,
        )?;
    }
    Ok(())
}

fn check_keys<'a>(
    path: &str,
    hashes: &'a [String],
    seen_hashes: &mut HashSet<&'a str>,
) -> Result<(), SettingsError> {
    for (index, hash) in hashes.iter().enumerate() {
        let path = format!("{path}.key_sha256[{index}]");
        let is_lower_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if hash.len() != 64 || !hash.bytes().all(is_lower_hex) {
            let allowed = "must be 64 lowercase hexadecimal digits, the SHA-256 of a key";
            return Err(SettingsError::new(path, format!("{hash:?}"), allowed));
        }
        if !seen_hashes.insert(hash) {
            return Err(SettingsError::new(
                path,
                format!("{hash:?}"),
                "a key belongs to one owner only",
            ));
        }
    }
    Ok(())
}

pub(super) fn check_rules(deployment: &Deployment) -> Result<(), SettingsError> {
    let services: HashSet<&str> = deployment
        .services
        .iter()
        .map(|service| service.name.as_str())
        .collect();
    let models: HashSet<&str> = deployment
        .models
        .iter()
        .map(|model| model.name.as_str())
        .collect();
    let teams: HashSet<&str> = deployment
        .teams
        .iter()
        .map(|team| team.name.as_str())
        .collect();
    let require = |path: String, name: Option<&str>, names: &HashSet<&str>, kind: &str| match name {
        Some(name) if !names.contains(name) => Err(SettingsError::new(
            path,
            format!("{name:?}"),
            format!("must be the name of a {kind}"),
        )),
        _ => Ok(()),
    };
    for (index, rule) in deployment.rules.urgent.iter().enumerate() {
        let path = format!("rules.urgent[{index}]");
        let team = rule.team.as_ref().map(|team| team.as_str());
        require(format!("{path}.team"), team, &teams, "team")?;
        let model = rule.model.as_ref().map(|model| model.as_str());
        require(format!("{path}.model"), model, &models, "model")?;
        let service = rule.service.as_ref().map(|service| service.as_str());
        require(format!("{path}.service"), service, &services, "service")?;
    }
    for (index, rule) in deployment.rules.never_repeat.iter().enumerate() {
        let path = format!("rules.never_repeat[{index}]");
        let model = rule.model.as_ref().map(|model| model.as_str());
        require(format!("{path}.model"), model, &models, "model")?;
        let service = rule.service.as_ref().map(|service| service.as_str());
        require(format!("{path}.service"), service, &services, "service")?;
        if model.is_none() && service.is_none() {
            return Err(SettingsError::new(
                path,
                "an object",
                "must name a service or a model",
            ));
        }
    }
    let targets: HashSet<&str> = deployment
        .engines
        .iter()
        .map(|engine| engine.name.as_str())
        .chain(deployment.services.iter().flat_map(|service| {
            service
                .instances
                .iter()
                .map(|instance| instance.name.as_str())
        }))
        .collect();
    for (index, target) in deployment.rules.drained.iter().enumerate() {
        require(
            format!("rules.drained[{index}]"),
            Some(target.as_str()),
            &targets,
            "target",
        )?;
    }
    Ok(())
}
