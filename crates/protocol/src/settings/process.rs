//! The `process` member of a settings file.

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
        /// Address of the listener for callers. With port 0 the kernel chooses a free port.
        pub caller_address: net::SocketAddr,
        /// Address of the listener for operators, metrics and health checks.
        pub admin_address: net::SocketAddr,
        /// Address of the listener for other daemons.
        pub peer_address: net::SocketAddr,
        /// Address given to callers, if it differs from `caller_address`.
        #[serde(default)]
        pub advertised_caller_address: Option<net::SocketAddr>,
        /// Address given to other daemons, if it differs from `peer_address`.
        #[serde(default)]
        pub advertised_peer_address: Option<net::SocketAddr>,
        /// Seed peers: daemons to contact first. Other daemons are discovered through them.
        #[serde(default)]
        pub peers: Vec<PeerEntry>,
        /// Connection to the platform's table service.
        pub table: TableSettings,
        /// Address of the platform's object store.
        #[serde(default)]
        pub object_store_address: Option<net::SocketAddr>,
        /// Address of the platform's list of live and leaving hosts.
        #[serde(default)]
        pub host_list_address: Option<net::SocketAddr>,
        /// TLS of the listeners for callers and operators.
        #[serde(default)]
        pub tls: Option<TlsSettings>,
        /// Size and count limits.
        #[serde(default)]
        pub limits: LimitSettings,
        /// Intervals and timeouts.
        #[serde(default)]
        pub timers: TimerSettings,
        /// Severity and destination of log lines.
        #[serde(default)]
        pub log: LogSettings,
    }
);

value_type!(
    /// A seed peer.
    pub struct PeerEntry {
        /// Name of the daemon.
        pub daemon: ids::DaemonId,
        /// Address of its listener for other daemons.
        pub address: net::SocketAddr,
    }
);

value_type!(
    /// Connection to the platform's table service.
    pub struct TableSettings {
        /// Address of the service.
        pub address: net::SocketAddr,
        /// Name of the table.
        #[serde(default = "default_table_name")]
        pub name: String,
        /// Timeout of one call, in milliseconds.
        #[serde(default = "default_table_timeout_ms")]
        pub timeout_ms: u64,
        /// Maximum number of rows in one transaction.
        #[serde(default = "default_batch_rows")]
        pub batch_rows: usize,
        /// Time for which the first row of a batch waits for more rows, in milliseconds.
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
    /// TLS certificate and key of a listener, as PEM files.
    pub struct TlsSettings {
        /// File with the certificate chain.
        pub certificate_file: path::PathBuf,
        /// File with the private key.
        pub key_file: path::PathBuf,
    }
);

value_type!(
    /// Size and count limits of one daemon.
    #[serde(default)]
    pub struct LimitSettings {
        /// Maximum size of a request body, in bytes.
        pub max_body_bytes: usize,
        /// Maximum size of a request head, in bytes.
        pub max_header_bytes: usize,
        /// Maximum number of open connections from callers.
        pub max_connections: usize,
        /// Maximum number of requests waiting for a target, per model.
        pub max_queued_requests: usize,
        /// Maximum number of attempts per request.
        pub max_attempts: u32,
        /// Retry budget: retries per 100 requests, over all requests of the daemon.
        pub retry_percent: u32,
        /// Maximum total size of the responses kept for callers that fetch them later, in bytes.
        pub answer_buffer_bytes: usize,
        /// Memory of the process, in bytes. Bodies of requests may take a quarter of it, or as much
        /// as one completion of `max_body_bytes` needs. Bodies of responses may take another quarter until
        /// their callers have read them.
        pub memory_bytes: usize,
        /// Worker threads that handle requests; 0 means one per core.
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
            memory_bytes: 128 << 20,
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
        /// Time without a heartbeat after which a daemon is no longer given to callers.
        pub suspect_after_ms: u64,
        /// Time without a heartbeat after which a daemon is removed from the member table.
        pub dead_after_ms: u64,
        /// Time after which a lease that was not renewed may be taken over.
        pub lease_ttl_ms: u64,
        /// Time between two renewals of a lease.
        pub lease_renewal_ms: u64,
        /// Safety margin: how long before the expiry of its lease a holder stops acting on it.
        pub lease_margin_ms: u64,
        /// Time between two polls of a target by the daemon that owns it.
        pub target_poll_ms: u64,
        /// Time for which a daemon does not use a target after a failed connection attempt.
        pub target_backoff_ms: u64,
        /// Time between two polls of the host list.
        pub host_list_poll_ms: u64,
        /// Time between two reads of the configuration's version in the table.
        pub config_poll_ms: u64,
        /// Timeout for connecting to a target or a peer.
        pub connect_timeout_ms: u64,
        /// Timeout for the first byte of a response from a target.
        pub first_byte_timeout_ms: u64,
        /// Longest allowed time between two reads of a response from a target.
        pub idle_timeout_ms: u64,
        /// Longest allowed time between two reads of the body of a request.
        pub body_timeout_ms: u64,
        /// Timeout of a request that sets none.
        pub default_request_timeout_ms: u64,
        /// Time for which callers may cache the list of daemon addresses.
        pub address_lifetime_ms: u64,
        /// Time for which responses are kept for callers that fetch them later.
        pub answer_lifetime_ms: u64,
        /// Time after which a shutdown aborts the requests that are still running.
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
            body_timeout_ms: 10_000,
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
        /// Lowest severity that is written.
        pub level: LogLevel,
        /// File to append to; standard error if absent.
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
        /// Failures that need action by an operator.
        Error,
        /// Failures that the system handles by itself.
        Warn,
        /// State changes.
        Info,
        /// One line per request.
        Debug,
        /// One line per message.
        Trace,
    }
);
