//! Links of the fault-injecting proxy whose upstream ends.

use std::{io, net, time};

use acaciabank_testbed::{
    harness,
    scripted::{ScriptStep, ScriptedTarget},
    web,
};

/// Maximum wait for a condition; generous because the machine may be busy.
const TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Starts a target that responds to every request.
async fn start_target(address: net::SocketAddr) -> ScriptedTarget {
    let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".to_vec();
    let script = move |_: &_| vec![ScriptStep::Send(response.clone())];
    let target = ScriptedTarget::start(address, script).await;
    target.expect("a target")
}

async fn is_serving(address: net::SocketAddr) -> bool {
    let response = web::call(address, "GET", "/", &[], "").await;
    response.is_ok_and(|response| response.status == 200)
}

async fn is_refused(address: net::SocketAddr) -> bool {
    let connected = tokio::net::TcpStream::connect(address).await;
    connected.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
}

/// Guards against a proxy that hides from others that a process has ended, and against a link that
/// stays closed after the process is back.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusing_link_is_closed_while_its_upstream_is() {
    let launcher = harness::Launcher::new(env!("CARGO_BIN_EXE_testbed")).expect("launcher");
    let proxy = harness::LinkProxy::start(&launcher).await.expect("proxy");
    let upstream = launcher.next_address().expect("address");
    let link = proxy.add_refusing("refusing", upstream).await;
    let link = link.expect("a link");
    let other = proxy.add("accepting", upstream).await.expect("a link");
    for _ in 0..3 {
        let target = start_target(upstream).await;
        harness::wait_until(TIMEOUT, "the link serves", async || is_serving(link).await).await;
        assert!(is_serving(other).await);
        drop(target);
        harness::wait_until(TIMEOUT, "the link refuses", async || is_refused(link).await).await;
        assert!(!is_refused(other).await);
        assert!(!is_serving(other).await);
    }
}
