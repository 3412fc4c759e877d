//! Tests of the member table: entry versions, failure detection, gossip and ownership of targets.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
    time::Instant,
};

use acaciabank_core::{
    member::{
        Applied, EntryVersion, Heartbeat, HeartbeatApplied, Liveness, MemberEntry, MemberState,
        MemberTable, MemberTimers, Rumors, TargetLoad, owner_of,
    },
    suspect,
};
use acaciabank_protocol::ids;
use rand::{SeedableRng, rngs::StdRng};

const TIMERS: MemberTimers = MemberTimers {
    tick: Duration::from_secs(1),
    suspect_after: Duration::from_secs(3),
    dead_after: Duration::from_secs(10),
};

/// Creates an entry whose content depends only on name and version, as for a real daemon.
fn entry(daemon: &str, boot_id: u64, sequence: u64) -> MemberEntry {
    let state = match sequence % 3 {
        0 => MemberState::Joining,
        1 => MemberState::Ready,
        _ => MemberState::Draining,
    };
    MemberEntry {
        daemon: ids::DaemonId::new(daemon),
        region: ids::RegionId::new("perth"),
        zone: ids::ZoneId::new("perth-a"),
        version: EntryVersion { boot_id, sequence },
        state,
        caller_address: "127.0.0.1:7001".parse().expect("valid socket address"),
        peer_address: "127.0.0.1:7002".parse().expect("valid socket address"),
        config_version: boot_id + sequence,
        loads: Vec::new(),
        suspects: suspect::SuspectReport::default(),
    }
}

fn table(now: Instant) -> MemberTable {
    MemberTable::new(entry("own", 1, 0), TIMERS, now)
}

fn entries(table: &MemberTable, now: Instant) -> Vec<MemberEntry> {
    table
        .others(now)
        .map(|(entry, _, _)| entry.clone())
        .collect()
}

/// Guards against tables that depend on the order of arrival, and against replacing an entry by an
/// older one.
#[test]
fn tables_converge_for_any_order_of_arrival() {
    bolero::check!()
        .with_type::<(Vec<(u8, u8, u8)>, u64)>()
        .for_each(|(versions, seed)| {
            let now = Instant::now();
            let sent: Vec<_> = versions
                .iter()
                .map(|(daemon, boot, sequence)| {
                    entry(
                        &format!("d{}", daemon % 5),
                        (boot % 4).into(),
                        (*sequence).into(),
                    )
                })
                .collect();
            let mut shuffled = sent.clone();
            shuffle(&mut shuffled, *seed);
            let mut first = table(now);
            let mut second = table(now);
            for entry in &sent {
                first.apply(entry.clone(), now);
            }
            let mut highest = BTreeMap::new();
            for entry in &shuffled {
                second.apply(entry.clone(), now);
                let known = second
                    .entry(&entry.daemon)
                    .expect("the entry was applied")
                    .version;
                let highest = highest.entry(entry.daemon.clone()).or_insert(known);
                assert!(known >= *highest && known >= entry.version);
                *highest = known;
            }
            assert_eq!(entries(&first, now), entries(&second, now));
        });
}

fn shuffle(items: &mut [MemberEntry], seed: u64) {
    let mut state = seed | 1;
    for index in (1..items.len()).rev() {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        items.swap(index, (state >> 33) as usize % (index + 1));
    }
}

/// Guards against a silent daemon that stays alive for others, and against an old entry that
/// restores it.
#[test]
fn silent_daemon_becomes_suspect_then_dead() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let name = ids::DaemonId::new("b");
    let mut table = table(start);
    assert_eq!(table.apply(entry("b", 2, 4), start), Applied::Changed);
    assert_eq!(table.liveness(&name, at(2_999)), Some(Liveness::Alive));
    assert_eq!(table.liveness(&name, at(3_000)), Some(Liveness::Suspect));
    assert_eq!(table.liveness(&name, at(10_000)), Some(Liveness::Dead));
    assert_eq!(table.apply(entry("b", 2, 4), at(11_000)), Applied::Ignored);
    assert_eq!(table.apply(entry("b", 1, 9), at(11_000)), Applied::Ignored);
    assert_eq!(table.liveness(&name, at(11_000)), Some(Liveness::Dead));
    assert_eq!(table.apply(entry("b", 3, 0), at(11_000)), Applied::Changed);
    assert_eq!(table.liveness(&name, at(11_000)), Some(Liveness::Alive));
    table.compensate_pause(Duration::from_secs(20), at(32_000));
    assert_eq!(table.liveness(&name, at(32_000)), Some(Liveness::Alive));
    assert_eq!(table.liveness(&name, at(34_000)), Some(Liveness::Suspect));
}

