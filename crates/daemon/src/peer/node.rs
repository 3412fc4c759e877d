//! The RPC thread: accepts connections, gossips, detects failures and handles commands.

use std::{cell, collections, net, rc::Rc, sync, time};

use acaciabank_core::member::{
    EntryVersion, Heartbeat, Liveness, MemberEntry, MemberState, MemberTable, MemberTimers,
};
use acaciabank_protocol::{ids, peer_capnp::peer};
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::{runtime, sync::mpsc, task, task::spawn_local};

use super::{
    Command, FetchedConfigs, PeerError,
    client::{self, ReceivedEntries},
    digest::Digest,
    link::{self, CALL_TIMEOUT, PeerLink},
    loads, meter, pieces, server,
};
use crate::{process, target};

/// Number of daemons that rumors are sent to in one round.
pub(super) const RUMOR_FANOUT: usize = 2;

/// Number of daemons that a change of this daemon's entry or a new suspicion is sent to at once.
pub(super) const ANNOUNCE_FANOUT: usize = 8;

/// Interval at which all heartbeats are pulled from a random daemon, to make up for lost rumors.
const PULL_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// Time for which a leaving daemon keeps running so that its last entry reaches others.
const LEAVE_DELAY: time::Duration = time::Duration::from_millis(500);

/// Delay after a failed accept, for example if no file descriptor is free.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// State of the RPC thread.
pub(super) struct PeerNode {
    pub(super) state: process::SharedState,
    /// Runtime that runs the waits requested by other daemons.
    pub(super) main_runtime: runtime::Handle,
    pub(super) peer_address: net::SocketAddr,
    pub(super) table: cell::RefCell<MemberTable>,
    links: cell::RefCell<collections::BTreeMap<ids::DaemonId, Rc<PeerLink>>>,
    pub(super) rng: cell::RefCell<StdRng>,
    pub(super) published_states: cell::RefCell<loads::PublishedStates>,
    pub(super) piece_budget: cell::RefCell<pieces::PieceBudget>,
    /// Seeds that are known to be in another region.
    pub(super) foreign_seeds: cell::RefCell<collections::BTreeMap<ids::DaemonId, ids::RegionId>>,
    pub(super) ticks_until_heartbeat: cell::Cell<u32>,
    pub(super) ticks_until_loads: cell::Cell<u32>,
    pub(super) ticks: cell::Cell<u32>,
    /// Targets for which ownership was last computed.
    pub(super) ownership_snapshot: cell::RefCell<sync::Arc<target::TargetSnapshot>>,
    fetching_config: cell::Cell<bool>,
    pub(super) fetching_entries: cell::Cell<bool>,
    id_conflict_logged: cell::Cell<bool>,
}

/// Runs the RPC thread until the process leaves.
pub(super) fn run_thread(
    state: process::SharedState,
    main_runtime: runtime::Handle,
    listener: net::TcpListener,
    commands: mpsc::UnboundedReceiver<Command>,
) {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return log::error!("cannot start the RPC runtime: {error}"),
    };
    let tasks = task::LocalSet::new();
    let result = tasks.block_on(&runtime, run(state, main_runtime, listener, commands));
    if let Err(error) = result {
        log::error!("the RPC thread failed: {error}");
    }
}

async fn run(
    state: process::SharedState,
    main_runtime: runtime::Handle,
    listener: net::TcpListener,
    mut commands: mpsc::UnboundedReceiver<Command>,
) -> std::io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let node = Rc::new(PeerNode::new(state, main_runtime, listener.local_addr()?));
    spawn_local(accept_connections(Rc::clone(&node), listener));
    node.publish_members();
    node.join();
    let interval_ms = node.state.settings.timers.gossip_interval_ms.max(1);
    let interval = time::Duration::from_millis(interval_ms);
    let mut ticks = tokio::time::interval(interval);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut config = node.state.config.subscribe();
    let mut last_tick = time::Instant::now();
    let mut next_pull = last_tick + PULL_INTERVAL;
    while node.state.phase.get() != process::Phase::Left {
        tokio::select! {
            _ = ticks.tick() => {
                let now = time::Instant::now();
                node.handle_pause(now.duration_since(last_tick), interval);
                last_tick = now;
                node.gossip_round(now);
                if now >= next_pull {
                    next_pull = now + PULL_INTERVAL;
                    node.pull_from_random(now);
                }
            }
            Ok(()) = config.changed() => drop(node.announce()),
            Some(command) = commands.recv() => node.handle_command(command),
        }
    }
    drop(node.announce());
    tokio::time::sleep(LEAVE_DELAY).await;
    Ok(())
}

