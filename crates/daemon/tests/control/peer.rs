//! Tests of membership, gossip and calls between daemons.

use std::{net, time};

use acaciabank_core::suspect::{AnswerRecord, CrashRecord, SuspectReport};
use acaciabank_daemon::{
    dispatch::BufferedResponse,
    peer::{MemberCondition, PeerError, RemoteKeyState, TurnQuestion},
    process::Phase,
};
use acaciabank_protocol::{ids, peer_capnp};
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty};
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::fleet::{self, closed_address, known_members, wait_for};

fn expected_members(names: &[&str], condition: MemberCondition) -> Vec<(String, MemberCondition)> {
    names
        .iter()
        .map(|name| ((*name).to_owned(), condition))
        .collect()
}

/// Returns a listener on which connections open but no call gets a response, as with a paused
/// process.
fn paused_daemon() -> (net::TcpListener, net::SocketAddr) {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    (listener, address)
}

/// Guards against daemons that know only their seeds, gossip that a paused daemon blocks, targets
/// with two owners or none, and a daemon that has left but remains a member.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn daemons_learn_each_other() {
    let table = closed_address();
    let (_paused, paused) = paused_daemon();
    let a = fleet::start("a", 1, table, &[("paused", paused)]);
    let seeds = [("paused", paused), ("a", a.peer_address)];
    let b = fleet::start("b", 1, table, &seeds);
    let c = fleet::start("c", 1, table, &seeds);
    let all = [&a, &b, &c];
    for daemon in all {
        let joining = expected_members(&["a", "b", "c"], MemberCondition::Joining);
        wait_for("every daemon known", || known_members(daemon) == joining).await;
    }
    for daemon in all {
        daemon.state.phase.advance(Phase::Ready);
        daemon.state.peers.announce();
    }
    for daemon in all {
        let ready = expected_members(&["a", "b", "c"], MemberCondition::Ready);
        wait_for("every daemon ready", || known_members(daemon) == ready).await;
    }
    for index in 0..100 {
        let target = ids::TargetId::new(format!("engine-{index}"));
        let owners = all.iter().filter(|daemon| daemon.state.peers.owns(&target));
        assert_eq!(owners.count(), 1, "owners of {target}");
    }
    drop(c);
    for daemon in [&a, &b] {
        let rest = expected_members(&["a", "b"], MemberCondition::Ready);
        wait_for("daemon c removed", || known_members(daemon) == rest).await;
    }
}

/// Guards against a restarted daemon being ignored because its sequence numbers start again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_daemon_is_accepted() {
    let table = closed_address();
    let a = fleet::start("a", 1, table, &[]);
    let seeds = [("a", a.peer_address)];
    for boot_id in [1, 2] {
        let _b = fleet::start("b", boot_id, table, &seeds);
        let boot_of_b = || {
            let members = a.state.peers.members();
            let found = members.iter().find(|member| member.daemon.as_str() == "b");
            found.map(|member| member.boot_id)
        };
        wait_for("daemon b known", || boot_of_b() == Some(boot_id)).await;
    }
}

/// Guards against a restarted daemon that all others ignore, because its host's clock was set back
/// and its run has a lower id than the former one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_daemon_is_accepted_after_its_clock_was_set_back() {
    let table = closed_address();
    let a = fleet::start("a", 1, table, &[]);
    let c = fleet::start("c", 1, table, &[("a", a.peer_address)]);
    let seeds = [("a", a.peer_address)];
    let (former_id, id) = (1 << 40, 1 << 30);
    let former = fleet::start("b", former_id, table, &seeds);
    let known_run = |daemon: &fleet::TestDaemon| {
        let members = daemon.state.peers.members();
        let found = members.iter().find(|member| member.daemon.as_str() == "b");
        found.map(|member| member.boot_id)
    };
    for other in [&a, &c] {
        wait_for("the former run known", || {
            known_run(other) == Some(former_id)
        })
        .await;
    }
    let address = former.peer_address;
    drop(former);
    let mut listener = None;
    wait_for("the address is free", || {
        listener = net::TcpListener::bind(address).ok();
        listener.is_some()
    })
    .await;
    let listener = listener.expect("a listener");
    let restarted = fleet::start_on(listener, "b", id, table, &seeds);
    for other in [&a, &c] {
        wait_for("the restarted daemon known", || {
            known_run(other).is_some_and(|run| run > former_id)
        })
        .await;
    }
    let boot_ids = &restarted.state.boot_ids;
    assert_eq!(known_run(&a), Some(boot_ids.current()));
    // The rows of its keys carry the id that it had when it wrote them.
    assert!(boot_ids.contains(id));
}

