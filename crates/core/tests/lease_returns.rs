//! Random walks of daemons that compete for one lease in a store that comes back from older copies.
//! Guards against two holders that act at the same time or shortly after each other, against
//! fencing tokens that are used again, and against a lease that stays unheld.

use acaciabank_core::{
    lease::{
        LeaseElector, LeaseRead, LeaseRow, LeaseStep, LeaseTimers, LeaseWrite, VersionedRow,
        WriteResult,
    },
    store_version::{FIRST_ERA, StoreVersion},
};
use acaciabank_protocol::ids;
use rand::{RngExt, SeedableRng, rngs};

const TIMERS: LeaseTimers = LeaseTimers {
    ttl_ms: 6,
    renewal_ms: 2,
    margin_ms: 2,
};
const NAMES: [&str; 3] = ["a", "b", "c"];
const SEEDS: u64 = 3_000;
const STEPS: usize = 400;
/// Time after which somebody holds the lease if no call fails: the wait of a challenger for a row
/// that it has just read, and some calls.
const ELECTION_MS: u64 = TIMERS.ttl_ms + TIMERS.margin_ms + 4;
/// Steps in which a daemon completes a write that conflicts, a read and another write.
const CALL_STEPS: usize = 12;
/// Number of the last events that a failure prints.
const SHOWN_EVENTS: usize = 40;

/// Contents of the store, and of a copy of it.
#[derive(Clone, Debug, Default)]
struct StoreState {
    number: u64,
    row: Option<(u64, LeaseRow)>,
}

/// The store with the copies that it may come back from.
struct Store {
    era: u64,
    state: StoreState,
    copies: Vec<StoreState>,
}

impl Store {
    fn new() -> Self {
        Self {
            era: FIRST_ERA,
            state: StoreState::default(),
            copies: Vec::new(),
        }
    }

    fn read(&self) -> LeaseRead {
        let row = self.state.row.as_ref();
        let row = row.map(|(number, body)| VersionedRow {
            version: StoreVersion::new(self.era, *number),
            body: body.clone(),
        });
        LeaseRead { era: self.era, row }
    }

    /// Assigns the next version number, as a write of any row does.
    fn advance(&mut self) -> u64 {
        self.copies.push(self.state.clone());
        self.state.number += 1;
        self.state.number
    }

    /// Applies a write if the row's number meets the condition. The store knows no eras in
    /// conditions, so that a write of an earlier era may meet it by chance.
    fn apply(&mut self, write: &LeaseWrite) -> WriteResult {
        let number = self.state.row.as_ref().map(|(number, _)| *number);
        if number != write.condition.map(|version| version.number) {
            return WriteResult::Conflict;
        }
        let number = self.advance();
        self.state.row = Some((number, write.body.clone()));
        WriteResult::Committed(StoreVersion::new(self.era, number))
    }

    /// Returns to the state before the last `writes` writes.
    fn return_to(&mut self, writes: usize) {
        let kept = self.copies.len().saturating_sub(writes);
        if let Some(copy) = self.copies.get(kept) {
            self.state = copy.clone();
            self.copies.truncate(kept);
        }
        self.era += 1;
    }
}

/// A call of a daemon to the store that has not returned.
enum Call {
    Read(Option<LeaseRead>),
    Write {
        write: LeaseWrite,
        sent_ms: u64,
        result: Option<WriteResult>,
    },
}

/// A daemon: its present run, and its call.
struct Daemon {
    name: &'static str,
    boot_id: u64,
    elector: LeaseElector,
    call: Option<Call>,
}

impl Daemon {
    fn new(name: &'static str, boot_id: u64) -> Self {
        Self {
            name,
            boot_id,
            elector: LeaseElector::new(ids::DaemonId::from(name), boot_id, TIMERS),
            call: None,
        }
    }

    fn run(&self) -> (&'static str, u64) {
        (self.name, self.boot_id)
    }
}

/// What a run of a daemon was granted.
#[derive(Clone, Copy, Debug)]
struct Tenure {
    run: (&'static str, u64),
    token: StoreVersion,
    /// Time until which it may act; `None` after it resigned.
    end_ms: Option<u64>,
}

struct World {
    rng: rngs::StdRng,
    now_ms: u64,
    store: Store,
    daemons: Vec<Daemon>,
    /// Writes without a response that may still take effect.
    late: Vec<LeaseWrite>,
    tenures: Vec<Tenure>,
    events: Vec<String>,
    /// Number of the states in which a run acted that had taken over from another one in a later
    /// era.
    late_takeovers: usize,
    /// Number of the writes that met their condition on a row of another era.
    chance_writes: usize,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = rngs::StdRng::seed_from_u64(seed);
        let count = rng.random_range(2..=NAMES.len());
        let daemons = NAMES[..count].iter().map(|name| Daemon::new(name, 1));
        Self {
            rng,
            now_ms: 0,
            store: Store::new(),
            daemons: daemons.collect(),
            late: Vec::new(),
            tenures: Vec::new(),
            events: Vec::new(),
            late_takeovers: 0,
            chance_writes: 0,
        }
    }

