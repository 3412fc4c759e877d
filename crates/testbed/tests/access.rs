//! Authentication of callers and operators by key, against running daemons.

use std::time;

use acaciabank_protocol::{ids, settings};
use acaciabank_testbed::{harness, web};

const PROGRAM: &str = env!("CARGO_BIN_EXE_testbed");
/// Maximum wait for a condition; generous because the machine may be busy.
const TIMEOUT: time::Duration = time::Duration::from_secs(30);

// SHA-256 hashes of `clubs-key`, `rival-key`, `clubs-new-key` and `operator-key`.
const CLUBS_HASH: &str = "4960af4a06da691185281971031fb6fb74eaea31f9eeb7d5d1c1b9a336d7a467";
const RIVAL_HASH: &str = "d9079bc94c65ee15a1a9c3dccbea69a919a1091cd8b3ec9444941bee85318e02";
const CLUBS_NEW_HASH: &str = "df6262383f9a717247f85cee6a41ab8ae263a642747fbf13808c8462f5071091";
const OPERATOR_HASH: &str = "c9736463f555cdb7d2a78cfd7aa8b8c4f09d906d78f8dab9228eda30a28c2818";

fn team(name: &str, hash: &str) -> settings::TeamEntry {
    settings::TeamEntry {
        name: ids::TeamId::from(name),
        key_sha256: vec![hash.to_owned()],
        weight: 1,
        urgent_allowed: true,
    }
}

/// Starts two daemons and one engine, with the teams `clubs` and `rival` and the operator `ada`.
async fn start_fleet() -> harness::Fleet {
    let mut spec = harness::Fleet::pemberton();
    spec.daemons = 2;
    spec.deployment.engines.truncate(1);
    spec.deployment.services[0].instances.truncate(1);
    spec.deployment.teams = vec![team("clubs", CLUBS_HASH), team("rival", RIVAL_HASH)];
    spec.deployment.operators = vec![settings::OperatorEntry {
        name: "ada".to_owned(),
        key_sha256: vec![OPERATOR_HASH.to_owned()],
    }];
    let launcher = harness::Launcher::new(PROGRAM).expect("a temporary folder");
    spec.start(launcher).await.expect("the fleet starts")
}

async fn complete(
    fleet: &harness::Fleet,
    daemon: usize,
    key: Option<&str>,
) -> web::BufferedResponse {
    let address = fleet.daemons[daemon].caller_address;
    let authorization = key.map(|key| format!("Bearer {key}"));
    let headers: Vec<(&str, &str)> = authorization
        .iter()
        .map(|value| ("authorization", value.as_str()))
        .collect();
    let body = r#"{"model":"drafting","prompt":"Dear member","max_tokens":2}"#;
    let call = web::call(address, "POST", "/v1/completions", &headers, body);
    call.await.expect("a response")
}

/// Fetches the response to an earlier request; returns the HTTP status.
async fn fetch_status(fleet: &harness::Fleet, daemon: usize, request: &str, key: &str) -> u16 {
    let address = fleet.daemons[daemon].caller_address;
    let authorization = format!("Bearer {key}");
    let path = format!("/v1/requests/{request}");
    let headers = [("authorization", authorization.as_str())];
    web::call(address, "GET", &path, &headers, "")
        .await
        .expect("a response")
        .status
}

/// Waits until the second daemon lists `count` addresses to callers.
async fn wait_listed(fleet: &harness::Fleet, count: usize) {
    let address = fleet.daemons[1].caller_address;
    harness::wait_until(TIMEOUT, "the daemon lists the addresses", async || {
        let headers = [("authorization", "Bearer clubs-key")];
        let call = web::call(address, "GET", "/v1/addresses", &headers, "").await;
        let body = call.map(|response| response.json()).unwrap_or_default();
        body["addresses"].as_array().map(Vec::len) == Some(count)
    })
    .await;
}

/// Guards against a team that reads another team's response by its request id, at the daemon that
/// ran the request or at another one.
#[tokio::test(flavor = "multi_thread")]
async fn answers_belong_to_their_team() {
    let fleet = start_fleet().await;
    assert_eq!(complete(&fleet, 0, None).await.status, 401);
    assert_eq!(complete(&fleet, 0, Some("no-such-key")).await.status, 401);
    let response = complete(&fleet, 0, Some("clubs-key")).await;
    assert_eq!(response.status, 200);
    let request = response.headers["x-request-id"]
        .to_str()
        .expect("ASCII")
        .to_owned();
    for daemon in 0..2 {
        assert_eq!(
            fetch_status(&fleet, daemon, &request, "clubs-key").await,
            200
        );
        assert_eq!(
            fetch_status(&fleet, daemon, &request, "rival-key").await,
            404
        );
        assert_eq!(
            fetch_status(&fleet, daemon, &request, "no-such-key").await,
            401
        );
    }
}

/// Guards against a daemon that cannot return a response because it still waits before it connects
/// again to the daemon that has the response, which was down and is back.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_is_found_at_a_daemon_that_has_just_returned() {
    let mut fleet = start_fleet().await;
    for round in 0..3 {
        fleet.daemons[0].process.kill();
        wait_listed(&fleet, 1).await;
        fleet.daemons[0]
            .process
            .restart()
            .expect("the daemon starts");
        fleet.wait_daemon_ready(0).await;
        let mut request = String::new();
        harness::wait_until(TIMEOUT, "the daemon completes a request", async || {
            let response = complete(&fleet, 0, Some("clubs-key")).await;
            let id = &response.headers["x-request-id"];
            request = id.to_str().expect("ASCII").to_owned();
            response.status == 200
        })
        .await;
        let status = fetch_status(&fleet, 1, &request, "clubs-key").await;
        assert_eq!(status, 200, "round {round}");
    }
}

/// Guards against a key rotation that takes effect only after a restart, and against a removed key
/// that is still accepted.
#[tokio::test(flavor = "multi_thread")]
async fn keys_rotate_without_a_restart() {
    let fleet = start_fleet().await;
    let admin = fleet.daemons[0].admin_address;
    let unauthorized = web::call(admin, "GET", "/admin/config", &[], "")
        .await
        .expect("a response");
    assert_eq!(unauthorized.status, 401);

    let mut deployment = fleet.deployment.clone();
    let rotation = [vec![CLUBS_HASH, CLUBS_NEW_HASH], vec![CLUBS_NEW_HASH]];
    for (version, hashes) in (1..).zip(rotation) {
        deployment.teams[0].key_sha256 = hashes.into_iter().map(str::to_owned).collect();
        let body = serde_json::to_string(&deployment).expect("JSON");
        let base_version = u64::to_string(&version);
        let headers = [
            ("authorization", "Bearer operator-key"),
            ("if-match", base_version.as_str()),
        ];
        let response = web::call(admin, "PUT", "/admin/config", &headers, body)
            .await
            .expect("a response");
        assert_eq!(response.status, 200, "{}", response.json());
        harness::wait_until(TIMEOUT, "both daemons accept the new key", async || {
            let first = complete(&fleet, 0, Some("clubs-new-key")).await.status;
            let second = complete(&fleet, 1, Some("clubs-new-key")).await.status;
            first == 200 && second == 200
        })
        .await;
    }
    harness::wait_until(TIMEOUT, "both daemons reject the removed key", async || {
        let first = complete(&fleet, 0, Some("clubs-key")).await.status;
        let second = complete(&fleet, 1, Some("clubs-key")).await.status;
        first == 401 && second == 401
    })
    .await;
}