async fn accept_connections(node: Rc<PeerNode>, listener: tokio::net::TcpListener) {
    let server = server::PeerServer {
        node: Rc::clone(&node),
    };
    let client: peer::Client = capnp_rpc::new_client(server);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("cannot accept a connection from a daemon: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("connection from a daemon closed early: {error}");
            continue;
        }
        let system = RpcSystem::new(
            link::network(stream, Side::Server),
            Some(client.clone().client),
        );
        spawn_local(async move {
            if let Err(error) = system.await {
                log::debug!("connection from a daemon ended: {error}");
            }
        });
    }
}

impl PeerNode {
    fn new(
        state: process::SharedState,
        main_runtime: runtime::Handle,
        local_address: net::SocketAddr,
    ) -> Self {
        let settings = &state.settings;
        let timers = MemberTimers {
            tick: time::Duration::from_millis(settings.timers.gossip_interval_ms.max(1)),
            suspect_after: time::Duration::from_millis(settings.timers.suspect_after_ms),
            dead_after: time::Duration::from_millis(settings.timers.dead_after_ms),
        };
        let peer_address = settings.advertised_peer_address.unwrap_or(local_address);
        let own = own_entry(&state, peer_address);
        let table = MemberTable::new(own, timers, time::Instant::now());
        let rng = StdRng::seed_from_u64(state.boot_ids.current());
        Self {
            state,
            main_runtime,
            peer_address,
            table: cell::RefCell::new(table),
            links: cell::RefCell::default(),
            rng: cell::RefCell::new(rng),
            published_states: cell::RefCell::default(),
            piece_budget: cell::RefCell::default(),
            foreign_seeds: cell::RefCell::default(),
            ticks_until_heartbeat: cell::Cell::new(0),
            ticks_until_loads: cell::Cell::new(0),
            ticks: cell::Cell::new(0),
            ownership_snapshot: cell::RefCell::default(),
            fetching_config: cell::Cell::new(false),
            fetching_entries: cell::Cell::new(false),
            id_conflict_logged: cell::Cell::new(false),
        }
    }

    /// Returns the response to a pull: entries and loads for a daemon that is starting, heartbeats
    /// for one that makes up for lost rumors, and a few entries for one in another region.
    pub(super) fn entries_for_pull(
        &self,
        is_starting: bool,
        region: &ids::RegionId,
        now: time::Instant,
    ) -> (ReceivedEntries, Digest) {
        if *region != self.state.settings.region {
            return (self.entries_for_region(now), Digest::default());
        }
        let table = self.table.borrow();
        let mut digest = Digest::default();
        if !is_starting {
            digest.heartbeats = table.alive_heartbeats(now);
            return (Vec::new(), digest);
        }
        digest.reports = table.known_reports(now);
        let entries = table.alive_entries(now);
        let entries = entries.map(|(entry, at)| (entry.clone(), at)).collect();
        (entries, digest)
    }

    pub(super) fn entries_of(&self, daemon_hashes: &[u32], now: time::Instant) -> ReceivedEntries {
        self.table.borrow().entries_of(daemon_hashes, now)
    }

    /// Returns this daemon's heartbeat with a new sequence number, so that a daemon that has not
    /// received the last one sees it advance.
    pub(super) fn respond_to_probe(&self) -> Heartbeat {
        self.table
            .borrow_mut()
            .respond_to_probe(time::Instant::now())
    }

    /// Handles an entry with this daemon's name and a higher id of its run. A former run at the same
    /// address cannot be alive: its id is higher because the time of day was set back since.
    pub(super) fn handle_id_conflict(self: &Rc<Self>, entry: &MemberEntry) {
        let (boot_ids, id) = (&self.state.boot_ids, entry.version.boot_id);
        if entry.peer_address != self.peer_address || !boot_ids.raise_above(id) {
            self.log_id_conflict(entry);
            return;
        }
        log::warn!("a former run of this daemon has the higher boot id {id}; taking one above it");
        self.table.borrow_mut().raise_boot_id(boot_ids.current());
        drop(self.announce());
    }

    fn log_id_conflict(&self, entry: &MemberEntry) {
        if !self.id_conflict_logged.replace(true) {
            log::error!(
                "daemon {} also runs at {} with the higher boot id {}; others ignore this process",
                entry.daemon,
                entry.peer_address,
                entry.version.boot_id
            );
        }
    }

    pub(super) fn refresh_own(&self) {
        let entry = own_entry(&self.state, self.peer_address);
        let mut table = self.table.borrow_mut();
        table.publish(entry, time::Instant::now());
    }

    /// Keeps other daemons from being suspected after a time in which this process did not run.
    fn handle_pause(&self, since_tick: time::Duration, interval: time::Duration) {
        let pause = since_tick.saturating_sub(interval);
        if pause > interval {
            log::warn!("this process did not run for about {pause:?}");
            self.table
                .borrow_mut()
                .compensate_pause(pause, time::Instant::now());
        }
    }