/// Sends `receiver` the entry of a daemon that does not exist, listening at `peer_address`. The entry
/// reports a crash of the target `crashed_target` with the prompt piece 1.
async fn gossip_absent_daemon(
    receiver: net::SocketAddr,
    peer_address: net::SocketAddr,
    sequence: u64,
    crashed_target: u32,
) {
    let stream = tokio::net::TcpStream::connect(receiver)
        .await
        .expect("connect");
    let (reader, writer) = futures::AsyncReadExt::split(stream.compat());
    let options = capnp::message::ReaderOptions::new();
    let network = twoparty::VatNetwork::new(reader, writer, Side::Client, options);
    let mut system = RpcSystem::new(Box::new(network), None);
    let client: peer_capnp::peer::Client = system.bootstrap(Side::Server);
    let task = tokio::task::spawn_local(system);
    let mut request = client.gossip_request();
    let mut entry = request.get().init_entries(1).get(0);
    entry.set_daemon("absent");
    entry.set_region("perth");
    entry.set_zone("perth-a");
    entry.set_boot_id(1);
    entry.set_sequence(sequence);
    entry.set_state(peer_capnp::MemberState::Ready);
    entry.set_caller_address("127.0.0.1:7001");
    entry.set_peer_address(peer_address.to_string());
    let mut crash = entry.init_suspects().init_crashes(1).get(0);
    crash.set_target(crashed_target);
    crash.init_keys(1).set(0, 1);
    request.send().promise.await.expect("gossip");
    task.abort();
}

/// Guards against a silent daemon that remains a member, or is removed without being suspect first.
#[tokio::test]
async fn silent_daemon_becomes_suspect_and_dead() {
    let a = fleet::start("a", 1, closed_address(), &[]);
    let (_paused, paused) = paused_daemon();
    let tasks = tokio::task::LocalSet::new();
    tasks
        .run_until(gossip_absent_daemon(a.peer_address, paused, 1, 1))
        .await;
    for condition in [MemberCondition::Ready, MemberCondition::Suspect] {
        let expected = ("absent".to_owned(), condition);
        wait_for("condition of `absent`", || {
            known_members(&a).contains(&expected)
        })
        .await;
    }
    let alone = expected_members(&["a"], MemberCondition::Joining);
    wait_for("removal of `absent`", || known_members(&a) == alone).await;
}

/// Guards against a crash that stays unknown because a newer entry or heartbeat of the daemon that
/// reports it has overtaken its entry.
#[tokio::test]
async fn crashes_in_an_entry_that_was_overtaken_become_known() {
    let a = fleet::start("a", 1, closed_address(), &[]);
    let (_paused, paused) = paused_daemon();
    let tasks = tokio::task::LocalSet::new();
    for (sequence, crashed_target) in [(2, 7), (1, 8)] {
        let sent = gossip_absent_daemon(a.peer_address, paused, sequence, crashed_target);
        tasks.run_until(sent).await;
    }
    let crashes = a.state.targets.report_suspects().crashes;
    let mut crashed: Vec<u32> = crashes.iter().map(|crash| crash.target_hash).collect();
    crashed.sort_unstable();
    assert_eq!(crashed, [7, 8]);
}

/// A report without its ages, which grow on the way.
fn without_ages(mut report: SuspectReport) -> SuspectReport {
    report.crashes.iter_mut().for_each(|crash| crash.age_ms = 0);
    report
        .answers
        .iter_mut()
        .for_each(|answer| answer.age_ms = 0);
    report.crashes.sort_by_key(|crash| crash.target_hash);
    report
}

/// Guards against crashes with prompts, or answers on their pieces, that other daemons do not know
/// when the announcement has ended, that lose a field on the way, or that a daemon which starts
/// later never hears of.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crashes_with_prompts_reach_all_daemons() {
    let table = closed_address();
    let a = fleet::start("a", 1, table, &[]);
    let seeds = [("a", a.peer_address)];
    let b = fleet::start("b", 1, table, &seeds);
    let joining = expected_members(&["a", "b"], MemberCondition::Joining);
    wait_for("daemon b known", || known_members(&a) == joining).await;
    let crash = |target_hash, age_ms, in_flight_ms| CrashRecord {
        id: u64::MAX - u64::from(target_hash),
        keys: vec![u64::MAX, u64::from(target_hash)],
        target_hash,
        age_ms,
        in_flight_ms,
        is_trial: target_hash == 1,
    };
    let answer = AnswerRecord {
        key: u64::MAX,
        age_ms: 60_000,
    };
    let sent = SuspectReport {
        crashes: vec![crash(1, 2_000, 300), crash(u32::MAX, 100_000, 0)],
        answers: vec![answer],
    };
    a.state.targets.merge_suspects(&sent);
    let timeout = time::Duration::from_secs(30);
    a.state.peers.announce_and_wait(timeout).await;
    let received = b.state.targets.report_suspects();
    for (crash, min_age_ms) in received.crashes.iter().zip([2_000, 100_000]) {
        assert!(crash.age_ms >= min_age_ms, "{received:?}");
        assert!(crash.age_ms < min_age_ms + 30_000, "{received:?}");
    }
    assert!(received.answers[0].age_ms >= 60_000, "{received:?}");
    assert_eq!(without_ages(received), without_ages(sent.clone()));
    let c = fleet::start("c", 1, table, &[("b", b.peer_address)]);
    wait_for("daemon c knows the crashes", || {
        without_ages(c.state.targets.report_suspects()) == without_ages(sent.clone())
    })
    .await;
}

