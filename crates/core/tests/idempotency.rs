//! Exhaustive exploration of concurrent calls with one key. Guards against a second execution after
//! lost or late writes and crashed daemons.

use std::collections::HashSet;

use acaciabank_core::idempotency::{
    HolderKind, KeyAction, KeyCall, KeyEvent, KeyRowView, KeyState, RunOutcome,
};

/// The key's row in the modelled table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ModelRow {
    version: u64,
    /// Operation of the last write.
    operation: u8,
    state: KeyState,
    /// Index of the caller that wrote the row.
    holder: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PendingWrite {
    condition: Option<u64>,
    row: ModelRow,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Caller {
    call: KeyCall,
    action: KeyAction,
    operation: u8,
    is_alive: bool,
    has_ended: bool,
}

/// Callers, each at its own daemon, and the table. Writes in `pending_writes` may take effect at
/// any later time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    row: Option<ModelRow>,
    pending_writes: Vec<PendingWrite>,
    callers: Vec<Caller>,
    next_operation: u8,
    dispatches: u8,
    runs: u8,
    /// Dispatches that may have had an effect.
    possible_runs: u8,
    /// Bounds the number of writes, and with it the state space.
    writes_left: u8,
}

impl World {
    fn new(callers: usize) -> Self {
        let (call, action) = KeyCall::start();
        let caller = Caller {
            call,
            action,
            operation: 0,
            is_alive: true,
            has_ended: false,
        };
        Self {
            row: None,
            pending_writes: Vec::new(),
            callers: vec![caller; callers],
            next_operation: 1,
            dispatches: 0,
            runs: 0,
            possible_runs: 0,
            writes_left: 6,
        }
    }

    fn apply(&mut self, write: PendingWrite) -> bool {
        let is_met = self.row.map(|row| row.version) == write.condition;
        if is_met {
            self.row = Some(write.row);
        }
        is_met
    }

    fn write(&mut self, index: usize, condition: Option<u64>, state: KeyState) -> PendingWrite {
        let operation = self.next_operation;
        self.next_operation += 1;
        self.writes_left = self.writes_left.saturating_sub(1);
        self.callers[index].operation = operation;
        PendingWrite {
            condition,
            row: ModelRow {
                version: condition.unwrap_or(0) + 1,
                operation,
                state,
                holder: index,
            },
        }
    }

    fn row_view(&self, index: usize) -> Option<KeyRowView> {
        self.row.map(|row| KeyRowView {
            version: row.version,
            own_operation: row.operation == self.callers[index].operation,
            state: row.state,
            same_fingerprint: true,
            expired: false,
            holder: match row.holder {
                holder if holder == index => HolderKind::Local,
                holder if self.callers[holder].is_alive => HolderKind::Remote,
                _ => HolderKind::Gone,
            },
        })
    }

    fn step(mut self, index: usize, event: KeyEvent) -> Self {
        let caller = &mut self.callers[index];
        caller.action = caller.call.step(event);
        self
    }

    fn end(mut self, index: usize) -> Self {
        self.callers[index].has_ended = true;
        self
    }

    fn successors(&self) -> Vec<World> {
        let mut worlds = Vec::new();
        for position in 0..self.pending_writes.len() {
            let mut world = self.clone();
            let write = world.pending_writes.remove(position);
            world.apply(write);
            worlds.push(world);
        }
        for index in 0..self.callers.len() {
            let caller = &self.callers[index];
            if !caller.is_alive {
                continue;
            }
            let mut crashed = self.clone();
            crashed.callers[index].is_alive = false;
            worlds.push(crashed);
            if !caller.has_ended {
                self.act(index, &mut worlds);
            }
        }
        worlds
    }

