//! Response bodies that fail after their start, and the shutdown of a listener during a stream.

use std::{net, sync, time};

use acaciabank_daemon::{
    dispatch::CallerResponse,
    entry::{
        response::{self, StreamErrorMode},
        running::{RunningRegistry, RunningRequest},
    },
    process::listener::{self, ListenerOptions},
};
use acaciabank_protocol::{
    ids,
    reason::{Refusal, RefusalReason},
    verdict::Verdict,
    wire::Priority,
};
use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task::JoinHandle,
};
use tokio_util::sync::CancellationToken;

type PartSender = mpsc::Sender<Result<Bytes, Refusal>>;

/// Longest duration of each wait in these tests.
const TIMEOUT: time::Duration = time::Duration::from_secs(20);

struct StreamServer {
    address: net::SocketAddr,
    parts: PartSender,
    running: sync::Arc<RunningRegistry>,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

/// Serves one response whose body parts the test sends.
async fn serve(error_mode: StreamErrorMode) -> StreamServer {
    let (parts, body) = mpsc::channel(4);
    let body = sync::Arc::new(sync::Mutex::new(Some(body)));
    let running = sync::Arc::<RunningRegistry>::default();
    let stop = CancellationToken::new();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let options = ListenerOptions {
        name: "test",
        max_connections: 4,
        max_header_bytes: 4_096,
        tls: None,
        stop: stop.clone(),
    };
    let registry = sync::Arc::clone(&running);
    let task = tokio::spawn(listener::serve(listener, options, move |_| {
        let id = ids::RequestId::from("front-1-00");
        let guard = registry.insert(RunningRequest {
            id: id.clone(),
            team: ids::TeamId::from("clubs"),
            priority: Priority::Normal,
            work: "model draft".to_owned(),
            arrival: time::Instant::now(),
        });
        let response = CallerResponse {
            status: StatusCode::OK,
            headers: HeaderMap::new(),
            target: Some(ids::TargetId::from("e1")),
            body: body.lock().expect("lock").take().expect("one request"),
        };
        let response = response::stream(response, &id, 3, error_mode, guard);
        async move { response }
    }));
    StreamServer {
        address,
        parts,
        running,
        stop,
        task,
    }
}

async fn request(address: net::SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("connect");
    let head = b"GET / HTTP/1.1\r\nhost: test\r\n\r\n";
    stream.write_all(head).await.expect("write");
    stream
}

/// Reads until `text` appears; panics if the connection is closed before.
async fn read_until(stream: &mut TcpStream, text: &str) -> String {
    let mut received = String::new();
    let read = async {
        let mut buffer = [0; 1_024];
        while !received.contains(text) {
            let length = stream.read(&mut buffer).await.expect("read");
            assert!(length > 0, "closed after {received:?}");
            received.push_str(&String::from_utf8_lossy(&buffer[..length]));
        }
    };
    tokio::time::timeout(TIMEOUT, read).await.expect("in time");
    received
}

fn target_failed() -> Refusal {
    Refusal::with_verdict(RefusalReason::TargetFailed, Verdict::MayHaveRun, "broken")
}

/// Guards against an event stream that ends without an error event when its target fails.
#[tokio::test]
async fn a_refusal_inside_an_event_stream_becomes_an_error_event() {
    let server = serve(StreamErrorMode::ErrorEvent).await;
    let mut stream = request(server.address).await;
    let part = Bytes::from_static(b"data: {}\n\n");
    server.parts.send(Ok(part)).await.expect("part");
    server
        .parts
        .send(Err(target_failed()))
        .await
        .expect("refusal");
    let text = read_until(&mut stream, "\r\n0\r\n\r\n").await;
    assert!(text.contains("x-target: e1"), "{text}");
    assert!(text.contains("event: error\ndata: {\"error\":"), "{text}");
    assert!(text.contains("may_have_run"), "{text}");
}

/// Guards against a truncated body that looks complete because its final chunk is sent.
#[tokio::test]
async fn a_refusal_inside_another_body_leaves_it_incomplete() {
    let server = serve(StreamErrorMode::Abort).await;
    let mut stream = request(server.address).await;
    let part = Bytes::from_static(b"half of it");
    server.parts.send(Ok(part)).await.expect("part");
    read_until(&mut stream, "half of it").await;
    server
        .parts
        .send(Err(target_failed()))
        .await
        .expect("refusal");
    let mut rest = Vec::new();
    let end = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut rest));
    // The caller recognizes an incomplete body by a closed connection as well as by a reset one.
    let _ = end.await.expect("connection closed in time");
    let rest = String::from_utf8_lossy(&rest).into_owned();
    assert!(!rest.contains("0\r\n\r\n"), "{rest:?}");
}

/// Guards against a shutdown that interrupts a running stream or still accepts connections.
#[tokio::test]
async fn a_stopped_listener_finishes_its_streams() {
    let server = serve(StreamErrorMode::ErrorEvent).await;
    let mut stream = request(server.address).await;
    let part = Bytes::from_static(b"data: 1\n\n");
    server.parts.send(Ok(part)).await.expect("part");
    read_until(&mut stream, "data: 1").await;
    assert_eq!(server.running.len(), 1);

    server.stop.cancel();
    let refused = async {
        while TcpStream::connect(server.address).await.is_ok() {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(TIMEOUT, refused)
        .await
        .expect("refused");
    assert!(!server.task.is_finished());
    let part = Bytes::from_static(b"data: [DONE]\n\n");
    server.parts.send(Ok(part)).await.expect("part");
    drop(server.parts);
    read_until(&mut stream, "0\r\n\r\n").await;
    let ended = tokio::time::timeout(TIMEOUT, server.task).await;
    ended.expect("in time").expect("listener");
    assert!(server.running.is_empty());
}
