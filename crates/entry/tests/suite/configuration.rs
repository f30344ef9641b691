//! Building configuration revisions from a head and its chunks.

use std::sync::Arc;

use hollowsail_config::chunk::Head;
use hollowsail_config::SourceFile;
use hollowsail_entry::configuration::{split, Configuration};

fn file(name: &str) -> SourceFile {
    SourceFile {
        name: "a.ini".into(),
        text: format!("[deployment]\nname = {name}\n"),
    }
}

#[test]
fn build_drops_chunks_of_other_revisions() {
    let (files, chunks) = split(&[file("one")]);
    let head = Head::successor_of(None, "first", files);
    let first = Configuration::build(head, chunks).expect("configuration is valid");
    let (files, mut chunks) = split(&[file("two")]);
    chunks.extend(first.chunks.clone());
    let head = Head::successor_of(Some(&first.head), "second", files);
    let second = Configuration::build(head, chunks).expect("configuration is valid");
    assert_eq!(second.deployment.name, "two");
    assert_eq!(second.chunks.len(), 1);
}

#[test]
fn build_fails_on_missing_or_faulty_chunk() {
    let (files, chunks) = split(&[file("one")]);
    let head = Head::successor_of(None, "first", files);
    let err =
        Configuration::build(head.clone(), Default::default()).expect_err("the chunk is missing");
    assert!(err.to_string().contains("is missing"), "{err}");
    let faulty = chunks
        .into_keys()
        .map(|hash| (hash, Arc::new(b"[hall.a]\n".to_vec())))
        .collect();
    let err = Configuration::build(head, faulty).expect_err("the chunk has a fault");
    assert!(err.to_string().contains("hall.a.region"), "{err}");
}
