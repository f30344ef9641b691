//! Accepting an operator's files as a whole.
//!
//! The files are checked here; their chunks are written to the store; then the
//! head is changed by compare-and-swap against the revision the operator
//! named. An answer that is lost is settled by reading the head back and
//! finding the apply id, so an apply can be sent again until it is known. At
//! the end the entry waits until every live entry reports the revision.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_web::http::StatusCode;
use hollowsail_config::chunk::{ChunkHash, Head};
use hollowsail_config::{check, Fault, SourceFile};
use hollowsail_platform::{Expect, StoreClient, StoreError, StoreReply};
use serde::{Deserialize, Serialize};

use crate::configuration::{changed_files, chunk_key, propose, Chunks, Configuration, HEAD_KEY};
use crate::control::spread::chunks_from_store;
use crate::control::Adopt;
use crate::events;
use crate::worker::Worker;

/// Times one apply tries the head before it answers "unknown".
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
        Some(store) => accept_in_store(store, &request).await,
        None => accept_alone(worker, &request),
    };
    let (head, chunks) = match accepted {
        Ok(accepted) => accepted,
        Err(result) => {
            refused(worker, "conflict or store");
            return result;
        }
    };
    let revision = head.revision;
    worker.entry.log(
        events::CONFIGURATION_ACCEPTED,
        format_args!("revision={revision} apply_id={}", request.apply_id),
    );
    let built = actix_web::web::block(move || Configuration::build(head, chunks)).await;
    if let Ok(Ok(configuration)) = built {
        let _ = worker
            .entry
            .control()
            .send(Adopt(Arc::new(configuration)))
            .await;
    }
    let missing = wait_in_force(worker, revision, request.wait_ms.min(MAX_WAIT_MS)).await;
    ApplyResult::Accepted { revision, missing }
}

fn refused(worker: &Worker, why: &str) {
    worker
        .entry
        .log(events::CONFIGURATION_REFUSED, format_args!("why=\"{why}\""));
}

/// Without a store this entry alone decides.
fn accept_alone(worker: &Worker, request: &ApplyRequest) -> Result<(Head, Chunks), ApplyResult> {
    let (head, chunks) = propose(&request.files, request.base, &request.apply_id);
    match worker.entry.configuration() {
        Some(current) if current.head.apply_id == request.apply_id => {
            Ok((current.head.clone(), current.chunks.clone()))
        }
        Some(current) if current.revision() != request.base => {
            Err(conflict(&current.head, &head, request.base))
        }
        None if request.base != 0 => Err(ApplyResult::Conflict {
            in_force: 0,
            differs_in: Vec::new(),
            message: format!(
                "no configuration is in force, not {}; apply with base 0",
                request.base
            ),
        }),
        _ => Ok((head, chunks)),
    }
}

fn conflict(current: &Head, proposed: &Head, base: u64) -> ApplyResult {
    ApplyResult::Conflict {
        in_force: current.revision,
        differs_in: changed_files(current, proposed),
        message: format!(
            "revision {} is in force, not {base}: look at what differs, then apply with base {}",
            current.revision, current.revision
        ),
    }
}

async fn accept_in_store(
    store: &StoreClient,
    request: &ApplyRequest,
) -> Result<(Head, Chunks), ApplyResult> {
    let (proposed, chunks) = propose(&request.files, request.base, &request.apply_id);
    let mut may_have_taken_effect = false;
    for attempt in 0..MAX_TRIES {
        if attempt > 0 {
            tokio::time::sleep(TRY_PAUSE).await;
        }
        let Ok(current) = read_head(store).await else {
            continue;
        };
        let (expect, current) = match current {
            Some((version, head)) => (Expect::Version(version), Some(head)),
            None => (Expect::Absent, None),
        };
        if let Some(head) = accepted_earlier(current.as_ref(), request) {
            return find_accepted(store, head, request, chunks).await;
        }
        let in_force = current.as_ref().map_or(0, |head| head.revision);
        if in_force != request.base {
            // A write of ours may stand below the head that is there now.
            if may_have_taken_effect {
                break;
            }
            return Err(match current {
                Some(head) => conflict(&head, &proposed, request.base),
                None => conflict(&empty_head(), &proposed, request.base),
            });
        }
        if write_chunks(store, current.as_ref(), &chunks)
            .await
            .is_err()
        {
            continue;
        }
        match write_head(store, &proposed, expect).await {
            Ok(true) => return Ok((proposed, chunks)),
            Ok(false) => {}
            Err(StoreError::Unclear { .. }) => may_have_taken_effect = true,
            Err(_) => {}
        }
    }
    Err(if may_have_taken_effect {
        ApplyResult::Unknown {
            message: "the store did not say whether it took the change; \
                      apply again with the same id"
                .into(),
        }
    } else {
        ApplyResult::Unavailable {
            message: "the store does not answer; nothing was changed; apply again later".into(),
        }
    })
}

fn empty_head() -> Head {
    Head {
        revision: 0,
        parent: 0,
        apply_id: String::new(),
        files: Vec::new(),
    }
}

fn accepted_earlier<'a>(current: Option<&'a Head>, request: &ApplyRequest) -> Option<&'a Head> {
    current.filter(|head| head.apply_id == request.apply_id)
}

/// The head is ours already: an earlier answer was lost.
async fn find_accepted(
    store: &StoreClient,
    head: &Head,
    request: &ApplyRequest,
    chunks: Chunks,
) -> Result<(Head, Chunks), ApplyResult> {
    let (proposed, _) = propose(&request.files, head.parent, &request.apply_id);
    if proposed.files != head.files {
        return Err(ApplyResult::Conflict {
            in_force: head.revision,
            differs_in: changed_files(head, &proposed),
            message: "this apply id was used for other files; choose a new one".into(),
        });
    }
    chunks_from_store(store, head, chunks)
        .await
        .map(|chunks| (head.clone(), chunks))
        .map_err(|message| ApplyResult::Unknown { message })
}

async fn read_head(store: &StoreClient) -> Result<Option<(u64, Head)>, StoreError> {
    let Some((version, bytes)) = store.get(HEAD_KEY).await? else {
        return Ok(None);
    };
    let head = rmp_serde::from_slice(&bytes).map_err(|err| StoreError::Unclear {
        reason: format!("the head is not readable: {err}"),
    })?;
    Ok(Some((version, head)))
}

/// Writes chunks that the present head does not name. They are addressed by
/// content, so writing one twice changes nothing.
async fn write_chunks(
    store: &StoreClient,
    current: Option<&Head>,
    chunks: &Chunks,
) -> Result<(), StoreError> {
    let present: HashSet<&ChunkHash> = current
        .iter()
        .flat_map(|head| head.chunk_hashes())
        .collect();
    for (hash, bytes) in chunks.iter().filter(|(hash, _)| !present.contains(hash)) {
        let key = chunk_key(hash);
        store
            .put(&key, bytes.to_vec(), Expect::Anything, None)
            .await?;
    }
    Ok(())
}

/// True when the head is written, false when another one came first.
async fn write_head(store: &StoreClient, head: &Head, expect: Expect) -> Result<bool, StoreError> {
    let bytes = rmp_serde::to_vec(head).map_err(|err| StoreError::NotSent {
        reason: err.to_string(),
    })?;
    let reply = store.put(HEAD_KEY, bytes, expect, None).await?;
    Ok(matches!(reply, StoreReply::Written { .. }))
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