/// Guards against another run of this daemon replacing the entry of the current run.
#[test]
fn own_entry_is_never_replaced() {
    let now = Instant::now();
    let mut table = table(now);
    assert_eq!(table.apply(entry("own", 0, 9), now), Applied::Ignored);
    assert_eq!(table.apply(entry("own", 2, 0), now), Applied::IdConflict);
    assert_eq!(table.own().version.boot_id, 1);
}

/// Guards against records that are forwarded forever, and against full entries that are sent where
/// a heartbeat is enough.
#[test]
fn record_is_forwarded_in_one_tick() {
    let now = Instant::now();
    let mut table = table(now);
    table.apply(entry("b", 1, 1), now);
    let sizes = |rumors: Rumors| (rumors.entries.len(), rumors.heartbeats.len());
    assert_eq!(sizes(table.take_rumors(now)), (2, 0));
    assert_eq!(sizes(table.take_rumors(now)), (0, 0));
    table.apply(entry("b", 1, 1), now);
    assert_eq!(sizes(table.take_rumors(now)), (0, 0));
    table.apply(entry("b", 1, 2), now);
    assert_eq!(sizes(table.take_rumors(now)), (0, 1));
    table.apply(entry("b", 2, 0), now);
    assert_eq!(sizes(table.take_rumors(now)), (1, 0));
}

/// Guards against applying a heartbeat of an unknown run to the known one, and against a heartbeat
/// that does not restore a silent daemon or does not update its state.
#[test]
fn heartbeat_applies_to_the_known_run_only() {
    let start = Instant::now();
    let mut sender = MemberTable::new(entry("b", 7, 0), TIMERS, start);
    let mut receiver = table(start);
    let unknown = receiver.apply_heartbeat(&sender.respond_to_probe(start), start);
    assert_eq!(unknown, HeartbeatApplied::Unknown);
    receiver.apply(sender.own().clone(), start);
    let later = start + Duration::from_secs(4);
    let next = MemberEntry {
        state: MemberState::Ready,
        config_version: 9,
        ..sender.own().clone()
    };
    sender.publish(next, later);
    let name = ids::DaemonId::new("b");
    assert_eq!(receiver.liveness(&name, later), Some(Liveness::Suspect));
    let heartbeat = sender.respond_to_probe(later);
    let changed = HeartbeatApplied::Known(Applied::Changed);
    assert_eq!(receiver.apply_heartbeat(&heartbeat, later), changed);
    assert_eq!(receiver.liveness(&name, later), Some(Liveness::Alive));
    let known = receiver.entry(&name).expect("daemon b is known");
    assert_eq!((known.state, known.config_version), (MemberState::Ready, 9));
    let ignored = HeartbeatApplied::Known(Applied::Ignored);
    assert_eq!(receiver.apply_heartbeat(&heartbeat, later), ignored);
    let other_run = Heartbeat {
        short_boot_id: heartbeat.short_boot_id + 1,
        sequence: heartbeat.sequence + 1,
        ..heartbeat
    };
    let applied = receiver.apply_heartbeat(&other_run, later);
    assert_eq!(applied, HeartbeatApplied::Unknown);
}

/// Guards against applying a load report twice, and against applying one of another run.
#[test]
fn load_report_is_new_once() {
    let now = Instant::now();
    let load = |target_hash| TargetLoad {
        target_hash,
        ..TargetLoad::default()
    };
    let loaded = MemberEntry {
        loads: vec![load(1), load(2)],
        ..entry("b", 3, 0)
    };
    let mut sender = MemberTable::new(loaded.clone(), TIMERS, now);
    let mut receiver = table(now);
    receiver.apply(loaded.clone(), now);
    for changed in [None, Some([2].as_slice())] {
        sender.publish(loaded.clone(), now);
        sender.publish_loads(changed, now);
        let reports = sender.take_rumors(now).reports;
        let (report, _) = &reports[0];
        assert_eq!(report.loads.len(), changed.map_or(2, <[u32]>::len));
        assert!(receiver.apply_report(report, now));
        assert!(!receiver.apply_report(report, now));
        assert_eq!(receiver.take_rumors(now).reports, reports);
    }
    let (mut other_run, _) = receiver.known_reports(now).remove(0);
    other_run.short_boot_id += 1;
    other_run.sequence += 1;
    assert!(!receiver.apply_report(&other_run, now));
}

