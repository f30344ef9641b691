//! TLS for the callers' and operators' listeners, where settings name a
//! certificate.

use hollowsail_config::settings::TlsFiles;
use rustls::ServerConfig;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use snafu::{ResultExt, Snafu};

/// Why the certificate cannot be used.
#[derive(Debug, Snafu)]
pub enum TlsError {
    #[snafu(display("cannot read certificate {path}: {source}; give a PEM file"))]
    Certificate {
        path: String,
        source: rustls_pki_types::pem::Error,
    },
    #[snafu(display("cannot read key {path}: {source}; give a PEM file"))]
    Key {
        path: String,
        source: rustls_pki_types::pem::Error,
    },
    #[snafu(display("certificate and key do not fit: {source}; check [tls] in the settings"))]
    Pair { source: rustls::Error },
}

/// Reads the files and makes a server configuration.
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
