//! Log line of a request that ends without a response.

use std::time::Instant;

/// Logs a request whose handling is dropped before it has a response: its caller has closed the
/// connection, the connection has failed or the process ends.
#[derive(Debug)]
pub struct UnansweredGuard<'a> {
    id: &'a str,
    route: &'a str,
    arrival: Instant,
    is_read: bool,
    is_closed: bool,
}

impl<'a> UnansweredGuard<'a> {
    /// Starts to watch a request whose head has been read.
    pub fn new(id: &'a str, route: &'a str) -> Self {
        Self {
            id,
            route,
            arrival: Instant::now(),
            is_read: false,
            is_closed: false,
        }
    }

    /// Records that the whole request has been read.
    pub fn record_read(&mut self) {
        self.is_read = true;
    }

    /// Ends the watch: the request has a response.
    pub fn close(mut self) {
        self.is_closed = true;
    }
}

impl Drop for UnansweredGuard<'_> {
    fn drop(&mut self) {
        if self.is_closed {
            return;
        }
        let elapsed_ms = self.arrival.elapsed().as_millis() as u64;
        log::info!(
            id = self.id, route = self.route, read = self.is_read, elapsed_ms = elapsed_ms;
            "unanswered"
        );
    }
}
