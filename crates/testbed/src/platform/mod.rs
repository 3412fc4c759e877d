//! Simulated platform: table service, object store, host list and weight store.

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
    /// Outage of the table service and the object store.
    #[derive(Default)]
    pub enum OutageKind {
        /// No outage.
        #[default]
        None,
        /// They respond with status 500.
        Error,
        /// They read requests and never respond.
        Hang,
        /// They close connections without a response.
        Close,
    }
);

value_type!(
    /// Faults set by `POST /control`; members that the request omits keep their value.
    #[derive(Default)]
    #[serde(default)]
    pub struct PlatformFaults {
        /// Current outage of the table service and the object store.
        pub down: OutageKind,
        /// Delay of each response of the table service and the object store, in milliseconds.
        pub slow_ms: u64,
        /// Number of upcoming writes that take effect and get no response.
        pub lose_next: u32,
        /// Probability that a write takes effect and gets no response.
        pub lose_probability: f64,
        /// State of each host in the host list, `live` or `leaving`.
        pub hosts: collections::BTreeMap<String, String>,
    }
);

/// Parameters of the simulated platform.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Maximum number of items read per second.
    pub reads_per_second: f64,
    /// Maximum number of items written per second.
    pub writes_per_second: f64,
    /// Time after which a change appears in the host list, in milliseconds.
    pub host_lag_ms: u64,
    /// Size of the weights of each model, in bytes.
    pub weight_bytes: u64,
    /// Bytes of weights sent per second, shared by all readers.
    pub weight_bytes_per_second: u64,
    /// Seed of the generator that draws random faults.
    pub seed: u64,
}

/// Host states that were set, each with the time of the change: as an instant, and in milliseconds
/// since the Unix epoch.
type HostHistory = Vec<(time::Instant, u64, collections::BTreeMap<String, String>)>;

/// A running simulated platform.
pub struct PlatformState {
    options: PlatformOptions,
    journal: journal::Journal,
    table: sync::Mutex<table::TableState>,
    objects: sync::Mutex<collections::HashMap<String, Bytes>>,
    faults: sync::Mutex<PlatformFaults>,
    hosts: sync::Mutex<HostHistory>,
    rng: sync::Mutex<rngs::StdRng>,
    /// Time from which the shared rate allows the next chunk of weights.
    weights_free_at: sync::Mutex<time::Instant>,
}

impl PlatformState {
    /// Creates a platform with empty tables, no objects and no hosts.
    pub fn new(options: PlatformOptions, journal: journal::Journal) -> sync::Arc<Self> {
        let table = table::TableState::new(options.reads_per_second, options.writes_per_second);
        let rng = rngs::StdRng::seed_from_u64(options.seed);
        let hosts = vec![(time::Instant::now(), journal::unix_ms(), Default::default())];
        sync::Arc::new(Self {
            options,
            journal,
            table: sync::Mutex::new(table),
            objects: sync::Mutex::default(),
            faults: sync::Mutex::default(),
            hosts: sync::Mutex::new(hosts),
            rng: sync::Mutex::new(rng),
            weights_free_at: sync::Mutex::new(time::Instant::now()),
        })
    }

    /// Handles one request.
    ///
    /// # Errors
    ///
    /// Returns an error, which closes the connection without a response, if the body cannot be read
    /// or an injected fault requires it.
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
            return Ok(self.stream_weights(name));
        }
        let faults = self.faults.lock().expect("fault lock").clone();
        match faults.down {
            OutageKind::None => {}
            OutageKind::Error => {
                let response = web::error_response(StatusCode::INTERNAL_SERVER_ERROR, "outage");
                return Ok(response);
            }
            OutageKind::Hang => return std::future::pending().await,
            OutageKind::Close => return Err(io::Error::other("fault: outage")),
        }
        tokio::time::sleep(time::Duration::from_millis(faults.slow_ms)).await;
        if let Some(name) = path.strip_prefix("/objects/") {
            return Ok(self.handle_object(&head.method, name, body));
        }
        let target = head.headers.get("x-amz-target");
        let operation = target
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix("DynamoDB_20120810."))
            .unwrap_or_default();
        self.handle_table_request(operation, &body)
    }

    fn handle_table_request(&self, operation: &str, body: &[u8]) -> web::HandlerResult {
        let Ok(input) = serde_json::from_slice(body) else {
            let error = table::error_body("SerializationException", "the body is not JSON");
            return Ok(web::json_response(StatusCode::BAD_REQUEST, &error));
        };
        let result = self
            .table
            .lock()
            .expect("table lock")
            .run_operation(operation, &input);
        let response = match result {
            Ok(response) => response,
            Err(error) => {
                let entry = json!({"event": "refused", "operation": operation, "error": error});
                self.journal.record(entry);
                return Ok(web::json_response(StatusCode::BAD_REQUEST, &error));
            }
        };
        if operation == "TransactWriteItems" {
            let is_lost = self.loses_response();
            let entry = json!({"event": "write", "answer_lost": is_lost, "input": input});
            self.journal.record(entry);
            if is_lost {
                return Err(io::Error::other("fault: response dropped"));
            }
        }
        Ok(web::json_response(StatusCode::OK, &response))
    }

    /// Decides whether a fault drops the response of a write; counts down `lose_next`.
    fn loses_response(&self) -> bool {
        let mut faults = self.faults.lock().expect("fault lock");
        if faults.lose_next > 0 {
            faults.lose_next -= 1;
            return true;
        }
        let sample: f64 = self.rng.lock().expect("random lock").random();
        sample < faults.lose_probability
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

    /// Stores or returns an object.
    fn handle_object(
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

    /// Streams the weights of a model at the rate that all readers share.
    fn stream_weights(self: &sync::Arc<Self>, name: &str) -> Response<web::ResponseBody> {
        const CHUNK_BYTES: u64 = 64 << 10;
        self.journal
            .record(json!({"event": "weights", "name": name}));
        let (sender, receiver) = mpsc::unbounded_channel();
        let state = self.clone();
        tokio::spawn(async move {
            let mut remaining_bytes = state.options.weight_bytes;
            while remaining_bytes > 0 && !sender.is_closed() {
                let size = remaining_bytes.min(CHUNK_BYTES);
                let rate = state.options.weight_bytes_per_second.max(1) as f64;
                let send_time = time::Duration::from_secs_f64(size as f64 / rate);
                let send_until = {
                    let mut free_at = state.weights_free_at.lock().expect("weight lock");
                    *free_at = (*free_at).max(time::Instant::now()) + send_time;
                    *free_at
                };
                tokio::time::sleep_until(send_until.into()).await;
                let _ = sender.send(Ok(Bytes::from(vec![0_u8; size as usize])));
                remaining_bytes -= size;
            }
        });
        Response::new(web::channel_body(receiver))
    }
}
