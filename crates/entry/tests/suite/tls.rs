//! Loading of TLS certificates and keys.

use hollowsail_config::settings::TlsFiles;
use hollowsail_entry::tls;

fn write(directory: &std::path::Path, name: &str, text: &str) -> String {
    let path = directory.join(name);
    std::fs::write(&path, text).expect("file is written");
    path.display().to_string()
}

#[test]
fn load_rejects_mismatch_and_missing_file() {
    let directory = tempfile::tempdir().expect("temporary directory");
    let pair = || {
        rcgen::generate_simple_self_signed(vec!["127.0.0.1".into()]).expect("certificate and key")
    };
    let (one, other) = (pair(), pair());
    let certificate = write(directory.path(), "c.pem", &one.cert.pem());
    let key = write(directory.path(), "k.pem", &one.key_pair.serialize_pem());
    let wrong = write(directory.path(), "w.pem", &other.key_pair.serialize_pem());
    let files = |certificate: &str, key: &str| TlsFiles {
        certificate: certificate.into(),
        key: key.into(),
    };
    assert!(tls::load(&files(&certificate, &key)).is_ok());
    let err = tls::load(&files(&certificate, &wrong)).expect_err("key of another certificate");
    assert!(err.to_string().contains("do not match"), "{err}");
    let err = tls::load(&files("nowhere.pem", &key)).expect_err("file is missing");
    assert!(
        err.to_string()
            .contains("cannot read certificate nowhere.pem"),
        "{err}"
    );
}
