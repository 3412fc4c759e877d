//! Preset deployments, with the sizes of today's users.

use std::net;

use acaciabank_protocol::{ids, settings};

use super::{Fleet, FleetSpec};

/// The only region of the preset deployments.
const REGION: &str = "home";

/// Parameters of a preset deployment.
struct PresetParams<'a> {
    zones: &'a [&'a str],
    one_way_us: u32,
    model: &'a str,
    engines: usize,
    service: &'a str,
    /// Path prefix of the service's non-idempotent POST requests.
    non_idempotent_prefix: &'a str,
}

/// Placeholder for addresses that are assigned when the fleet starts.
const UNASSIGNED: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), 0);

impl PresetParams<'_> {
    fn deployment(&self) -> settings::Deployment {
        let zone_ids = || self.zones.iter().map(|zone| ids::ZoneId::from(*zone));
        let zone_of = |number: usize| ids::ZoneId::from(self.zones[number % self.zones.len()]);
        let engine = |number: usize| settings::EngineEntry {
            name: ids::TargetId::new(format!("{}-{number}", self.model)),
            host: ids::HostId::new(format!("host-{}-{number}", self.model)),
            address: UNASSIGNED,
            model: ids::ModelId::from(self.model),
            role: settings::EngineRole::Mixed,
            slots: 32,
            fencing: settings::FencingSupport::Checked,
            admin_idle_close_ms: None,
        };
        let instance = |number: usize| settings::ServiceInstance {
            name: ids::TargetId::new(format!("{}-{number}", self.service)),
            host: ids::HostId::new(format!("host-{}-{number}", self.service)),
            address: UNASSIGNED,
            slots: 32,
        };
        let host = |kind: &str, number: usize| settings::HostEntry {
            name: ids::HostId::new(format!("host-{kind}-{number}")),
            zone: zone_of(number),
        };
        let mut distances = Vec::new();
        for (index, from) in self.zones.iter().enumerate() {
            for to in &self.zones[index + 1..] {
                distances.push(settings::ZoneDistance {
                    from: ids::ZoneId::from(*from),
                    to: ids::ZoneId::from(*to),
                    one_way_us: self.one_way_us,
                });
            }
        }
        let engine_hosts = (0..self.engines).map(|number| host(self.model, number));
        let service_hosts = (0..3).map(|number| host(self.service, number));
        settings::Deployment {
            regions: vec![settings::RegionEntry {
                name: ids::RegionId::from(REGION),
                zones: zone_ids().collect(),
            }],
            distances,
            hosts: engine_hosts.chain(service_hosts).collect(),
            models: vec![settings::ModelEntry {
                name: ids::ModelId::from(self.model),
                version: "1".to_owned(),
                adapters: Vec::new(),
                piece_tokens: 100,
            }],
            engines: (0..self.engines).map(engine).collect(),
            services: vec![settings::ServiceEntry {
                name: ids::ServiceId::from(self.service),
                instances: (0..3).map(instance).collect(),
            }],
            teams: Vec::new(),
            operators: Vec::new(),
            rules: settings::Rules {
                never_repeat: vec![settings::NonIdempotentRule {
                    service: Some(ids::ServiceId::from(self.service)),
                    model: None,
                    method: Some("POST".to_owned()),
                    path_prefix: Some(self.non_idempotent_prefix.to_owned()),
                }],
                ..settings::Rules::default()
            },
            policy: settings::Policy::default(),
        }
    }
}

impl Fleet {
    /// Preset of Pemberton & Daughters: seven daemons in three zones of Perth, 12 drafting engines
    /// and 3 ledger instances.
    pub fn pemberton() -> FleetSpec {
        let preset = PresetParams {
            zones: &["perth-a", "perth-b", "perth-c"],
            one_way_us: 1_500,
            model: "drafting",
            engines: 12,
            service: "ledger",
            non_idempotent_prefix: "/notices",
        };
        FleetSpec::new(preset.deployment(), 7)
    }

    /// Preset of Nile Delta Earthing Testers: seven daemons in three zones, 9 sheet engines and 3
    /// registry instances.
    pub fn nile_delta() -> FleetSpec {
        let preset = PresetParams {
            zones: &["tanta", "mansoura", "zagazig"],
            one_way_us: 950,
            model: "sheets",
            engines: 9,
            service: "registry",
            non_idempotent_prefix: "/certificates",
        };
        FleetSpec::new(preset.deployment(), 7)
    }
}
