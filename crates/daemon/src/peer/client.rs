//! Client side of the RPC interface: calls to other daemons.

use std::time;

use acaciabank_core::{
    member::{Heartbeat, MemberEntry},
    suspect::{SuspectReport, TurnStamp},
};
use acaciabank_protocol::{ids, peer_capnp};

use super::{
    RemoteKeyState, TurnQuestion, convert, digest,
    digest::Digest,
    link::{CALL_TIMEOUT, ConnectPolicy, PeerLink},
};
use crate::{config::ConfigVersion, dispatch, target::PieceDelta};

/// Entries, each with the time at which this daemon received it.
pub(super) type ReceivedEntries = Vec<(MemberEntry, time::Instant)>;

/// Parameters of a gossip call.
#[derive(Default)]
pub(super) struct GossipMessage {
    /// Hash of the sender's name.
    pub(super) sender_hash: u32,
    pub(super) entries: ReceivedEntries,
    /// Encoded [`Digest`].
    pub(super) digest: Vec<u8>,
}

/// Sends entries and a digest. Later rounds make up for a failed call.
pub(super) async fn gossip(link: &PeerLink, message: &GossipMessage) {
    let call = |client: peer_capnp::peer::Client| {
        let mut request = client.gossip_request();
        let mut params = request.get();
        params.set_sender(message.sender_hash);
        params.set_digest(&message.digest);
        let list = params.init_entries(message.entries.len() as u32);
        convert::write_entries(&message.entries, time::Instant::now(), list);
        async move { request.send().promise.await.map(|_| ()) }
    };
    if let Err(error) = link.call("gossip", CALL_TIMEOUT, call).await {
        log::debug!("gossip to daemon {} failed: {error}", link.daemon);
    }
}

pub(super) async fn pull(
    link: &PeerLink,
    is_starting: bool,
    region: &ids::RegionId,
) -> Result<(Vec<MemberEntry>, Digest), String> {
    let call = |client: peer_capnp::peer::Client| async move {
        let mut request = client.pull_request();
        request.get().set_starting(is_starting);
        request.get().set_region(region.as_str());
        let response = request.send().promise.await?;
        let results = response.get()?;
        let entries = convert::read_entries(results.get_entries()?)?;
        let digest = Digest::unpack(results.get_digest()?, time::Instant::now())?;
        Ok((entries, digest))
    };
    link.call("pull", CALL_TIMEOUT, call).await
}

pub(super) async fn probe(link: &PeerLink) -> Result<Heartbeat, String> {
    let call = |client: peer_capnp::peer::Client| async move {
        let response = client.probe_request().send().promise.await?;
        digest::read_heartbeat(response.get()?.get_heartbeat()?)
    };
    link.call("probe", CALL_TIMEOUT, call).await
}

/// Fetches full entries by the hashes of their daemons' names.
pub(super) async fn fetch_entries(
    link: &PeerLink,
    daemon_hashes: &[u32],
) -> Result<Vec<MemberEntry>, String> {
    let call = |client: peer_capnp::peer::Client| async move {
        let mut request = client.fetch_entries_request();
        let mut list = request.get().init_daemons(daemon_hashes.len() as u32);
        for (index, daemon_hash) in daemon_hashes.iter().enumerate() {
            list.set(index as u32, *daemon_hash);
        }
        let response = request.send().promise.await?;
        convert::read_entries(response.get()?.get_entries()?)
    };
    link.call("fetch_entries", CALL_TIMEOUT, call).await
}

/// Sends a few entries to a daemon of another region and receives some of its entries.
pub(super) async fn exchange(
    link: &PeerLink,
    entries: &ReceivedEntries,
) -> Result<Vec<MemberEntry>, String> {
    let call = |client: peer_capnp::peer::Client| async move {
        let mut request = client.exchange_request();
        let list = request.get().init_entries(entries.len() as u32);
        convert::write_entries(entries, time::Instant::now(), list);
        let response = request.send().promise.await?;
        convert::read_entries(response.get()?.get_entries()?)
    };
    link.call("exchange", CALL_TIMEOUT, call).await
}

