//! Fair shares between teams at an engine with more work than it can process.

use acaciabank_testbed::{harness, web};

use super::{NORTH_KEY, SOUTH_KEY, add_teams, metrics_text};
use crate::fixture::{Fixture, Relay, TIMEOUT};

/// Requests of the first team. The relay expects half a second of work for each at the engine, and
/// allows a wait of 2.4 seconds to this team and of 1.9 seconds to the other one.
const NORTH_REQUESTS: usize = 8;

/// Sends a prompt of 10,000 tokens that no other request shares.
async fn send_prompt(
    relay: &Relay,
    attempt: &str,
    key: &str,
) -> std::io::Result<web::BufferedResponse> {
    let credentials = format!("Bearer {key}");
    let prefix = format!("{attempt}:10000");
    let headers = [
        ("authorization", credentials.as_str()),
        ("x-acaciabank-model", "m"),
        ("x-acaciabank-token-count", "10000,3"),
        ("x-acaciabank-prompt-prefix", prefix.as_str()),
    ];
    relay
        .send("POST", "/stream/a", attempt, &headers, "prompt")
        .await
}

/// Guards against a relay that decides without the team of a request: a team that has had no work
/// is let in beside one that has filled the queue.
#[tokio::test(flavor = "multi_thread")]
async fn a_team_without_work_is_let_in_beside_one_that_fills_the_queue() {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, add_teams).await;
    let engine = fixture.start_runner("d-1", "models", Some("decode")).await;
    let relay = fixture.start_relay(&[]).await;
    harness::wait_until(TIMEOUT, "the relay streams", async || {
        let sent = send_prompt(&relay, "probe", NORTH_KEY).await;
        sent.is_ok_and(|response| response.status == 200)
    })
    .await;
    engine.process.pause();
    let attempts: Vec<String> = (0..NORTH_REQUESTS)
        .map(|number| format!("n-{number}"))
        .collect();
    let north = attempts
        .iter()
        .map(|attempt| send_prompt(&relay, attempt, NORTH_KEY));
    let south = async {
        harness::wait_until(TIMEOUT, "north is refused", async || {
            let text = metrics_text(&relay).await;
            text.contains("reason=\"too_late\"")
        })
        .await;
        let resume = async {
            harness::wait_until(TIMEOUT, "south is let in", async || {
                let text = metrics_text(&relay).await;
                text.contains("acaciabank_fair_share_total{effect=\"let_in\"} 1")
            })
            .await;
            engine.process.resume();
        };
        let (response, ()) = tokio::join!(send_prompt(&relay, "s-0", SOUTH_KEY), resume);
        response.expect("a response").status
    };
    let (north, south) = tokio::join!(futures::future::join_all(north), south);
    assert_eq!(south, 200);
    let served = north.iter().filter(|response| {
        response
            .as_ref()
            .is_ok_and(|response| response.status == 200)
    });
    let served = served.count();
    assert!((1..NORTH_REQUESTS).contains(&served), "{served} of north");
}
