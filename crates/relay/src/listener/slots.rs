//! Bound on the open connections of callers.

use std::{cell::RefCell, rc, sync::Arc, time::Duration};

use slab::Slab;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::{
    connection,
    telemetry::{self, OverloadReason},
};

/// Descriptors of the process that are not for connections: files and the like.
const FILE_DESCRIPTORS: usize = 200;
/// Share of the other descriptors for callers: a half. The rest is for targets, other daemons and the
/// platform.
const CALLER_DIVISOR: usize = 2;
/// Descriptors of that share that are kept free, for connections that are accepted and then closed.
const SPARE_DESCRIPTORS: usize = 4;
/// Share of the memory for connections: a quarter.
const MEMORY_DIVISOR: usize = 4;
/// Memory that a connection may take beside its bodies: 64 KiB in the kernel's receive buffer and
/// 32 KiB in hyper's read buffer.
const CONNECTION_BYTES: usize = 96 << 10;
/// Maximum wait for an idle connection to close.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Returns the maximum number of connections of callers of a process with these descriptors and this
/// memory.
pub fn max_connections(max_descriptors: usize, memory_bytes: usize) -> usize {
    let sockets = max_descriptors.saturating_sub(FILE_DESCRIPTORS);
    let by_descriptors = (sockets / CALLER_DIVISOR).saturating_sub(SPARE_DESCRIPTORS);
    let by_memory = memory_bytes / MEMORY_DIVISOR / CONNECTION_BYTES;
    by_descriptors.min(by_memory).max(1)
}

/// Open connections of callers. Clones share them.
#[derive(Clone, Debug)]
pub struct ConnectionSlots(rc::Rc<SlotTable>);

#[derive(Debug)]
struct SlotTable {
    max_connections: usize,
    open: RefCell<Slab<OpenConnection>>,
    closed: Notify,
}

#[derive(Clone, Debug)]
struct OpenConnection {
    progress: Arc<connection::HeadProgress>,
    close: CancellationToken,
}

impl ConnectionSlots {
    /// Creates slots for at most `max_connections`.
    pub fn new(max_connections: usize) -> Self {
        Self(rc::Rc::new(SlotTable {
            max_connections,
            open: RefCell::default(),
            closed: Notify::new(),
        }))
    }

    /// Takes a slot for a new connection. If all are taken, the connection that has been idle for the
    /// longest time is closed; `None` if there is none.
    pub async fn take(&self) -> Option<ConnectionSlot> {
        if self.is_full() {
            let Some(close) = self.longest_idle() else {
                telemetry::count_overload(OverloadReason::ConnectionRefused, 1);
                return None;
            };
            telemetry::count_overload(OverloadReason::IdleClosed, 1);
            let closed = self.0.closed.notified();
            close.cancel();
            let _ = tokio::time::timeout(CLOSE_TIMEOUT, closed).await;
        }
        // Only the accept loop takes slots, so none is taken meanwhile.
        (!self.is_full()).then(|| self.insert())
    }

    fn is_full(&self) -> bool {
        self.0.open.borrow().len() >= self.0.max_connections
    }

    fn longest_idle(&self) -> Option<CancellationToken> {
        let open = self.0.open.borrow();
        let idle = open.iter().filter_map(|(_, connection)| {
            let is_closing = connection.close.is_cancelled();
            let idle_time = connection.progress.idle_time();
            idle_time.filter(|_| !is_closing).zip(Some(connection))
        });
        let longest = idle.max_by_key(|(idle_time, _)| *idle_time);
        longest.map(|(_, connection)| connection.close.clone())
    }

    fn insert(&self) -> ConnectionSlot {
        let connection = OpenConnection {
            progress: Arc::default(),
            close: CancellationToken::new(),
        };
        ConnectionSlot {
            key: self.0.open.borrow_mut().insert(connection.clone()),
            slots: self.clone(),
            connection,
        }
    }
}

/// Slot of a connection until dropped.
#[derive(Debug)]
pub struct ConnectionSlot {
    slots: ConnectionSlots,
    key: usize,
    connection: OpenConnection,
}

impl ConnectionSlot {
    /// Progress of the requests on the connection.
    pub fn progress(&self) -> &Arc<connection::HeadProgress> {
        &self.connection.progress
    }

    /// Waits until the connection is to be closed for a new one.
    pub async fn wait_close(&self) {
        self.connection.close.cancelled().await;
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.slots.0.open.borrow_mut().remove(self.key);
        self.slots.0.closed.notify_waiters();
    }
}
