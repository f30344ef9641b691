//! Certificates: good ones are taken, others are named.

use hollowsail_config::settings::TlsFiles;
use hollowsail_entry::tls;

fn write(directory: &std::path::Path, name: &str, text: &str) -> String {
    let path = directory.join(name);
    std::fs::write(&path, text).expect("it can be written");
    path.display().to_string()
}

#[test]
fn a_pair_is_loaded_and_a_mismatch_is_told() {
    let directory = tempfile::tempdir().expect("a directory");
    let pair = || rcgen::generate_simple_self_signed(vec!["127.0.0.1".into()]).expect("a pair");
    let (one, other) = (pair(), pair());
    let certificate = write(directory.path(), "c.pem", &one.cert.pem());
    let key = write(directory.path(), "k.pem", &one.key_pair.serialize_pem());
    let wrong = write(directory.path(), "w.pem", &other.key_pair.serialize_pem());
    let files = |certificate: &str, key: &str| TlsFiles {
        certificate: certificate.into(),
        key: key.into(),
    };
    assert!(tls::load(&files(&certificate, &key)).is_ok());
    let err = tls::load(&files(&certificate, &wrong)).expect_err("they do not fit");
    assert!(err.to_string().contains("do not fit"), "{err}");
    let err = tls::load(&files("nowhere.pem", &key)).expect_err("it is not there");
    assert!(
        err.to_string()
            .contains("cannot read certificate nowhere.pem"),
        "{err}"
    );
}
