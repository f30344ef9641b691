//! A configuration in force: head, files, typed deployment, and its chunks
//! for peers that ask.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use hollowsail_config::chunk::{self, ChunkError, ChunkHash, FileEntry, Head};
use hollowsail_config::{check, Deployment, Faults, SourceFile};
use snafu::{ResultExt, Snafu};

/// Key of the head in the store.
pub const HEAD_KEY: &str = "config/head";

/// Key of a chunk in the store.
pub fn chunk_key(hash: &ChunkHash) -> String {
    format!("config/chunk/{}", hex::encode(hash))
}

/// Chunks by hash, shared between revisions.
pub type Chunks = HashMap<ChunkHash, Arc<Vec<u8>>>;

/// Why a head's chunks make no configuration.
#[derive(Debug, Snafu)]
pub enum BuildError {
    #[snafu(display("{source}"))]
    Join { source: ChunkError },
    #[snafu(display("revision {revision} does not pass the check here: {source}"))]
    Check { revision: u64, source: Faults },
}

/// One revision, immutable.
#[derive(Debug)]
pub struct Configuration {
    pub head: Head,
    pub files: Vec<SourceFile>,
    pub deployment: Deployment,
    pub chunks: Chunks,
}

impl Configuration {
    /// Builds a revision from its head and every chunk it names; other chunks
    /// are let go, or each revision would keep all that came before it.
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

/// Splits files into the entries of a head and the chunks that they name.
pub fn split(files: &[SourceFile]) -> (Vec<FileEntry>, Chunks) {
    let (entries, pieces) = chunk::split(files);
    let chunks = pieces
        .into_iter()
        .map(|(hash, bytes)| (hash, Arc::new(bytes)))
        .collect();
    (entries, chunks)
}

/// Names of files that differ between a head and an apply.
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
