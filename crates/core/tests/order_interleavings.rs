//! Exhaustive interleavings of two lease holders and one target. Guards against an order that takes
//! effect after one with a higher fencing token, which happens when a holder is paused before any
//! of its steps while its successor takes over.

use std::{
    collections::HashSet,
    hash::{self, Hash, Hasher},
};

use acaciabank_core::{
    lease::LeaseTimers,
    order::{
        self, ConnectionTimes, IntentAuthor, IntentState, OrderProgress, SendCheck, SendDecision,
        TakeoverWait, TargetRow,
    },
};
use acaciabank_protocol::{ids, settings, wire};

const TIMERS: LeaseTimers = LeaseTimers {
    ttl_ms: 2,
    renewal_ms: 1,
    margin_ms: 1,
};
const IDLE_CLOSE_MS: u64 = 4;
/// End of the exploration of a target that checks fencing tokens.
const LAST_CHECKED_MS: u64 = 8;
/// End of the exploration of a target that ignores fencing tokens. It leaves time for an order
/// after the takeover at 3 ms and the wait of 10 ms.
const LAST_IGNORED_MS: u64 = 14;

/// Rules that an exploration applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    /// All rules.
    AllRules,
    /// Without the rule for connections: any connection is used, and a closed one is reopened.
    AnyConnection,
    /// Without the successor's wait.
    NoWait,
}

/// Progress of a holder's order.
#[derive(Clone, Debug, PartialEq)]
enum Stage {
    Start,
    Connected(ConnectionTimes),
    /// The intent is written; with the time before its write.
    Intended(ConnectionTimes, u64),
    /// The check before sending has passed.
    Checked(ConnectionTimes),
    Ended,
}

#[derive(Clone, Debug, PartialEq)]
struct Holder {
    term: u64,
    stage: Stage,
    /// Row that the holder has written.
    own_row: Option<TargetRow>,
}

#[derive(Clone, Debug, PartialEq)]
struct World {
    fencing: settings::FencingSupport,
    variant: Variant,
    now_ms: u64,
    lease_term: u64,
    /// Time at which the second holder took over.
    taken_over_ms: u64,
    row: Option<TargetRow>,
    holders: [Holder; 2],
    /// Orders that took effect, in their order in time.
    applied: Vec<wire::OrderRequest>,
    /// Orders that the target refused for their fencing token.
    refusals: u32,
}

fn action() -> wire::OrderAction {
    wire::OrderAction::SetRole {
        role: settings::EngineRole::Decode,
    }
}

impl World {
    fn new(fencing: settings::FencingSupport, variant: Variant) -> Self {
        let holder = |term| Holder {
            term,
            stage: Stage::Start,
            own_row: None,
        };
        Self {
            fencing,
            variant,
            now_ms: 0,
            lease_term: 1,
            taken_over_ms: 0,
            row: None,
            holders: [holder(1), holder(2)],
            applied: Vec::new(),
            refusals: 0,
        }
    }

    fn idle_close_ms(&self) -> Option<u64> {
        (self.fencing == settings::FencingSupport::Ignored).then_some(IDLE_CLOSE_MS)
    }

    /// The first holder renewed its lease at 0 only; the second one never loses its lease.
    fn act_until_ms(&self, index: usize) -> u64 {
        match index {
            0 => TIMERS.ttl_ms - TIMERS.margin_ms,
            _ => u64::MAX,
        }
    }

    fn is_closed(&self, connection: &ConnectionTimes) -> bool {
        let idle_ms = self.now_ms - connection.last_used_ms;
        self.idle_close_ms()
            .is_some_and(|close_ms| idle_ms >= close_ms)
    }

    fn successors(&self) -> Vec<World> {
        let mut worlds = Vec::new();
        let last_ms = match self.fencing {
            settings::FencingSupport::Checked => LAST_CHECKED_MS,
            settings::FencingSupport::Ignored => LAST_IGNORED_MS,
        };
        if self.now_ms < last_ms {
            let mut world = self.clone();
            world.now_ms += 1;
            worlds.push(world);
        }
        if self.lease_term == 1 && self.now_ms >= TIMERS.ttl_ms + TIMERS.margin_ms {
            let mut world = self.clone();
            world.lease_term = 2;
            world.taken_over_ms = self.now_ms;
            worlds.push(world);
        }
        for index in 0..2 {
            if index == 0 || self.lease_term == 2 {
                worlds.extend(self.step(index));
            }
        }
        worlds
    }

