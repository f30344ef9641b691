//! Applies an operator's configuration files atomically.
//!
//! Checks the files, writes their chunks to the store, and replaces the head by
//! compare-and-swap against the operator's base revision. If the store's answer is
//! lost, the head is read again and searched for the apply id, so an apply can be
//! resent until its result is known. Finally waits until every live entry reports the
//! revision.

use hollowsail_observe::text::Quoted;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_web::http::StatusCode;
use hollowsail_clients::{Expect, StoreClient, StoreError, StoreReply};
use hollowsail_config::chunk::{FileEntry, Head};
use hollowsail_config::{check, Fault, SourceFile};
use hollowsail_fleet::{Accept, AcceptStep, Apply, ApplyOutcome, HeadReply};
use serde::{Deserialize, Serialize};

use crate::configuration::{changed_files, chunk_key, split, Chunks, Configuration, HEAD_KEY};
use crate::control::config_sync::chunks_from_store;
use crate::control::Adopt;
use crate::events;
use crate::worker::Worker;

/// Failed store calls after which an apply is abandoned.
const MAX_FAILED_CALLS: u32 = 5;
/// Pause after a failed store call.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Interval between two checks which entries have the revision in force.
const IN_FORCE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum wait until a revision is in force everywhere; limits `wait_ms`.
const MAX_WAIT_MS: u64 = 60_000;

/// Body of an apply request.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    pub files: Vec<SourceFile>,
    /// Revision that the operator expects to be in force.
    pub base: u64,
    /// Chosen by the operator; an id is applied at most once.
    pub apply_id: String,
    /// True when the same apply was sent before and its result is unknown.
    #[serde(default)]
    pub resent: bool,
    /// How long to wait until the revision is in force everywhere, in milliseconds.
    pub wait_ms: u64,
}

/// Response to an apply request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum ApplyResult {
    /// Accepted; `missing` names the entries that haven't reported the revision.
    Accepted { revision: u64, missing: Vec<String> },
    /// The files have faults; nothing was changed.
    Faulty { faults: Vec<Fault> },
    /// Another apply was accepted since the base revision; nothing was changed.
    Conflict {
        in_force: u64,
        /// Names of the files that differ from the revision in force.
        differs_in: Vec<String>,
        message: String,
    },
    /// The store's answer was lost; resend with the same apply id.
    Unknown { message: String },
    /// The store could not be reached; nothing was changed.
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

