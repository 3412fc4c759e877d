//! Log line of a stream that has begun and is dropped before its end.

use std::{cell::Cell, rc};

use crate::{dispatch::request::RelayRequest, target, telemetry};

/// Logs and counts a stream whose forwarding is dropped before it has an end: the process ends.
/// What ends a stream otherwise has a line of its own.
pub struct InterruptedGuard<Record: Fn()> {
    request: rc::Rc<RelayRequest>,
    target: rc::Rc<target::TargetState>,
    /// Id of the last event that was passed on.
    last_event: Cell<Option<u64>>,
    record: Record,
    is_closed: bool,
}

impl<Record: Fn()> InterruptedGuard<Record> {
    /// Starts to watch a stream that a target has begun; `record` counts an interrupted one.
    pub fn new(
        request: &rc::Rc<RelayRequest>,
        target: &rc::Rc<target::TargetState>,
        record: Record,
    ) -> Self {
        Self {
            request: rc::Rc::clone(request),
            target: rc::Rc::clone(target),
            last_event: Cell::new(None),
            record,
            is_closed: false,
        }
    }

    /// Records that another target goes on with the stream.
    pub fn set_target(&mut self, target: &rc::Rc<target::TargetState>) {
        self.target = rc::Rc::clone(target);
    }

    /// Records the last event that was passed on.
    pub fn record_event(&self, last_event: Option<u64>) {
        self.last_event.set(last_event);
    }

    /// Ends the watch: another line tells how the stream has ended.
    pub fn close(mut self) {
        self.is_closed = true;
    }
}

impl<Record: Fn()> Drop for InterruptedGuard<Record> {
    fn drop(&mut self) {
        if self.is_closed {
            return;
        }
        (self.record)();
        telemetry::count_interrupted();
        let request = &self.request;
        log::warn!(
            id = request.id.as_str(), route = request.route.name.as_str(),
            target_id = self.target.entry.id.as_str(), last_event = self.last_event.get().unwrap_or(0),
            left_ms = request.remaining_ms(), elapsed_ms = request.elapsed_ms();
            "interrupted"
        );
    }
}
