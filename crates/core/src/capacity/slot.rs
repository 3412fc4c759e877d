//! Orders of one zone and kind: what was ordered, what has come of it, and when to order again.

use super::{EngineKind, FleetOrder, OrderAnswer, OrderReason};

/// Time after a boot within which the platform's list shows the effect of an order.
const LIST_LAG_MS: u64 = 2_000;
/// Time for which an order without an answer may still be carried out. It is repeated unchanged, as
/// a later one with another count might take effect before it.
const UNKNOWN_ORDER_MS: u64 = 13_000;
/// Time until an order without an answer is repeated first; doubles with each repeat.
const REPEAT_MS: u64 = 1_000;
/// Time until a zone without engines is tried again; doubles up to [`MAX_UNAVAILABLE_MS`].
const UNAVAILABLE_MS: u64 = 5_000;
const MAX_UNAVAILABLE_MS: u64 = 20_000;
/// Shortest time between two orders in the same direction.
const MIN_ORDER_INTERVAL_MS: u64 = 1_000;

/// Time until the effect of an order that is answered now is visible.
pub(super) fn settle_ms(boot_ms: u64) -> u64 {
    boot_ms + LIST_LAG_MS
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderState {
    /// Sent, and no answer yet.
    InFlight,
    /// No answer came; repeated from `repeat_ms` on.
    Unanswered { repeat_ms: u64 },
    /// Accepted; the effect is visible from `visible_ms` on.
    Accepted { visible_ms: u64 },
}

#[derive(Clone, Copy, Debug)]
struct SentOrder {
    count: u32,
    /// Listed engines when it was sent first.
    listed_before: u32,
    first_sent_ms: u64,
    state: OrderState,
    repeats: u32,
    /// Whether the engines were taken away since.
    is_lost: bool,
}

impl SentOrder {
    fn is_increase(&self) -> bool {
        self.count > self.listed_before
    }

    /// Whether an order without an answer can no longer take effect.
    fn is_expired(&self, now_ms: u64) -> bool {
        let is_open = !matches!(self.state, OrderState::Accepted { .. });
        is_open && now_ms >= self.first_sent_ms + UNKNOWN_ORDER_MS
    }
}

/// State of one zone and kind.
#[derive(Clone, Debug, Default)]
pub(super) struct OrderSlot {
    last: Option<SentOrder>,
    listed: u32,
    /// Count of the last accepted order.
    accepted: Option<u32>,
    is_reclaimed: bool,
    unavailable_until_ms: u64,
    /// Time until which no order is sent because one was refused.
    closed_until_ms: u64,
    /// Delay of the next retry; zero after a success.
    retry_delay_ms: u64,
}

impl OrderSlot {
    /// Records the list; returns whether the engines have just begun to be taken away.
    pub(super) fn observe(&mut self, now_ms: u64, listed: u32, is_reclaimed: bool) -> bool {
        self.listed = listed;
        // Engines that leave because fewer were ordered are no loss.
        let is_reclaimed = is_reclaimed && self.accepted.is_none_or(|count| listed < count);
        let is_new = is_reclaimed && !self.is_reclaimed;
        self.is_reclaimed = is_reclaimed;
        if is_new {
            self.set_unavailable(now_ms);
            match &mut self.last {
                Some(order) if matches!(order.state, OrderState::Accepted { .. }) => {
                    self.last = None;
                }
                Some(order) => order.is_lost = true,
                None => {}
            }
        }
        self.settle(now_ms);
        is_new
    }

    /// Ends an order whose effect must be visible by now.
    fn settle(&mut self, now_ms: u64) {
        let Some(order) = self.last else {
            return;
        };
        let is_over = match order.state {
            OrderState::Accepted { visible_ms } => now_ms >= visible_ms,
            OrderState::Unanswered { .. } => order.is_expired(now_ms),
            OrderState::InFlight => false,
        };
        if !is_over {
            return;
        }
        self.last = None;
        if order.is_increase() && self.listed < order.count {
            self.set_unavailable(now_ms);
        } else {
            self.retry_delay_ms = 0;
        }
    }

    fn set_unavailable(&mut self, now_ms: u64) {
        let doubled = (2 * self.retry_delay_ms).clamp(UNAVAILABLE_MS, MAX_UNAVAILABLE_MS);
        self.retry_delay_ms = doubled;
        self.unavailable_until_ms = now_ms + doubled;
    }

    /// Number of engines that are listed, or will be when they have booted or drained.
    pub(super) fn expected(&self, now_ms: u64, boot_ms: u64) -> u32 {
        match &self.last {
            Some(order) if order.is_lost => self.listed,
            Some(order) if !order.is_increase() => order.count.min(self.listed),
            Some(order) => match order.state {
                // An order that stays unanswered is not relied on.
                OrderState::InFlight | OrderState::Unanswered { .. }
                    if now_ms >= order.first_sent_ms + settle_ms(boot_ms) =>
                {
                    self.listed
                }
                _ => order.count.max(self.listed),
            },
            None => self.listed,
        }
    }

    /// Number of listed engines.
    pub(super) fn listed(&self) -> u32 {
        self.listed
    }

    /// Whether no engines that were ordered are still missing from the list.
    pub(super) fn is_settled(&self) -> bool {
        self.last
            .is_none_or(|order| order.is_lost || self.listed >= order.count)
    }

    /// Whether more engines may be ordered here.
    pub(super) fn is_available(&self, now_ms: u64) -> bool {
        now_ms >= self.unavailable_until_ms
    }

    /// Whether `count` may be ordered now, while `expected` engines are expected.
    pub(super) fn may_order(&self, now_ms: u64, count: u32, expected: u32) -> bool {
        let is_increase = count > expected;
        if now_ms < self.closed_until_ms || (is_increase && !self.is_available(now_ms)) {
            return false;
        }
        match &self.last {
            None => true,
            Some(order) => match order.state {
                OrderState::InFlight | OrderState::Unanswered { .. } => false,
                OrderState::Accepted { .. } => {
                    order.is_increase() == is_increase
                        && now_ms >= order.first_sent_ms + MIN_ORDER_INTERVAL_MS
                }
            },
        }
    }

    /// Records that an order is being sent.
    pub(super) fn start(&mut self, now_ms: u64, count: u32) {
        self.last = Some(SentOrder {
            count,
            listed_before: self.listed,
            first_sent_ms: now_ms,
            state: OrderState::InFlight,
            repeats: 0,
            is_lost: false,
        });
    }

    /// Returns the order to repeat now because it has no answer, and records that it is being sent.
    pub(super) fn next_repeat(
        &mut self,
        now_ms: u64,
        zone: &str,
        kind: EngineKind,
    ) -> Option<FleetOrder> {
        let order = self.last.as_mut()?;
        match order.state {
            OrderState::Unanswered { repeat_ms } if now_ms >= repeat_ms => {}
            _ => return None,
        }
        order.state = OrderState::InFlight;
        order.repeats += 1;
        Some(FleetOrder {
            zone: zone.to_owned(),
            kind,
            count: order.count,
            before: self.listed,
            reason: OrderReason::Repeat,
        })
    }

    /// Records the answer to the order that is in flight.
    pub(super) fn record_answer(&mut self, now_ms: u64, boot_ms: u64, answer: OrderAnswer) {
        let Some(order) = &mut self.last else {
            return;
        };
        if order.state != OrderState::InFlight {
            return;
        }
        // A repeat that was not carried out says nothing about the sends before it.
        let is_open = order.repeats > 0 && !order.is_expired(now_ms);
        match answer {
            OrderAnswer::Accepted => {
                let visible_ms = now_ms + settle_ms(boot_ms);
                order.state = OrderState::Accepted { visible_ms };
                self.accepted = Some(order.count);
            }
            OrderAnswer::Unknown => order.await_repeat(now_ms),
            OrderAnswer::NotDone if is_open => order.await_repeat(now_ms),
            OrderAnswer::NotDone => self.last = None,
            OrderAnswer::Unavailable | OrderAnswer::Refused => {
                let is_increase = order.is_increase();
                match is_open {
                    true => {
                        order.await_repeat(now_ms);
                        order.is_lost = true;
                    }
                    false => self.last = None,
                }
                self.set_unavailable(now_ms);
                if !is_increase || answer == OrderAnswer::Refused {
                    self.closed_until_ms = self.unavailable_until_ms;
                }
            }
        }
    }
}

impl SentOrder {
    fn await_repeat(&mut self, now_ms: u64) {
        let repeat_ms = now_ms + (REPEAT_MS << self.repeats.min(3));
        self.state = OrderState::Unanswered { repeat_ms };
    }
}
