//! A configuration of the planned maximum size fits arena keys, chunks and store values.

use hollowsail_config::chunk::{split, Head};
use hollowsail_config::key::hash_key;
use hollowsail_config::{check, SourceFile};

/// Largest value of the store, in bytes.
const MAX_STORE_VALUE_BYTES: usize = 1_000_000;

fn large() -> SourceFile {
    let mut text = String::from("[deployment]\nname = large\n");
    for hall in 0..4 {
        text += &format!("[hall.h{hall}]\nregion = r{}\n", hall / 2);
    }
    for service in 0..5 {
        text += &format!("[service.s{service}]\nkind = plain\n");
    }
    for target in 0..770 {
        text += &format!(
            "[target.t{target}]\nservice = s{}\nhall = h{}\naddress = 10.0.0.1:{}\n",
            target % 5,
            target % 4,
            target + 1
        );
    }
    for pipeline in 0..30 {
        text += &format!("[pipeline.p{pipeline}]\nstages = a, b, c, d\n");
        for stage in ["a", "b", "c", "d"] {
            text += &format!("[stage.p{pipeline}.{stage}]\nservice = s0\n");
        }
    }
    for org in 0..3800 {
        let hash = hex::encode(hash_key(&org.to_string()));
        text += &format!("[organisation.o{org}]\nhalls = h0, h1\nkey_sha256 = {hash}\n");
    }
    SourceFile {
        name: "large.ini".into(),
        text,
    }
}

#[test]
fn full_size_deployment_fits_the_store() {
    let file = large();
    let deployment = check(std::slice::from_ref(&file)).expect("the file is valid");
    assert_eq!(deployment.organisations.len(), 3800);
    let key = hash_key("3799");
    let org = deployment
        .organisation_of_key(&key)
        .expect("the organisation exists");
    assert_eq!(deployment.organisation(org).name, "o3799");
    let (files, chunks) = split(&[file]);
    assert!(chunks
        .iter()
        .all(|(_, bytes)| bytes.len() < MAX_STORE_VALUE_BYTES));
    let head = Head::successor_of(None, "a", files);
    let bytes = rmp_serde::to_vec(&head).expect("the head serializes");
    assert!(
        bytes.len() < MAX_STORE_VALUE_BYTES / 10,
        "the head has {} bytes",
        bytes.len()
    );
}
