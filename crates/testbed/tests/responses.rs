//! Callers get the complete response to their own request although engines crash, engines send
//! responses to other requests and links are slow.

use std::{net, time};

use acaciabank_testbed::{engine, harness, proxy, web};
use serde_json::{Value, json};

/// Maximum wait for a condition; generous because the machine may be busy.
const TIMEOUT: time::Duration = time::Duration::from_secs(30);
const MODEL: &str = "drafting";
/// Enough tokens for a fault in mid-stream: the simulated engine takes about 12 ms per token.
const MAX_TOKENS: u64 = 60;

/// A fleet, and the permit that limits how many fleets run at a time.
struct FleetFixture {
    fleet: harness::Fleet,
    _permit: tokio::sync::SemaphorePermit<'static>,
}

/// Shape of a completion request: its endpoint, and whether the response is streamed.
#[derive(Clone, Copy, Debug)]
struct CallShape {
    is_chat: bool,
    is_stream: bool,
}

const SHAPES: [CallShape; 4] = [
    CallShape {
        is_chat: false,
        is_stream: true,
    },
    CallShape {
        is_chat: false,
        is_stream: false,
    },
    CallShape {
        is_chat: true,
        is_stream: true,
    },
    CallShape {
        is_chat: true,
        is_stream: false,
    },
];

impl CallShape {
    fn path(self) -> &'static str {
        match self.is_chat {
            true => "/v1/chat/completions",
            false => "/v1/completions",
        }
    }

    fn messages(prompt: &str) -> Value {
        json!([{"role": "user", "content": prompt}])
    }

    fn body(self, prompt: &str, tokens: u64) -> String {
        let mut body = json!({"model": MODEL, "max_tokens": tokens, "stream": self.is_stream});
        match self.is_chat {
            true => body["messages"] = Self::messages(prompt),
            false => body["prompt"] = prompt.into(),
        }
        body.to_string()
    }

    /// Text that the simulated engine generates for a prompt.
    fn expected_text(self, prompt: &str, tokens: u64) -> String {
        let messages = Self::messages(prompt);
        let prompt = match self.is_chat {
            true => engine::chat_prompt(messages.as_array().expect("an array")),
            false => prompt.to_owned(),
        };
        engine::expected_text(MODEL, &prompt, 0..tokens)
    }

    /// Text of a response body, or an error if the body is malformed or a stream lacks its end.
    fn parse_text(self, body: &[u8]) -> Result<String, String> {
        let body = String::from_utf8_lossy(body).into_owned();
        if !self.is_stream {
            let response: Value = serde_json::from_str(&body).map_err(|error| error.to_string())?;
            let choice = &response["choices"][0];
            let text = match self.is_chat {
                true => &choice["message"]["content"],
                false => &choice["text"],
            };
            return text.as_str().map(str::to_owned).ok_or(body);
        }
        let mut text = String::new();
        for event in body.split("\n\n").filter(|event| !event.is_empty()) {
            let data = event.strip_prefix("data: ").ok_or(event)?;
            if data == "[DONE]" {
                return Ok(text);
            }
            let chunk: Value = serde_json::from_str(data).map_err(|error| error.to_string())?;
            let choice = &chunk["choices"][0];
            let delta = match self.is_chat {
                true => &choice["delta"]["content"],
                false => &choice["text"],
            };
            text.push_str(delta.as_str().unwrap_or_default());
        }
        Err(format!("no [DONE] after {text:?}"))
    }
}

fn launcher() -> harness::Launcher {
    harness::Launcher::new(env!("CARGO_BIN_EXE_testbed")).expect("launcher")
}

async fn call(
    address: net::SocketAddr,
    shape: CallShape,
    prompt: String,
    tokens: u64,
) -> std::io::Result<web::BufferedResponse> {
    let body = shape.body(&prompt, tokens);
    web::call(address, "POST", shape.path(), &[], body).await
}

fn request_id(response: &web::BufferedResponse) -> String {
    let id = response.headers.get("x-request-id").expect("a request id");
    id.to_str().expect("text").to_owned()
}

fn assert_complete(response: &web::BufferedResponse, shape: CallShape, prompt: &str, tokens: u64) {
    let text = shape.parse_text(&response.body);
    assert_eq!(response.status, 200, "{shape:?}: {:?}", response.json());
    assert_eq!(text, Ok(shape.expected_text(prompt, tokens)), "{shape:?}");
}

