//! A configuration revision: head, files, typed deployment, and the chunks that are
//! sent to peers.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use hollowsail_config::chunk::{self, ChunkError, ChunkHash, FileEntry, Head};
use hollowsail_config::{check, Deployment, Faults, SourceFile};
use snafu::{ResultExt, Snafu};

/// Store key of the head.
pub const HEAD_KEY: &str = "config/head";

/// Store key of a chunk.
pub fn chunk_key(hash: &ChunkHash) -> String {
    format!("config/chunk/{}", hex::encode(hash))
}

/// Chunks by hash, shared between revisions.
pub type Chunks = HashMap<ChunkHash, Arc<Vec<u8>>>;

/// Failure to build a configuration from a head and its chunks.
#[derive(Debug, Snafu)]
pub enum BuildError {
    #[snafu(display("{source}"))]
    Join { source: ChunkError },
    #[snafu(display("revision {revision} is not valid for this version of the entry: {source}"))]
    Check { revision: u64, source: Faults },
}

/// One immutable revision.
#[derive(Debug)]
pub struct Configuration {
    pub head: Head,
    pub files: Vec<SourceFile>,
    pub deployment: Deployment,
    pub chunks: Chunks,
}

impl Configuration {
    /// Builds a revision from its head and the chunks that it names. Other chunks are
    /// dropped, or each revision would retain those of all earlier ones.
    pub fn build(head: Head, mut chunks: Chunks) -> Result<Configuration, BuildError> {
        let named: HashSet<&ChunkHash> = head.chunk_hashes().collect();
        chunks.retain(|hash, _| named.contains(hash));
        let fetch = |hash: &ChunkHash| chunks.get(hash).map(|bytes| bytes.to_vec());
        let files = chunk::join(&head, fetch).context(JoinSnafu)?;
        let deployment = check(&files).context(CheckSnafu {
            revision: head.revision,
        })?;
        Ok(Configuration {
            head,
            files,
            deployment,
            chunks,
        })
    }

    pub fn revision(&self) -> u64 {
        self.head.revision
    }
}

/// Splits files into chunks, and the file entries of a head that name them.
pub fn split(files: &[SourceFile]) -> (Vec<FileEntry>, Chunks) {
    let (entries, chunks) = chunk::split(files);
    let chunks = chunks
        .into_iter()
        .map(|(hash, bytes)| (hash, Arc::new(bytes)))
        .collect();
    (entries, chunks)
}

/// Sorted names of the files that differ between a head and an apply.
pub fn changed_files(in_force: &[FileEntry], proposed: &[FileEntry]) -> Vec<String> {
    let chunks_of = |files: &[FileEntry], name: &str| {
        files
            .iter()
            .find(|file| file.name == name)
            .map(|file| file.chunks.clone())
    };
    let mut names: Vec<String> = in_force
        .iter()
        .chain(proposed)
        .map(|file| file.name.clone())
        .collect();
    names.sort();
    names.dedup();
    names.retain(|name| chunks_of(in_force, name) != chunks_of(proposed, name));
    names
}
