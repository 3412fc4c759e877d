//! One order: drain, intent, sending, completion.

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

/// Time after which an order whose end is not seen counts as lost. Loads from the rate-limited
/// weight store take minutes.
const CHANGE_LIMIT_MS: u64 = 600_000;

/// Environment variable for tests: milliseconds to wait between the last check before an order and
/// the write to the socket, so that a process can be stopped exactly there. Unset, there is no wait.
const PAUSE_VARIABLE: &str = "ACACIABANK_PAUSE_BEFORE_ORDER_MS";

/// How an order ended for this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OrderEnd {
    /// In force at the target.
    Done,
    /// Ended at the target without effect, or refused by it.
    Failed,
    /// Not sent, and it never will be.
    NotSent,
    /// Given up before the intent, because requests were still running.
    StillBusy,
    /// Sent, or perhaps sent, without a known end.
    Open,
    /// An open order about which nothing could be done.
    Waiting,
}

impl OrderEnd {
    fn as_str(self) -> &'static str {
        match self {
            OrderEnd::Done => "done",
            OrderEnd::Failed => "failed",
            OrderEnd::NotSent => "not_sent",
            OrderEnd::StillBusy => "still_busy",
            OrderEnd::Open => "open",
            OrderEnd::Waiting => "waiting",
        }
    }
}

/// What to do with a target.
#[derive(Clone, Debug)]
pub(super) enum TaskKind {
    /// Order something new.
    Start(wire::OrderAction),
    /// Bring an open order to its end. When the target does not know the order, it is replaced by
    /// the given action, or stays open without one.
    Finish(Option<wire::OrderAction>),
}

/// An order on its way.
pub(super) struct OrderTask {
    pub(super) lease: sync::Arc<ModelLease>,
    pub(super) term: u64,
    pub(super) target: sync::Arc<TargetState>,
    pub(super) fencing: settings::FencingSupport,
    pub(super) admin_idle_close_ms: Option<u64>,
}

/// Withdraws a target from this daemon's choices while it exists.
struct PendingMark<'a>(&'a process::ProcessState, &'a ids::TargetId);

impl<'a> PendingMark<'a> {
    fn set(state: &'a process::ProcessState, target: &'a ids::TargetId) -> Self {
        state.targets.set_order_pending(target, true);
        state.peers.announce();
        Self(state, target)
    }
}

impl Drop for PendingMark<'_> {
    fn drop(&mut self) {
        self.0.targets.set_order_pending(self.1, false);
        self.0.peers.announce();
    }
}

/// An administration connection with the facts that the send rule needs.
struct OrderLink {
    connection: AdminConnection,
    opened_ms: u64,
    last_used_ms: u64,
}

impl OrderTask {
    /// Runs to the end; `stored` is the target's row as read in this term.
    pub(super) async fn run(self, stored: StoredTarget, kind: TaskKind) -> OrderEnd {
        let action = match &kind {
            TaskKind::Start(action) => Some(action.clone()),
            TaskKind::Finish(_) => stored.open_row().map(|row| row.order.action.clone()),
        };
        let end = match kind {
            TaskKind::Start(action) => self.order(stored, action).await,
            TaskKind::Finish(replacement) => self.finish(stored, replacement).await,
        };
        if let Some(action) = action
            && end != OrderEnd::Waiting
        {
            let (kind, outcome) = (kind_name(&action), end.as_str());
            metrics::counter!(names::ORDERS, "kind" => kind, "outcome" => outcome).increment(1);
        }
        end
    }

    fn state(&self) -> &process::ProcessState {
        &self.lease.state
    }

    fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.state().settings.timers.connect_timeout_ms)
    }

    /// Time for an answer of the administration API.
    fn answer_timeout(&self) -> Duration {
        self.connect_timeout() + Duration::from_millis(self.state().settings.timers.target_poll_ms)
    }

    async fn finish(
        &self,
        stored: StoredTarget,
        replacement: Option<wire::OrderAction>,
    ) -> OrderEnd {
        let Some(row) = stored.open_row().cloned() else {
            return OrderEnd::Waiting;
        };
        let Ok(observed) = self.observe().await else {
            return OrderEnd::Waiting;
        };
        match order::assess(&row, &observed) {
            OrderProgress::Done => self.record(&stored, &row, IntentState::Done).await,
            OrderProgress::Failed => self.record(&stored, &row, IntentState::Failed).await,
            OrderProgress::Running => {
                let _mark = PendingMark::set(self.state(), &self.target.id);
                self.watch(&stored, &row).await
            }
            OrderProgress::Missing => match replacement {
                None => OrderEnd::Waiting,
                Some(action) => {
                    log::info!(
                        order = row.order.order_id.as_str();
                        "target {} does not know its open order; it is replaced", self.target.id
                    );
                    self.order(stored, action).await
                }
            },
        }
    }

    async fn order(&self, stored: StoredTarget, action: wire::OrderAction) -> OrderEnd {
        let _mark = PendingMark::set(self.state(), &self.target.id);
        let mut link = match self.drain().await {
            Ok(link) => link,
            Err(reason) => {
                log::warn!("order for target {} given up: {reason}", self.target.id);
                return OrderEnd::StillBusy;
            }
        };
        let row = match self.intent(&stored, action) {
            Ok(row) => row,
            Err(error) => {
                log::error!("no intent for target {}: {error}", self.target.id);
                return OrderEnd::Waiting;
            }
        };
        let intent_ms = now_ms();
        let put = stored.put(&self.target.id, &row);
        if let Err((message, may_exist)) = self.lease.write_intent(self.term, put).await {
            log::warn!("intent for target {} failed: {message}", self.target.id);
            return match may_exist {
                true => OrderEnd::Open,
                false => OrderEnd::NotSent,
            };
        }
        let stored = stored.next(row.clone());
        let act_until_ms = self
            .lease
            .grant_of(self.term)
            .map_or(0, |grant| grant.act_until_ms);
        let check = SendCheck {
            fencing: self.fencing,
            admin_idle_close_ms: self.admin_idle_close_ms,
            connection: order::ConnectionTimes {
                opened_ms: link.opened_ms,
                last_used_ms: link.last_used_ms,
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
            return OrderEnd::NotSent;
        }
        pause_for_test().await;
        let answer = link
            .connection
            .call(Method::POST, "/admin/orders", body, self.answer_timeout())
            .await;
        drop(link);
        self.after_sending(&stored, &row, answer).await
    }

    fn intent(
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

    async fn after_sending(
        &self,
        stored: &StoredTarget,
        row: &TargetRow,
        answer: Result<CallResponse, CallError>,
    ) -> OrderEnd {
        match answer {
            Ok(answer) if answer.status == StatusCode::ACCEPTED => {
                log::info!(
                    order = row.order.order_id.as_str(), fencing = row.fencing;
                    "target {} accepted {:?}", self.target.id, row.order.action
                );
                self.watch(stored, row).await
            }
            Ok(answer) if answer.status.is_client_error() => {
                let text = String::from_utf8_lossy(&answer.body);
                log::warn!("target {} refused its order: {text}", self.target.id);
                self.record(stored, row, IntentState::Failed).await
            }
            // Without an answer the order may have arrived, or may still arrive.
            Ok(_) | Err(_) => self.watch(stored, row).await,
        }
    }

    /// Waits until no request runs at the target; interrupts none. The limit is the deadline of a
    /// request that names none.
    async fn drain(&self) -> Result<OrderLink, String> {
        let timers = &self.state().settings.timers;
        let deadline_ms = now_ms() + timers.default_request_timeout_ms;
        let poll_ms = match self.admin_idle_close_ms {
            Some(close_ms) => timers.target_poll_ms.min(close_ms / 4),
            None => timers.target_poll_ms,
        };
        let mut open: Option<OrderLink> = None;
        loop {
            let mut link = match open.take() {
                Some(link) => link,
                None => self.open().await.map_err(|error| error.to_string())?,
            };
            let used_ms = now_ms();
            match self.poll_load(&mut link).await {
                Ok(load) => {
                    link.last_used_ms = used_ms;
                    if load.running + load.waiting == 0 {
                        return Ok(link);
                    }
                    open = Some(link);
                }
                Err(error) => log::debug!("load of target {} not read: {error}", self.target.id),
            }
            if now_ms() >= deadline_ms {
                return Err("requests are still running".to_owned());
            }
            if self.lease.grant_of(self.term).is_none() || self.lease.is_stopping() {
                return Err("the lease is given back or lost".to_owned());
            }
            tokio::time::sleep(Duration::from_millis(poll_ms)).await;
        }
    }

    async fn open(&self) -> Result<OrderLink, CallError> {
        let connection = AdminConnection::open(self.target.address, self.connect_timeout()).await?;
        let opened_ms = now_ms();
        Ok(OrderLink {
            connection,
            opened_ms,
            last_used_ms: opened_ms,
        })
    }

    async fn poll_load(&self, link: &mut OrderLink) -> Result<wire::EngineLoad, CallError> {
        let timeout = self.answer_timeout();
        let path = "/admin/load";
        read(
            link.connection
                .call(Method::GET, path, Bytes::new(), timeout)
                .await,
        )
    }

    pub(super) async fn observe(&self) -> Result<wire::EngineState, CallError> {
        observe(self.state(), &self.target).await
    }

    /// Follows a sent order to its end. A daemon that leaves passes the order on: it is recorded
    /// as open, and the successor finds it at the engine.
    async fn watch(&self, stored: &StoredTarget, row: &TargetRow) -> OrderEnd {
        let deadline_ms = now_ms() + CHANGE_LIMIT_MS;
        let poll = Duration::from_millis(self.state().settings.timers.target_poll_ms);
        while now_ms() < deadline_ms
            && self.lease.grant_of(self.term).is_some()
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
        OrderEnd::Open
    }

    /// Records how an order ended. The lease is not checked: the end of an order stays true after
    /// a takeover, and a successor's write makes this one fail.
    async fn record(&self, stored: &StoredTarget, row: &TargetRow, state: IntentState) -> OrderEnd {
        let ended = TargetRow {
            state,
            ..row.clone()
        };
        let put = stored.put(&self.target.id, &ended);
        let operation = rows::new_operation();
        if let Err(error) = self.state().table.transact(&operation, &[put]).await {
            log::warn!("end of order {} not recorded: {error}", row.order.order_id);
        }
        log::info!(
            order = row.order.order_id.as_str(), fencing = row.fencing;
            "order for target {} ended: {state:?}", self.target.id
        );
        match state {
            IntentState::Done => OrderEnd::Done,
            _ => OrderEnd::Failed,
        }
    }
}

async fn pause_for_test() {
    let pause_ms = std::env::var(PAUSE_VARIABLE)
        .ok()
        .and_then(|text| text.parse().ok());
    if let Some(pause_ms) = pause_ms {
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// State that an engine reports now.
pub(super) async fn observe(
    state: &process::ProcessState,
    target: &TargetState,
) -> Result<wire::EngineState, CallError> {
    let timers = &state.settings.timers;
    let timeout = Duration::from_millis(timers.connect_timeout_ms + timers.target_poll_ms);
    let path = "/admin/state";
    read(call_once(target.address, Method::GET, path, Bytes::new(), timeout).await)
}

fn read<Body: DeserializeOwned>(
    answer: Result<CallResponse, CallError>,
) -> Result<Body, CallError> {
    let answer = answer?;
    if answer.status != StatusCode::OK {
        return Err(CallError::Status(answer.status));
    }
    serde_json::from_slice(&answer.body).map_err(|error| CallError::NoResponse(error.to_string()))
}

/// Kind of an action, as in the wire format.
pub(super) fn kind_name(action: &wire::OrderAction) -> &'static str {
    match action {
        wire::OrderAction::SetRole { .. } => "set_role",
        wire::OrderAction::LoadModel { .. } => "load_model",
        wire::OrderAction::LoadAdapter { .. } => "load_adapter",
        wire::OrderAction::UnloadModel { .. } => "unload_model",
    }
}