impl FleetFixture {
    async fn start(adjust: impl FnOnce(&mut harness::FleetSpec)) -> Self {
        let permit = harness::acquire_fleet_permit().await;
        let mut spec = harness::FleetSpec::small(2, 3, 1);
        adjust(&mut spec);
        let fleet = spec.start(launcher()).await.expect("fleet");
        fleet.wait_converged().await;
        Self {
            fleet,
            _permit: permit,
        }
    }

    fn address(&self, daemon: usize) -> net::SocketAddr {
        self.fleet.daemons[daemon].caller_address
    }

    async fn control_engines(&self, message: Value) {
        for engine in &self.fleet.engines {
            harness::Fleet::control(engine.address, &message)
                .await
                .expect("control");
        }
    }

    /// Value of a counter at a daemon, summed over its labels.
    async fn counter_sum(&self, daemon: usize, name: &str) -> f64 {
        let address = self.fleet.daemons[daemon].admin_address;
        let response = web::call(address, "GET", "/metrics", &[], "").await;
        let text = String::from_utf8_lossy(&response.expect("metrics").body).into_owned();
        let lines = text.lines().filter(|line| line.starts_with(name));
        lines
            .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
            .sum()
    }

    /// Waits until an engine receives the given attempt of the only request; returns the engine's
    /// index.
    async fn wait_engine_of_attempt(&self, number: usize) -> usize {
        let mut index = None;
        harness::wait_until(TIMEOUT, "an engine receives the attempt", async || {
            let journals = self.fleet.journals().expect("journals");
            let suffix = format!(".{number}");
            let received = journals.events("received").find(|entry| {
                let attempt = entry["attempt"].as_str().unwrap_or_default();
                attempt.ends_with(&suffix)
            });
            let name = received.and_then(|entry| entry["engine"].as_str());
            let mut engines = self.fleet.engines.iter();
            index = name.and_then(|name| engines.position(|engine| engine.name == name));
            index.is_some()
        })
        .await;
        index.expect("an engine index")
    }
}

/// Guards against a missing or repeated token when the engine's connection breaks in mid-stream and
/// the stream is resumed, once or several times.
#[tokio::test]
async fn broken_streams_resume_without_missing_or_repeated_tokens() {
    let fixture = FleetFixture::start(|spec| spec.limits.max_attempts = 8).await;
    fixture
        .control_engines(json!({"break_after_tokens": 17}))
        .await;
    for shape in SHAPES {
        let prompt = format!("broken {shape:?}");
        let response = call(fixture.address(0), shape, prompt.clone(), MAX_TOKENS).await;
        assert_complete(&response.expect("a response"), shape, &prompt, MAX_TOKENS);
    }
    let resumed = fixture.counter_sum(0, "acaciabank_retries_total").await;
    assert!(resumed >= 12.0, "4 streams with 3 breaks each, {resumed}");
}

/// Guards against a response that is cut off, or starts over, when the process of its engine is
/// killed.
#[tokio::test]
async fn crash_of_the_engine_mid_stream_is_not_seen_by_the_caller() {
    for shape in SHAPES {
        let mut fixture = FleetFixture::start(|_| {}).await;
        let prompt = format!("crash {shape:?}");
        let running = tokio::spawn(call(fixture.address(0), shape, prompt.clone(), MAX_TOKENS));
        let index = fixture.wait_engine_of_attempt(1).await;
        fixture.fleet.engines[index].process.kill();
        let response = running.await.expect("task").expect("a response");
        assert_complete(&response, shape, &prompt, MAX_TOKENS);
        let other = fixture.wait_engine_of_attempt(2).await;
        assert_ne!(other, index);
    }
}

/// Guards against a caller that receives the response to another request: one engine labels its
/// responses with a wrong request id.
#[tokio::test]
async fn mismatched_responses_are_dropped_and_every_caller_gets_its_own() {
    let fixture = FleetFixture::start(|_| {}).await;
    let mislabeling_engine = &fixture.fleet.engines[0];
    harness::Fleet::control(mislabeling_engine.address, &json!({"wrong_id": true}))
        .await
        .expect("control");
    let requests = (0..24).map(|number| async move {
        let shape = SHAPES[number % SHAPES.len()];
        (number, shape, format!("own {number}"))
    });
    let requests = futures::future::join_all(requests).await;
    let calls = requests.iter().map(|(number, shape, prompt)| {
        call(fixture.address(number % 2), *shape, prompt.clone(), 8)
    });
    let results = futures::future::join_all(calls).await;
    for ((_, shape, prompt), response) in requests.iter().zip(results) {
        assert_complete(&response.expect("a response"), *shape, prompt, 8);
    }
    let name = "acaciabank_crossed_answers_total";
    let mismatched = fixture.counter_sum(0, name).await + fixture.counter_sum(1, name).await;
    assert!(mismatched > 0.0, "no response had a wrong request id");
}

