//! Streams while targets of several software versions serve side by side.

use std::{net, time::Duration};

use acaciabank_testbed::harness;
use tokio::{io::AsyncWriteExt, net::TcpStream};

use crate::{
    fixture::{EmulatorProcess, Fixture, Relay, TIMEOUT},
    raw_request, returns,
};

/// Events of a stream that lasts for some seconds.
const LONG_STREAM: u32 = 600;
/// Streams that are open at the same time.
const STREAMS: usize = 16;
/// Time in which the version of a stream that has begun may still be recorded.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Returns the versions that occur in the events of a stream, each once.
pub(crate) fn versions(text: &str) -> Vec<String> {
    let events = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let mut versions: Vec<String> = events
        .filter_map(|event| event.split_once(" token "))
        .map(|(version, _)| version.to_owned())
        .collect();
    versions.sort();
    versions.dedup();
    versions
}

/// Relays and engines: prefill engines of version v1, and decode engines of both versions.
struct VersionFixture {
    fixture: Fixture,
    prefill_engines: Vec<EmulatorProcess>,
    /// Decode engines of version v1.
    old: Vec<EmulatorProcess>,
    /// Decode engines of version v2.
    new: Vec<EmulatorProcess>,
    relays: Vec<Relay>,
}

impl VersionFixture {
    async fn start(relay_count: usize) -> Self {
        let mut fixture = Self::start_old(relay_count).await;
        fixture.add_new().await;
        fixture
    }

    /// Starts all but the decode engines of version v2.
    async fn start_old(relay_count: usize) -> Self {
        let mut fixture = Fixture::start().await;
        fixture.write_config(1, |_| {}).await;
        let ids = ["p-1", "p-2", "p-3", "p-4", "p-5", "p-6", "p-7"];
        let prefill_engines = fixture.start_runners(&ids).await;
        let old = fixture.start_runners(&["d-1", "d-2"]).await;
        let _ledger = fixture.start_runners(&["r-1"]).await;
        let relays = fixture.start_relays(relay_count).await;
        Self {
            fixture,
            prefill_engines,
            old,
            new: Vec::new(),
            relays,
        }
    }

    /// Starts the decode engines of version v2 and waits until both versions serve.
    async fn add_new(&mut self) {
        self.fixture.runner_arguments = vec!["--software".to_owned(), "v2".to_owned()];
        self.new = self.fixture.start_runners(&["d-3", "d-4"]).await;
        self.wait_both_versions().await;
    }