/// Guards against gossiping members of another region in this one, and against keeping more of them
/// than the limit.
#[test]
fn other_regions_are_known_by_two_contacts() {
    let now = Instant::now();
    let mut table = table(now);
    for index in 0..5 {
        let foreign = MemberEntry {
            region: ids::RegionId::new("tanta"),
            ..entry(&format!("f{index}"), 1, 1)
        };
        table.apply(foreign, now);
    }
    assert_eq!(table.contacts(now).len(), 2);
    assert_eq!(
        table.take_rumors(now).entries.len(),
        1,
        "only the own entry is forwarded"
    );
    let mut generator = StdRng::seed_from_u64(1);
    assert!(table.choose_alive(&mut generator, now, 9).is_empty());
    let contact = table.contacts(now).remove(0);
    table.drop_contact(&contact);
    assert_eq!(table.contacts(now).len(), 1);
}

/// Delivers gossip records. All runs must be known, because every table starts with all entries.
fn deliver(rumors: &Rumors, receiver: &mut MemberTable, now: Instant) {
    for (entry, _) in &rumors.entries {
        receiver.apply(entry.clone(), now);
    }
    for heartbeat in &rumors.heartbeats {
        let applied = receiver.apply_heartbeat(heartbeat, now);
        assert_ne!(applied, HeartbeatApplied::Unknown);
    }
}

/// Number of members of the largest supported region.
const MAX_MEMBERS: usize = 68;

/// Simulates a region whose daemons tick at different times within the interval.
struct Region {
    tables: Vec<MemberTable>,
    generator: StdRng,
    start: Instant,
    dead: BTreeSet<usize>,
    records: usize,
    probes: usize,
    daemon_ticks: usize,
}

fn index_of(daemon: &ids::DaemonId) -> usize {
    daemon.as_str()[1..]
        .parse()
        .expect("daemon names end in their index")
}

impl Region {
    fn new(seed: u64) -> Self {
        println!("seed {seed}");
        let start = Instant::now();
        let name = |index: usize| format!("d{index:02}");
        let mut tables: Vec<_> = (0..MAX_MEMBERS)
            .map(|index| MemberTable::new(entry(&name(index), 1, 0), TIMERS, start))
            .collect();
        for table in &mut tables {
            for index in 0..MAX_MEMBERS {
                table.apply(entry(&name(index), 1, 0), start);
            }
        }
        Self {
            tables,
            generator: StdRng::seed_from_u64(seed),
            start,
            dead: BTreeSet::new(),
            records: 0,
            probes: 0,
            daemon_ticks: 0,
        }
    }

    /// Returns the time of a daemon's tick.
    fn at(&self, tick: u32, index: usize) -> Instant {
        let offset = index as u32 * 1_000 / MAX_MEMBERS as u32;
        self.start + Duration::from_millis(u64::from(tick * 1_000 + offset))
    }

    fn run_tick(&mut self, tick: u32, mut check: impl FnMut(&MemberTable, Instant)) {
        for index in 0..MAX_MEMBERS {
            if self.dead.contains(&index) {
                continue;
            }
            let now = self.at(tick, index);
            self.run_daemon_tick(tick, index, now);
            check(&self.tables[index], now);
        }
    }

    fn run_daemon_tick(&mut self, tick: u32, index: usize, now: Instant) {
        self.daemon_ticks += 1;
        let table = &mut self.tables[index];
        table.update_watched(now);
        if (tick + index as u32).is_multiple_of(table.heartbeat_ticks(now)) {
            let own = table.own().clone();
            table.publish(own, now);
        }
        let rumors = table.take_rumors(now);
        for peer in table.choose_alive(&mut self.generator, now, 2) {
            self.records += rumors.len();
            deliver(&rumors, &mut self.tables[index_of(&peer)], now);
        }
        for suspicion in self.tables[index].take_suspicions(now) {
            self.forward_suspicion(suspicion, index, now);
        }
        let probed = self.tables[index].choose_probes(&mut self.generator, now);
        for peer in probed {
            self.probe(index, index_of(&peer), now);
        }
    }

    /// Simulates that each daemon to which a suspicion is new probes the suspect and forwards the
    /// suspicion to eight others.
    fn forward_suspicion(&mut self, suspicion: Heartbeat, index: usize, now: Instant) {
        let suspect = self.tables[index]
            .name_of(suspicion.daemon_hash)
            .map(index_of);
        let suspect = suspect.expect("the suspect is a known daemon");
        let mut senders = vec![index];
        while let Some(sender) = senders.pop() {
            let peers = self.tables[sender].choose_alive(&mut self.generator, now, 8);
            for peer in peers.iter().map(index_of) {
                if !self.dead.contains(&peer) && self.tables[peer].apply_suspicion(&suspicion) {
                    senders.push(peer);
                    self.probe(peer, suspect, now);
                }
            }
        }
    }

