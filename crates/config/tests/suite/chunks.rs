//! Files survive splitting and joining; a small change affects few chunks.

use std::collections::{HashMap, HashSet};

use hollowsail_config::chunk::{join, split, ChunkHash, Head, MAX_CHUNK_BYTES};
use hollowsail_config::SourceFile;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn head(files: Vec<hollowsail_config::chunk::FileEntry>) -> Head {
    Head::successor_of(None, "a", files)
}

fn organisations(count: usize, weight_of_last: u32) -> SourceFile {
    let text = (0..count)
        .map(|index| {
            let weight = if index + 1 == count {
                weight_of_last
            } else {
                1
            };
            format!("[organisation.o{index}]\nhalls = a\nweight = {weight}\n")
        })
        .collect();
    SourceFile {
        name: "orgs.ini".into(),
        text,
    }
}

#[test]
fn one_organisation_change_changes_one_chunk() {
    let (_, before) = split(&[organisations(3800, 1)]);
    let (_, after) = split(&[organisations(3800, 2)]);
    let known: HashSet<ChunkHash> = before.iter().map(|(hash, _)| *hash).collect();
    let new: Vec<_> = after
        .iter()
        .filter(|(hash, _)| !known.contains(hash))
        .collect();
    assert_eq!(new.len(), 1);
    assert!(after.len() > 20, "{} chunks", after.len());
}

#[test]
fn chunks_stay_within_the_size_limit() {
    let comment = format!("; {}\n", "x".repeat(1000)).repeat(2000);
    let (_, chunks) = split(&[SourceFile {
        name: "long.ini".into(),
        text: comment,
    }]);
    assert!(chunks
        .iter()
        .all(|(_, bytes)| bytes.len() <= MAX_CHUNK_BYTES));
    assert!(chunks.len() > 1);
}

#[test]
fn missing_chunk_is_named_in_the_error() {
    let (entries, _) = split(&[organisations(3, 1)]);
    let err = join(&head(entries), |_| None).expect_err("no chunk is available");
    assert!(err.to_string().starts_with("chunk "), "{err}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    #[test]
    fn split_then_join_restores_the_files(texts in prop::collection::vec("(\\[[a-z]{1,3}\\]\n|[a-z]{0,5} = [a-z]{0,5}\n|\n){0,40}", 0..4)) {
        let files: Vec<SourceFile> = texts
            .into_iter()
            .enumerate()
            .map(|(index, text)| SourceFile { name: index.to_string(), text })
            .collect();
        let (entries, chunks) = split(&files);
        let chunks: HashMap<ChunkHash, Vec<u8>> = chunks.into_iter().collect();
        let head = head(entries);
        let bytes = rmp_serde::to_vec(&head).expect("the head serializes");
        let head: Head = rmp_serde::from_slice(&bytes).expect("the head deserializes");
        let joined = join(&head, |hash| chunks.get(hash).cloned()).expect("all chunks are available");
        prop_assert_eq!(joined, files);
    }
}
