//! Look-up tables of one configuration version: keys, models, services and rules.

use std::{collections::HashMap, sync};

use acaciabank_protocol::{
    ids,
    reason::{Refusal, RefusalReason},
    settings::Deployment,
    wire::Priority,
};
use hyper::{HeaderMap, Method, header};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use super::parse;
use crate::config;

/// Team of callers when no teams are configured.
pub const DEFAULT_TEAM: &str = "default";
/// Operator when no operators are configured.
pub const LOCAL_OPERATOR: &str = "local";

type KeyDigest = [u8; 32];

/// Owners of API keys, by the SHA-256 of the key.
#[derive(Debug, Default)]
pub struct ApiKeyTable {
    buckets: HashMap<u64, Vec<(KeyDigest, usize)>>,
}

impl ApiKeyTable {
    /// Adds a digest given as 64 hexadecimal digits. Returns whether it was valid.
    pub fn insert(&mut self, key_sha256: &str, owner: usize) -> bool {
        let Some(digest) = parse::parse_digest(key_sha256) else {
            return false;
        };
        let bucket = self.buckets.entry(bucket_key(&digest)).or_default();
        bucket.push((digest, owner));
        true
    }

    /// Returns the owner of a key. Only the hash of the key selects the bucket, and digests are
    /// compared in constant time, so that response times reveal nothing about stored keys.
    pub fn find(&self, key: &str) -> Option<usize> {
        let digest: KeyDigest = Sha256::digest(key.as_bytes()).into();
        let bucket = self.buckets.get(&bucket_key(&digest))?;
        let mut found = None;
        for (known, owner) in bucket {
            if bool::from(known[..].ct_eq(&digest[..])) {
                found = Some(*owner);
            }
        }
        found
    }
}

fn bucket_key(digest: &KeyDigest) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(first)
}

/// What a request calls, for matching against rules.
#[derive(Clone, Copy, Debug)]
pub enum RuleSubject<'request> {
    /// A completion.
    Model(&'request ids::ModelId),
    /// A call to a service.
    Service {
        /// The called service.
        service: &'request ids::ServiceId,
        /// HTTP method of the request.
        method: &'request Method,
        /// Path below the service, without the query.
        path: &'request str,
    },
}

/// A configuration version with its look-up tables.
#[derive(Debug)]
pub struct AccessTable {
    /// The configuration that the tables were built from.
    pub config: sync::Arc<config::ConfigVersion>,
    team_keys: ApiKeyTable,
    operator_keys: ApiKeyTable,
    teams: HashMap<ids::TeamId, usize>,
    models: HashMap<ids::ModelId, usize>,
    services: HashMap<ids::ServiceId, usize>,
}

impl AccessTable {
    /// Builds the look-up tables. Logs and skips key digests that are not valid.
    pub fn new(config: sync::Arc<config::ConfigVersion>) -> Self {
        let deployment = &config.deployment;
        let mut team_keys = ApiKeyTable::default();
        let mut operator_keys = ApiKeyTable::default();
        for (index, team) in deployment.teams.iter().enumerate() {
            for key in &team.key_sha256 {
                if !team_keys.insert(key, index) {
                    log::warn!(
                        team = team.name.as_str();
                        "ignored a key_sha256 that is not 64 hexadecimal digits"
                    );
                }
            }
        }
        for (index, operator) in deployment.operators.iter().enumerate() {
            for key in &operator.key_sha256 {
                if !operator_keys.insert(key, index) {
                    log::warn!(
                        operator = operator.name.as_str();
                        "ignored a key_sha256 that is not 64 hexadecimal digits"
                    );
                }
            }
        }
        Self {
            team_keys,
            operator_keys,
            teams: index_by_name(deployment.teams.iter().map(|team| &team.name)),
            models: index_by_name(deployment.models.iter().map(|model| &model.name)),
            services: index_by_name(deployment.services.iter().map(|service| &service.name)),
            config,
        }
    }

    fn deployment(&self) -> &Deployment {
        &self.config.deployment
    }

    /// Returns the team that a request authenticates as, or [`DEFAULT_TEAM`] when no teams are
    /// configured.
    ///
    /// # Errors
    ///
    /// `unauthorized` when teams are configured and the key belongs to none.
    pub fn team(&self, headers: &HeaderMap) -> Result<ids::TeamId, Refusal> {
        if self.deployment().teams.is_empty() {
            return Ok(ids::TeamId::from(DEFAULT_TEAM));
        }
        let index = bearer_key(headers).and_then(|key| self.team_keys.find(key));
        let index = index.ok_or_else(unauthorized)?;
        Ok(self.deployment().teams[index].name.clone())
    }