    fn probe(&mut self, index: usize, peer: usize, now: Instant) {
        self.probes += 1;
        if self.dead.contains(&peer) {
            let name = self.tables[peer].own().daemon.clone();
            self.tables[index].record_probe_failure(&name);
            return;
        }
        let answer = self.tables[peer].respond_to_probe(now);
        self.tables[index].apply_probe_response(&answer, now);
    }
}

/// Guards against gossip that does not reach every member: in the largest supported region no
/// running daemon may be suspect after the warm-up, and the traffic must stay bounded.
#[test]
fn rumors_reach_the_largest_region() {
    const TICKS: u32 = 120;
    const WARM_UP_TICKS: u32 = 20;
    let mut region = Region::new(20_260_101);
    let mut suspected = 0;
    for tick in 1..=TICKS {
        region.run_tick(tick, |table, now| {
            if tick > WARM_UP_TICKS {
                let others = table.others(now);
                let silent = others.filter(|(_, liveness, _)| *liveness != Liveness::Alive);
                suspected += silent.count();
            }
        });
    }
    let checks = (TICKS - WARM_UP_TICKS) as usize * MAX_MEMBERS * (MAX_MEMBERS - 1);
    println!("{suspected} false suspicions in {checks} checks");
    let (records, probes, daemon_ticks) = (region.records, region.probes, region.daemon_ticks);
    println!(
        "{} records and {} probes per 100 daemon ticks",
        records * 100 / daemon_ticks,
        probes * 100 / daemon_ticks
    );
    assert_eq!(
        suspected, 0,
        "{suspected} false suspicions in {checks} checks"
    );
    assert!(
        records < 60 * daemon_ticks,
        "{records} records in {daemon_ticks} daemon ticks"
    );
    assert!(
        probes < 5 * daemon_ticks,
        "{probes} probes in {daemon_ticks} daemon ticks"
    );
}

/// Guards against detecting a killed daemon too late in a large region, because its heartbeat is
/// expected less often there, or because a heartbeat that arrives late refutes the suspicion.
#[test]
fn killed_daemon_is_suspect_in_the_largest_region() {
    for seed in 0..10 {
        check_killed_daemons(20_260_102 + seed);
    }
}

fn check_killed_daemons(seed: u64) {
    const MAX_DETECTION: Duration = Duration::from_secs(5);
    let mut region = Region::new(seed);
    for tick in 1..=20 {
        region.run_tick(tick, |_, _| {});
    }
    region.dead = BTreeSet::from([7, 8, 40]);
    let killed_at = region.at(21, 0);
    let names = [7, 8, 40].map(|index| ids::DaemonId::new(format!("d{index:02}")));
    let mut late = Vec::new();
    for tick in 21..=28 {
        region.run_tick(tick, |table, now| {
            let is_alive = |name| table.liveness(name, now) == Some(Liveness::Alive);
            if now >= killed_at + MAX_DETECTION && names.iter().any(is_alive) {
                late.push((table.own().daemon.clone(), now.duration_since(killed_at)));
            }
        });
    }
    assert_eq!(
        late,
        [],
        "these daemons still considered a killed daemon alive"
    );
}

/// Guards against owners that depend on the order of the members, an uneven distribution of
/// targets, and targets that move although their owner has stayed.
#[test]
fn owners_are_stable_and_evenly_distributed() {
    let daemons: Vec<_> = (0..8)
        .map(|index| ids::DaemonId::new(format!("d{index}")))
        .collect();
    let mut owned = BTreeMap::<&ids::DaemonId, usize>::new();
    for index in 0..800 {
        let target = ids::TargetId::new(format!("engine-{index}"));
        let owner = owner_of(&target, &daemons).expect("there are daemons");
        assert_eq!(Some(owner), owner_of(&target, daemons.iter().rev()));
        let fewer = daemons.iter().filter(|daemon| *daemon != &daemons[3]);
        let new_owner = owner_of(&target, fewer).expect("there are daemons");
        assert!(owner == &daemons[3] || owner == new_owner);
        *owned.entry(owner).or_default() += 1;
    }
    assert!(
        owned.values().all(|count| (60..=140).contains(count)),
        "{owned:?}"
    );
    assert_eq!(owner_of(&ids::TargetId::new("t"), &[]), None);
}
