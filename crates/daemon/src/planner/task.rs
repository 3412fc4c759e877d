//! The task of one order: waits until the engine is idle, writes the intent, sends the order and
//! tracks it until it ends.

use std::{sync, time::Duration};

use acaciabank_core::order::{
    self, IntentAuthor, IntentError, IntentState, OrderProgress, SendCheck, SendDecision, TargetRow,
};
use acaciabank_protocol::{ids, settings, wire};
use bytes::Bytes;
use http::{Method, StatusCode};
use serde::de::DeserializeOwned;

use super::{
    connection::{AdminConnection, CallError, CallResponse, call_once},
    lease::ModelLease,
    rows::{self, StoredTarget},
};
use crate::{
    process,
    target::{TargetState, now_ms},
    telemetry::names,
};

/// Time after which a sent order whose end was not observed is left open. Loads from the
/// rate-limited weight store take minutes.
const ORDER_TIMEOUT_MS: u64 = 600_000;

/// Environment variable for tests: milliseconds to wait between the last check before an order and
/// the write to the socket, so that a test can stop the process there. There is no wait if unset.
const PAUSE_VARIABLE: &str = "ACACIABANK_PAUSE_BEFORE_ORDER_MS";

/// Outcome of an order's task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TaskOutcome {
    /// The order has taken effect at the target.
    Done,
    /// The order ended at the target without effect, or the target refused it.
    Failed,
    /// The order was not sent and never will be.
    NotSent,
    /// The order was given up before its intent was written: requests were still running, or the
    /// lease ended.
    StillBusy,
    /// The intent may have been written or the order sent, and the end is unknown.
    Open,
    /// Nothing was done: the open order cannot be advanced yet.
    Waiting,
}

impl TaskOutcome {
    fn as_str(self) -> &'static str {
        match self {
            TaskOutcome::Done => "done",
            TaskOutcome::Failed => "failed",
            TaskOutcome::NotSent => "not_sent",
            TaskOutcome::StillBusy => "still_busy",
            TaskOutcome::Open => "open",
            TaskOutcome::Waiting => "waiting",
        }
    }
}

/// What a task does with its target.
#[derive(Clone, Debug)]
pub(super) enum TaskKind {
    /// Gives a new order.
    Start(wire::OrderAction),
    /// Completes an open order. If the target does not know the order, it is replaced by the given
    /// action, or stays open if there is none.
    Resume(Option<wire::OrderAction>),
}

/// An order to one target within one term of the lease.
pub(super) struct OrderTask {
    pub(super) lease: sync::Arc<ModelLease>,
    pub(super) term: u64,
    pub(super) target: sync::Arc<TargetState>,
    pub(super) fencing: settings::FencingSupport,
    pub(super) admin_idle_close_ms: Option<u64>,
}

/// Excludes a target from routing while it exists, and announces both changes to other daemons.
struct PendingGuard<'a>(&'a process::ProcessState, &'a ids::TargetId);

impl<'a> PendingGuard<'a> {
    fn set(state: &'a process::ProcessState, target: &'a ids::TargetId) -> Self {
        state.targets.set_order_pending(target, true);
        state.peers.announce();
        Self(state, target)
    }
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.0.targets.set_order_pending(self.1, false);
        self.0.peers.announce();
    }
}

/// An administration connection with the times that the check before sending needs.
struct OrderConnection {
    admin: AdminConnection,
    opened_ms: u64,
    last_used_ms: u64,
}

impl OrderTask {
    /// Runs the order until it ends or is left open. `stored` is the target's row as read in this
    /// term.
    pub(super) async fn run(self, stored: StoredTarget, kind: TaskKind) -> TaskOutcome {
        let action = match &kind {
            TaskKind::Start(action) => Some(action.clone()),
            TaskKind::Resume(_) => stored.open_row().map(|row| row.order.action.clone()),
        };
        let outcome = match kind {
            TaskKind::Start(action) => self.issue(stored, action).await,
            TaskKind::Resume(replacement) => self.resume(stored, replacement).await,
        };
        if let Some(action) = action
            && outcome != TaskOutcome::Waiting
        {
            let (kind, outcome) = (kind_name(&action), outcome.as_str());
            metrics::counter!(names::ORDERS, "kind" => kind, "outcome" => outcome).increment(1);
        }
        outcome
    }

    fn state(&self) -> &process::ProcessState {
        &self.lease.state
    }

    fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.state().settings.timers.connect_timeout_ms)
    }

    /// Returns the timeout of calls to the administration API.
    fn response_timeout(&self) -> Duration {
        self.connect_timeout() + Duration::from_millis(self.state().settings.timers.target_poll_ms)
    }

    async fn resume(
        &self,
        stored: StoredTarget,
        replacement: Option<wire::OrderAction>,
    ) -> TaskOutcome {
        let Some(row) = stored.open_row().cloned() else {
            return TaskOutcome::Waiting;
        };
        let Ok(observed) = self.observe().await else {
            return TaskOutcome::Waiting;
        };
        match order::assess(&row, &observed) {
            OrderProgress::Done => self.record(&stored, &row, IntentState::Done).await,
            OrderProgress::Failed => self.record(&stored, &row, IntentState::Failed).await,
            OrderProgress::Running => {
                let _guard = PendingGuard::set(self.state(), &self.target.id);
                self.track(&stored, &row).await
            }
            OrderProgress::Missing => match replacement {
                None => TaskOutcome::Waiting,
                Some(action) => {
                    log::info!(
                        order = row.order.order_id.as_str();
                        "target {} does not know its open order, which is replaced", self.target.id
                    );
                    self.issue(stored, action).await
                }
            },
        }
    }

    async fn issue(&self, stored: StoredTarget, action: wire::OrderAction) -> TaskOutcome {
        let _guard = PendingGuard::set(self.state(), &self.target.id);
        let mut connection = match self.drain().await {
            Ok(connection) => connection,
            Err(reason) => {
                log::warn!("gave up an order for target {}: {reason}", self.target.id);
                return TaskOutcome::StillBusy;
            }
        };
        let row = match self.build_intent(&stored, action) {
            Ok(row) => row,
            Err(error) => {
                log::error!(
                    "cannot create an intent for target {}: {error}",
                    self.target.id
                );
                return TaskOutcome::Waiting;
            }
        };
        let intent_ms = now_ms();
        let put = stored.put(&self.target.id, &row);
        if let Err((message, may_exist)) = self.lease.write_intent(self.term, put).await {
            log::warn!(
                "writing the intent for target {} failed: {message}",
                self.target.id
            );
            return match may_exist {
                true => TaskOutcome::Open,
                false => TaskOutcome::NotSent,
            };
        }
        let stored = stored.with_row(row.clone());
        let act_until_ms = self
            .lease
            .grant_for_term(self.term)
            .map_or(0, |grant| grant.act_until_ms);
        let check = SendCheck {
            fencing: self.fencing,
            admin_idle_close_ms: self.admin_idle_close_ms,
            connection: order::ConnectionTimes {
                opened_ms: connection.opened_ms,
                last_used_ms: connection.last_used_ms,
            },
            intent_ms,
            act_until_ms,
        };
        let body = Bytes::from(serde_json::to_vec(&row.order).expect("orders have text keys"));
        let decision = check.decide(now_ms());
        if decision != SendDecision::Send {
            log::warn!(
                "order {} for target {} not sent: {decision:?}",
                row.order.order_id,
                self.target.id
            );
            self.record(&stored, &row, IntentState::Failed).await;
            return TaskOutcome::NotSent;
        }
        pause_for_test(&row.order.order_id).await;
        let response = connection
            .admin
            .call(Method::POST, "/admin/orders", body, self.response_timeout())
            .await;
        drop(connection);
        self.handle_response(&stored, &row, response).await
    }

    fn build_intent(
        &self,
        stored: &StoredTarget,
        action: wire::OrderAction,
    ) -> Result<TargetRow, IntentError> {
        let author = IntentAuthor {
            holder: self.state().settings.daemon.clone(),
            term: self.term,
        };
        let order_id = ids::OrderId::new(format!("{:032x}", rand::random::<u128>()));
        match stored.open_row() {
            Some(open) => order::supersede(open, &author, order_id, action),
            None => order::new_intent(stored.row.as_ref(), &author, order_id, action),
        }
    }

    async fn handle_response(
        &self,
        stored: &StoredTarget,
        row: &TargetRow,
        response: Result<CallResponse, CallError>,
    ) -> TaskOutcome {
        match response {
            Ok(response) if response.status == StatusCode::ACCEPTED => {
                log::info!(
                    order = row.order.order_id.as_str(), fencing = row.fencing;
                    "target {} accepted {:?}", self.target.id, row.order.action
                );
                self.track(stored, row).await
            }
            Ok(response) if response.status.is_client_error() => {
                let text = String::from_utf8_lossy(&response.body);
                log::warn!("target {} refused its order: {text}", self.target.id);
                self.record(stored, row, IntentState::Failed).await
            }
            // Without a clear response the order may have arrived, or may still arrive.
            Ok(_) | Err(_) => self.track(stored, row).await,
        }
    }

    /// Waits until no request is running or waiting at the target, without interrupting any. Gives
    /// up after the timeout of requests that specify none.
    async fn drain(&self) -> Result<OrderConnection, String> {
        let timers = &self.state().settings.timers;
        let deadline_ms = now_ms() + timers.default_request_timeout_ms;
        let poll_ms = match self.admin_idle_close_ms {
            Some(close_ms) => timers.target_poll_ms.min(close_ms / 4),
            None => timers.target_poll_ms,
        };
        let mut open: Option<OrderConnection> = None;
        loop {
            let mut connection = match open.take() {
                Some(connection) => connection,
                None => self.connect().await.map_err(|error| error.to_string())?,
            };
            let used_ms = now_ms();
            match self.poll_load(&mut connection).await {
                Ok(load) => {
                    connection.last_used_ms = used_ms;
                    if load.running + load.waiting == 0 {
                        return Ok(connection);
                    }
                    open = Some(connection);
                }
                Err(error) => log::debug!("load of target {} not read: {error}", self.target.id),
            }
            if now_ms() >= deadline_ms {
                return Err("requests are still running".to_owned());
            }
            if self.lease.grant_for_term(self.term).is_none() || self.lease.is_stopping() {
                return Err("the lease is lost or is being released".to_owned());
            }
            tokio::time::sleep(Duration::from_millis(poll_ms)).await;
        }
    }

    async fn connect(&self) -> Result<OrderConnection, CallError> {
        let admin = AdminConnection::open(self.target.address, self.connect_timeout()).await?;
        let opened_ms = now_ms();
        Ok(OrderConnection {
            admin,
            opened_ms,
            last_used_ms: opened_ms,
        })
    }

    async fn poll_load(
        &self,
        connection: &mut OrderConnection,
    ) -> Result<wire::EngineLoad, CallError> {
        let timeout = self.response_timeout();
        let path = "/admin/load";
        parse_response(
            connection
                .admin
                .call(Method::GET, path, Bytes::new(), timeout)
                .await,
        )
    }

    pub(super) async fn observe(&self) -> Result<wire::EngineState, CallError> {
        observe(self.state(), &self.target).await
    }

    /// Polls the target until a sent order ends. A stopping daemon leaves the order open, and the
    /// next holder of the lease finds it at the engine.
    async fn track(&self, stored: &StoredTarget, row: &TargetRow) -> TaskOutcome {
        let deadline_ms = now_ms() + ORDER_TIMEOUT_MS;
        let poll = Duration::from_millis(self.state().settings.timers.target_poll_ms);
        while now_ms() < deadline_ms
            && self.lease.grant_for_term(self.term).is_some()
            && !self.lease.is_stopping()
        {
            if let Ok(observed) = self.observe().await {
                match order::assess(row, &observed) {
                    OrderProgress::Done => {
                        return self.record(stored, row, IntentState::Done).await;
                    }
                    OrderProgress::Failed => {
                        return self.record(stored, row, IntentState::Failed).await;
                    }
                    OrderProgress::Missing => break,
                    OrderProgress::Running => {}
                }
            }
            tokio::time::sleep(poll).await;
        }
        TaskOutcome::Open
    }

    /// Records the end of an order. The lease is not checked: the record remains true after a
    /// takeover, and the row's version rejects it after a write of the next holder.
    async fn record(
        &self,
        stored: &StoredTarget,
        row: &TargetRow,
        state: IntentState,
    ) -> TaskOutcome {
        let ended = TargetRow {
            state,
            ..row.clone()
        };
        let put = stored.put(&self.target.id, &ended);
        let operation = rows::new_operation_id();
        if let Err(error) = self.state().table.transact(&operation, &[put]).await {
            log::warn!(
                "cannot record the end of order {}: {error}",
                row.order.order_id
            );
        }
        log::info!(
            order = row.order.order_id.as_str(), fencing = row.fencing;
            "order for target {} ended: {state:?}", self.target.id
        );
        match state {
            IntentState::Done => TaskOutcome::Done,
            _ => TaskOutcome::Failed,
        }
    }
}

