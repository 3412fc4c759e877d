//! Stand-in for the platform: table service, object store, host list, weight store.

mod table;

use std::{collections, io, sync, time};

use acaciabank_protocol::value_type;
use bytes::Bytes;
use hyper::{Request, Response, StatusCode, body::Incoming};
use rand::{RngExt, SeedableRng, rngs};
use serde_json::json;
use tokio::sync::mpsc;

use crate::{journal, web};

value_type!(
    /// How the table service and the object store fail.
    #[derive(Default)]
    pub enum DownKind {
        /// They answer.
        #[default]
        None,
        /// They answer 500.
        Error,
        /// They read requests and never answer.
        Hang,
        /// They close connections without an answer.
        Close,
    }
);

value_type!(
    /// Faults set by `POST /control`; members that are not named keep their value.
    #[derive(Default)]
    #[serde(default)]
    pub struct PlatformFaults {
        /// Outage.
        pub down: DownKind,
        /// Delay of every answer, in milliseconds.
        pub slow_ms: u64,
        /// Writes to come that take effect and get no answer.
        pub lose_next: u32,
        /// Probability that a write takes effect and gets no answer.
        pub lose_probability: f64,
        /// States of hosts, `live` or `leaving`.
        pub hosts: collections::BTreeMap<String, String>,
    }
);

/// Parameters of the platform stand-in.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Items read in one second at most.
    pub reads_per_second: f64,
    /// Items written in one second at most.
    pub writes_per_second: f64,
    /// Lag of the host list, in milliseconds.
    pub host_lag_ms: u64,
    /// Size of a model's weights.
    pub weight_bytes: u64,
    /// Bytes of weights in one second, over all readers.
    pub weight_bytes_per_second: u64,
    /// Seed of the faults.
    pub seed: u64,
}

type HostHistory = Vec<(time::Instant, u64, collections::BTreeMap<String, String>)>;

/// A running platform stand-in.
pub struct PlatformState {
    options: PlatformOptions,
    journal: journal::Journal,
    table: sync::Mutex<table::TableState>,
    objects: sync::Mutex<collections::HashMap<String, Bytes>>,
    faults: sync::Mutex<PlatformFaults>,
    hosts: sync::Mutex<HostHistory>,
    random: sync::Mutex<rngs::StdRng>,
    weights_free_at: sync::Mutex<time::Instant>,
}

impl PlatformState {
    /// A platform with an empty table.
    pub fn new(options: PlatformOptions, journal: journal::Journal) -> sync::Arc<Self> {
        let table = table::TableState::new(options.reads_per_second, options.writes_per_second);
        let random = rngs::StdRng::seed_from_u64(options.seed);
        let hosts = vec![(time::Instant::now(), journal::unix_ms(), Default::default())];
        sync::Arc::new(Self {
            options,
            journal,
            table: sync::Mutex::new(table),
            objects: sync::Mutex::default(),
            faults: sync::Mutex::default(),
            hosts: sync::Mutex::new(hosts),
            random: sync::Mutex::new(random),
            weights_free_at: sync::Mutex::new(time::Instant::now()),
        })
    }