    fn act(&self, index: usize, worlds: &mut Vec<World>) {
        match self.callers[index].action {
            KeyAction::Insert => self.write_intent(index, None, worlds),
            KeyAction::Claim(version) => self.write_intent(index, Some(version), worlds),
            KeyAction::Read => {
                worlds.push(
                    self.clone()
                        .step(index, KeyEvent::RowRead(self.row_view(index))),
                );
                worlds.push(self.clone().step(index, KeyEvent::ReadFailed));
            }
            KeyAction::AwaitLocal | KeyAction::AwaitRemote => {
                worlds.push(self.clone().step(index, KeyEvent::WaitEnded));
                worlds.push(self.clone().step(index, KeyEvent::WaitTimeout));
            }
            KeyAction::Dispatch => self.dispatch(index, worlds),
            KeyAction::RecordDone => self.write_outcome(index, KeyState::Done, worlds),
            KeyAction::RecordReleased | KeyAction::RefuseAndRelease => {
                self.write_outcome(index, KeyState::Released, worlds);
            }
            KeyAction::KeepIntent | KeyAction::Replay | KeyAction::Refuse(_) => {
                worlds.push(self.clone().end(index));
            }
        }
    }

    fn write_intent(&self, index: usize, condition: Option<u64>, worlds: &mut Vec<World>) {
        if self.writes_left == 0 {
            return;
        }
        worlds.push(self.clone().step(index, KeyEvent::WriteUnavailable));
        let mut answered = self.clone();
        let write = answered.write(index, condition, KeyState::Intent);
        let mut unanswered = answered.clone();
        unanswered.pending_writes.push(write);
        worlds.push(unanswered.step(index, KeyEvent::WriteUnknown));
        let event = match answered.apply(write) {
            true => KeyEvent::WriteCommitted,
            false => KeyEvent::WriteConflict,
        };
        worlds.push(answered.step(index, event));
    }

    /// Replaces the caller's own intent by an outcome; a row of any other operation is kept.
    fn write_outcome(&self, index: usize, state: KeyState, worlds: &mut Vec<World>) {
        let own = self
            .row
            .filter(|row| row.operation == self.callers[index].operation);
        if let Some(row) = own {
            let mut world = self.clone();
            let write = world.write(index, Some(row.version), state);
            let mut unanswered = world.clone();
            unanswered.pending_writes.push(write);
            worlds.push(unanswered.end(index));
            world.apply(write);
            worlds.push(world.end(index));
        } else {
            worlds.push(self.clone().end(index));
        }
    }

    fn dispatch(&self, index: usize, worlds: &mut Vec<World>) {
        assert_eq!(
            self.possible_runs, 0,
            "dispatched again after a dispatch that may have had an effect: {self:?}"
        );
        let mut world = self.clone();
        world.dispatches += 1;
        let not_run = world
            .clone()
            .step(index, KeyEvent::RunEnded(RunOutcome::NotRun));
        worlds.push(not_run);
        world.possible_runs += 1;
        let may_have_run = KeyEvent::RunEnded(RunOutcome::MayHaveRun);
        worlds.push(world.clone().step(index, may_have_run));
        world.runs += 1;
        worlds.push(world.clone().step(index, may_have_run));
        worlds.push(world.step(index, KeyEvent::RunEnded(RunOutcome::Answered)));
    }
}

/// Visits all reachable states; returns their number and the most dispatches in any of them.
fn explore(callers: usize) -> (usize, u8) {
    let mut seen = HashSet::new();
    let mut open = vec![World::new(callers)];
    let mut max_dispatches = 0;
    while let Some(world) = open.pop() {
        assert!(world.runs <= 1, "executed twice: {world:?}");
        max_dispatches = max_dispatches.max(world.dispatches);
        if seen.insert(world.clone()) {
            open.extend(world.successors());
        }
    }
    (seen.len(), max_dispatches)
}

/// Guards against a second execution when writes are lost or late and daemons crash at any point.
#[test]
fn key_runs_at_most_once_for_two_daemons() {
    let (states, dispatches) = explore(2);
    println!("{states} states, at most {dispatches} dispatches");
    assert!(dispatches >= 2, "the released key was never claimed");
}

/// Guards against a refusal that leaves a possibly committed intent in place, so that the key stays
/// blocked until the row expires.
#[test]
fn unanswered_write_is_released_when_it_cannot_be_read_back() {
    let (mut call, _) = KeyCall::start();
    assert_eq!(call.step(KeyEvent::WriteUnknown), KeyAction::Read);
    assert_eq!(call.step(KeyEvent::ReadFailed), KeyAction::RefuseAndRelease);
}
