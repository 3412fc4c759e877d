//! Targets that answer while the request is still being written, and break off; and answers whose
//! status is none.

use std::{
    io, net,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use crate::fixture::{Fixture, Relay, TIMEOUT};

/// Size of an upload: more than the buffers of a connection hold.
const UPLOAD_BYTES: usize = 900_000;
/// Requests that each kind of answer is tried with, at the same time: a target is ejected for its
/// failures.
const TRIES: u64 = 8;

/// When a target resets the connection after the beginning of its answer.
#[derive(Clone, Copy, Debug)]
enum ResetTime {
    AtOnce,
    After(Duration),
    /// After it has read this many bytes of the upload.
    AfterBytes(usize),
}

const RESET_TIMES: [ResetTime; 5] = [
    ResetTime::AtOnce,
    ResetTime::After(Duration::from_millis(1)),
    ResetTime::After(Duration::from_millis(5)),
    ResetTime::After(Duration::from_millis(30)),
    ResetTime::AfterBytes(40_000),
];

/// A target that answers as soon as it has read the head of a request.
struct EarlyTarget {
    address: net::SocketAddr,
    answers: Arc<AtomicU64>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for EarlyTarget {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl EarlyTarget {
    /// Starts a target; `answer` returns the bytes for an attempt.
    async fn start(
        address: net::SocketAddr,
        reset: ResetTime,
        answer: impl Fn(&str) -> String + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind(address).await.expect("an address");
        let answers = Arc::new(AtomicU64::new(0));
        let (counter, answer) = (Arc::clone(&answers), Arc::new(answer));
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (counter, answer) = (Arc::clone(&counter), Arc::clone(&answer));
                tokio::spawn(async move {
                    if answer_early(stream, reset, &*answer).await.is_ok() {
                        counter.fetch_add(1, Ordering::Relaxed);
                    }
                });
            }
        });
        Self {
            address,
            answers,
            task,
        }
    }
}

async fn answer_early(
    mut stream: TcpStream,
    reset: ResetTime,
    answer: &(dyn Fn(&str) -> String + Send + Sync),
) -> io::Result<()> {
    let mut head = Vec::new();
    while !head.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
        if stream.read_buf(&mut head).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    let text = String::from_utf8_lossy(&head).to_lowercase();
    let attempt = text
        .lines()
        .find_map(|line| line.strip_prefix("x-acaciabank-attempt-id: "));
    let bytes = answer(attempt.unwrap_or_default());
    stream.write_all(bytes.as_bytes()).await?;
    match reset {
        ResetTime::AtOnce => {}
        ResetTime::After(time) => tokio::time::sleep(time).await,
        ResetTime::AfterBytes(count) => {
            let mut upload = vec![0; count];
            stream.read_exact(&mut upload).await?;
        }
    }
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO))
}

/// The head of an answer without a length.
fn unframed_head(status: &str, attempt: &str, content: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nx-acaciabank-attempt-id: {attempt}\r\n\
         x-acaciabank-response-signature: s\r\ncontent-type: {content}\r\n\r\n"
    )
}

async fn start_relay() -> (Fixture, Relay) {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let relay = fixture.start_relay(&[]).await;
    (fixture, relay)
}

/// Sends uploads until a target has answered some; returns the statuses and whether each body was
/// whole.
async fn send_uploads(relay: &Relay, target: &EarlyTarget, path: &str, name: &str) -> Vec<u16> {
    let upload = "x".repeat(UPLOAD_BYTES);
    let tokens = [
        ("x-acaciabank-model", "m"),
        ("x-acaciabank-token-count", "2000,5"),
        ("x-acaciabank-prompt-prefix", "aa:1500,bb:500"),
    ];
    let headers: &[(&str, &str)] = match path.starts_with("/once") || path.starts_with("/safe") {
        true => &[],
        false => &tokens,
    };
    let mut statuses = Vec::new();
    let (mut rounds, started_at) = (0, Instant::now());
    while target.answers.load(Ordering::Relaxed) < TRIES / 2 {
        assert!(
            started_at.elapsed() < TIMEOUT,
            "{name}: the target gets no requests"
        );
        let calls = (0..TRIES).map(|number| {
            let attempt = format!("{name}-{rounds}-{number}");
            let upload = &upload;
            async move { relay.send("POST", path, &attempt, headers, upload).await }
        });
        let responses = futures::future::join_all(calls).await;
        // A stream that breaks off closes its connection.
        let answered = responses.into_iter().flatten();
        statuses.extend(answered.map(|response| response.status));
        rounds += 1;
        // The relay may not have its configuration or the target yet.
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    statuses
}

/// Guards against a part of an answer without a length that is taken for the whole of it, because its
/// connection is reset while the request is being written.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_reset_during_the_upload_is_not_complete() {
    for (index, reset) in RESET_TIMES.into_iter().enumerate() {
        let (fixture, relay) = start_relay().await;
        let address = fixture.launcher.next_address().expect("address");
        let target = EarlyTarget::start(address, reset, |attempt| {
            unframed_head("200 OK", attempt, "text/plain") + "a part"
        });
        let target = target.await;
        fixture
            .register_target("early", "ledger", target.address, None)
            .await;
        let statuses = send_uploads(&relay, &target, "/once/a", &format!("early-{index}")).await;
        assert!(
            statuses.iter().all(|status| *status != 200),
            "{reset:?}: {statuses:?}"
        );
    }
}

/// Guards against the same for streams, whose part ends between two events.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_is_reset_during_the_upload_is_not_complete() {
    for (index, reset) in RESET_TIMES.into_iter().enumerate() {
        let (fixture, relay) = start_relay().await;
        let address = fixture.launcher.next_address().expect("address");
        let target = EarlyTarget::start(address, reset, |attempt| {
            let head = unframed_head("200 OK", attempt, "text/event-stream");
            head + "id: 0\ndata: token 0\n\nid: 1\ndata: token 1\n\n"
        });
        let target = target.await;
        fixture
            .register_target("early", "models", target.address, Some("decode"))
            .await;
        let statuses = send_uploads(&relay, &target, "/stream/a", &format!("event-{index}")).await;
        assert!(
            statuses.iter().all(|status| *status != 200),
            "{reset:?}: {statuses:?}"
        );
    }
}

/// Guards against an answer whose status is none that reaches a caller.
#[tokio::test(flavor = "multi_thread")]
async fn a_status_that_is_none_reaches_no_caller() {
    for (index, status) in ["000 None", "000", "099 Early", "1000 Late", "20 OK"]
        .into_iter()
        .enumerate()
    {
        for (path, service, stage) in [
            ("/once/a", "ledger", None),
            ("/stream/a", "models", Some("decode")),
        ] {
            let (fixture, relay) = start_relay().await;
            let address = fixture.launcher.next_address().expect("address");
            let reset = ResetTime::After(Duration::from_millis(5));
            let target = EarlyTarget::start(address, reset, move |attempt| {
                unframed_head(status, attempt, "text/plain") + "a part"
            });
            let target = target.await;
            fixture
                .register_target("early", service, target.address, stage)
                .await;
            let statuses = send_uploads(&relay, &target, path, &format!("status-{index}")).await;
            assert!(
                statuses.iter().all(|status| matches!(status, 502 | 503)),
                "{status} at {path}: {statuses:?}"
            );
        }
    }
}
