//! Keeps a stream at the software version that began it, over the tries of its caller.
//!
//! [`record`] notes the version of a stream that may be resumed and copies the record to peers
//! before its first event leaves; [`find`] tells the version for a caller that resumes it. Nothing
//! is copied while only one version of the service can have served.

use std::rc::Rc;
use std::time::Duration;

use hollowsail_observe::text::Field;
use hollowsail_observe::{events, ErrorKind};
use hollowsail_platform::deployment::ServiceKey;
use hollowsail_routing::Millis;
use hollowsail_streams::{
    find_origin, holders, Build, Findings, KnownBy, Origin, StreamKey, UnknownOrigin, RETENTION_MS,
};
use hollowsail_targets::Target;

use super::admit::Admitted;
use crate::answer::Refusal;
use crate::metrics;
use crate::stream_origins::{NewRecord, Query};
use crate::traffic::Traffic;

/// How long a record is kept after the deadline of its stream.
const KEEP_AFTER_DEADLINE: Duration = Duration::from_secs(10);
/// Upper limit of the time for which a record is kept; the deadline is from a header of the caller.
const MAX_KEEP: Duration = Duration::from_millis(RETENTION_MS);
/// How long the first event of a stream waits for a copy of its record.
const COPY_TIMEOUT: Duration = Duration::from_millis(50);
/// How long a version without targets may still return, as after a crash of its last one.
const RETURN_MS: Millis = 5_000;
/// Retry-After when holders of records or the store didn't reply; others hold them by then.
const HOLDERS_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The build at which a request resumes a stream.
#[derive(Debug, Clone)]
pub struct ResumedAt {
    pub service: ServiceKey,
    pub version: String,
}

/// Copies of a record that are being written.
pub struct PendingCopies(tokio::task::JoinHandle<bool>);

impl PendingCopies {
    /// Waits until a peer has a copy, or a short time has passed.
    pub async fn wait(self) {
        // Without a copy the stream can be resumed only while this entry lives.
        let _copied = tokio::time::timeout(COPY_TIMEOUT, self.0).await;
    }
}

/// Records the version of a target whose stream begins; copies the record unless every entry can
/// tell the version without.
pub fn record(cx: &Rc<Traffic>, admitted: &Admitted, target: &Target) -> Option<PendingCopies> {
    if !admitted.route().repeat.is_repeatable() {
        return None;
    }
    let now = cx.clock.now();
    let build = Build {
        service: target.record.service.clone(),
        version: target.record.version.clone(),
    };
    let is_only = cx
        .stream_origins
        .with_history(|history| history.is_only_version(now, &build.service));
    let own_id = Some(&admitted.caller.request_id);
    let records = own_id
        .into_iter()
        .chain(&admitted.caller.resumes)
        .map(|id| NewRecord {
            key: StreamKey::of(admitted.digest(), id),
            build: build.clone(),
            keep_ms: keep(admitted).as_millis() as Millis,
        });
    let records: Vec<NewRecord> = records.collect();
    for record in &records {
        cx.stream_origins.record(now, record, is_only);
    }
    (!is_only).then(|| PendingCopies(actix_rt::spawn(copy(cx.clone(), records))))
}

/// Copies records to the peers that hold them. True if each has a copy.
async fn copy(cx: Rc<Traffic>, records: Vec<NewRecord>) -> bool {
    let copies = records.into_iter().map(|record| {
        let holders = cx.peers.record_holders(&cx, record.key);
        let cx = cx.clone();
        async move { cx.stream_origins.copy(record, &holders).await }
    });
    let copied = futures_util::future::join_all(copies).await;
    copied.into_iter().all(|is_copied| is_copied)
}

/// Copies the records that this entry kept to itself, once another version appears beside theirs.
pub async fn copy_records_when_contested(cx: Rc<Traffic>) {
    loop {
        cx.stream_origins.versions_changed.notified().await;
        let uncopied = cx.stream_origins.take_uncopied(cx.clock.now());
        copy(cx.clone(), uncopied).await;
    }
}

/// How long the record of a stream is kept: until its caller can't resume it any more.
fn keep(admitted: &Admitted) -> Duration {
    let wait = admitted.caller.deadline.unwrap_or_default();
    (wait.max(admitted.remaining()) + KEEP_AFTER_DEADLINE).min(MAX_KEEP)
}

/// The build at which a request has to resume a stream; `None` if it begins one. Refuses the
/// request if the build is unknown or has no targets.
pub async fn find(cx: &Rc<Traffic>, admitted: &Admitted) -> Result<Option<ResumedAt>, Refusal> {
    if !admitted.resumes_stream() {
        return Ok(None);
    }
    let origin = find_build(cx, admitted).await;
    log_taken_up(cx, admitted, &origin);
    let found = origin
        .map_err(unknown_refusal)
        .and_then(|origin| check_usable(cx, admitted, origin));
    let result = match &found {
        Ok((_, known_by)) => known_by.name(),
        Err(refusal) => refusal.kind.answer().name,
    };
    metrics::count_stream_taken_up(admitted.service_name(), result);
    found.map(|(resumed_at, _)| Some(resumed_at))
}

