//! TLS on the listeners of a running daemon, reached through the command-line client.

use std::{fs, path, process, time};

use acaciabank_testbed::harness;
use nix::{sys::signal, unistd};

const PROGRAM: &str = env!("CARGO_BIN_EXE_testbed");
/// Maximum wait for a condition; generous because the machine may be busy.
const TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Runs the command-line client, which trusts only the given certificate.
fn run_client(certificate: &path::Path, arguments: &[&str]) -> process::Output {
    let mut command = process::Command::new(PROGRAM);
    command
        .arg("cli")
        .args(arguments)
        .arg("--ca")
        .arg(certificate);
    command.output().expect("the program runs")
}

struct TlsFiles {
    certificate: path::PathBuf,
    key: path::PathBuf,
}

impl TlsFiles {
    /// Writes a new self-signed certificate for an IP address, and its key.
    fn write(&self, ip: &str) {
        let certified = rcgen::generate_simple_self_signed([ip.to_owned()]).expect("a certificate");
        fs::write(&self.key, certified.signing_key.serialize_pem()).expect("a file");
        fs::write(&self.certificate, certified.cert.pem()).expect("a file");
    }
}

/// Guards against a listener that accepts plain HTTP although `tls` is in the settings, and against
/// a renewed certificate that is loaded only at a restart instead of at SIGHUP.
#[tokio::test(flavor = "multi_thread")]
async fn both_listeners_require_tls_and_reload_certificate_at_sighup() {
    let mut spec = harness::Fleet::pemberton();
    spec.daemons = 1;
    spec.deployment.engines.truncate(1);
    spec.deployment.services[0].instances.truncate(1);
    let launcher = harness::Launcher::new(PROGRAM).expect("a temporary folder");
    let mut fleet = spec.start(launcher).await.expect("the fleet starts");
    let folder = fleet.launcher.folder().to_owned();
    let daemon = &mut fleet.daemons[0];
    let tls_files = TlsFiles {
        certificate: folder.join("certificate.pem"),
        key: folder.join("key.pem"),
    };
    let ip = daemon.caller_address.ip().to_string();
    tls_files.write(&ip);
    let text = fs::read_to_string(&daemon.settings_file).expect("settings");
    let mut settings: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    settings["process"]["tls"] =
        serde_json::json!({"certificate_file": tls_files.certificate, "key_file": tls_files.key});
    fs::write(&daemon.settings_file, settings.to_string()).expect("settings");
    daemon.process.restart().expect("the daemon starts again");

    let (caller, admin) = (
        daemon.caller_address.to_string(),
        daemon.admin_address.to_string(),
    );
    let status = ["status", "--admin", admin.as_str()];
    let complete = [
        "complete",
        "--caller",
        caller.as_str(),
        "--model",
        "drafting",
        "--max-tokens",
        "2",
        "Hi",
    ];
    harness::wait_until(TIMEOUT, "completions over TLS", async || {
        run_client(&tls_files.certificate, &status).status.success()
            && run_client(&tls_files.certificate, &complete)
                .status
                .success()
    })
    .await;
    for address in [daemon.caller_address, daemon.admin_address] {
        let plain = acaciabank_testbed::web::call(address, "GET", "/healthz", &[], "").await;
        assert!(plain.is_err(), "{address} accepts plain HTTP: {plain:?}");
    }

    let old_certificate = folder.join("old.pem");
    fs::copy(&tls_files.certificate, &old_certificate).expect("a file");
    tls_files.write(&ip);
    let process_id = daemon.process.id().expect("the daemon runs");
    signal::kill(
        unistd::Pid::from_raw(process_id as i32),
        signal::Signal::SIGHUP,
    )
    .expect("a signal");
    harness::wait_until(TIMEOUT, "the new certificate is in use", async || {
        run_client(&tls_files.certificate, &status).status.success()
    })
    .await;
    assert_eq!(run_client(&old_certificate, &status).status.code(), Some(4));
}