/// Guards against a response that is lost when its caller disconnects, and against one that another
/// team can read.
#[tokio::test]
async fn disconnected_caller_gets_its_response_at_another_daemon_and_other_teams_do_not() {
    let fixture = FleetFixture::start(|spec| {
        spec.add_team("clubs", "clubs-key");
        spec.add_team("fees", "fees-key");
    })
    .await;
    let owner_headers = [("authorization", "Bearer clubs-key")];
    let other_headers = [("authorization", "Bearer fees-key")];
    for shape in SHAPES {
        let prompt = format!("late {shape:?}");
        let body = shape.body(&prompt, MAX_TOKENS);
        let address = fixture.address(0);
        // The caller disconnects in mid-response; the admin listener lists the id of its request.
        let abandoned = tokio::spawn(async move {
            web::call(address, "POST", shape.path(), &owner_headers, body).await
        });
        let mut request_id = String::new();
        harness::wait_until(TIMEOUT, "the request runs", async || {
            let requests = fixture.fleet.admin_json(0, "/admin/requests").await;
            let requests = requests.unwrap_or_default();
            let first = requests["requests"][0]["request_id"].as_str();
            request_id = first.unwrap_or_default().to_owned();
            !request_id.is_empty()
        })
        .await;
        abandoned.abort();
        let path = format!("/v1/requests/{request_id}");
        let mut last = None;
        harness::wait_until(TIMEOUT, "the other daemon has the response", async || {
            let response = web::call(fixture.address(1), "GET", &path, &owner_headers, "").await;
            last = response.ok();
            last.as_ref()
                .is_some_and(|response| shape.parse_text(&response.body).is_ok())
        })
        .await;
        assert_complete(&last.expect("a response"), shape, &prompt, MAX_TOKENS);
        for daemon in [0, 1] {
            let other_team =
                web::call(fixture.address(daemon), "GET", &path, &other_headers, "").await;
            assert_eq!(other_team.expect("a response").status, 404);
            let anonymous = web::call(fixture.address(daemon), "GET", &path, &[], "").await;
            assert_eq!(anonymous.expect("a response").status, 401);
        }
    }
}

/// Guards against responses that are cut off, mixed up or repeated on a link that is slow and then
/// stalls.
#[tokio::test]
async fn responses_over_slow_and_stalled_links_are_complete() {
    let fixture = FleetFixture::start(|_| {}).await;
    let delay = proxy::LinkFault {
        kind: proxy::FaultKind::Delay,
        delay_ms: 60,
        ..proxy::LinkFault::default()
    };
    let links: Vec<String> = fixture
        .fleet
        .engines
        .iter()
        .map(|engine| harness::target_link(&engine.name))
        .collect();
    for link in &links {
        fixture.fleet.set_fault(link, &delay).await;
    }
    let calls = SHAPES.map(|shape| {
        let prompt = format!("slow {shape:?}");
        let address = fixture.address(0);
        async move {
            (
                call(address, shape, prompt.clone(), 20).await,
                shape,
                prompt,
            )
        }
    });
    let running = tokio::spawn(futures::future::join_all(calls));
    // Holds all bytes for a while in the middle of the responses.
    fixture.wait_engine_of_attempt(1).await;
    for link in &links {
        fixture
            .fleet
            .start_fault(link, proxy::FaultKind::BlackholeDown)
            .await;
    }
    harness::wait_until(TIMEOUT, "a link holds response bytes", async || {
        let mut held_bytes = 0;
        for link in &links {
            let report = fixture.fleet.proxy().report(link).await.expect("a report");
            held_bytes += report["bytes_held"].as_u64().unwrap_or(0);
        }
        held_bytes > 0
    })
    .await;
    for link in &links {
        fixture.fleet.end_fault(link).await;
    }
    for (response, shape, prompt) in running.await.expect("task") {
        let response = response.expect("a response");
        assert_complete(&response, shape, &prompt, 20);
        assert!(!request_id(&response).is_empty());
    }
}
