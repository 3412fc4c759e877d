//! Identifiers that cross a process boundary.

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
    /// Request id, `<daemon>-<128 random bits as hex>`; the daemon part routes look-ups.
    RequestId
);
id_type!(
    /// Attempt id, `<request id>.<attempt number>`.
    AttemptId
);
id_type!(
    /// Id of one write to the table service; a writer finds it again after a lost answer.
    OperationId
);
id_type!(
    /// Id of an order to a target.
    OrderId
);

impl RequestId {
    /// Name of the daemon that issued the id, or `None` when the id has another form.
    pub fn daemon(&self) -> Option<&str> {
        self.as_str().rsplit_once('-').map(|(daemon, _)| daemon)
    }

    /// Id of the attempt with the given number.
    pub fn attempt(&self, number: u32) -> AttemptId {
        AttemptId::new(format!("{self}.{number}"))
    }
}

/// Short form of a target's name in messages between daemons.
pub fn target_hash(target: &TargetId) -> u32 {
    xxhash_rust::xxh3::xxh3_64(target.as_str().as_bytes()) as u32
}