/// Checks the files, accepts them, and waits until they are in force.
pub async fn apply(worker: &Worker, request: ApplyRequest) -> ApplyResult {
    let files = request.files.clone();
    let checked = actix_web::web::block(move || check(&files)).await;
    if let Ok(Err(faults)) = checked {
        log_refused(worker, "faults");
        return ApplyResult::Faulty { faults: faults.0 };
    }
    let accepted = match &worker.store {
        Some(store) => accept_in_store(worker, store, &request).await,
        None => accept_locally(worker, &request),
    };
    let (revision, head, chunks) = match accepted {
        Ok(accepted) => accepted,
        Err(result) => {
            log_refused(worker, "conflict or store failure");
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

fn log_refused(worker: &Worker, why: &str) {
    worker.entry.log(
        events::CONFIGURATION_REFUSED,
        format_args!("why={}", Quoted(&why)),
    );
}

/// Revision of the apply, newest head, and the chunks of that head.
type AcceptedHead = (u64, Head, Chunks);

fn new_apply(request: &ApplyRequest, files: &[FileEntry]) -> Apply {
    Apply {
        base: request.base,
        apply_id: request.apply_id.clone(),
        files: files.to_vec(),
        resent: request.resent,
    }
}

/// Accepts by the same rules without a store, when this entry runs alone.
fn accept_locally(worker: &Worker, request: &ApplyRequest) -> Result<AcceptedHead, ApplyResult> {
    let (files, mut chunks) = split(&request.files);
    let current = worker.entry.configuration();
    let mut accept = Accept::new(new_apply(request, &files), 0);
    let head = current.as_ref().map(|current| (0, current.head.clone()));
    let outcome = accept
        .answer(HeadReply::Read(head))
        .or_else(|| accept.answer(HeadReply::Written));
    if let Some(current) = current {
        chunks.extend(current.chunks.clone());
    }
    to_result(outcome, request, &files).map(|(revision, head)| (revision, head, chunks))
}

async fn accept_in_store(
    worker: &Worker,
    store: &StoreClient,
    request: &ApplyRequest,
) -> Result<AcceptedHead, ApplyResult> {
    let (files, chunks) = split(&request.files);
    let in_force = worker
        .entry
        .configuration()
        .map_or(Chunks::new(), |configuration| configuration.chunks.clone());
    let mut accept = Accept::new(new_apply(request, &files), MAX_FAILED_CALLS);
    let outcome = loop {
        let answer = match accept.step().clone() {
            AcceptStep::ReadHead => read_head(store).await,
            AcceptStep::WriteHead { over, head } => {
                write_head(store, over, &head, &chunks, &in_force).await
            }
        };
        let answered = !matches!(answer, HeadReply::NotDone | HeadReply::Lost);
        if let Some(outcome) = accept.answer(answer) {
            break outcome;
        }
        if !answered {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    };
    let (revision, head) = to_result(Some(outcome), request, &files)?;
    chunks_from_store(store, &head, chunks)
        .await
        .map(|chunks| (revision, head, chunks))
        .map_err(|message| ApplyResult::Unknown { message })
}

/// Maps the outcome to the accepted revision and the newest head, or to the response.
fn to_result(
    outcome: Option<ApplyOutcome>,
    request: &ApplyRequest,
    files: &[FileEntry],
) -> Result<(u64, Head), ApplyResult> {
    match outcome {
        Some(ApplyOutcome::Accepted { revision, newest }) => {
            let reused = newest.apply_id == request.apply_id && newest.files != files;
            if reused {
                return Err(ApplyResult::Conflict {
                    in_force: newest.revision,
                    differs_in: changed_files(&newest.files, files),
                    message: "this apply id was used for other files; choose a new id".into(),
                });
            }
            Ok((revision, *newest))
        }
        Some(ApplyOutcome::Conflict(head)) => Err(conflict(head.as_deref(), files, request.base)),
        Some(ApplyOutcome::Unavailable) => Err(ApplyResult::Unavailable {
            message: "the store did not answer; nothing was changed; retry later".into(),
        }),
        Some(ApplyOutcome::Unknown) | None => Err(ApplyResult::Unknown {
            message: "the store did not confirm the change; \
                      resend the same apply with the same id and base"
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
             review the differences, then apply with base {in_force}"
        ),
    }
}

async fn read_head(store: &StoreClient) -> HeadReply {
    match store.get(HEAD_KEY).await {
        Ok(None) => HeadReply::Read(None),
        Ok(Some((version, bytes))) => match rmp_serde::from_slice(&bytes) {
            Ok(head) => HeadReply::Read(Some((version, head))),
            Err(_) => HeadReply::NotDone,
        },
        Err(_) => HeadReply::NotDone,
    }
}

/// Writes the chunks, then the head.
async fn write_head(
    store: &StoreClient,
    over: Option<u64>,
    head: &Head,
    chunks: &Chunks,
    in_force: &Chunks,
) -> HeadReply {
    if write_chunks(store, chunks, in_force).await.is_err() {
        return HeadReply::NotDone;
    }
    let Ok(bytes) = rmp_serde::to_vec(head) else {
        return HeadReply::NotDone;
    };
    let expect = over.map_or(Expect::Absent, Expect::Version);
    match store.put(HEAD_KEY, bytes, expect, None).await {
        Ok(StoreReply::Written { .. }) => HeadReply::Written,
        Ok(_) => HeadReply::VersionMismatch,
        Err(StoreError::OutcomeUnknown { .. }) => HeadReply::Lost,
        Err(_) => HeadReply::NotDone,
    }
}

/// Writes the chunks that aren't part of the revision in force, whose chunks are
/// already in the store. Chunks are addressed by content, so writing one twice is
/// harmless.
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

/// Waits until every live entry reports the revision, at most `wait_ms`; returns the
/// names of those that haven't.
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
        tokio::time::sleep(IN_FORCE_CHECK_INTERVAL).await;
    }
}
