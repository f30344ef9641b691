//! Accepted files as content-addressed chunks under a small head.
//!
//! Texts are cut at section headers whose hash falls on a boundary, so a
//! change to one organisation changes one chunk and the others keep their
//! hashes: what a change costs on the wire is one chunk and the head, whatever
//! the size of the whole.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::{OptionExt, ResultExt, Snafu};

use crate::source::SourceFile;

/// SHA-256 of a chunk's bytes.
pub type ChunkHash = [u8; 32];

/// One section header in this many starts a new chunk.
const SECTIONS_PER_CHUNK: u32 = 64;
/// Upper bound of a chunk, well under the store's limit of 1 MB a value.
pub const MAX_CHUNK_BYTES: usize = 384 * 1024;

/// What names a revision: small enough to gossip, changed by compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Grows by one with each accepted apply; 0 is "no configuration yet".
    pub revision: u64,
    /// Revision this one was based on.
    pub parent: u64,
    /// Chosen by whoever applied; settles lost answers.
    pub apply_id: String,
    /// Applies before this one, newest first; settles answers that were lost
    /// while others went on.
    pub recent: Vec<RecentApply>,
    pub files: Vec<FileEntry>,
}

/// An apply that was accepted earlier.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentApply {
    pub revision: u64,
    pub apply_id: String,
}

/// Applies that a head remembers.
pub const RECENT_APPLIES: usize = 32;

/// One file of a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileEntry {
    pub name: String,
    #[serde(with = "hash_list")]
    pub chunks: Vec<ChunkHash>,
}

/// Stores the hashes as one byte string instead of thousands of integers.
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

/// Why chunks do not make the revision that a head names.
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
    /// The head that follows `parent` (`None`: the first).
    pub fn following(parent: Option<&Head>, apply_id: &str, files: Vec<FileEntry>) -> Head {
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

    /// Revision that an apply id was accepted as, as far as is remembered.
    pub fn revision_of(&self, apply_id: &str) -> Option<u64> {
        if self.apply_id == apply_id {
            return Some(self.revision);
        }
        self.recent
            .iter()
            .find(|recent| recent.apply_id == apply_id)
            .map(|recent| recent.revision)
    }

    /// Oldest revision whose apply id is remembered.
    pub fn remembers_from(&self) -> u64 {
        self.recent.last().map_or(self.revision, |r| r.revision)
    }

    /// All chunk hashes, in order, with repetitions.
    pub fn chunk_hashes(&self) -> impl Iterator<Item = &ChunkHash> {
        self.files.iter().flat_map(|file| &file.chunks)
    }
}

/// Hash of a chunk.
pub fn hash_chunk(bytes: &[u8]) -> ChunkHash {
    Sha256::digest(bytes).into()
}

/// Splits files into entries and the chunks that they name.
pub fn split(files: &[SourceFile]) -> (Vec<FileEntry>, Vec<(ChunkHash, Vec<u8>)>) {
    let mut entries = Vec::new();
    let mut chunks = Vec::new();
    for file in files {
        let pieces: Vec<_> = split_text(&file.text)
            .into_iter()
            .map(|piece| (hash_chunk(piece), piece.to_vec()))
            .collect();
        entries.push(FileEntry {
            name: file.name.clone(),
            chunks: pieces.iter().map(|(hash, _)| *hash).collect(),
        });
        chunks.extend(pieces);
    }
    (entries, chunks)
}

/// Puts the files of a head together again.
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
    let mut pieces = Vec::new();
    let mut start = 0;
    let mut at = 0;
    for line in text.split_inclusive('\n') {
        let boundary = line.starts_with('[') && starts_chunk(line);
        if at > start && (boundary || at - start + line.len() > MAX_CHUNK_BYTES) {
            pieces.push(&text.as_bytes()[start..at]);
            start = at;
        }
        at += line.len();
    }
    if at > start {
        pieces.push(&text.as_bytes()[start..at]);
    }
    pieces
}

fn starts_chunk(header: &str) -> bool {
    let hash = hash_chunk(header.trim_end().as_bytes());
    u32::from_be_bytes([hash[0], hash[1], hash[2], hash[3]]).is_multiple_of(SECTIONS_PER_CHUNK)
}