    /// Sends this daemon's entry to seeds and pulls their entries.
    fn join(self: &Rc<Self>) {
        for link in self.unknown_seeds(ANNOUNCE_FANOUT) {
            self.send_own(&link);
            self.pull(link, true);
        }
    }

    fn gossip_round(self: &Rc<Self>, now: time::Instant) {
        self.ticks.set(self.ticks.get().wrapping_add(1));
        self.refresh_if_due(now);
        self.table.borrow_mut().remove_expired(now);
        self.drop_unused_links();
        self.send_rumors(now);
        let suspicions = {
            let mut table = self.table.borrow_mut();
            table.update_watched(now);
            table.take_suspicions(now)
        };
        self.send_suspicions(suspicions, now);
        let probes = {
            let mut rng = self.rng.borrow_mut();
            self.table.borrow().choose_probes(&mut *rng, now)
        };
        for link in probes.iter().filter_map(|daemon| self.link(daemon)) {
            self.probe(link);
        }
        for link in self.unknown_seeds(1) {
            self.send_own(&link);
            self.pull(link, true);
        }
        self.exchange_if_due(now);
        self.send_pieces(now);
        self.publish_members();
        self.fetch_newer_config();
        meter::record_cpu_time();
    }

    /// Fetches the configuration if an entry reports a newer version. The first version is left to
    /// the module `config`, which asks all known daemons.
    pub(super) fn fetch_newer_config(self: &Rc<Self>) {
        let version = self.state.config.version();
        if version == 0 || self.fetching_config.get() {
            return;
        }
        let Some(link) = self.newer_config_source(version) else {
            return;
        };
        self.fetching_config.set(true);
        let node = Rc::clone(self);
        spawn_local(async move {
            match client::fetch_config(&link, version).await {
                Ok(Some(config)) => {
                    let version = config.version;
                    if node.state.config.apply(config) {
                        log::info!("configuration {version} from {} is in force", link.daemon);
                    }
                }
                Ok(None) => {}
                Err(error) => log::warn!(
                    "cannot fetch the configuration from {}: {error}",
                    link.daemon
                ),
            }
            node.fetching_config.set(false);
        });
    }

    /// Returns the link to a random daemon among those that report the highest configuration
    /// version, if that is above `version`.
    fn newer_config_source(&self, version: u64) -> Option<Rc<PeerLink>> {
        let now = time::Instant::now();
        let sources: Vec<_> = {
            let table = self.table.borrow();
            let alive = || {
                table
                    .others(now)
                    .filter(|(_, liveness, _)| *liveness == Liveness::Alive)
                    .map(|(entry, _, _)| entry)
            };
            let highest = alive().map(|entry| entry.config_version).max()?;
            alive()
                .filter(|entry| entry.config_version == highest && highest > version)
                .map(|entry| entry.daemon.clone())
                .collect()
        };
        if sources.is_empty() {
            return None;
        }
        let index = self.rng.borrow_mut().random_range(0..sources.len());
        self.link(&sources[index])
    }

    fn handle_command(self: &Rc<Self>, command: Command) {
        match command {
            Command::Announce => drop(self.announce()),
            Command::AnnounceAndReply { reply } => {
                let sent = self.announce();
                spawn_local(async move {
                    futures::future::join_all(sent).await;
                    // The request that sent the command may have ended.
                    let _ = reply.send(());
                });
            }
            Command::FetchResponse {
                daemon,
                request,
                team,
                reply,
            } => {
                let link = self.link(&daemon).ok_or(PeerError::UnknownDaemon(daemon));
                spawn_local(async move {
                    let call =
                        async |link: &PeerLink| client::fetch_response(link, &request, &team).await;
                    // The request that sent the command may have ended.
                    let _ = reply.send(call_known(link, call).await);
                });
            }
            Command::AwaitKey {
                daemon,
                team,
                key,
                wait_ms,
                reply,
            } => {
                let link = self.link(&daemon).ok_or(PeerError::UnknownDaemon(daemon));
                spawn_local(async move {
                    let call =
                        async |link: &PeerLink| client::await_key(link, &team, &key, wait_ms).await;
                    let _ = reply.send(call_known(link, call).await);
                });
            }
            Command::AskForTurn { question, reply } => {
                let node = Rc::clone(self);
                spawn_local(async move {
                    // The request that sent the command may have ended.
                    let _ = reply.send(node.is_turn_held_back(&question).await);
                });
            }
            Command::FetchConfigs { above, reply } => {
                let links = self.all_links();
                spawn_local(async move {
                    let _ = reply.send(fetch_configs(links, above).await);
                });
            }
        }
    }

