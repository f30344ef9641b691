//! Callers' and operators' listeners speak TLS where settings name a
//! certificate.

use std::sync::Arc;

use awc::{Client, Connector};
use hollowsail_config::settings::TlsFiles;
use hollowsail_entry::{start, AnswerBody, StartOptions};
use hollowsail_routing::Outcome;
use rustls::{ClientConfig, RootCertStore};

use crate::fixture::{self, BOTH};

/// A client that trusts one certificate alone.
fn client(certificate: rustls::pki_types::CertificateDer<'static>) -> Client {
    let mut roots = RootCertStore::empty();
    roots.add(certificate).expect("a certificate");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("versions")
        .with_root_certificates(roots)
        .with_no_client_auth();
    let connector = Connector::new().rustls_0_23(Arc::new(config));
    Client::builder().connector(connector).finish()
}

#[actix_rt::test]
async fn a_caller_is_answered_over_tls_and_not_without() {
    let fleet = fixture::start(1).await;
    let directory = tempfile::tempdir().expect("a directory");
    let pair = rcgen::generate_simple_self_signed(vec!["127.0.0.1".into()]).expect("a pair");
    let write = |name: &str, text: String| {
        let path = directory.path().join(name);
        std::fs::write(&path, text).expect("it can be written");
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
    let secured = start(settings, options).await.expect("it starts");
    let entry = secured.entry.clone();
    fixture::wait_until("it has a configuration", || entry.view().revision() == 1).await;
    let mut res = client(pair.cert.der().clone())
        .post(format!("https://{}/v1/pipelines/read", secured.callers))
        .bearer_auth(BOTH)
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
    assert!(plain.is_err(), "plain HTTP is not understood");
    secured.kill().await;
    fleet.shut_down().await;
}