    fn step(&self, index: usize) -> Vec<World> {
        let mut world = self.clone();
        match &self.holders[index].stage {
            Stage::Ended => return Vec::new(),
            Stage::Start => {
                if index == 1 && !world.recover() {
                    return Vec::new();
                }
                if world.holders[index].stage == Stage::Start {
                    world.holders[index].stage = Stage::Connected(ConnectionTimes {
                        opened_ms: self.now_ms,
                        last_used_ms: self.now_ms,
                    });
                }
            }
            Stage::Connected(connection) => {
                // The successor does not use its connection before the order: that would only
                // multiply the states.
                let mut used = self.clone();
                if index == 0
                    && !self.is_closed(connection)
                    && connection.last_used_ms < self.now_ms
                {
                    used.holders[index].stage = Stage::Connected(ConnectionTimes {
                        last_used_ms: self.now_ms,
                        ..*connection
                    });
                    let intended = self.write_intent(index, *connection);
                    return std::iter::once(used).chain(intended).collect();
                }
                return self.write_intent(index, *connection).into_iter().collect();
            }
            Stage::Intended(connection, intent_ms) => world.decide(index, *connection, *intent_ms),
            Stage::Checked(connection) => world.send(index, connection),
        }
        vec![world]
    }

    /// Has the successor assess an unfinished order; returns `false` while it has to wait.
    fn recover(&mut self) -> bool {
        let open = self.row.clone();
        let Some(row) = open.filter(|row| row.state == IntentState::Intended) else {
            return true;
        };
        let last_order = self.applied.last().map(|order| wire::OrderState {
            order_id: order.order_id.clone(),
            fencing: order.fencing,
            outcome: wire::OrderOutcome::Done,
        });
        let observed = wire::EngineState {
            boot_id: "one".to_owned(),
            role: settings::EngineRole::Mixed,
            models: Vec::new(),
            switching: None,
            highest_fencing: 0,
            last_order,
        };
        if order::assess(&row, &observed) == OrderProgress::Done {
            let state = IntentState::Done;
            self.row = Some(TargetRow { state, ..row });
            return true;
        }
        let wait = order::takeover_wait(self.fencing, self.idle_close_ms(), &TIMERS);
        match wait {
            TakeoverWait::Time(wait_ms) => {
                self.variant == Variant::NoWait || self.now_ms >= self.taken_over_ms + wait_ms
            }
            TakeoverWait::Confirmation => false,
        }
    }

    /// The transaction that checks the lease's row and writes the target's row.
    fn write_intent(&self, index: usize, connection: ConnectionTimes) -> Option<World> {
        let mut world = self.clone();
        let holder = &mut world.holders[index];
        if self.lease_term != holder.term {
            holder.stage = Stage::Ended;
            return Some(world);
        }
        let author = IntentAuthor {
            holder: ids::DaemonId::new(format!("d{index}")),
            term: holder.term,
        };
        let order_id = ids::OrderId::new(format!("o{index}"));
        let open = self
            .row
            .as_ref()
            .filter(|row| row.state == IntentState::Intended);
        let row = match open {
            Some(open) => order::supersede(open, &author, order_id, action()),
            None => order::new_intent(self.row.as_ref(), &author, order_id, action()),
        };
        let row = row.expect("the holder's term is not lower than that of the row");
        holder.own_row = Some(row.clone());
        holder.stage = Stage::Intended(connection, self.now_ms);
        world.row = Some(row);
        Some(world)
    }

