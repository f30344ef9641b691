//! Accepted files as content-addressed chunks listed by a small head.
//!
//! Texts are cut at section headers selected by their hash (content-defined
//! chunking). A change to one organisation changes one chunk, so only that
//! chunk and the head are sent, whatever the size of the configuration.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::{OptionExt, ResultExt, Snafu};

use crate::source::SourceFile;

/// SHA-256 of a chunk's bytes.
pub type ChunkHash = [u8; 32];

/// Mean number of sections per chunk.
const SECTIONS_PER_CHUNK: u32 = 64;
/// Largest chunk in bytes, below the store's limit of 1 MB per value.
pub const MAX_CHUNK_BYTES: usize = 384 * 1024;

/// Describes a revision: small enough to gossip, replaced by compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Incremented by each accepted apply; 0 means no configuration yet.
    pub revision: u64,
    /// Revision this one was based on.
    pub parent: u64,
    /// Chosen by the client that applied; identifies the apply after a lost answer.
    pub apply_id: String,
    /// Earlier applies, newest first; identifies applies whose answer was lost
    /// after later ones were accepted.
    pub recent: Vec<RecentApply>,
    pub files: Vec<FileEntry>,
}

/// An apply that was accepted earlier.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentApply {
    pub revision: u64,
    pub apply_id: String,
}

/// Earlier applies that a head records.
pub const RECENT_APPLIES: usize = 32;

/// One file of a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileEntry {
    pub name: String,
    #[serde(with = "hash_list")]
    pub chunks: Vec<ChunkHash>,
}

/// Encodes the hashes as one byte string instead of a sequence of integers.
mod hash_list {
    use super::ChunkHash;
    use serde::{de::Error, Deserializer, Serializer};

    pub fn serialize<S: Serializer>(hashes: &[ChunkHash], ser: S) -> Result<S::Ok, S::Error> {
        ser.serialize_bytes(&hashes.concat())
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(de: D) -> Result<Vec<ChunkHash>, D::Error> {
        let bytes: serde_bytes::ByteBuf = serde::Deserialize::deserialize(de)?;
        if !bytes.len().is_multiple_of(32) {
            return Err(D::Error::custom("hash list is not a multiple of 32 bytes"));
        }
        Ok(bytes
            .chunks_exact(32)
            .map(|chunk| chunk.try_into().expect("32 bytes"))
            .collect())
    }
}

/// Why the files of a head cannot be reassembled from chunks.
#[derive(Debug, Snafu)]
pub enum ChunkError {
    #[snafu(display(
        "chunk {} of {file} is missing; fetch it and try again",
        hex::encode(hash)
    ))]
    Missing { file: String, hash: ChunkHash },
    #[snafu(display("file {file} is not UTF-8; apply the configuration again"))]
    NotText {
        file: String,
        source: std::string::FromUtf8Error,
    },
}

impl Head {
    /// The next head after `parent`; `None` creates the first.
    pub fn successor_of(parent: Option<&Head>, apply_id: &str, files: Vec<FileEntry>) -> Head {
        let recent = parent.map_or(Vec::new(), |parent| {
            let before = RecentApply {
                revision: parent.revision,
                apply_id: parent.apply_id.clone(),
            };
            let older = parent.recent.iter().cloned();
            std::iter::once(before)
                .chain(older)
                .take(RECENT_APPLIES)
                .collect()
        });
        let base = parent.map_or(0, |parent| parent.revision);
        Head {
            revision: base + 1,
            parent: base,
            apply_id: apply_id.into(),
            recent,
            files,
        }
    }

    /// Revision that an apply id was accepted as; `None` when not recorded.
    pub fn revision_of(&self, apply_id: &str) -> Option<u64> {
        if self.apply_id == apply_id {
            return Some(self.revision);
        }
        self.recent
            .iter()
            .find(|recent| recent.apply_id == apply_id)
            .map(|recent| recent.revision)
    }

    /// Oldest revision whose apply id is recorded.
    pub fn oldest_recorded_revision(&self) -> u64 {
        self.recent.last().map_or(self.revision, |r| r.revision)
    }

    /// All chunk hashes, in order, with repetitions.
    pub fn chunk_hashes(&self) -> impl Iterator<Item = &ChunkHash> {
        self.files.iter().flat_map(|file| &file.chunks)
    }
}

pub fn hash_chunk(bytes: &[u8]) -> ChunkHash {
    Sha256::digest(bytes).into()
}

/// Splits files into chunks; returns the file entries and the chunks by hash.
pub fn split(files: &[SourceFile]) -> (Vec<FileEntry>, Vec<(ChunkHash, Vec<u8>)>) {
    let mut entries = Vec::new();
    let mut chunks = Vec::new();
    for file in files {
        let file_chunks: Vec<_> = split_text(&file.text)
            .into_iter()
            .map(|bytes| (hash_chunk(bytes), bytes.to_vec()))
            .collect();
        entries.push(FileEntry {
            name: file.name.clone(),
            chunks: file_chunks.iter().map(|(hash, _)| *hash).collect(),
        });
        chunks.extend(file_chunks);
    }
    (entries, chunks)
}

/// Reassembles the files of a head; fails on a missing chunk or text that is not UTF-8.
pub fn join(
    head: &Head,
    fetch: impl Fn(&ChunkHash) -> Option<Vec<u8>>,
) -> Result<Vec<SourceFile>, ChunkError> {
    head.files
        .iter()
        .map(|entry| join_file(entry, &fetch))
        .collect()
}

fn join_file(
    entry: &FileEntry,
    fetch: &impl Fn(&ChunkHash) -> Option<Vec<u8>>,
) -> Result<SourceFile, ChunkError> {
    let mut bytes = Vec::new();
    for hash in &entry.chunks {
        let chunk = fetch(hash).context(MissingSnafu {
            file: &entry.name,
            hash: *hash,
        })?;
        bytes.extend_from_slice(&chunk);
    }
    Ok(SourceFile {
        name: entry.name.clone(),
        text: String::from_utf8(bytes).context(NotTextSnafu { file: &entry.name })?,
    })
}

fn split_text(text: &str) -> Vec<&[u8]> {
    let mut chunks = Vec::new();
    let mut start = 0;
    let mut offset = 0;
    for line in text.split_inclusive('\n') {
        let boundary = line.starts_with('[') && starts_chunk(line);
        if offset > start && (boundary || offset - start + line.len() > MAX_CHUNK_BYTES) {
            chunks.push(&text.as_bytes()[start..offset]);
            start = offset;
        }
        offset += line.len();
    }
    if offset > start {
        chunks.push(&text.as_bytes()[start..offset]);
    }
    chunks
}

fn starts_chunk(header: &str) -> bool {
    let hash = hash_chunk(header.trim_end().as_bytes());
    u32::from_be_bytes([hash[0], hash[1], hash[2], hash[3]]).is_multiple_of(SECTIONS_PER_CHUNK)
}