/// Guards against load reports without crashes with prompts: a region has more daemons than an
/// announcement reaches, and an announcement can be lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn load_reports_hold_crashes_with_prompts() {
    let table = closed_address();
    let a = fleet::start("a", 1, table, &[]);
    let b = fleet::start("b", 1, table, &[("a", a.peer_address)]);
    let joining = expected_members(&["a", "b"], MemberCondition::Joining);
    for daemon in [&a, &b] {
        wait_for("both daemons known", || known_members(daemon) == joining).await;
    }
    let crash = CrashRecord {
        id: 6,
        keys: vec![1, 2],
        target_hash: 3,
        age_ms: 4,
        in_flight_ms: 5,
        is_trial: true,
    };
    let sent = SuspectReport {
        crashes: vec![crash],
        answers: Vec::new(),
    };
    a.state.targets.merge_suspects(&sent);
    wait_for("the crash is known", || {
        without_ages(b.state.targets.report_suspects()) == without_ages(sent.clone())
    })
    .await;
}

/// Guards against a suspect that runs without what the other daemons know of the beginning of its
/// prompt, and against daemons that do not learn it from the question.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_question_for_a_turn_exchanges_crashes_with_the_prompt() {
    let table = closed_address();
    let a = fleet::start("a", 1, table, &[]);
    let b = fleet::start("b", 1, table, &[("a", a.peer_address)]);
    let joining = expected_members(&["a", "b"], MemberCondition::Joining);
    for daemon in [&a, &b] {
        wait_for("both daemons known", || known_members(daemon) == joining).await;
    }
    let crash = |target_hash, parts: &[u64]| CrashRecord {
        id: u64::from(target_hash),
        keys: parts.to_vec(),
        target_hash,
        age_ms: 1_000,
        in_flight_ms: 100,
        is_trial: false,
    };
    let report = |crashes: Vec<CrashRecord>| SuspectReport {
        crashes,
        answers: Vec::new(),
    };
    let (known_to_a, known_to_b) = (crash(1, &[1, 2]), crash(2, &[1, 3]));
    a.state
        .targets
        .merge_suspects(&report(vec![known_to_a.clone()]));
    b.state
        .targets
        .merge_suspects(&report(vec![known_to_b.clone()]));
    let question = TurnQuestion {
        fingerprint: 7,
        clock: 1,
        pieces: vec![1, 3],
    };
    assert!(!b.state.peers.ask_for_turn(question).await);
    let all = without_ages(report(vec![known_to_a, known_to_b]));
    for daemon in [&a, &b] {
        let known = without_ages(daemon.state.targets.report_suspects());
        assert_eq!(known, all);
    }
}

/// Guards against calls to unknown or unreachable daemons that hang or return a response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_reach_the_named_daemon() {
    let table = closed_address();
    let a = fleet::start("a", 1, table, &[]);
    let closed = closed_address();
    let b = fleet::start("b", 1, table, &[("a", a.peer_address), ("gone", closed)]);
    let [a, gone, nobody] = ["a", "gone", "nobody"].map(ids::DaemonId::new);
    let request = ids::RequestId::new("a-1");
    let team = ids::TeamId::new("team");
    let peers = &b.state.peers;
    let response = peers.fetch_response(&a, &request, &team).await;
    assert_eq!(response, Ok(BufferedResponse::Unknown));
    let key = peers.await_key(&a, &team, "key", 10).await;
    assert_eq!(key, Ok(RemoteKeyState::Unknown));
    let response = peers.fetch_response(&nobody, &request, &team).await;
    assert_eq!(response, Err(PeerError::UnknownDaemon(nobody)));
    let response = peers.fetch_response(&gone, &request, &team).await;
    assert!(
        matches!(response, Err(PeerError::Unreachable(..))),
        "{response:?}"
    );
}
