//! What other daemons may call.

use std::{rc::Rc, sync, time};

use acaciabank_protocol::{ids, peer_capnp::peer};

use super::{RemoteKey, convert, meter, node::PeerNode};
use crate::dispatch::BufferedAnswer;

/// Longest wait that a caller may ask for; bounds the calls that a caller can leave behind.
const MAX_WAIT_MS: u32 = 600_000;

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
        let entries = convert::read_entries(params.get()?.get_entries()?)?;
        self.node.apply_entries(entries);
        Ok(())
    }

    async fn pull(
        self: Rc<Self>,
        _params: peer::PullParams,
        mut results: peer::PullResults,
    ) -> capnp::Result<()> {
        meter::count_message("pull");
        let now = time::Instant::now();
        let entries = self.node.alive_entries(now);
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
        let entry = self.node.current_entry();
        convert::write_entry(&entry, time::Duration::ZERO, results.get().init_entry());
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
        match self.node.state.answers.find(&request, &team) {
            BufferedAnswer::Unknown => builder.set_unknown(()),
            BufferedAnswer::Running => builder.set_running(()),
            BufferedAnswer::Forbidden => builder.set_forbidden(()),
            BufferedAnswer::Done {
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
        let wait = async move { state.once.local_state(&team, &key, wait_ms).await };
        let known = self.node.main.spawn(wait).await;
        let mut builder = results.get().init_state();
        match known.map_err(|error| capnp::Error::failed(error.to_string()))? {
            RemoteKey::Unknown => builder.set_unknown(()),
            RemoteKey::Running => builder.set_running(()),
            RemoteKey::Finished => builder.set_finished(()),
        }
        Ok(())
    }
}