async fn find_build(cx: &Rc<Traffic>, admitted: &Admitted) -> Result<Origin, UnknownOrigin> {
    let services = &admitted.route().services;
    let only_service = match services[..] {
        [(service, _)] => Some(admitted.deployment.service(service).name.clone()),
        _ => None,
    };
    // Without the id of an attempt there is no record, but holders know of other versions.
    let attempt = admitted.caller.resumes.as_deref().unwrap_or_default();
    let query = Query {
        key: StreamKey::of(admitted.digest(), attempt),
        service: only_service.clone().unwrap_or_default(),
    };
    let mut holders = cx.peers.record_holders(cx, query.key);
    holders.truncate(holders::ASKED);
    let origins = &cx.stream_origins;
    let needs_proof = origins.needs_proof(cx.clock.now(), &query);
    // Another version may have begun the stream until the caller came back.
    let is_current = needs_proof && cx.prove_target_list().await;
    let now = cx.clock.now();
    let findings = Findings {
        is_list_outdated: needs_proof && !is_current,
        ..origins.find(now, &query, &holders, is_current).await
    };
    find_origin(&findings, only_service.as_deref())
}

fn unknown_refusal(unknown: UnknownOrigin) -> Refusal {
    match unknown {
        UnknownOrigin::HoldersSilent => {
            let detail = "entries that may know the version that began the stream don't reply";
            let refusal = Refusal::new(ErrorKind::StreamVersionAway, detail);
            refusal.with_retry_after(HOLDERS_RETRY_AFTER)
        }
        UnknownOrigin::ListOutdated => {
            let detail = "another version may have begun the stream since the store last answered";
            let refusal = Refusal::new(ErrorKind::StreamVersionAway, detail);
            refusal.with_retry_after(HOLDERS_RETRY_AFTER)
        }
        UnknownOrigin::NoRecord => Refusal::new(
            ErrorKind::StreamVersionGone,
            "no entry knows the version that began the stream, and there are several",
        ),
        UnknownOrigin::Ambiguous => Refusal::new(
            ErrorKind::StreamVersionGone,
            "streams of several versions have this request id",
        ),
    }
}

/// Checks that the route still uses the service of a build, and that it has targets.
fn check_usable(
    cx: &Rc<Traffic>,
    admitted: &Admitted,
    origin: Origin,
) -> Result<(ResumedAt, KnownBy), Refusal> {
    let Origin { build, known_by } = origin;
    let services = admitted.route().services.iter();
    let names = services.map(|(key, _)| (*key, &admitted.deployment.service(*key).name));
    let Some((service, name)) = names.clone().find(|(_, name)| **name == build.service) else {
        let detail = format!("the route doesn't use service {} any more", build.service);
        return Err(Refusal::new(ErrorKind::StreamVersionGone, detail));
    };
    let version = build.version;
    let targets = cx.targets_named(name);
    let targets = cx.rollouts.targets_to_resume_at(cx, name, &targets);
    let has_target = targets.iter().any(|target| {
        target.record.version == version && admitted.is_allowed_in(&target.record.hall)
    });
    if has_target {
        return Ok((ResumedAt { service, version }, known_by));
    }
    let now = cx.clock.now();
    let origins = &cx.stream_origins;
    let may_return = !cx.rollouts.is_rolled_back(name, &version)
        && origins.with_history(|history| history.may_return(now, name, &version, RETURN_MS));
    let kind = match may_return {
        true => ErrorKind::StreamVersionAway,
        false => ErrorKind::StreamVersionGone,
    };
    let detail = format!("service {name} has no target of version {version}");
    Err(Refusal::new(kind, detail))
}

fn log_taken_up(cx: &Traffic, admitted: &Admitted, origin: &Result<Origin, UnknownOrigin>) {
    let (version, known_by) = match origin {
        Ok(origin) => (origin.build.version.as_str(), origin.known_by.name()),
        Err(unknown) => ("none", unknown.name()),
    };
    let caller = &admitted.caller;
    cx.log.line(
        events::STREAM_TAKEN_UP,
        format_args!(
            "request={} resumes={} after={} version={} known_by={known_by}",
            Field(&caller.request_id),
            Field(&caller.resumes.as_deref().unwrap_or("none")),
            Field(&caller.last_event_id.as_deref().unwrap_or("none")),
            Field(&version)
        ),
    );
}