    fn log(&mut self, event: String) {
        let (now_ms, era) = (self.now_ms, self.store.era);
        self.events.push(format!("{now_ms} ms, era {era}: {event}"));
    }

    /// Applies one random event.
    fn step(&mut self) {
        let daemon = self.rng.random_range(0..self.daemons.len());
        match self.rng.random_range(0..100) {
            0..20 => self.now_ms += 1,
            20..22 => self.return_store(),
            22..26 => {
                self.store.advance();
            }
            26..32 if !self.late.is_empty() => self.apply_late(),
            32 if self.rng.random_bool(0.3) => self.restart(daemon),
            33 if self.daemons[daemon].call.is_none() => self.resign(daemon),
            34..38 => self.fail_call(daemon),
            _ => self.advance_call(daemon),
        }
    }

    fn return_store(&mut self) {
        let writes = self.rng.random_range(0..8);
        self.store.return_to(writes);
        let state = &self.store.state;
        let text = format!("returns by {writes} writes to {state:?}");
        self.log(text);
    }

    fn apply(&mut self, write: &LeaseWrite) -> WriteResult {
        let result = self.store.apply(write);
        if let WriteResult::Committed(version) = result
            && write.body.acquired.era != version.era
        {
            self.chance_writes += 1;
        }
        self.log(format!("applies {write:?}: {result:?}"));
        result
    }

    fn apply_late(&mut self) {
        let position = self.rng.random_range(0..self.late.len());
        let write = self.late.swap_remove(position);
        if self.rng.random_bool(0.8) {
            self.apply(&write);
        }
    }

    fn restart(&mut self, daemon: usize) {
        let known = &mut self.daemons[daemon];
        let restarted = Daemon::new(known.name, known.boot_id + 1);
        let ended = std::mem::replace(known, restarted);
        self.log(format!("{:?} restarts", ended.run()));
        if let Some(Call::Write {
            write,
            result: None,
            ..
        }) = ended.call
        {
            self.late.push(write);
        }
    }

    fn resign(&mut self, daemon: usize) {
        let now_ms = self.now_ms;
        let resigning = &mut self.daemons[daemon];
        let Some(write) = resigning.elector.resign(now_ms) else {
            return;
        };
        let run = resigning.run();
        resigning.call = Some(Call::Write {
            write,
            sent_ms: now_ms,
            result: None,
        });
        for tenure in self.tenures.iter_mut().filter(|tenure| tenure.run == run) {
            tenure.end_ms = None;
        }
        self.log(format!("{run:?} resigns"));
    }

    /// Ends a call without its response.
    fn fail_call(&mut self, daemon: usize) {
        let is_refused = self.rng.random_bool(0.3);
        let caller = &mut self.daemons[daemon];
        let run = caller.run();
        let Some(Call::Write {
            write,
            sent_ms,
            result,
        }) = caller.call.take()
        else {
            return;
        };
        let failure = match result {
            None if is_refused => WriteResult::Unavailable,
            None => {
                self.late.push(write.clone());
                WriteResult::Unknown
            }
            Some(_) => WriteResult::Unknown,
        };
        caller.elector.on_written(sent_ms, &write, failure);
        self.log(format!("{run:?} gets {failure:?} for {write:?}"));
    }

    /// Starts a call of a daemon, carries it out in the store, or passes on its response.
    fn advance_call(&mut self, daemon: usize) {
        let now_ms = self.now_ms;
        let extra_wait_ms = self.rng.random_range(0..2);
        let caller = &mut self.daemons[daemon];
        let run = caller.run();
        let write_call = |step| match step {
            LeaseStep::Write(write) => Some(Call::Write {
                write,
                sent_ms: now_ms,
                result: None,
            }),
            LeaseStep::Read => Some(Call::Read(None)),
            LeaseStep::Wait => None,
        };
        match caller.call.take() {
            None => caller.call = write_call(caller.elector.on_tick(now_ms)),
            Some(Call::Read(None)) => caller.call = Some(Call::Read(Some(self.store.read()))),
            Some(Call::Read(Some(read))) => {
                let step = caller.elector.on_read(now_ms, &read, extra_wait_ms);
                self.log(format!("{run:?} reads {read:?}: {step:?}"));
                self.daemons[daemon].call = write_call(step);
            }
            Some(Call::Write {
                write,
                sent_ms,
                result: Some(result),
            }) => {
                caller.elector.on_written(sent_ms, &write, result);
                self.log(format!("{run:?} gets {result:?} for {write:?}"));
            }
            Some(Call::Write { write, sent_ms, .. }) => {
                let result = Some(self.apply(&write));
                self.daemons[daemon].call = Some(Call::Write {
                    write,
                    sent_ms,
                    result,
                });
            }
        }
    }

    /// Completes the due calls of a daemon within the present millisecond.
    fn complete_calls(&mut self, daemon: usize) {
        for _ in 0..CALL_STEPS {
            self.advance_call(daemon);
        }
    }

