//! Accepting an operator's files as a whole.
//!
//! The files are checked here; their chunks are written to the store; then the
//! head is changed by compare-and-swap against the revision the operator
//! named. An answer that is lost is settled by reading the head back and
//! finding the apply id, so an apply can be sent again until it is known. At
//! the end the entry waits until every live entry reports the revision.

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_web::http::StatusCode;
use hollowsail_clients::{Expect, StoreClient, StoreError, StoreReply};
use hollowsail_config::chunk::{FileEntry, Head};
use hollowsail_config::{check, Fault, SourceFile};
use hollowsail_fleet::{Accept, AcceptStep, Accepted, Apply, HeadAnswer};
use serde::{Deserialize, Serialize};

use crate::configuration::{changed_files, chunk_key, split, Chunks, Configuration, HEAD_KEY};
use crate::control::spread::chunks_from_store;
use crate::control::Adopt;
use crate::events;
use crate::worker::Worker;

/// Failed calls to the store after which an apply gives up.
const MAX_TRIES: u32 = 5;
/// Between two tries.
const TRY_PAUSE: Duration = Duration::from_millis(300);
/// Between two looks at who has the revision in force.
const FORCE_PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for "in force everywhere" that an operator may ask for.
const MAX_WAIT_MS: u64 = 60_000;

/// What an operator sends.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    pub files: Vec<SourceFile>,
    /// Revision that the operator believes to be in force.
    pub base: u64,
    /// Chosen by the operator; the same id is never applied twice.
    pub apply_id: String,
    /// The same apply was sent before, and its answer was lost or unknown.
    #[serde(default)]
    pub resent: bool,
    /// How long to wait until it is in force everywhere, in milliseconds.
    pub wait_ms: u64,
}

/// What the operator is told.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum ApplyResult {
    /// In force from now on; `missing` names entries that do not report it.
    Accepted { revision: u64, missing: Vec<String> },
    /// Nothing was changed.
    Faulty { faults: Vec<Fault> },
    /// Somebody else's apply came first; nothing was changed.
    Conflict {
        in_force: u64,
        /// Files in which the revision in force differs from these.
        differs_in: Vec<String>,
        message: String,
    },
    /// The store cannot say; send the same apply id again.
    Unknown { message: String },
    /// Nothing was changed.
    Unavailable { message: String },
}

