//! Settings of one process.

use std::{net, path};

use crate::{ids, value_type};

value_type!(
    /// Settings of one daemon process.
    pub struct ProcessSettings {
        /// Name of the daemon, unique in the deployment.
        pub daemon: ids::DaemonId,
        /// Region of the daemon.
        pub region: ids::RegionId,
        /// Availability zone of the daemon.
        pub zone: ids::ZoneId,
        /// Listener for callers. Port 0 asks the kernel for a port.
        pub caller_address: net::SocketAddr,
        /// Listener for operators, metrics and health.
        pub admin_address: net::SocketAddr,
        /// Listener for other daemons.
        pub peer_address: net::SocketAddr,
        /// Address named to callers, when it differs from `caller_address`.
        #[serde(default)]
        pub advertised_caller_address: Option<net::SocketAddr>,
        /// Address named to peers, when it differs from `peer_address`.
        #[serde(default)]
        pub advertised_peer_address: Option<net::SocketAddr>,
        /// Daemons to contact first; others are learned from them.
        #[serde(default)]
        pub peers: Vec<PeerEntry>,
        /// The platform's table service.
        pub table: TableSettings,
        /// The platform's object store.
        #[serde(default)]
        pub object_store_address: Option<net::SocketAddr>,
        /// The platform's list of live and leaving hosts.
        #[serde(default)]
        pub host_list_address: Option<net::SocketAddr>,
        /// TLS of the callers' and operators' listeners.
        #[serde(default)]
        pub tls: Option<TlsSettings>,
        /// Sizes and counts.
        #[serde(default)]
        pub limits: LimitSettings,
        /// Intervals and timeouts.
        #[serde(default)]
        pub timers: TimerSettings,
        /// Log output.
        #[serde(default)]
        pub log: LogSettings,
    }
);

value_type!(
    /// A daemon to contact first.
    pub struct PeerEntry {
        /// Name of the daemon.
        pub daemon: ids::DaemonId,
        /// Its peer address.
        pub address: net::SocketAddr,
    }
);

value_type!(
    /// The platform's table service.
    pub struct TableSettings {
        /// Address of the service.
        pub address: net::SocketAddr,
        /// Name of the table.
        #[serde(default = "default_table_name")]
        pub name: String,
        /// Time after which one call counts as unanswered, in milliseconds.
        #[serde(default = "default_table_timeout_ms")]
        pub timeout_ms: u64,
        /// Rows in one transaction at most.
        #[serde(default = "default_batch_rows")]
        pub batch_rows: usize,
        /// Time that the first row of a batch waits for others, in milliseconds.
        #[serde(default = "default_batch_wait_ms")]
        pub batch_wait_ms: u64,
    }
);

fn default_table_name() -> String {
    "acaciabank".to_owned()
}

fn default_table_timeout_ms() -> u64 {
    1_000
}

fn default_batch_rows() -> usize {
    50
}

fn default_batch_wait_ms() -> u64 {
    4
}

value_type!(
    /// TLS of a listener, PEM files.
    pub struct TlsSettings {
        /// Certificate chain.
        pub certificate_file: path::PathBuf,
        /// Private key.
        pub key_file: path::PathBuf,
    }
);

value_type!(
    /// Sizes and counts of one daemon.
    #[serde(default)]
    pub struct LimitSettings {
        /// Body of a request, in bytes.
        pub max_body_bytes: usize,
        /// Head of a request, in bytes.
        pub max_header_bytes: usize,
        /// Open connections of callers.
        pub max_connections: usize,
        /// Requests waiting for a target, for each model.
        pub max_queued_requests: usize,
        /// Attempts for one request.
        pub max_attempts: u32,
        /// Retries for each 100 requests, over all requests of the daemon.
        pub retry_percent: u32,
        /// Answers kept for late callers, in bytes over all answers.
        pub answer_buffer_bytes: usize,
        /// Worker threads of the request path; 0 takes the number of cores.
        pub worker_threads: usize,
    }
);

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 << 20,
            max_header_bytes: 16 << 10,
            max_connections: 10_000,
            max_queued_requests: 4_000,
            max_attempts: 4,
            retry_percent: 10,
            answer_buffer_bytes: 32 << 20,
            worker_threads: 4,
        }
    }
}

value_type!(
    /// Intervals and timeouts of one daemon, in milliseconds.
    #[serde(default)]
    pub struct TimerSettings {
        /// Time between two gossip rounds.
        pub gossip_interval_ms: u64,
        /// Silence after which a daemon is no longer named to callers.
        pub suspect_after_ms: u64,
        /// Silence after which a daemon is forgotten.
        pub dead_after_ms: u64,
        /// Time after which an unrenewed lease may be taken over.
        pub lease_ttl_ms: u64,
        /// Time between two renewals of a lease.
        pub lease_renewal_ms: u64,
        /// Time by which a holder stops using its lease before the end of its term.
        pub lease_margin_ms: u64,
        /// Time between two polls of a target by its owner.
        pub target_poll_ms: u64,
        /// Time for which a daemon avoids a target that it could not connect to.
        pub target_backoff_ms: u64,
        /// Time between two polls of the host list.
        pub host_list_poll_ms: u64,
        /// Time between two reads of the configuration's version in the table.
        pub config_poll_ms: u64,
        /// Time to connect to a target or a peer.
        pub connect_timeout_ms: u64,
        /// Time to the first byte of an answer from a target.
        pub first_byte_timeout_ms: u64,
        /// Time between two bytes of an answer from a target.
        pub idle_timeout_ms: u64,
        /// Deadline of a request that names none.
        pub default_request_timeout_ms: u64,
        /// Time for which callers may keep the answer about addresses.
        pub address_lifetime_ms: u64,
        /// Time for which answers are kept for late callers.
        pub answer_lifetime_ms: u64,
        /// Time after which a shutdown cuts the requests that are still running.
        pub shutdown_deadline_ms: u64,
    }
);

impl Default for TimerSettings {
    fn default() -> Self {
        Self {
            gossip_interval_ms: 1_000,
            suspect_after_ms: 3_000,
            dead_after_ms: 10_000,
            lease_ttl_ms: 9_000,
            lease_renewal_ms: 3_000,
            lease_margin_ms: 1_000,
            target_poll_ms: 500,
            target_backoff_ms: 2_000,
            host_list_poll_ms: 2_000,
            config_poll_ms: 5_000,
            connect_timeout_ms: 500,
            first_byte_timeout_ms: 60_000,
            idle_timeout_ms: 20_000,
            default_request_timeout_ms: 120_000,
            address_lifetime_ms: 5_000,
            answer_lifetime_ms: 60_000,
            shutdown_deadline_ms: 300_000,
        }
    }
}

value_type!(
    /// Log output of one daemon.
    #[serde(default)]
    pub struct LogSettings {
        /// Least severe level that is written.
        pub level: LogLevel,
        /// File to append to; standard error without one.
        pub file: Option<path::PathBuf>,
    }
);

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LogLevel::Info,
            file: None,
        }
    }
}

value_type!(
    /// Severity of log lines.
    pub enum LogLevel {
        /// Failures that need an operator.
        Error,
        /// Failures that the system handles.
        Warn,
        /// Changes of state.
        Info,
        /// One line a request.
        Debug,
        /// One line a message.
        Trace,
    }
);
