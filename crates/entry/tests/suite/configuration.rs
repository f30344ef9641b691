//! Revisions are built from exactly what their heads name.

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
fn a_revision_keeps_no_chunk_of_the_one_before() {
    let (files, chunks) = split(&[file("one")]);
    let head = Head::following(None, "first", files);
    let first = Configuration::build(head, chunks).expect("it is right");
    let (files, mut chunks) = split(&[file("two")]);
    chunks.extend(first.chunks.clone());
    let head = Head::following(Some(&first.head), "second", files);
    let second = Configuration::build(head, chunks).expect("it is right");
    assert_eq!(second.deployment.name, "two");
    assert_eq!(second.chunks.len(), 1);
}

#[test]
fn a_missing_or_changed_chunk_makes_no_revision() {
    let (files, chunks) = split(&[file("one")]);
    let head = Head::following(None, "first", files);
    let err = Configuration::build(head.clone(), Default::default()).expect_err("none is there");
    assert!(err.to_string().contains("is missing"), "{err}");
    let faulty = chunks
        .into_keys()
        .map(|hash| (hash, Arc::new(b"[hall.a]\n".to_vec())))
        .collect();
    let err = Configuration::build(head, faulty).expect_err("it has a fault");
    assert!(err.to_string().contains("hall.a.region"), "{err}");
}
