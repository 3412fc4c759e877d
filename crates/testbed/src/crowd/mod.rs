//! Crowds of clients that keep to no limits: they write requests to raw connections, stop just short
//! of the end, send too much or read nothing, and stay open.

mod client;

use std::{net, time::Duration};

use tokio::{
    sync::{mpsc, watch},
    task::JoinSet,
};

/// Maximum time for which a client waits for the first byte of a response before the next one
/// starts.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(5);

/// What the clients of a crowd send. All of them stay open afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrowdKind {
    /// A body of the largest size, announced and sent at once but for its last byte.
    WholeBodies,
    /// A body of the largest size, announced and sent in small pieces but for its last byte.
    PiecedBodies,
    /// A body of the largest size in large chunks, without the last chunk.
    LargeChunks,
    /// A body in chunks of one byte, without the last chunk.
    OneByteChunks,
    /// A body of several times the largest size, announced.
    AnnouncedOversize,
    /// A body of several times the largest size in chunks, not announced.
    ChunkedOversize,
    /// A complete request whose response is as large as its body. The client reads one byte of it.
    /// The clients start one after another, so that each may get its response.
    SlowReaders,
    /// Nothing.
    IdleConnections,
}

/// Where a crowd connects to and what its requests look like.
#[derive(Clone, Debug)]
pub struct CrowdPlan {
    /// Address of the process.
    pub address: net::SocketAddr,
    /// Lines of the requests' heads without the ones that frame the body.
    pub head: String,
    /// Size of the largest legal body.
    pub max_body_bytes: usize,
}

/// A running crowd. Its connections close when it is dropped.
#[derive(Debug)]
pub struct Crowd {
    clients: JoinSet<()>,
    has_sent: mpsc::Receiver<()>,
}

impl Crowd {
    /// Starts `count` clients of each kind.
    pub fn start(plan: &CrowdPlan, kinds: &[CrowdKind], count: usize) -> Self {
        let mut clients = JoinSet::new();
        let (sending, has_sent) = mpsc::channel(1);
        for kind in kinds {
            // Lets the clients of a kind start one after another.
            let (starts, _) = watch::channel(0);
            for number in 0..count {
                let (plan, kind, sending) = (plan.clone(), *kind, sending.clone());
                let (starts, mut started) = (starts.clone(), starts.subscribe());
                clients.spawn(async move {
                    if kind == CrowdKind::SlowReaders {
                        let _ = started.wait_for(|started| *started == number).await;
                    }
                    let mut stream = client::connect_and_send(&plan, kind).await;
                    if kind == CrowdKind::SlowReaders
                        && let Some(stream) = &mut stream
                    {
                        let read = client::read_byte(stream);
                        let _ = tokio::time::timeout(FIRST_BYTE_TIMEOUT, read).await;
                    }
                    starts.send_modify(|started| *started += 1);
                    drop(sending);
                    // Holds the connection until the crowd is dropped.
                    std::future::pending::<()>().await;
                    drop(stream);
                });
            }
        }
        Self { clients, has_sent }
    }

    /// Waits until every client has sent what it sends or cannot send any more, for at most
    /// `timeout`: a client stays blocked while the process reads nothing from its connection.
    pub async fn wait_sent(&mut self, timeout: Duration) {
        let _ = tokio::time::timeout(timeout, self.has_sent.recv()).await;
    }

    /// Returns the number of clients.
    pub fn client_count(&self) -> usize {
        self.clients.len()
    }
}
