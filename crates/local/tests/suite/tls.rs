//! Listeners use TLS when the settings name a certificate.

use std::sync::Arc;

use awc::{Client, Connector};
use hollowsail_config::settings::TlsFiles;
use hollowsail_entry::{start, AnswerBody, StartOptions};
use hollowsail_routing::Outcome;
use rustls::{ClientConfig, RootCertStore};

use crate::fixture::{self, BOTH_KEY};

/// A client that trusts only the given certificate.
fn client(certificate: rustls::pki_types::CertificateDer<'static>) -> Client {
    let mut roots = RootCertStore::empty();
    roots.add(certificate).expect("a certificate");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("default TLS versions")
        .with_root_certificates(roots)
        .with_no_client_auth();
    let connector = Connector::new().rustls_0_23(Arc::new(config));
    Client::builder().connector(connector).finish()
}

#[actix_rt::test]
async fn tls_listener_rejects_plain_http() {
    let fleet = fixture::start(1).await;
    let directory = tempfile::tempdir().expect("a temporary directory");
    let pair = rcgen::generate_simple_self_signed(vec!["127.0.0.1".into()]).expect("a key pair");
    let write = |name: &str, text: String| {
        let path = directory.path().join(name);
        std::fs::write(&path, text).expect("the file can be written");
        path.display().to_string()
    };
    let mut settings = fleet.settings("secured", "north");
    settings.tls = Some(TlsFiles {
        certificate: write("c.pem", pair.cert.pem()),
        key: write("k.pem", pair.key_pair.serialize_pem()),
    });
    let options = StartOptions {
        timing: fixture::options(1).timing,
        ..StartOptions::default()
    };
    let secured = start(settings, options).await.expect("the entry starts");
    let entry = secured.entry.clone();
    fixture::wait_until("the entry has a configuration", || {
        entry.view().revision() == 1
    })
    .await;
    let mut res = client(pair.cert.der().clone())
        .post(format!("https://{}/v1/pipelines/read", secured.callers))
        .bearer_auth(BOTH_KEY)
        .send_body("{\"input\": 1}")
        .await
        .expect("an answer over TLS");
    let answer: AnswerBody =
        serde_json::from_slice(&res.body().await.expect("a body")).expect("JSON");
    assert_eq!(answer.outcome, Outcome::Whole, "{answer:?}");
    let plain = Client::default()
        .get(format!("http://{}/health", secured.callers))
        .send()
        .await;
    assert!(plain.is_err(), "plain HTTP must be rejected");
    secured.kill().await;
    fleet.shut_down().await;
}