    /// Answers one request.
    ///
    /// # Errors
    ///
    /// An error closes the connection without an answer.
    pub async fn handle(self: sync::Arc<Self>, request: Request<Incoming>) -> web::HandlerResult {
        let (head, body) = request.into_parts();
        let body = web::read_body(body).await?;
        let path = head.uri.path();
        match path {
            "/control" => return Ok(self.control(&body)),
            "/journal" => return Ok(Response::new(web::full_body(self.journal.text()))),
            "/counters" => {
                let counters = self.table.lock().expect("table lock").counters();
                return Ok(web::json_response(StatusCode::OK, &counters));
            }
            "/hosts" => return Ok(self.host_list()),
            _ => {}
        }
        if let Some(name) = path.strip_prefix("/weights/") {
            return Ok(self.weights(name));
        }
        let faults = self.faults.lock().expect("fault lock").clone();
        match faults.down {
            DownKind::None => {}
            DownKind::Error => {
                let reply = web::error_response(StatusCode::INTERNAL_SERVER_ERROR, "outage");
                return Ok(reply);
            }
            DownKind::Hang => return std::future::pending().await,
            DownKind::Close => return Err(io::Error::other("fault: outage")),
        }
        tokio::time::sleep(time::Duration::from_millis(faults.slow_ms)).await;
        if let Some(name) = path.strip_prefix("/objects/") {
            return Ok(self.object(&head.method, name, body));
        }
        let target = head.headers.get("x-amz-target");
        let operation = target
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix("DynamoDB_20120810."))
            .unwrap_or_default();
        self.table_call(operation, &body)
    }

    fn table_call(&self, operation: &str, body: &[u8]) -> web::HandlerResult {
        let Ok(input) = serde_json::from_slice(body) else {
            let error = table::error("SerializationException", "the body is not JSON");
            return Ok(web::json_response(StatusCode::BAD_REQUEST, &error));
        };
        let result = self
            .table
            .lock()
            .expect("table lock")
            .call(operation, &input);
        let answer = match result {
            Ok(answer) => answer,
            Err(error) => {
                let entry = json!({"event": "refused", "operation": operation, "error": error});
                self.journal.record(entry);
                return Ok(web::json_response(StatusCode::BAD_REQUEST, &error));
            }
        };
        if operation == "TransactWriteItems" {
            let lost = self.takes_answer();
            let entry = json!({"event": "write", "answer_lost": lost, "input": input});
            self.journal.record(entry);
            if lost {
                return Err(io::Error::other("fault: answer lost"));
            }
        }
        Ok(web::json_response(StatusCode::OK, &answer))
    }

    /// Whether the fault settings take the answer of this write away.
    fn takes_answer(&self) -> bool {
        let mut faults = self.faults.lock().expect("fault lock");
        if faults.lose_next > 0 {
            faults.lose_next -= 1;
            return true;
        }
        let draw: f64 = self.random.lock().expect("random lock").random();
        draw < faults.lose_probability
    }

    fn control(&self, body: &[u8]) -> Response<web::ResponseBody> {
        let mut faults = self.faults.lock().expect("fault lock");
        if let Err(message) = web::apply_patch(&mut *faults, body) {
            return web::error_response(StatusCode::BAD_REQUEST, &message);
        }
        let entry = (
            time::Instant::now(),
            journal::unix_ms(),
            faults.hosts.clone(),
        );
        self.hosts.lock().expect("host lock").push(entry);
        web::json_response(StatusCode::OK, &*faults)
    }

    fn host_list(&self) -> Response<web::ResponseBody> {
        let lag = time::Duration::from_millis(self.options.host_lag_ms);
        let history = self.hosts.lock().expect("host lock");
        let is_visible = |entry: &&(time::Instant, u64, _)| entry.0.elapsed() >= lag;
        let entry = history.iter().rev().find(is_visible).unwrap_or(&history[0]);
        let hosts: Vec<_> = entry
            .2
            .iter()
            .map(|(host, state)| json!({"host": host, "state": state}))
            .collect();
        let as_of = journal::unix_ms() - self.options.host_lag_ms;
        let list = json!({"as_of_unix_ms": as_of, "hosts": hosts});
        web::json_response(StatusCode::OK, &list)
    }

    fn object(
        &self,
        method: &hyper::Method,
        name: &str,
        body: Bytes,
    ) -> Response<web::ResponseBody> {
        let mut objects = self.objects.lock().expect("object lock");
        if method == hyper::Method::PUT {
            objects.insert(name.to_owned(), body);
            return web::json_response(StatusCode::OK, &json!({}));
        }
        match objects.get(name) {
            Some(object) => Response::new(web::full_body(object.clone())),
            None => web::error_response(StatusCode::NOT_FOUND, "not_found"),
        }
    }

    /// Sends weights at the shared rate.
    fn weights(self: &sync::Arc<Self>, name: &str) -> Response<web::ResponseBody> {
        const CHUNK_BYTES: u64 = 64 << 10;
        self.journal
            .record(json!({"event": "weights", "name": name}));
        let (sender, receiver) = mpsc::unbounded_channel();
        let state = self.clone();
        tokio::spawn(async move {
            let mut left = state.options.weight_bytes;
            while left > 0 && !sender.is_closed() {
                let size = left.min(CHUNK_BYTES);
                let rate = state.options.weight_bytes_per_second.max(1) as f64;
                let cost = time::Duration::from_secs_f64(size as f64 / rate);
                let until = {
                    let mut free_at = state.weights_free_at.lock().expect("weight lock");
                    *free_at = (*free_at).max(time::Instant::now()) + cost;
                    *free_at
                };
                tokio::time::sleep_until(until.into()).await;
                let _ = sender.send(Ok(Bytes::from(vec![0_u8; size as usize])));
                left -= size;
            }
        });
        Response::new(web::channel_body(receiver))
    }
}