    pub(super) fn random_alive(&self, now: time::Instant, count: usize) -> Vec<Rc<PeerLink>> {
        let chosen = {
            let mut rng = self.rng.borrow_mut();
            self.table.borrow().choose_alive(&mut *rng, now, count)
        };
        chosen
            .iter()
            .filter_map(|daemon| self.link(daemon))
            .collect()
    }

    /// Returns the links to up to `count` seeds without a known entry, starting at a random one.
    pub(super) fn unknown_seeds(&self, count: usize) -> Vec<Rc<PeerLink>> {
        let own = &self.state.settings.daemon;
        let mut unknown: Vec<_> = {
            let table = self.table.borrow();
            let seeds = self.state.settings.peers.iter();
            seeds
                .map(|seed| &seed.daemon)
                .filter(|daemon| *daemon != own && table.entry(daemon).is_none())
                .filter(|daemon| !self.is_redundant_seed(daemon, &table))
                .collect()
        };
        if unknown.is_empty() {
            return Vec::new();
        }
        let first = self.rng.borrow_mut().random_range(0..unknown.len());
        unknown.rotate_left(first);
        let chosen = unknown.into_iter().take(count);
        chosen.filter_map(|daemon| self.link(daemon)).collect()
    }

    fn all_links(&self) -> Vec<Rc<PeerLink>> {
        let known: Vec<_> = {
            let table = self.table.borrow();
            let others = table.others(time::Instant::now());
            others
                .filter(|(entry, _, _)| entry.state != MemberState::Left)
                .map(|(entry, _, _)| entry.daemon.clone())
                .collect()
        };
        let mut links = self.unknown_seeds(usize::MAX);
        links.extend(known.iter().filter_map(|daemon| self.link(daemon)));
        links
    }

    /// Returns the link to a member or seed; replaces the link if the daemon's address has changed.
    pub(super) fn link(&self, daemon: &ids::DaemonId) -> Option<Rc<PeerLink>> {
        let settings = &self.state.settings;
        let known = self
            .table
            .borrow()
            .entry(daemon)
            .map(|entry| entry.peer_address);
        let seed = settings.peers.iter().find(|seed| &seed.daemon == daemon);
        let address = known.or(seed.map(|seed| seed.address))?;
        let mut links = self.links.borrow_mut();
        if let Some(link) = links.get(daemon)
            && link.address == address
        {
            return Some(Rc::clone(link));
        }
        let link = Rc::new(PeerLink::new(daemon.clone(), address, settings));
        links.insert(daemon.clone(), Rc::clone(&link));
        Some(link)
    }

    /// Drops links to daemons that left or whose entries were removed.
    fn drop_unused_links(&self) {
        let table = self.table.borrow();
        let seeds = &self.state.settings.peers;
        self.links
            .borrow_mut()
            .retain(|daemon, _| match table.entry(daemon) {
                Some(entry) => entry.state != MemberState::Left,
                None => seeds.iter().any(|seed| &seed.daemon == daemon),
            });
    }
}

async fn fetch_configs(links: Vec<Rc<PeerLink>>, above: u64) -> FetchedConfigs {
    let calls = links.iter().map(|link| client::fetch_config(link, above));
    let timeout = CALL_TIMEOUT * 2;
    let calls = calls.map(|call| async { tokio::time::timeout(timeout, call).await.ok() });
    let mut fetched = FetchedConfigs::default();
    for response in futures::future::join_all(calls).await {
        let Some(Ok(config)) = response else {
            continue;
        };
        fetched.response_count += 1;
        let known = fetched.highest.as_ref().map_or(0, |config| config.version);
        if let Some(config) = config
            && config.version > known
        {
            fetched.highest = Some(config);
        }
    }
    fetched
}

pub(super) fn own_entry(
    state: &process::ProcessState,
    peer_address: net::SocketAddr,
) -> MemberEntry {
    let settings = &state.settings;
    MemberEntry {
        daemon: settings.daemon.clone(),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        version: EntryVersion {
            boot_id: state.boot_ids.current(),
            sequence: 0,
        },
        state: match state.phase.get() {
            process::Phase::Joining => MemberState::Joining,
            process::Phase::Ready => MemberState::Ready,
            process::Phase::Draining => MemberState::Draining,
            process::Phase::Left => MemberState::Left,
        },
        caller_address: settings
            .advertised_caller_address
            .unwrap_or(settings.caller_address),
        peer_address,
        config_version: state.config.version(),
        loads: loads::local_loads(state),
        suspects: state.targets.report_suspects(),
    }
}

/// Makes a call to a daemon, if it is known.
async fn call_known<T>(
    link: Result<Rc<PeerLink>, PeerError>,
    call: impl AsyncFnOnce(&PeerLink) -> Result<T, String>,
) -> Result<T, PeerError> {
    let link = link?;
    let called = call(&link).await;
    called.map_err(|error| PeerError::Unreachable(link.daemon.clone(), error))
}
