//! Callers get the whole answer to their own request while engines crash, answers are crossed and
//! links are slow.

use std::{net, time};

use acaciabank_testbed::{engine, harness, proxy, web};
use serde_json::{Value, json};

/// Generous limit for conditions on a busy machine.
const LIMIT: time::Duration = time::Duration::from_secs(30);
const MODEL: &str = "drafting";
/// Enough tokens for a fault in the middle: the stand-in needs about 12 ms for each.
const TOKENS: u64 = 60;

struct AnswerFleet {
    fleet: harness::Fleet,
    _turn: tokio::sync::SemaphorePermit<'static>,
}

/// Shape of a call: which path and whether a stream is asked for.
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

    fn expected(self, prompt: &str, tokens: u64) -> String {
        let messages = Self::messages(prompt);
        let prompt = match self.is_chat {
            true => engine::chat_prompt(messages.as_array().expect("an array")),
            false => prompt.to_owned(),
        };
        engine::expected_text(MODEL, &prompt, 0..tokens)
    }

    /// Text of a whole answer or of a complete stream.
    fn text(self, body: &[u8]) -> Result<String, String> {
        let body = String::from_utf8_lossy(body).into_owned();
        if !self.is_stream {
            let answer: Value = serde_json::from_str(&body).map_err(|error| error.to_string())?;
            let choice = &answer["choices"][0];
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
            let part = match self.is_chat {
                true => &choice["delta"]["content"],
                false => &choice["text"],
            };
            text.push_str(part.as_str().unwrap_or_default());
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
) -> std::io::Result<web::ClientAnswer> {
    let body = shape.body(&prompt, tokens);
    web::call(address, "POST", shape.path(), &[], body).await
}

fn request_id(answer: &web::ClientAnswer) -> String {
    let id = answer.headers.get("x-request-id").expect("a request id");
    id.to_str().expect("text").to_owned()
}

fn check(answer: &web::ClientAnswer, shape: CallShape, prompt: &str, tokens: u64) {
    let text = shape.text(&answer.body);
    assert_eq!(answer.status, 200, "{shape:?}: {:?}", answer.json());
    assert_eq!(text, Ok(shape.expected(prompt, tokens)), "{shape:?}");
}

impl AnswerFleet {
    async fn start(adjust: impl FnOnce(&mut harness::FleetSpec)) -> Self {
        let turn = harness::fleet_turn().await;
        let mut spec = harness::FleetSpec::small(2, 3, 1);
        adjust(&mut spec);
        let fleet = spec.start(launcher()).await.expect("fleet");
        fleet.wait_settled().await;
        Self { fleet, _turn: turn }
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

    /// Value of a counter of a daemon over all labels.
    async fn counter(&self, daemon: usize, name: &str) -> f64 {
        let address = self.fleet.daemons[daemon].admin_address;
        let answer = web::call(address, "GET", "/metrics", &[], "").await;
        let text = String::from_utf8_lossy(&answer.expect("metrics").body).into_owned();
        let lines = text.lines().filter(|line| line.starts_with(name));
        lines
            .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
            .sum()
    }

    /// Position of the engine that received the first attempt of the only request.
    async fn wait_engine_of_attempt(&self, number: usize) -> usize {
        let mut position = None;
        harness::wait_until(LIMIT, "an engine receives the attempt", async || {
            let journals = self.fleet.journals().expect("journals");
            let suffix = format!(".{number}");
            let received = journals.events("received").find(|entry| {
                let attempt = entry["attempt"].as_str().unwrap_or_default();
                attempt.ends_with(&suffix)
            });
            let name = received.and_then(|entry| entry["engine"].as_str());
            let mut engines = self.fleet.engines.iter();
            position = name.and_then(|name| engines.position(|engine| engine.name == name));
            position.is_some()
        })
        .await;
        position.expect("a position")
    }
}

/// Guards against a missing or repeated token when the engine's connection breaks in the middle,
/// once or several times.
#[tokio::test]
async fn broken_streams_resume_exactly() {
    let answers = AnswerFleet::start(|spec| spec.limits.max_attempts = 8).await;
    answers
        .control_engines(json!({"break_after_tokens": 17}))
        .await;
    for shape in SHAPES {
        let prompt = format!("broken {shape:?}");
        let answer = call(answers.address(0), shape, prompt.clone(), TOKENS).await;
        check(&answer.expect("an answer"), shape, &prompt, TOKENS);
    }
    let resumed = answers.counter(0, "acaciabank_retries_total").await;
    assert!(resumed >= 12.0, "4 streams with 3 breaks each, {resumed}");
}

/// Guards against a stream that ends, or starts again, when its engine's process dies.
#[tokio::test]
async fn crash_of_the_engine_mid_stream_is_not_seen_by_the_caller() {
    for shape in SHAPES {
        let mut answers = AnswerFleet::start(|_| {}).await;
        let prompt = format!("crash {shape:?}");
        let running = tokio::spawn(call(answers.address(0), shape, prompt.clone(), TOKENS));
        let position = answers.wait_engine_of_attempt(1).await;
        answers.fleet.engines[position].process.kill();
        let answer = running.await.expect("task").expect("an answer");
        check(&answer, shape, &prompt, TOKENS);
        let other = answers.wait_engine_of_attempt(2).await;
        assert_ne!(other, position);
    }
}

/// Guards against an answer of another request that reaches a caller.
#[tokio::test]
async fn crossed_answers_are_dropped_and_every_caller_gets_its_own() {
    let answers = AnswerFleet::start(|_| {}).await;
    let wrong = &answers.fleet.engines[0];
    harness::Fleet::control(wrong.address, &json!({"wrong_id": true}))
        .await
        .expect("control");
    let calls = (0..24).map(|number| async move {
        let shape = SHAPES[number % SHAPES.len()];
        (number, shape, format!("own {number}"))
    });
    let plans = futures::future::join_all(calls).await;
    let running = plans.iter().map(|(number, shape, prompt)| {
        call(answers.address(number % 2), *shape, prompt.clone(), 8)
    });
    let results = futures::future::join_all(running).await;
    for ((_, shape, prompt), answer) in plans.iter().zip(results) {
        check(&answer.expect("an answer"), *shape, prompt, 8);
    }
    let name = "acaciabank_crossed_answers_total";
    let crossed = answers.counter(0, name).await + answers.counter(1, name).await;
    assert!(crossed > 0.0, "no answer was crossed");
}

/// Guards against an answer that is lost with the caller's connection, and against one that another
/// team can read.
#[tokio::test]
async fn late_caller_gets_its_answer_at_another_daemon_and_other_teams_do_not() {
    let answers = AnswerFleet::start(|spec| {
        spec.add_team("clubs", "clubs-key");
        spec.add_team("fees", "fees-key");
    })
    .await;
    let own = [("authorization", "Bearer clubs-key")];
    let other = [("authorization", "Bearer fees-key")];
    for shape in SHAPES {
        let prompt = format!("late {shape:?}");
        let body = shape.body(&prompt, TOKENS);
        let address = answers.address(0);
        // The caller leaves in the middle; the operators' list names its request.
        let left =
            tokio::spawn(async move { web::call(address, "POST", shape.path(), &own, body).await });
        let mut id = String::new();
        harness::wait_until(LIMIT, "the request runs", async || {
            let requests = answers.fleet.admin_json(0, "/admin/requests").await;
            let requests = requests.unwrap_or_default();
            let first = requests["requests"][0]["request_id"].as_str();
            id = first.unwrap_or_default().to_owned();
            !id.is_empty()
        })
        .await;
        left.abort();
        let path = format!("/v1/requests/{id}");
        let mut last = None;
        harness::wait_until(LIMIT, "the answer is available elsewhere", async || {
            let answer = web::call(answers.address(1), "GET", &path, &own, "").await;
            last = answer.ok();
            last.as_ref()
                .is_some_and(|answer| shape.text(&answer.body).is_ok())
        })
        .await;
        check(&last.expect("an answer"), shape, &prompt, TOKENS);
        for daemon in [0, 1] {
            let foreign = web::call(answers.address(daemon), "GET", &path, &other, "").await;
            assert_eq!(foreign.expect("an answer").status, 404);
            let nobody = web::call(answers.address(daemon), "GET", &path, &[], "").await;
            assert_eq!(nobody.expect("an answer").status, 401);
        }
    }
}

/// Guards against answers that are cut off, mixed up or repeated on a slow or stalling link.
#[tokio::test]
async fn late_answers_arrive_whole() {
    let answers = AnswerFleet::start(|_| {}).await;
    let slow = proxy::LinkFault {
        kind: proxy::FaultKind::Delay,
        delay_ms: 60,
        ..proxy::LinkFault::default()
    };
    let links: Vec<String> = answers
        .fleet
        .engines
        .iter()
        .map(|engine| harness::target_link(&engine.name))
        .collect();
    for link in &links {
        answers.fleet.set_fault(link, &slow).await;
    }
    let calls = SHAPES.map(|shape| {
        let prompt = format!("slow {shape:?}");
        let address = answers.address(0);
        async move {
            (
                call(address, shape, prompt.clone(), 20).await,
                shape,
                prompt,
            )
        }
    });
    let running = tokio::spawn(futures::future::join_all(calls));
    // In the middle of the answers all bytes are held for a while.
    answers.wait_engine_of_attempt(1).await;
    for link in &links {
        answers
            .fleet
            .start_fault(link, proxy::FaultKind::BlackholeDown)
            .await;
    }
    harness::wait_until(LIMIT, "a link holds a part of an answer", async || {
        let mut held = 0;
        for link in &links {
            let report = answers.fleet.proxy().report(link).await.expect("a report");
            held += report["bytes_held"].as_u64().unwrap_or(0);
        }
        held > 0
    })
    .await;
    for link in &links {
        answers.fleet.end_fault(link).await;
    }
    for (answer, shape, prompt) in running.await.expect("task") {
        let answer = answer.expect("an answer");
        check(&answer, shape, &prompt, 20);
        assert!(!request_id(&answer).is_empty());
    }
}
