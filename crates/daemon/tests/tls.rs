//! TLS certificates of the listeners and their reload.

use std::{fs, path, sync};

use acaciabank_daemon::{
    entry::response,
    process::{
        listener::{self, ListenerOptions},
        tls::TlsAcceptorCell,
    },
};
use acaciabank_protocol::settings::TlsSettings;
use hyper::StatusCode;
use rustls_pki_types::{CertificateDer, ServerName};
use tokio::net::{TcpListener, TcpStream};
use tokio_rustls::{TlsConnector, rustls};
use tokio_util::sync::CancellationToken;

/// Writes a new certificate and key to the files of the settings. Returns the certificate.
fn write_new_certificate(settings: &TlsSettings) -> CertificateDer<'static> {
    let names = vec!["localhost".to_owned()];
    let certified = rcgen::generate_simple_self_signed(names).expect("certificate");
    fs::write(&settings.certificate_file, certified.cert.pem()).expect("certificate file");
    let key = certified.signing_key.serialize_pem();
    fs::write(&settings.key_file, key).expect("key file");
    certified.cert.der().clone()
}

/// Whether the handshake of a client that trusts only the given certificate succeeds.
async fn handshake_succeeds(
    address: std::net::SocketAddr,
    trusted: &CertificateDer<'static>,
) -> bool {
    let mut roots = rustls::RootCertStore::empty();
    roots.add(trusted.clone()).expect("root");
    let provider = sync::Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("versions")
        .with_root_certificates(roots)
        .with_no_client_auth();
    let connector = TlsConnector::from(sync::Arc::new(config));
    let stream = TcpStream::connect(address).await.expect("connect");
    let name = ServerName::try_from("localhost").expect("name");
    connector.connect(name, stream).await.is_ok()
}

/// Guards against a certificate renewal that requires a restart, and against invalid files that
/// make the listener unavailable.
#[tokio::test]
async fn a_reload_replaces_the_certificate_unless_the_files_are_invalid() {
    let folder = path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let settings = TlsSettings {
        certificate_file: folder.join(format!("{}-certificate.pem", std::process::id())),
        key_file: folder.join(format!("{}-key.pem", std::process::id())),
    };
    let first = write_new_certificate(&settings);
    let cell = TlsAcceptorCell::load(&settings).expect("files");
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let options = ListenerOptions {
        name: "test",
        max_connections: 4,
        max_header_bytes: 4_096,
        tls: Some(cell.clone()),
        stop: CancellationToken::new(),
    };
    tokio::spawn(listener::serve(listener, options, |_| async {
        response::with_type(StatusCode::OK, "text/plain", "ok")
    }));
    assert!(handshake_succeeds(address, &first).await);

    let second = write_new_certificate(&settings);
    cell.reload().expect("second files");
    assert!(handshake_succeeds(address, &second).await);
    assert!(!handshake_succeeds(address, &first).await);

    fs::write(&settings.certificate_file, "not PEM").expect("certificate file");
    let error = cell.reload().unwrap_err();
    assert!(error.contains("certificate.pem"), "{error}");
    assert!(handshake_succeeds(address, &second).await);
}
