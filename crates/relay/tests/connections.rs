//! Tests of the progress of accepted connections.

use std::{sync::Arc, time::Duration};

use acaciabank_relay::connection::{self, AcceptedStream, HeadProgress};
use tokio::io::AsyncWriteExt;

/// Idle timeout of the test.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Guards against a caller that reads nothing of a response and keeps its memory for ever.
#[tokio::test]
async fn a_connection_whose_caller_reads_nothing_times_out() {
    let progress = Arc::new(HeadProgress::default());
    let _guards = HeadProgress::begin_request(&progress);
    let (near, _far) = tokio::io::duplex(16);
    let mut stream = AcceptedStream::new(near, &progress);
    assert_eq!(progress.blocked_time(), None);
    tokio::select! {
        written = stream.write_all(&[b'x'; 64]) => panic!("nothing is read, but {written:?}"),
        () = connection::wait_idle_timeout(&progress, || TIMEOUT) => {}
    }
    assert!(progress.blocked_time() >= Some(TIMEOUT));
}