/// Sends the cache changes of targets that this daemon owns.
pub(super) async fn cache_pieces(link: &PeerLink, deltas: &[PieceDelta]) -> Result<(), String> {
    let call = |client: peer_capnp::peer::Client| async move {
        let mut request = client.cache_pieces_request();
        let list = request.get().init_sets(deltas.len() as u32);
        convert::write_pieces(deltas, list);
        request.send().promise.await.map(|_| ())
    };
    link.call("cache_pieces", CALL_TIMEOUT, call).await
}

pub(super) async fn fetch_config(
    link: &PeerLink,
    above: u64,
) -> Result<Option<ConfigVersion>, String> {
    let call = |client: peer_capnp::peer::Client| async move {
        let mut request = client.fetch_config_request();
        request.get().set_above(above);
        let response = request.send().promise.await?;
        convert::read_config(response.get()?.get_config()?)
    };
    link.call("fetch_config", CALL_TIMEOUT, call).await
}

pub(super) async fn fetch_response(
    link: &PeerLink,
    id: &ids::RequestId,
    team: &ids::TeamId,
) -> Result<dispatch::BufferedResponse, String> {
    let call = |client: peer_capnp::peer::Client| async move {
        let mut request = client.fetch_answer_request();
        request.get().set_request_id(id.as_str());
        request.get().set_team(team.as_str());
        let response = request.send().promise.await?;
        read_response(response.get()?.get_answer()?)
    };
    link.call_with(ConnectPolicy::AtOnce, "fetch_answer", CALL_TIMEOUT, call)
        .await
}

/// Answer of another daemon to a request for a turn.
pub(super) struct TurnAnswer {
    /// Whether a request of that daemon holds the asking one back.
    pub(super) is_held_back: bool,
    /// Logical clock of that daemon.
    pub(super) clock: u64,
    /// What that daemon knows of the request.
    pub(super) known: SuspectReport,
}

/// Asks another daemon whether a request that waits with `stamp` may run.
pub(super) async fn ask_for_turn(
    link: &PeerLink,
    question: &TurnQuestion,
    stamp: TurnStamp<'_>,
    known: &SuspectReport,
) -> Result<TurnAnswer, String> {
    let call = |client: peer_capnp::peer::Client| async move {
        let mut request = client.take_turn_request();
        let mut params = request.get();
        params.set_fingerprint(question.fingerprint);
        params.set_clock(stamp.clock);
        params.set_daemon(stamp.daemon);
        params.set_pieces(question.pieces.as_slice())?;
        convert::write_suspects(known, 0, params.init_suspects());
        let response = request.send().promise.await?;
        let results = response.get()?;
        Ok(TurnAnswer {
            is_held_back: results.get_is_held_back(),
            clock: results.get_clock(),
            known: convert::read_suspects(results.get_suspects()?)?,
        })
    };
    link.call_with(ConnectPolicy::AtOnce, "take_turn", CALL_TIMEOUT, call)
        .await
}

fn read_response(
    reader: peer_capnp::answer::Reader<'_>,
) -> capnp::Result<dispatch::BufferedResponse> {
    use peer_capnp::answer::Which;
    Ok(match reader.which()? {
        Which::Unknown(()) => dispatch::BufferedResponse::Unknown,
        Which::Running(()) => dispatch::BufferedResponse::Running,
        Which::Forbidden(()) => dispatch::BufferedResponse::Forbidden,
        Which::Done(done) => dispatch::BufferedResponse::Done {
            status: done.get_status(),
            content_type: done.get_content_type()?.to_string()?,
            body: bytes::Bytes::copy_from_slice(done.get_body()?),
        },
    })
}

pub(super) async fn await_key(
    link: &PeerLink,
    team: &ids::TeamId,
    key: &str,
    wait_ms: u32,
) -> Result<RemoteKeyState, String> {
    use peer_capnp::key_state::Which;
    let call = |client: peer_capnp::peer::Client| async move {
        let mut request = client.await_key_request();
        request.get().set_team(team.as_str());
        request.get().set_key(key);
        request.get().set_wait_ms(wait_ms);
        let response = request.send().promise.await?;
        Ok(match response.get()?.get_state()?.which()? {
            Which::Unknown(()) => RemoteKeyState::Unknown,
            Which::Running(()) => RemoteKeyState::Running,
            Which::Finished(()) => RemoteKeyState::Finished,
        })
    };
    let timeout = CALL_TIMEOUT + time::Duration::from_millis(wait_ms.into());
    link.call_with(ConnectPolicy::AtOnce, "await_key", timeout, call)
        .await
}
