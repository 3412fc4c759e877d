//! A target that sends hand-made bytes, for responses that no HTTP library would send.

use std::{
    io, net,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

/// A request as the target has read it.
#[derive(Clone, Debug)]
pub struct ScriptedRequest {
    /// Request line and headers.
    pub head: String,
    /// Body, of the length that the head states.
    pub body: Vec<u8>,
    /// Number of earlier requests on the connection.
    pub index: usize,
}

impl ScriptedRequest {
    /// Returns the value of a header, or an empty string.
    pub fn header(&self, name: &str) -> &str {
        let lines = self.head.lines().skip(1);
        let mut fields = lines.filter_map(|line| line.split_once(':'));
        let field = fields.find(|(field, _)| field.eq_ignore_ascii_case(name));
        field.map_or("", |(_, value)| value.trim())
    }

    /// Returns the path and query.
    pub fn path(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }
}

/// What the target does after it has read a request.
#[derive(Clone, Debug)]
pub enum ScriptStep {
    /// Sends bytes.
    Send(Vec<u8>),
    /// Waits.
    Wait(Duration),
    /// Sends the bytes again and again until the other side closes the connection.
    Pour(Vec<u8>),
    /// Sends the bytes again and again, with this pause between them, until the other side closes
    /// the connection.
    Drip(Vec<u8>, Duration),
    /// Closes the connection.
    Close,
}

/// A running scripted target; it stops when dropped.
#[derive(Debug)]
pub struct ScriptedTarget {
    /// Address on which it listens.
    pub address: net::SocketAddr,
    counters: Arc<Counters>,
    task: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct Counters {
    requests: AtomicU64,
    poured_bytes: AtomicU64,
    pouring_connections: AtomicU64,
}

/// Counts a connection as pouring until dropped.
struct PouringGuard<'a>(&'a Counters);

impl<'a> PouringGuard<'a> {
    fn start(counters: &'a Counters) -> Self {
        counters.pouring_connections.fetch_add(1, Ordering::Relaxed);
        Self(counters)
    }
}

impl Drop for PouringGuard<'_> {
    fn drop(&mut self) {
        self.0.pouring_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ScriptedTarget {
    /// Starts a target that handles every request with the steps that `script` returns for it.
    ///
    /// # Errors
    ///
    /// Returns the error of binding.
    pub async fn start<Script>(address: net::SocketAddr, script: Script) -> io::Result<Self>
    where
        Script: Fn(&ScriptedRequest) -> Vec<ScriptStep> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let counters = Arc::new(Counters::default());
        let (shared, script) = (Arc::clone(&counters), Arc::new(script));
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let (counters, script) = (Arc::clone(&shared), Arc::clone(&script));
                connections.spawn(async move {
                    // The other side closes the connection of a faulty target.
                    let _ = serve(stream, &counters, &*script).await;
                });
            }
        });
        Ok(Self {
            address,
            counters,
            task,
        })
    }

    /// Returns the number of requests read so far.
    pub fn request_count(&self) -> u64 {
        self.counters.requests.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes that [`ScriptStep::Pour`] has sent so far.
    pub fn poured_bytes(&self) -> u64 {
        self.counters.poured_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of connections on which it sends bytes without end.
    pub fn pouring_connections(&self) -> u64 {
        self.counters.pouring_connections.load(Ordering::Relaxed)
    }
}

impl Drop for ScriptedTarget {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(
    mut stream: TcpStream,
    counters: &Counters,
    script: &(dyn Fn(&ScriptedRequest) -> Vec<ScriptStep> + Send + Sync),
) -> io::Result<()> {
    let mut buffer = Vec::new();
    for index in 0.. {
        let Some(request) = read_request(&mut stream, &mut buffer, index).await? else {
            return Ok(());
        };
        counters.requests.fetch_add(1, Ordering::Relaxed);
        for step in script(&request) {
            match step {
                ScriptStep::Send(bytes) => stream.write_all(&bytes).await?,
                ScriptStep::Wait(time) => tokio::time::sleep(time).await,
                ScriptStep::Pour(bytes) => {
                    let _guard = PouringGuard::start(counters);
                    loop {
                        stream.write_all(&bytes).await?;
                        let count = bytes.len() as u64;
                        counters.poured_bytes.fetch_add(count, Ordering::Relaxed);
                    }
                }
                ScriptStep::Drip(bytes, pause) => {
                    let _guard = PouringGuard::start(counters);
                    loop {
                        stream.write_all(&bytes).await?;
                        tokio::time::sleep(pause).await;
                    }
                }
                ScriptStep::Close => return Ok(()),
            }
        }
    }
    Ok(())
}

/// Reads the next request; `None` if the connection ends before it.
async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    index: usize,
) -> io::Result<Option<ScriptedRequest>> {
    loop {
        let head_end = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        if let Some(head_end) = head_end {
            let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
            let request = ScriptedRequest {
                head,
                body: Vec::new(),
                index,
            };
            let length: usize = request.header("content-length").parse().unwrap_or(0);
            let body_start = head_end + 4;
            if buffer.len() >= body_start + length {
                let rest = buffer.split_off(body_start + length);
                let body = buffer.split_off(body_start);
                *buffer = rest;
                return Ok(Some(ScriptedRequest { body, ..request }));
            }
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
}