async fn pause_for_test(order_id: &ids::OrderId) {
    let pause_ms = std::env::var(PAUSE_VARIABLE)
        .ok()
        .and_then(|text| text.parse().ok());
    if let Some(pause_ms) = pause_ms {
        log::info!(order = order_id.as_str(); "order waits for {pause_ms} ms before it is sent");
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Reads the state of an engine from its administration API.
pub(super) async fn observe(
    state: &process::ProcessState,
    target: &TargetState,
) -> Result<wire::EngineState, CallError> {
    let timers = &state.settings.timers;
    let timeout = Duration::from_millis(timers.connect_timeout_ms + timers.target_poll_ms);
    let path = "/admin/state";
    parse_response(call_once(target.address, Method::GET, path, Bytes::new(), timeout).await)
}

fn parse_response<Body: DeserializeOwned>(
    response: Result<CallResponse, CallError>,
) -> Result<Body, CallError> {
    let response = response?;
    if response.status != StatusCode::OK {
        return Err(CallError::Status(response.status));
    }
    serde_json::from_slice(&response.body).map_err(|error| CallError::NoResponse(error.to_string()))
}

/// Returns the kind of an action, as in the wire format.
pub(super) fn kind_name(action: &wire::OrderAction) -> &'static str {
    match action {
        wire::OrderAction::SetRole { .. } => "set_role",
        wire::OrderAction::LoadModel { .. } => "load_model",
        wire::OrderAction::LoadAdapter { .. } => "load_adapter",
        wire::OrderAction::UnloadModel { .. } => "unload_model",
    }
}