    fn check(&mut self) -> Result<(), String> {
        let now_ms = self.now_ms;
        let grants = self.daemons.iter().map(|daemon| {
            let grant = daemon.elector.grant(now_ms);
            grant.map(|grant| (daemon.run(), grant))
        });
        let grants: Vec<_> = grants.flatten().collect();
        if grants.len() > 1 {
            return Err(format!("two holders act: {grants:?}"));
        }
        let Some((run, grant)) = grants.first().copied() else {
            return Ok(());
        };
        let last = self.tenures.last().copied();
        let is_successor = last.is_none_or(|last| last.run != run);
        if is_successor {
            self.check_successor(run, grant.token)?;
            let is_later_era = last.is_some_and(|last| last.token.era < grant.token.era);
            self.late_takeovers += usize::from(is_later_era);
            self.tenures.push(Tenure {
                run,
                token: grant.token,
                end_ms: Some(grant.act_until_ms),
            });
        }
        let tenure = self.tenures.last_mut().expect("a tenure");
        if token_parts(grant.token) < token_parts(tenure.token) {
            return Err(format!("the token of {tenure:?} falls: {grant:?}"));
        }
        tenure.token = grant.token;
        tenure.end_ms = tenure.end_ms.max(Some(grant.act_until_ms));
        Ok(())
    }

    /// Checks the distance and the token of a run that starts to act.
    fn check_successor(&self, run: (&'static str, u64), token: StoreVersion) -> Result<(), String> {
        for earlier in &self.tenures {
            if earlier.run != run
                && let Some(end_ms) = earlier.end_ms
                && self.now_ms < end_ms + 2 * TIMERS.margin_ms
            {
                return Err(format!("{run:?} acts too early after {earlier:?}"));
            }
            let is_higher = token_parts(token) > token_parts(earlier.token)
                && token.to_fencing_token() > earlier.token.to_fencing_token();
            if !is_higher {
                return Err(format!("{run:?} acts with {token:?} after {earlier:?}"));
            }
        }
        Ok(())
    }

    fn is_held(&self) -> bool {
        let mut electors = self.daemons.iter().map(|daemon| &daemon.elector);
        electors.any(|elector| elector.may_act(self.now_ms))
    }
}

/// The order of tokens, stated apart from the order of the tested type.
fn token_parts(token: StoreVersion) -> (u64, u64) {
    (token.era, token.number)
}

fn fail(seed: u64, world: &World, violation: &str) -> ! {
    let start = world.events.len().saturating_sub(SHOWN_EVENTS);
    let events = world.events[start..].join("\n");
    panic!("seed {seed}, {} ms: {violation}\n{events}", world.now_ms);
}

/// Guards against two grants that are valid at the same time or less than two margins apart, and
/// against a successor whose token is not higher, because the store has lost or replaced the
/// holder's row.
#[test]
fn holders_are_apart_and_their_tokens_rise_across_returns() {
    let (mut late_takeovers, mut chance_writes) = (0, 0);
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        for _ in 0..STEPS {
            world.step();
            if let Err(violation) = world.check() {
                fail(seed, &world, &violation);
            }
        }
        late_takeovers += world.late_takeovers;
        chance_writes += world.chance_writes;
    }
    println!("{late_takeovers} takeovers in a later era, {chance_writes} writes by chance");
    assert!(late_takeovers > 0 && chance_writes > 0);
}

/// Guards against a lease that stays unheld after returns, lost responses and restarts, also if
/// only one daemon is left, and against holders that are too close while it is taken over.
#[test]
fn somebody_holds_the_lease_again() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        let steps = world.rng.random_range(0..STEPS);
        for _ in 0..steps {
            world.step();
            if let Err(violation) = world.check() {
                fail(seed, &world, &violation);
            }
        }
        let running = match world.rng.random_bool(0.5) {
            true => world.daemons.len(),
            false => 1,
        };
        world.late.clear();
        let end_ms = world.now_ms + ELECTION_MS;
        while !(world.is_held() && world.now_ms > end_ms) {
            world.now_ms += 1;
            for daemon in 0..running {
                world.complete_calls(daemon);
                if let Err(violation) = world.check() {
                    fail(seed, &world, &violation);
                }
            }
            if world.now_ms > end_ms + TIMERS.ttl_ms {
                fail(seed, &world, "nobody holds the lease");
            }
        }
    }
}

/// Guards against a holder that stops while its grant is valid, because a return has lost its row,
/// has brought back an older one, or a late write has replaced it by chance.
#[test]
fn a_holder_continues_over_returns() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        while !world.is_held() {
            world.now_ms += 1;
            world.complete_calls(0);
        }
        for _ in 0..STEPS / 2 {
            let other = world.rng.random_range(1..world.daemons.len());
            match world.rng.random_range(0..20) {
                0 => world.return_store(),
                1 => {
                    world.store.advance();
                }
                2 if !world.late.is_empty() => world.apply_late(),
                3 => world.restart(other),
                4 | 5 => world.fail_call(other),
                6..10 => {
                    world.now_ms += 1;
                    world.complete_calls(0);
                }
                _ => world.advance_call(other),
            }
            if let Err(violation) = world.check() {
                fail(seed, &world, &violation);
            }
            if !world.daemons[0].elector.may_act(world.now_ms) {
                fail(seed, &world, "the holder has stopped");
            }
        }
    }
}
