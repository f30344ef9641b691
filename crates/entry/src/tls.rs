//! TLS of the callers' and operators' listeners, if the settings name a certificate.

use hollowsail_config::settings::TlsFiles;
use rustls::ServerConfig;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use snafu::{ResultExt, Snafu};

/// Failure to load the certificate or its key.
#[derive(Debug, Snafu)]
pub enum TlsError {
    #[snafu(display("cannot read certificate {path}: {source}; a PEM file is expected"))]
    Certificate {
        path: String,
        source: rustls_pki_types::pem::Error,
    },
    #[snafu(display("cannot read key {path}: {source}; a PEM file is expected"))]
    Key {
        path: String,
        source: rustls_pki_types::pem::Error,
    },
    #[snafu(display("certificate and key do not match: {source}; check [tls] in the settings"))]
    Pair { source: rustls::Error },
}

/// Builds a server configuration from the PEM files.
pub fn load(files: &TlsFiles) -> Result<ServerConfig, TlsError> {
    let chain = CertificateDer::pem_file_iter(&files.certificate)
        .and_then(|certs| certs.collect::<Result<Vec<_>, _>>())
        .context(CertificateSnafu {
            path: &files.certificate,
        })?;
    let key = PrivateKeyDer::from_pem_file(&files.key).context(KeySnafu { path: &files.key })?;
    let provider = std::sync::Arc::new(rustls::crypto::ring::default_provider());
    ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .context(PairSnafu)?
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .context(PairSnafu)
}
