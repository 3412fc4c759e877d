//! TLS configuration of the listeners, which can be reloaded at run time.

use std::sync;

use acaciabank_protocol::settings::TlsSettings;
use arc_swap::ArcSwap;
use rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject};
use tokio_rustls::{TlsAcceptor, rustls::ServerConfig};

/// The current TLS configuration. A reload applies to new connections only.
#[derive(Clone)]
pub struct TlsAcceptorCell {
    settings: TlsSettings,
    config: sync::Arc<ArcSwap<ServerConfig>>,
}

impl TlsAcceptorCell {
    /// Reads the PEM files of the certificate chain and the private key.
    ///
    /// # Errors
    ///
    /// Returns a message that names the file that is missing or invalid.
    pub fn load(settings: &TlsSettings) -> Result<Self, String> {
        Ok(Self {
            settings: settings.clone(),
            config: sync::Arc::new(ArcSwap::from_pointee(read_config(settings)?)),
        })
    }

    /// Reads the PEM files again. On an error the previous configuration stays in use.
    ///
    /// # Errors
    ///
    /// Returns a message that names the file that is missing or invalid.
    pub fn reload(&self) -> Result<(), String> {
        self.config
            .store(sync::Arc::new(read_config(&self.settings)?));
        Ok(())
    }

    /// Returns an acceptor that uses the current configuration.
    pub fn acceptor(&self) -> TlsAcceptor {
        TlsAcceptor::from(self.config.load_full())
    }
}

fn read_config(settings: &TlsSettings) -> Result<ServerConfig, String> {
    let certificate_file = settings.certificate_file.display();
    let key_file = settings.key_file.display();
    let chain = CertificateDer::pem_file_iter(&settings.certificate_file)
        .and_then(|certificates| certificates.collect::<Result<Vec<_>, _>>())
        .map_err(|error| format!("certificate file {certificate_file}: {error}"))?;
    let key = PrivateKeyDer::from_pem_file(&settings.key_file)
        .map_err(|error| format!("key file {key_file}: {error}"))?;
    let provider = sync::Arc::new(tokio_rustls::rustls::crypto::ring::default_provider());
    ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .and_then(|builder| builder.with_no_client_auth().with_single_cert(chain, key))
        .map_err(|error| format!("certificate file {certificate_file}: {error}"))
}
