//! Server side of the RPC interface: calls from other daemons.

use std::{rc::Rc, sync, time};

use acaciabank_core::suspect::TurnStamp;
use acaciabank_protocol::{ids, peer_capnp::peer};

use super::{RemoteKeyState, convert, digest, digest::Digest, loads, meter, node::PeerNode};
use crate::dispatch::BufferedResponse;

/// Longest wait that a caller may request. It bounds how long an abandoned call occupies this
/// daemon.
const MAX_WAIT_MS: u32 = 600_000;

/// Serves the calls of all connections.
pub(super) struct PeerServer {
    pub(super) node: Rc<PeerNode>,
}

impl peer::Server for PeerServer {
    async fn gossip(
        self: Rc<Self>,
        params: peer::GossipParams,
        _results: peer::GossipResults,
    ) -> capnp::Result<()> {
        meter::count_message("gossip");
        let params = params.get()?;
        let entries = convert::read_entries(params.get_entries()?)?;
        let digest = Digest::unpack(params.get_digest()?, time::Instant::now())?;
        self.node.apply(entries, &digest, params.get_sender());
        Ok(())
    }

    async fn pull(
        self: Rc<Self>,
        params: peer::PullParams,
        mut results: peer::PullResults,
    ) -> capnp::Result<()> {
        meter::count_message("pull");
        let now = time::Instant::now();
        let params = params.get()?;
        let region = ids::RegionId::new(params.get_region()?.to_str()?);
        let (entries, digest) = self
            .node
            .entries_for_pull(params.get_starting(), &region, now);
        results.get().set_digest(&digest.pack(now));
        let list = results.get().init_entries(entries.len() as u32);
        convert::write_entries(&entries, now, list);
        Ok(())
    }

    async fn probe(
        self: Rc<Self>,
        _params: peer::ProbeParams,
        mut results: peer::ProbeResults,
    ) -> capnp::Result<()> {
        meter::count_message("probe");
        let heartbeat = self.node.respond_to_probe();
        digest::write_heartbeat(&heartbeat, results.get().init_heartbeat());
        Ok(())
    }

    async fn fetch_entries(
        self: Rc<Self>,
        params: peer::FetchEntriesParams,
        mut results: peer::FetchEntriesResults,
    ) -> capnp::Result<()> {
        meter::count_message("fetch_entries");
        let now = time::Instant::now();
        let daemon_hashes: Vec<u32> = params.get()?.get_daemons()?.iter().collect();
        let entries = self.node.entries_of(&daemon_hashes, now);
        let list = results.get().init_entries(entries.len() as u32);
        convert::write_entries(&entries, now, list);
        Ok(())
    }

    async fn exchange(
        self: Rc<Self>,
        params: peer::ExchangeParams,
        mut results: peer::ExchangeResults,
    ) -> capnp::Result<()> {
        meter::count_message("exchange");
        let now = time::Instant::now();
        let received = convert::read_entries(params.get()?.get_entries()?)?;
        let entries = self.node.entries_for_region(now);
        let list = results.get().init_entries(entries.len() as u32);
        convert::write_entries(&entries, now, list);
        self.node.apply(received, &Digest::default(), 0);
        Ok(())
    }

    async fn cache_pieces(
        self: Rc<Self>,
        params: peer::CachePiecesParams,
        _results: peer::CachePiecesResults,
    ) -> capnp::Result<()> {
        meter::count_message("cache_pieces");
        for set in params.get()?.get_sets()? {
            let delta = convert::read_pieces(set)?;
            loads::apply_pieces(&self.node.state, &delta);
        }
        Ok(())
    }

    async fn fetch_config(
        self: Rc<Self>,
        params: peer::FetchConfigParams,
        mut results: peer::FetchConfigResults,
    ) -> capnp::Result<()> {
        meter::count_message("fetch_config");
        let above = params.get()?.get_above();
        let builder = results.get().init_config();
        match self.node.state.config.current() {
            Some(config) if config.version > above => convert::write_config(&config, builder),
            _ => Ok(()),
        }
    }

    async fn fetch_answer(
        self: Rc<Self>,
        params: peer::FetchAnswerParams,
        mut results: peer::FetchAnswerResults,
    ) -> capnp::Result<()> {
        meter::count_message("fetch_answer");
        let params = params.get()?;
        let request = ids::RequestId::new(params.get_request_id()?.to_str()?);
        let team = ids::TeamId::new(params.get_team()?.to_str()?);
        let mut builder = results.get().init_answer();
        match self.node.state.responses.find(&request, &team) {
            BufferedResponse::Unknown => builder.set_unknown(()),
            BufferedResponse::Running => builder.set_running(()),
            BufferedResponse::Forbidden => builder.set_forbidden(()),
            BufferedResponse::Done {
                status,
                content_type,
                body,
            } => {
                let mut done = builder.init_done();
                done.set_status(status);
                done.set_content_type(content_type.as_str());
                done.set_body(&body);
            }
        }
        Ok(())
    }

    async fn take_turn(
        self: Rc<Self>,
        params: peer::TakeTurnParams,
        mut results: peer::TakeTurnResults,
    ) -> capnp::Result<()> {
        meter::count_message("take_turn");
        let params = params.get()?;
        let state = &self.node.state;
        let fingerprint = params.get_fingerprint();
        let pieces: Vec<u64> = params.get_pieces()?.iter().collect();
        let suspects = convert::read_suspects(params.get_suspects()?)?;
        state.targets.merge_suspects(&suspects);
        let stamp = TurnStamp {
            clock: params.get_clock(),
            daemon: params.get_daemon()?.to_str()?,
        };
        let own_daemon = state.settings.daemon.as_str();
        let (is_held_back, clock) =
            state
                .targets
                .answer_turn(fingerprint, &pieces, stamp, own_daemon);
        let known = state.targets.report_suspects_on(fingerprint, &pieces);
        let mut builder = results.get();
        builder.set_is_held_back(is_held_back);
        builder.set_clock(clock);
        convert::write_suspects(&known, 0, builder.init_suspects());
        Ok(())
    }

    async fn await_key(
        self: Rc<Self>,
        params: peer::AwaitKeyParams,
        mut results: peer::AwaitKeyResults,
    ) -> capnp::Result<()> {
        meter::count_message("await_key");
        let params = params.get()?;
        let team = ids::TeamId::new(params.get_team()?.to_str()?);
        let key = params.get_key()?.to_string()?;
        let wait_ms = params.get_wait_ms().min(MAX_WAIT_MS);
        let state = sync::Arc::clone(&self.node.state);
        let wait = async move { state.idempotency.local_state(&team, &key, wait_ms).await };
        let key_state = self.node.main_runtime.spawn(wait).await;
        let mut builder = results.get().init_state();
        match key_state.map_err(|error| capnp::Error::failed(error.to_string()))? {
            RemoteKeyState::Unknown => builder.set_unknown(()),
            RemoteKeyState::Running => builder.set_running(()),
            RemoteKeyState::Finished => builder.set_finished(()),
        }
        Ok(())
    }
}
