//! Membership view: order of entries, failure detection, spread of rumors, owners.

use std::{collections::BTreeMap, time::Duration, time::Instant};

use acaciabank_core::member::{
    Applied, EntryOrder, Liveness, MemberEntry, MemberState, MemberTable, MemberTimers, owner_of,
};
use acaciabank_protocol::ids;
use rand::{SeedableRng, rngs::StdRng};

const TIMERS: MemberTimers = MemberTimers {
    suspect_after: Duration::from_secs(3),
    dead_after: Duration::from_secs(10),
};

/// Content follows from name and order, as for a real daemon.
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
        order: EntryOrder { boot_id, sequence },
        state,
        caller_address: "127.0.0.1:7001".parse().expect("address"),
        peer_address: "127.0.0.1:7002".parse().expect("address"),
        config_version: boot_id + sequence,
        loads: Vec::new(),
        suspects: Vec::new(),
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

/// Guards against views that depend on the order of arrival, and against a step back to an older
/// entry.
#[test]
fn any_order_converges() {
    bolero::check!()
        .with_type::<(Vec<(u8, u8, u8)>, u64)>()
        .for_each(|(facts, seed)| {
            let now = Instant::now();
            let sent: Vec<_> = facts
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
                let known = second.entry(&entry.daemon).expect("applied").order;
                let highest = highest.entry(entry.daemon.clone()).or_insert(known);
                assert!(known >= *highest && known >= entry.order);
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

/// Guards against a silent daemon staying listed, and against an old entry that restores it.
#[test]
fn silence_makes_suspect_and_dead() {
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
    table.extend(Duration::from_secs(20), at(32_000));
    assert_eq!(table.liveness(&name, at(32_000)), Some(Liveness::Alive));
    assert_eq!(table.liveness(&name, at(34_000)), Some(Liveness::Suspect));
}

/// Guards against a former run of this daemon replacing the entry of the present one.
#[test]
fn own_entry_is_never_replaced() {
    let now = Instant::now();
    let mut table = table(now);
    assert_eq!(table.apply(entry("own", 0, 9), now), Applied::Ignored);
    assert_eq!(table.apply(entry("own", 2, 0), now), Applied::Impostor);
    assert_eq!(table.own().order.boot_id, 1);
}

/// Guards against entries that are forwarded forever.
#[test]
fn entry_is_forwarded_in_two_ticks() {
    let now = Instant::now();
    let mut table = table(now);
    table.apply(entry("b", 1, 1), now);
    let counts: Vec<_> = (0..4).map(|_| table.take_rumors(now).len()).collect();
    assert_eq!(counts, [2, 2, 0, 0]);
    table.apply(entry("b", 1, 1), now);
    assert_eq!(table.take_rumors(now).len(), 0);
    table.apply(entry("b", 1, 2), now);
    assert_eq!(table.take_rumors(now).len(), 1);
}

/// Guards against rumors that die out: with the largest region of the design no living daemon may
/// look suspect once everyone has been heard of.
#[test]
fn rumors_reach_the_largest_region() {
    const MEMBERS: usize = 68;
    const TICKS: u32 = 120;
    const WARM_UP_TICKS: u32 = 20;
    let seed = 20_260_101;
    println!("seed {seed}");
    let mut generator = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let name = |index: usize| format!("d{index:02}");
    let mut tables: Vec<_> = (0..MEMBERS)
        .map(|index| MemberTable::new(entry(&name(index), 1, 0), TIMERS, start))
        .collect();
    for table in &mut tables {
        for index in 0..MEMBERS {
            table.apply(entry(&name(index), 1, 0), start);
        }
    }
    let (mut suspected, mut probes, mut sent) = (0, 0, 0);
    for tick in 1..=TICKS {
        // The daemons' ticks are spread over the interval.
        for index in 0..MEMBERS {
            let offset = index as u32 * 1_000 / MEMBERS as u32;
            let now = start + Duration::from_millis(u64::from(tick * 1_000 + offset));
            let own = tables[index].own().clone();
            tables[index].publish(own, now);
            let rumors = tables[index].take_rumors(now);
            for peer in tables[index].choose_alive(&mut generator, now, 2) {
                let peer: usize = peer.as_str()[1..].parse().expect("index");
                sent += rumors.len();
                for (entry, _) in &rumors {
                    tables[peer].apply(entry.clone(), now);
                }
            }
            for peer in tables[index].choose_probes(&mut generator, now) {
                let peer: usize = peer.as_str()[1..].parse().expect("index");
                let answer = tables[peer].own().clone();
                tables[index].apply(answer, now);
                probes += 1;
            }
            if tick > WARM_UP_TICKS {
                let silent = |liveness| liveness != Liveness::Alive;
                let others = tables[index].others(now);
                suspected += others.filter(|(_, liveness, _)| silent(*liveness)).count();
            }
        }
    }
    let checks = (TICKS - WARM_UP_TICKS) as usize * MEMBERS * (MEMBERS - 1);
    println!("{suspected} false suspicions in {checks} checks");
    let turns = MEMBERS * TICKS as usize;
    println!(
        "{} entries and {} probes for 100 turns",
        sent * 100 / turns,
        probes * 100 / turns
    );
    assert_eq!(
        suspected, 0,
        "{suspected} false suspicions in {checks} checks"
    );
}

/// Guards against owners that differ by the order of members, an uneven share, and targets that
/// move although their owner stayed.
#[test]
fn owners_are_stable_and_spread() {
    let daemons: Vec<_> = (0..8)
        .map(|index| ids::DaemonId::new(format!("d{index}")))
        .collect();
    let mut owned = BTreeMap::<&ids::DaemonId, usize>::new();
    for index in 0..800 {
        let target = ids::TargetId::new(format!("engine-{index}"));
        let owner = owner_of(&target, &daemons).expect("owner");
        assert_eq!(Some(owner), owner_of(&target, daemons.iter().rev()));
        let fewer = daemons.iter().filter(|daemon| *daemon != &daemons[3]);
        let heir = owner_of(&target, fewer).expect("owner");
        assert!(owner == &daemons[3] || owner == heir);
        *owned.entry(owner).or_default() += 1;
    }
    assert!(
        owned.values().all(|count| (60..=140).contains(count)),
        "{owned:?}"
    );
    assert_eq!(owner_of(&ids::TargetId::new("t"), &[]), None);
}