    /// Has all engines of version v1 drain, and waits until that is known. Engines that were killed
    /// would look as if the streams had crashed them.
    async fn drain_old(&self) {
        for engine in self.old.iter().chain(&self.prefill_engines) {
            engine
                .control(serde_json::json!({"is_draining": true}))
                .await;
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
    }

    /// Waits until each relay uses engines of both versions.
    async fn wait_both_versions(&self) {
        for relay in &self.relays {
            harness::wait_until(TIMEOUT, "both versions serve", async || {
                let calls = (0..8).map(|number| {
                    let attempt = format!("probe-{}-{number}", relay.process.name());
                    async move { relay.request_stream("/resumable/a", &attempt, 4).await }
                });
                let responses = futures::future::join_all(calls).await;
                let texts: String = responses
                    .iter()
                    .flatten()
                    .map(|response| String::from_utf8_lossy(&response.body))
                    .collect();
                versions(&texts).len() == 2
            })
            .await;
        }
    }

    /// Ends all relays at once and starts them again.
    async fn restart_relays(&mut self) {
        for relay in &mut self.relays {
            relay.process.kill();
        }
        for relay in &mut self.relays {
            relay.process.restart().expect("the process restarts");
        }
        for relay in &self.relays {
            relay.wait_streaming("/stream/a", 2).await;
        }
    }

    /// Takes up streams at all relays in turn.
    async fn take_up_all(&self, begun: &[BegunStream]) -> Vec<TakenUpStream> {
        let calls = begun.iter().enumerate().map(|(number, stream)| {
            let relay = &self.relays[number % self.relays.len()];
            take_up(relay, stream, Some(&stream.attempt))
        });
        futures::future::join_all(calls).await
    }
}

/// The beginning of a stream that a caller has received.
struct BegunStream {
    attempt: String,
    version: String,
    last_event: u64,
    /// The connection; dropping it ends the stream.
    _connection: TcpStream,
}

/// What a caller got that took a stream up.
struct TakenUpStream {
    status: u16,
    /// Version of the first part.
    version: String,
    /// Versions of the second part.
    versions: Vec<String>,
    retry_after: bool,
}

/// Opens a long stream and reads its first events.
async fn begin(address: net::SocketAddr, attempt: String) -> BegunStream {
    let framing = format!(
        "x-acaciabank-model: m\r\nx-acaciabank-token-count: 2000,{LONG_STREAM}\r\n\
         x-acaciabank-prompt-prefix: aa:1500,bb:500\r\ncontent-length: 0"
    );
    let head = raw_request::request_text("/resumable/a", &attempt, &framing);
    let mut connection = TcpStream::connect(address).await.expect("a connection");
    connection
        .write_all(head.as_bytes())
        .await
        .expect("the request is sent");
    let text = raw_request::read_until(&mut connection, "id: 3\n").await;
    let version = versions(&text).first().expect("an event").clone();
    BegunStream {
        attempt,
        version,
        last_event: 2,
        _connection: connection,
    }
}

/// Opens long streams at relays in turn.
async fn begin_all(relays: &[Relay], name: &str) -> Vec<BegunStream> {
    let streams = (0..STREAMS).map(|number| {
        let address = relays[number % relays.len()].caller_address;
        begin(address, format!("{name}-{number}"))
    });
    futures::future::join_all(streams).await
}

/// Takes a stream up after its last event, in a new attempt.
async fn take_up(relay: &Relay, stream: &BegunStream, resumes: Option<&str>) -> TakenUpStream {
    let last_event = stream.last_event.to_string();
    let tokens = format!("2000,{}", stream.last_event + 20);
    let attempt = format!("again-{}", stream.attempt);
    let mut headers = vec![
        ("x-acaciabank-model", "m"),
        ("x-acaciabank-token-count", tokens.as_str()),
        ("x-acaciabank-prompt-prefix", "aa:1500,bb:500"),
        ("last-event-id", last_event.as_str()),
    ];
    headers.extend(resumes.map(|id| ("resumes", id)));
    let response = relay
        .response("POST", "/resumable/a", &attempt, &headers, "")
        .await;
    TakenUpStream {
        status: response.status,
        version: stream.version.clone(),
        versions: versions(&String::from_utf8_lossy(&response.body)),
        retry_after: response.headers.contains_key("retry-after"),
    }
}

/// Checks that no stream was joined from two versions, and that half of them went on at least.
fn check_half_goes_on(taken_up: &[TakenUpStream]) {
    let gone_on = count_gone_on(taken_up);
    let all = taken_up.len();
    assert!(2 * gone_on >= all, "only {gone_on} of {all} went on");
}

/// Checks that no stream was joined from two versions; returns how many went on.
fn count_gone_on(taken_up: &[TakenUpStream]) -> usize {
    for stream in taken_up {
        match stream.status {
            200 => assert_eq!(stream.versions, [stream.version.as_str()]),
            status => assert_eq!(status, 503),
        }
    }
    taken_up
        .iter()
        .filter(|stream| stream.status == 200)
        .count()
}

/// Guards against a response that holds events of two versions after the engine has broken off.
#[tokio::test]
async fn a_response_holds_events_of_one_version() {
    let fixture = VersionFixture::start(1).await;
    let relay = &fixture.relays[0];
    for engine in &fixture.old {
        engine.control(serde_json::json!({"breaks_after": 2})).await;
    }
    let mut complete = 0;
    for round in 0..6 {
        let calls = (0..8).map(|number| async move {
            let attempt = format!("one-{round}-{number}");
            relay.request_stream("/resumable/a", &attempt, 8).await
        });
        // A stream that cannot go on at its version ends with an error.
        for response in futures::future::join_all(calls).await.into_iter().flatten() {
            let text = String::from_utf8_lossy(&response.body);
            assert!(versions(&text).len() <= 1, "{text}");
            complete += usize::from(response.status == 200);
        }
    }
    assert!(complete >= 24, "only {complete} of 48 streams are complete");
}

/// Guards against streams that callers take up at another relay, and that go on at another version.
#[tokio::test]
async fn a_stream_that_is_taken_up_goes_on_at_its_version() {
    let fixture = VersionFixture::start(3).await;
    let mut begun = begin_all(&fixture.relays, "up").await;
    // The next relay takes each stream up.
    begun.rotate_left(1);
    let taken_up = fixture.take_up_all(&begun).await;
    check_half_goes_on(&taken_up);
}

/// Guards against streams of two versions joined after all relays were killed at once, as nobody
/// remembers where they began.
#[tokio::test]
async fn streams_go_on_at_their_version_after_a_kill_of_all_relays() {
    let mut fixture = VersionFixture::start(3).await;
    let begun = begin_all(&fixture.relays, "kill").await;
    fixture.restart_relays().await;
    let taken_up = fixture.take_up_all(&begun).await;
    check_half_goes_on(&taken_up);
}

/// Guards against streams of a version that has just left which go on at the one that is left, with
/// and without a kill of all relays.
#[tokio::test]
async fn a_stream_whose_version_has_left_does_not_go_on() {
    let mut fixture = VersionFixture::start(2).await;
    let begun = begin_all(&fixture.relays, "left").await;
    let of_old = begun.iter().filter(|stream| stream.version == "v1").count();
    assert!(of_old > 0 && of_old < STREAMS, "{of_old}");
    fixture.drain_old().await;
    for is_killed in [false, true] {
        if is_killed {
            fixture.restart_relays().await;
        }
        let taken_up = fixture.take_up_all(&begun).await;
        let gone_on = count_gone_on(&taken_up);
        assert!(2 * gone_on >= STREAMS - of_old, "only {gone_on} went on");
        let of_old = taken_up.iter().filter(|stream| stream.version == "v1");
        for stream in of_old {
            assert_eq!(stream.status, 503);
            assert!(!stream.retry_after, "the version does not come back");
        }
    }
}

/// Guards against a stream whose beginning nobody can name that goes on at some version.
#[tokio::test]
async fn a_take_up_that_names_no_attempt_is_refused_while_versions_differ() {
    let fixture = VersionFixture::start(2).await;
    let begun = begin_all(&fixture.relays[..1], "unnamed").await;
    for stream in &begun {
        let taken_up = take_up(&fixture.relays[1], stream, None).await;
        count_gone_on(&[taken_up]);
    }
}

/// Guards against streams that begin without a record while the store is away, and against callers
/// that get none for as long.
#[tokio::test]
async fn streams_that_cannot_be_recorded_begin_at_the_base() {
    let fixture = VersionFixture::start(1).await;
    let relay = &fixture.relays[0];
    let refusing = serde_json::json!({"refuses": true});
    fixture.fixture.store.control(refusing).await;
    for round in 0..6 {
        let calls = (0..8).map(|number| async move {
            let attempt = format!("away-{round}-{number}");
            relay.request_stream("/resumable/a", &attempt, 8).await
        });
        let mut complete = 0;
        for response in futures::future::join_all(calls).await.into_iter().flatten() {
            let text = String::from_utf8_lossy(&response.body);
            match response.status {
                200 => assert_eq!(versions(&text), ["v1"]),
                status => assert_eq!(status, 502),
            }
            complete += usize::from(response.status == 200);
        }
        // Those that begin before the first failure is known are lost.
        assert!(round == 0 || complete == 8, "{complete} in round {round}");
    }
}

/// Guards against streams that have no record because the relay that writes them was killed.
#[tokio::test]
async fn streams_are_recorded_while_relays_are_killed_in_turn() {
    let mut fixture = VersionFixture::start(3).await;
    let mut begun = Vec::new();
    for killed in 0..fixture.relays.len() {
        fixture.relays[killed].process.kill();
        let others = [(killed + 1) % 3, (killed + 2) % 3];
        let streams = (0..STREAMS).map(|number| {
            let address = fixture.relays[others[number % 2]].caller_address;
            begin(address, format!("turn-{killed}-{number}"))
        });
        begun.extend(futures::future::join_all(streams).await);
        let process = &mut fixture.relays[killed].process;
        process.restart().expect("the process restarts");
        let path = "/stream/a";
        fixture.relays[killed].wait_streaming(path, 2).await;
    }
    fixture.restart_relays().await;
    // The last ones: the others may have ended meanwhile.
    let last = begun.split_off(2 * STREAMS);
    check_half_goes_on(&fixture.take_up_all(&last).await);
    count_gone_on(&fixture.take_up_all(&begun).await);
}

/// Guards against streams of a route with two services that go on at the other one, whose version nobody
/// has recorded for it.
#[tokio::test]
async fn a_stream_goes_on_at_the_service_that_began_it() {
    let mut fixture = VersionFixture::start_old(2).await;
    fixture.fixture.runner_arguments = vec!["--software".to_owned(), "v9".to_owned()];
    for id in ["o-1", "o-2"] {
        let stage = Some("decode");
        let engine = fixture.fixture.start_runner(id, "others", stage).await;
        fixture.new.push(engine);
    }
    let split = serde_json::json!([
        {"service": "models", "weight": 50}, {"service": "others", "weight": 50},
    ]);
    fixture
        .fixture
        .write_config(2, |config| {
            let mut others = config["services"][1].clone();
            others["name"] = "others".into();
            let services = config["services"].as_array_mut().expect("services");
            services.push(others);
            config["routes"][2]["traffic_split"] = split.clone();
        })
        .await;
    fixture.wait_both_versions().await;
    let begun = begin_all(&fixture.relays, "split").await;
    check_half_goes_on(&fixture.take_up_all(&begun).await);
    fixture.restart_relays().await;
    let begun = begin_all(&fixture.relays, "again-split").await;
    fixture.restart_relays().await;
    check_half_goes_on(&fixture.take_up_all(&begun).await);
}

/// Guards against a base that is forgotten when the store comes back from a copy that lacks its row:
/// streams of the version that has left would go on at the other one.
#[tokio::test]
async fn the_base_outlasts_a_return_of_the_store() {
    let mut fixture = VersionFixture::start_old(2).await;
    let copied_at = returns::mark_copy().await;
    fixture.add_new().await;
    let begun = begin_all(&fixture.relays, "return").await;
    fixture.drain_old().await;
    returns::restore(&fixture.fixture, copied_at, 0).await;
    let is_logged = |relay: &Relay| {
        let log = std::fs::read_to_string(relay.process.output_file()).unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains("\"base_version\""));
        lines.count()
    };
    harness::wait_until(TIMEOUT, "the base is written again", async || {
        let writes = fixture.relays.iter().map(is_logged);
        writes.sum::<usize>() >= 2
    })
    .await;
    fixture.restart_relays().await;
    count_gone_on(&fixture.take_up_all(&begun).await);
}

/// Guards against streams that do not go on during a deployment without a change of versions.
#[tokio::test]
async fn all_streams_go_on_while_one_version_serves() {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let ids = ["p-1", "p-2", "p-3", "d-1", "d-2", "r-1"];
    let engines = fixture.start_runners(&ids).await;
    let relays = fixture.start_relays(2).await;
    let mut version_fixture = VersionFixture {
        fixture,
        prefill_engines: engines,
        old: Vec::new(),
        new: Vec::new(),
        relays,
    };
    let begun = begin_all(&version_fixture.relays, "single").await;
    version_fixture.restart_relays().await;
    tokio::time::sleep(SETTLE_TIME).await;
    let taken_up = version_fixture.take_up_all(&begun).await;
    assert_eq!(count_gone_on(&taken_up), STREAMS);
}
