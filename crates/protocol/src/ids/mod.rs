//! Identifiers that are exchanged between processes.

use crate::id_type;

id_type!(
    /// Name of a daemon, unique in the deployment.
    DaemonId
);
id_type!(
    /// Name of a target: an engine or one instance of a plain service.
    TargetId
);
id_type!(
    /// Name of a host.
    HostId
);
id_type!(
    /// Name of an availability zone.
    ZoneId
);
id_type!(
    /// Name of a region.
    RegionId
);
id_type!(
    /// Name of a model.
    ModelId
);
id_type!(
    /// Name of a plain service.
    ServiceId
);
id_type!(
    /// Name of a team of callers.
    TeamId
);
id_type!(
    /// Id of a request, `<daemon>-<128 random bits as hex>`. A look-up by id is routed to the
    /// daemon that the prefix names.
    RequestId
);
id_type!(
    /// Id of one attempt of a request, `<request id>.<attempt number>`.
    AttemptId
);
id_type!(
    /// Id of one write to the table service. It is stored in the row, so that a writer that lost
    /// the response can tell whether its write was applied.
    OperationId
);
id_type!(
    /// Id of an order: a command to an engine to change its role, models or adapters.
    OrderId
);

impl RequestId {
    /// Returns the name of the daemon that issued the id, or `None` if the id has no such prefix.
    pub fn daemon(&self) -> Option<&str> {
        self.as_str().rsplit_once('-').map(|(daemon, _)| daemon)
    }

    /// Returns the id of the attempt with the given number.
    pub fn attempt(&self, number: u32) -> AttemptId {
        AttemptId::new(format!("{self}.{number}"))
    }
}

/// Returns the 32-bit hash that stands for a target's name in messages between daemons.
pub fn target_hash(target: &TargetId) -> u32 {
    xxhash_rust::xxh3::xxh3_64(target.as_str().as_bytes()) as u32
}