    fn decide(&mut self, index: usize, connection: ConnectionTimes, intent_ms: u64) {
        let check = SendCheck {
            fencing: match self.variant {
                Variant::AnyConnection => settings::FencingSupport::Checked,
                Variant::AllRules | Variant::NoWait => self.fencing,
            },
            admin_idle_close_ms: self.idle_close_ms(),
            connection,
            intent_ms,
            act_until_ms: self.act_until_ms(index),
        };
        self.holders[index].stage = match check.decide(self.now_ms) {
            SendDecision::Send => Stage::Checked(connection),
            _ => {
                self.record_end(index, IntentState::Failed);
                Stage::Ended
            }
        };
    }

    fn send(&mut self, index: usize, connection: &ConnectionTimes) {
        self.holders[index].stage = Stage::Ended;
        if self.is_closed(connection) && self.variant != Variant::AnyConnection {
            return;
        }
        let order = self.holders[index].own_row.clone().expect("own row").order;
        let highest = self.applied.iter().map(|order| order.fencing).max();
        let is_stale = highest.is_some_and(|highest| order.fencing <= highest);
        if is_stale && self.fencing == settings::FencingSupport::Checked {
            self.refusals += 1;
            return;
        }
        self.applied.push(order);
        self.record_end(index, IntentState::Done);
    }

    /// Records the end of the holder's order, unless the successor has replaced the row.
    fn record_end(&mut self, index: usize, state: IntentState) {
        let own_row = self.holders[index].own_row.clone().expect("own row");
        if self.row.as_ref() == Some(&own_row) {
            self.row = Some(TargetRow { state, ..own_row });
        }
    }

    fn is_ordered(&self) -> bool {
        self.applied
            .windows(2)
            .all(|pair| pair[0].fencing < pair[1].fencing)
    }
}

/// Results of an exploration, in numbers of states.
#[derive(Debug, Default)]
struct Findings {
    states: usize,
    /// States in which an order took effect after one with a higher fencing token.
    out_of_order: usize,
    /// States in which the target has refused an order.
    refused: usize,
    /// States in which an order of the second holder took effect.
    successor_orders: usize,
}

fn explore(fencing: settings::FencingSupport, variant: Variant) -> Findings {
    let mut findings = Findings::default();
    let mut seen = HashSet::new();
    let mut open = vec![World::new(fencing, variant)];
    while let Some(world) = open.pop()
        && findings.out_of_order == 0
    {
        let mut hasher = hash::DefaultHasher::new();
        format!("{world:?}").hash(&mut hasher);
        if !seen.insert(hasher.finish()) {
            continue;
        }
        findings.states += 1;
        findings.out_of_order += usize::from(!world.is_ordered());
        findings.refused += usize::from(world.refusals > 0);
        let mut applied = world.applied.iter();
        let is_successor = applied.any(|order| order.order_id.as_str() == "o1");
        findings.successor_orders += usize::from(is_successor);
        open.extend(world.successors());
    }
    println!("{fencing:?} {variant:?}: {findings:?}");
    findings
}

/// Guards against a paused holder's order that takes effect late at a target that checks fencing
/// tokens.
#[test]
fn late_orders_have_no_effect_at_a_checking_target() {
    let findings = explore(settings::FencingSupport::Checked, Variant::AllRules);
    assert_eq!(findings.out_of_order, 0);
    assert!(findings.refused > 0, "no late order was explored");
}

/// Guards against the same at a target that ignores fencing tokens, where the closing of idle
/// connections and the successor's wait have to prevent it.
#[test]
fn late_orders_have_no_effect_at_an_ignoring_target() {
    let findings = explore(settings::FencingSupport::Ignored, Variant::AllRules);
    assert_eq!(findings.out_of_order, 0);
    assert!(
        findings.successor_orders > 0,
        "no order of the successor took effect"
    );
}

/// Guards against an exploration that could not find a late order: without the rule for
/// connections, or without the successor's wait, one has to take effect.
#[test]
fn late_orders_take_effect_without_the_rules_for_ignoring_targets() {
    for variant in [Variant::AnyConnection, Variant::NoWait] {
        let findings = explore(settings::FencingSupport::Ignored, variant);
        assert!(findings.out_of_order > 0, "{variant:?} shows no late order");
    }
}