    /// Returns the operator that a request authenticates as, or [`LOCAL_OPERATOR`] when no
    /// operators are configured.
    ///
    /// # Errors
    ///
    /// `unauthorized` when operators are configured and the key belongs to none.
    pub fn operator(&self, headers: &HeaderMap) -> Result<String, Refusal> {
        if self.deployment().operators.is_empty() {
            return Ok(LOCAL_OPERATOR.to_owned());
        }
        let index = bearer_key(headers).and_then(|key| self.operator_keys.find(key));
        let index = index.ok_or_else(unauthorized)?;
        Ok(self.deployment().operators[index].name.clone())
    }

    /// Resolves `model` or `model:adapter` to the model.
    ///
    /// # Errors
    ///
    /// `unknown_model` when the inventory lacks the model or the adapter.
    pub fn model(&self, name: &str) -> Result<ids::ModelId, Refusal> {
        if let Some((model, _)) = self.models.get_key_value(name) {
            return Ok(model.clone());
        }
        let known = name.rsplit_once(':').and_then(|(model, adapter)| {
            let index = *self.models.get(model)?;
            let spec = &self.deployment().models[index];
            let has_adapter = spec.adapters.iter().any(|name| name == adapter);
            has_adapter.then(|| spec.name.clone())
        });
        known.ok_or_else(|| {
            let message = format!("no model {name:?} in the inventory");
            Refusal::not_run(RefusalReason::UnknownModel, message)
        })
    }

    /// Resolves the name of a service.
    ///
    /// # Errors
    ///
    /// `unknown_service` when the inventory lacks it.
    pub fn service(&self, name: &str) -> Result<ids::ServiceId, Refusal> {
        let known = self.services.get_key_value(name);
        known.map(|(service, _)| service.clone()).ok_or_else(|| {
            let message = format!("no service {name:?} in the inventory");
            Refusal::not_run(RefusalReason::UnknownService, message)
        })
    }

    /// Returns the priority of a request. A matching `urgent` rule overrides the header.
    ///
    /// # Errors
    ///
    /// `forbidden` when the header asks for `urgent` and the team may not send urgent requests.
    pub fn priority(
        &self,
        requested: Option<Priority>,
        team: &ids::TeamId,
        subject: RuleSubject<'_>,
    ) -> Result<Priority, Refusal> {
        let rules = &self.deployment().rules.urgent;
        let is_urgent = rules.iter().any(|rule| {
            let (model, service) = match subject {
                RuleSubject::Model(model) => (Some(model), None),
                RuleSubject::Service { service, .. } => (None, Some(service)),
            };
            rule.team.as_ref().is_none_or(|wanted| wanted == team)
                && rule
                    .model
                    .as_ref()
                    .is_none_or(|wanted| Some(wanted) == model)
                && rule
                    .service
                    .as_ref()
                    .is_none_or(|wanted| Some(wanted) == service)
        });
        if is_urgent {
            return Ok(Priority::Urgent);
        }
        let entry = self
            .teams
            .get(team)
            .map(|index| &self.deployment().teams[*index]);
        if requested == Some(Priority::Urgent) && entry.is_some_and(|team| !team.urgent_allowed) {
            let message = format!("team {team} may not send urgent requests");
            return Err(Refusal::not_run(RefusalReason::Forbidden, message));
        }
        Ok(requested.unwrap_or_default())
    }

    /// Whether a `never_repeat` rule marks a request as non-idempotent.
    pub fn is_non_idempotent(&self, subject: RuleSubject<'_>) -> bool {
        let rules = &self.deployment().rules.never_repeat;
        rules.iter().any(|rule| match subject {
            RuleSubject::Model(model) => {
                // A rule with a path or a service applies to service calls only.
                rule.service.is_none()
                    && rule.path_prefix.is_none()
                    && rule.model.as_ref().is_none_or(|wanted| wanted == model)
                    && rule
                        .method
                        .as_ref()
                        .is_none_or(|wanted| wanted.eq_ignore_ascii_case("POST"))
            }
            RuleSubject::Service {
                service,
                method,
                path,
            } => {
                let matches_prefix = |prefix: &String| {
                    // An instance may treat `/a//b` or `/%61/b` like `/a/b`, so a request must not
                    // evade the rule by such a form.
                    path.starts_with(prefix.as_str())
                        || parse::normalize_path(path).starts_with(prefix.as_str())
                };
                rule.model.is_none()
                    && rule.service.as_ref().is_none_or(|wanted| wanted == service)
                    && rule
                        .method
                        .as_ref()
                        .is_none_or(|wanted| wanted.eq_ignore_ascii_case(method.as_str()))
                    && rule.path_prefix.as_ref().is_none_or(matches_prefix)
            }
        })
    }
}

fn index_by_name<'table, Id>(names: impl Iterator<Item = &'table Id>) -> HashMap<Id, usize>
where
    Id: Clone + Eq + std::hash::Hash + 'table,
{
    names
        .enumerate()
        .map(|(index, name)| (name.clone(), index))
        .collect()
}

/// Returns the key of the header `authorization: Bearer KEY`.
pub fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then_some(key.trim_matches(' '))
}

fn unauthorized() -> Refusal {
    Refusal::not_run(RefusalReason::Unauthorized, "no valid key")
}
