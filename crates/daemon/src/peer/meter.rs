//! Metrics of the control traffic and of the RPC thread's CPU time.

use std::{fs, io, pin, task};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

const NANOSECONDS: f64 = 1e9;

/// TCP stream that counts the bytes read and written.
pub(super) struct CountedStream {
    stream: TcpStream,
    received: metrics::Counter,
    sent: metrics::Counter,
}

impl CountedStream {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            received: metrics::counter!("acaciabank_control_bytes_total", "direction" => "in"),
            sent: metrics::counter!("acaciabank_control_bytes_total", "direction" => "out"),
        }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = pin::Pin::new(&mut self.stream).poll_read(context, buffer);
        let count = buffer.filled().len() - before;
        self.received.increment(count as u64);
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let polled = pin::Pin::new(&mut self.stream).poll_write(context, bytes);
        if let task::Poll::Ready(Ok(count)) = polled {
            self.sent.increment(count as u64);
        }
        polled
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Counts one call made or served.
pub(super) fn count_message(method: &'static str) {
    metrics::counter!("acaciabank_control_messages_total", "method" => method).increment(1);
}

/// Records the CPU time of the calling thread. The metric is a gauge because counters hold
/// integers.
pub(super) fn record_cpu_time() {
    let Ok(text) = fs::read_to_string("/proc/thread-self/schedstat") else {
        return;
    };
    let first = text.split_whitespace().next();
    if let Some(nanoseconds) = first.and_then(|field| field.parse::<f64>().ok()) {
        metrics::gauge!("acaciabank_control_cpu_seconds_total").set(nanoseconds / NANOSECONDS);
    }
}
