//! Exhaustive exploration of calls with one key; guards against a second execution.

use std::collections::HashSet;

use acaciabank_core::idempotency::{
    HolderKind, KeyAction, KeyCall, KeyEvent, KeyRowView, KeyState, RunOutcome,
};

/// Row of the modelled table: the state, its writer and the operation of the last write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ModelRow {
    version: u64,
    operation: u8,
    state: KeyState,
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
    alive: bool,
    ended: bool,
}

/// Every caller is a daemon of its own. Unanswered writes stay in `late` and may take effect at
/// any later time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    row: Option<ModelRow>,
    late: Vec<PendingWrite>,
    callers: Vec<Caller>,
    next_operation: u8,
    dispatches: u8,
    runs: u8,
    /// Dispatches that are not proven to be without effect.
    unproven: u8,
    writes_left: u8,
}

impl World {
    fn new(callers: usize) -> Self {
        let (call, action) = KeyCall::start();
        let caller = Caller {
            call,
            action,
            operation: 0,
            alive: true,
            ended: false,
        };
        Self {
            row: None,
            late: Vec::new(),
            callers: vec![caller; callers],
            next_operation: 1,
            dispatches: 0,
            runs: 0,
            unproven: 0,
            writes_left: 6,
        }
    }

    fn apply(&mut self, write: PendingWrite) -> bool {
        let holds = self.row.map(|row| row.version) == write.condition;
        if holds {
            self.row = Some(write.row);
        }
        holds
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

    fn fact(&self, index: usize) -> Option<KeyRowView> {
        self.row.map(|row| KeyRowView {
            version: row.version,
            own_operation: row.operation == self.callers[index].operation,
            state: row.state,
            same_fingerprint: true,
            expired: false,
            holder: match row.holder {
                holder if holder == index => HolderKind::Local,
                holder if self.callers[holder].alive => HolderKind::Remote,
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
        self.callers[index].ended = true;
        self
    }

    fn successors(&self) -> Vec<World> {
        let mut worlds = Vec::new();
        for position in 0..self.late.len() {
            let mut world = self.clone();
            let write = world.late.remove(position);
            world.apply(write);
            worlds.push(world);
        }
        for index in 0..self.callers.len() {
            let caller = &self.callers[index];
            if !caller.alive {
                continue;
            }
            let mut crashed = self.clone();
            crashed.callers[index].alive = false;
            worlds.push(crashed);
            if !caller.ended {
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
                        .step(index, KeyEvent::RowRead(self.fact(index))),
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
        unanswered.late.push(write);
        worlds.push(unanswered.step(index, KeyEvent::WriteUnknown));
        let event = match answered.apply(write) {
            true => KeyEvent::WriteCommitted,
            false => KeyEvent::WriteConflict,
        };
        worlds.push(answered.step(index, event));
    }

    /// Writes an outcome over the caller's own intent; a row of any other operation is kept.
    fn write_outcome(&self, index: usize, state: KeyState, worlds: &mut Vec<World>) {
        let own = self
            .row
            .filter(|row| row.operation == self.callers[index].operation);
        if let Some(row) = own {
            let mut world = self.clone();
            let write = world.write(index, Some(row.version), state);
            let mut unanswered = world.clone();
            unanswered.late.push(write);
            worlds.push(unanswered.end(index));
            world.apply(write);
            worlds.push(world.end(index));
        } else {
            worlds.push(self.clone().end(index));
        }
    }

    fn dispatch(&self, index: usize, worlds: &mut Vec<World>) {
        assert_eq!(
            self.unproven, 0,
            "dispatched again after a run that may have had an effect: {self:?}"
        );
        let mut world = self.clone();
        world.dispatches += 1;
        let not_run = world
            .clone()
            .step(index, KeyEvent::RunEnded(RunOutcome::NotRun));
        worlds.push(not_run);
        world.unproven += 1;
        let may = KeyEvent::RunEnded(RunOutcome::MayHaveRun);
        worlds.push(world.clone().step(index, may));
        world.runs += 1;
        worlds.push(world.clone().step(index, may));
        worlds.push(world.step(index, KeyEvent::RunEnded(RunOutcome::Answered)));
    }
}

fn explore(callers: usize) -> (usize, u8) {
    let mut seen = HashSet::new();
    let mut open = vec![World::new(callers)];
    let mut most_dispatches = 0;
    while let Some(world) = open.pop() {
        assert!(world.runs <= 1, "executed twice: {world:?}");
        most_dispatches = most_dispatches.max(world.dispatches);
        if seen.insert(world.clone()) {
            open.extend(world.successors());
        }
    }
    (seen.len(), most_dispatches)
}

/// Guards against a second execution when writes are lost or late and daemons crash at any point.
#[test]
fn key_runs_at_most_once_for_two_daemons() {
    let (states, dispatches) = explore(2);
    println!("{states} states, at most {dispatches} dispatches");
    assert!(dispatches >= 2, "the released key was never claimed");
}

/// Guards against a refusal that leaves a possibly committed intent in place for good.
#[test]
fn unanswered_write_is_released_when_it_cannot_be_read_back() {
    let (mut call, _) = KeyCall::start();
    assert_eq!(call.step(KeyEvent::WriteUnknown), KeyAction::Read);
    assert_eq!(call.step(KeyEvent::ReadFailed), KeyAction::RefuseAndRelease);
}