impl ApplyResult {
    pub fn status(&self) -> StatusCode {
        match self {
            ApplyResult::Accepted { .. } => StatusCode::OK,
            ApplyResult::Faulty { .. } => StatusCode::UNPROCESSABLE_ENTITY,
            ApplyResult::Conflict { .. } => StatusCode::CONFLICT,
            ApplyResult::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
            ApplyResult::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Checks, accepts, and waits until the files are in force.
pub async fn apply(worker: &Worker, request: ApplyRequest) -> ApplyResult {
    let files = request.files.clone();
    let checked = actix_web::web::block(move || check(&files)).await;
    if let Ok(Err(faults)) = checked {
        refused(worker, "faults");
        return ApplyResult::Faulty { faults: faults.0 };
    }
    let accepted = match &worker.store {
        Some(store) => accept_in_store(worker, store, &request).await,
        None => accept_alone(worker, &request),
    };
    let (revision, head, chunks) = match accepted {
        Ok(accepted) => accepted,
        Err(result) => {
            refused(worker, "conflict or store");
            return result;
        }
    };
    worker.entry.log(
        events::CONFIGURATION_ACCEPTED,
        format_args!("revision={revision} apply_id={}", request.apply_id),
    );
    let built = actix_web::web::block(move || Configuration::build(head, chunks)).await;
    if let Ok(Ok(configuration)) = built {
        let adopt = Adopt(Arc::new(configuration));
        let _ = worker.control.send(adopt).await;
    }
    let missing = wait_in_force(worker, revision, request.wait_ms.min(MAX_WAIT_MS)).await;
    ApplyResult::Accepted { revision, missing }
}

fn refused(worker: &Worker, why: &str) {
    worker
        .entry
        .log(events::CONFIGURATION_REFUSED, format_args!("why=\"{why}\""));
}

/// Revision of the apply, newest head, and the chunks of that head.
type Taken = (u64, Head, Chunks);

fn wanted(request: &ApplyRequest, files: &[FileEntry]) -> Apply {
    Apply {
        base: request.base,
        apply_id: request.apply_id.clone(),
        files: files.to_vec(),
        resent: request.resent,
    }
}

/// Without a store this entry alone decides, by the same rules.
fn accept_alone(worker: &Worker, request: &ApplyRequest) -> Result<Taken, ApplyResult> {
    let (files, mut chunks) = split(&request.files);
    let current = worker.entry.configuration();
    let mut accept = Accept::new(wanted(request, &files), 0);
    let head = current.as_ref().map(|current| (0, current.head.clone()));
    let ended = accept
        .answer(HeadAnswer::Read(head))
        .or_else(|| accept.answer(HeadAnswer::Written));
    if let Some(current) = current {
        chunks.extend(current.chunks.clone());
    }
    conclude(ended, request, &files).map(|(revision, head)| (revision, head, chunks))
}

async fn accept_in_store(
    worker: &Worker,
    store: &StoreClient,
    request: &ApplyRequest,
) -> Result<Taken, ApplyResult> {
    let (files, chunks) = split(&request.files);
    let in_force = worker
        .entry
        .configuration()
        .map_or(Chunks::new(), |configuration| configuration.chunks.clone());
    let mut accept = Accept::new(wanted(request, &files), MAX_TRIES);
    let ended = loop {
        let answer = match accept.step().clone() {
            AcceptStep::ReadHead => read_head(store).await,
            AcceptStep::WriteHead { over, head } => {
                write(store, over, &head, &chunks, &in_force).await
            }
        };
        let answered = !matches!(answer, HeadAnswer::NotDone | HeadAnswer::Lost);
        if let Some(ended) = accept.answer(answer) {
            break ended;
        }
        if !answered {
            tokio::time::sleep(TRY_PAUSE).await;
        }
    };
    let (revision, head) = conclude(Some(ended), request, &files)?;
    chunks_from_store(store, &head, chunks)
        .await
        .map(|chunks| (revision, head, chunks))
        .map_err(|message| ApplyResult::Unknown { message })
}

fn conclude(
    ended: Option<Accepted>,
    request: &ApplyRequest,
    files: &[FileEntry],
) -> Result<(u64, Head), ApplyResult> {
    match ended {
        Some(Accepted::Yes { revision, newest }) => {
            let reused = newest.apply_id == request.apply_id && newest.files != files;
            if reused {
                return Err(ApplyResult::Conflict {
                    in_force: newest.revision,
                    differs_in: changed_files(&newest.files, files),
                    message: "this apply id was used for other files; choose a new one".into(),
                });
            }
            Ok((revision, *newest))
        }
        Some(Accepted::Conflict(head)) => Err(conflict(head.as_deref(), files, request.base)),
        Some(Accepted::Unavailable) => Err(ApplyResult::Unavailable {
            message: "the store does not answer; nothing was changed; apply again later".into(),
        }),
        Some(Accepted::Unknown) | None => Err(ApplyResult::Unknown {
            message: "the store did not say whether it took the change; \
                      send the same apply again with the same id and base"
                .into(),
        }),
    }
}

fn conflict(head: Option<&Head>, files: &[FileEntry], base: u64) -> ApplyResult {
    let in_force = head.map_or(0, |head| head.revision);
    ApplyResult::Conflict {
        in_force,
        differs_in: changed_files(head.map_or(&[], |head| &head.files), files),
        message: format!(
            "revision {in_force} is in force, not {base}: \
             look at what differs, then apply with base {in_force}"
        ),
    }
}

async fn read_head(store: &StoreClient) -> HeadAnswer {
    match store.get(HEAD_KEY).await {
        Ok(None) => HeadAnswer::Read(None),
        Ok(Some((version, bytes))) => match rmp_serde::from_slice(&bytes) {
            Ok(head) => HeadAnswer::Read(Some((version, head))),
            Err(_) => HeadAnswer::NotDone,
        },
        Err(_) => HeadAnswer::NotDone,
    }
}

/// Writes the head's chunks, then the head.
async fn write(
    store: &StoreClient,
    over: Option<u64>,
    head: &Head,
    chunks: &Chunks,
    in_force: &Chunks,
) -> HeadAnswer {
    if write_chunks(store, chunks, in_force).await.is_err() {
        return HeadAnswer::NotDone;
    }
    let Ok(bytes) = rmp_serde::to_vec(head) else {
        return HeadAnswer::NotDone;
    };
    let expect = over.map_or(Expect::Absent, Expect::Version);
    match store.put(HEAD_KEY, bytes, expect, None).await {
        Ok(StoreReply::Written { .. }) => HeadAnswer::Written,
        Ok(_) => HeadAnswer::Moved,
        Err(StoreError::Unclear { .. }) => HeadAnswer::Lost,
        Err(_) => HeadAnswer::NotDone,
    }
}

/// Writes the chunks that the revision in force here does not name: those are
/// in the store already. Chunks are addressed by content, so writing one twice
/// changes nothing.
async fn write_chunks(
    store: &StoreClient,
    chunks: &Chunks,
    in_force: &Chunks,
) -> Result<(), StoreError> {
    for (hash, bytes) in chunks
        .iter()
        .filter(|(hash, _)| !in_force.contains_key(*hash))
    {
        let key = chunk_key(hash);
        store
            .put(&key, bytes.to_vec(), Expect::Anything, None)
            .await?;
    }
    Ok(())
}

/// Waits for every live entry; returns the names of those that do not report
/// the revision in time.
async fn wait_in_force(worker: &Worker, revision: u64, wait_ms: u64) -> Vec<String> {
    let end = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let view = worker.entry.view();
        let missing: Vec<String> = view
            .members
            .iter()
            .chain([&view.own])
            .filter(|member| member.is_present() && member.revision < revision)
            .map(|member| member.name.clone())
            .collect();
        if missing.is_empty() || Instant::now() >= end {
            return missing;
        }
        tokio::time::sleep(FORCE_PAUSE).await;
    }
}
