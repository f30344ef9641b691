//! Requests, and parts of prompts, that crash targets: counting, verdicts and refusals.
//!
//! Parts of prompts are in [`parts`]. What follows is on whole requests; verdicts on both are spread,
//! stored and looked up in the same way.
//!
//! An entry whose target crashed under a request reports this to the entry that counts crashes
//! for the request ([`Peers::owner_of`]). From the second crash on, that entry broadcasts that
//! the request is suspect, and all entries run it isolated. At the third all refuse it, and
//! control writes the refusal to the store for entries that start later. An entry that
//! completes a suspect request clears it everywhere. [`CrashLedger`] makes the decisions.
//!
//! [`Peers::owner_of`]: crate::peers::Peers::owner_of

mod messages;
mod parts;

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use hollowsail_clock::BootInstant;
use hollowsail_observe::{events, ErrorKind};
use hollowsail_routing::crashes::requests::{CRASHES_TO_ISOLATE, CRASHES_TO_REFUSE};
use hollowsail_routing::crashes::{PartLedger, RecentPasses};
use hollowsail_routing::{CrashLedger, CrashVerdict, CrashedRun, Millis, RequestDigest};
use tokio::sync::mpsc;

use crate::answer::Refusal;
use crate::peers::{CrashedRunReport, Message, Owner, VerdictNotice};
use crate::traffic::Traffic;

pub use messages::{PartCall, PartMessage, TrialReply, PARTS_PATH};
pub use parts::{PromptParts, Trial};

/// Prefix of the store keys of refused requests, followed by the request's digest.
pub const PREFIX: &str = "hollowsail/refused/";
/// Maximum number of refusals that wait for the control thread; further ones are only
/// broadcast.
const MAX_PENDING_REFUSALS: usize = 64;

/// Refused requests, and the end of each refusal in milliseconds since the start.
pub type RefusedRequests = BTreeMap<RequestDigest, Millis>;

/// Verdicts on requests that crash targets.
pub struct Crashes {
    /// Verdicts on requests and on parts of prompts, and the evidence on requests.
    ledger: RefCell<CrashLedger>,
    /// Evidence on parts of prompts, by service.
    parts: RefCell<HashMap<String, PartLedger>>,
    passes: RefCell<RecentPasses>,
    /// To the control thread, which writes refusals to the store.
    to_store: mpsc::Sender<RefusalChange>,
}

/// A run that was interrupted by a crash of its target.
#[derive(Debug, Clone, Copy)]
pub struct InterruptedRun {
    /// Time of the send to the target.
    pub sent: BootInstant,
    /// Time at which the response was interrupted.
    pub interrupted: BootInstant,
}

impl InterruptedRun {
    /// The run as reported to peers; `was_suspect` when the request was suspected already.
    fn report(&self, was_suspect: bool) -> CrashedRunReport {
        CrashedRunReport {
            was_suspect,
            sent_ms: self.sent.elapsed().as_millis() as Millis,
            ended_ms: self.interrupted.elapsed().as_millis() as Millis,
        }
    }
}

/// A refusal that this entry decided on.
#[derive(Debug, Clone, Copy)]
pub struct NewRefusal {
    pub request: RequestDigest,
    /// Duration of the refusal.
    pub duration: Duration,
    /// How long the store keeps it.
    pub lease: Duration,
}

/// What the control thread writes to the store.
#[derive(Debug, Clone, Copy)]
pub enum RefusalChange {
    Refuse(NewRefusal),
    /// What was refused has proved harmless.
    Lift(RequestDigest),
}

/// Receives the refusals that the control thread writes to the store.
pub type RefusalReceiver = mpsc::Receiver<RefusalChange>;

impl Crashes {
    /// Creates the state, with the receiver for the control thread.
    pub fn new() -> (Self, RefusalReceiver) {
        let (to_store, rx) = mpsc::channel(MAX_PENDING_REFUSALS);
        let crashes = Crashes {
            ledger: RefCell::default(),
            parts: RefCell::default(),
            passes: RefCell::default(),
            to_store,
        };
        (crashes, rx)
    }

    /// True when there is no verdict on anything.
    pub fn knows_nothing(&self) -> bool {
        self.ledger.borrow().is_empty()
    }

    /// The digest of a request, derived only when there is a verdict on any request.
    fn digest_if_known(&self, request: impl FnOnce() -> RequestDigest) -> Option<RequestDigest> {
        let is_empty = self.ledger.borrow().is_empty();
        (!is_empty).then(request)
    }

    /// The verdict on a request.
    fn verdict(&self, now: Millis, request: impl FnOnce() -> RequestDigest) -> CrashVerdict {
        let request = self.digest_if_known(request);
        request.map_or(CrashVerdict::Unsuspected, |request| {
            self.ledger.borrow().verdict(now, request)
        })
    }

    /// Returns an error when the request is refused because it crashes targets.
    pub fn check(
        &self,
        cx: &Traffic,
        request: impl FnOnce() -> RequestDigest,
    ) -> Result<(), Refusal> {
        let now = cx.clock.now();
        let CrashVerdict::Refused { until } = self.verdict(now, request) else {
            return Ok(());
        };
        let detail = format!("{CRASHES_TO_REFUSE} targets crashed while running it");
        let refusal = Refusal::new(ErrorKind::EndsTargets, detail);
        Err(refusal.with_retry_after(Duration::from_millis(until - now)))
    }

    /// True when the request has to run isolated.
    pub fn is_suspect(&self, cx: &Traffic, request: impl FnOnce() -> RequestDigest) -> bool {
        self.verdict(cx.clock.now(), request) != CrashVerdict::Unsuspected
    }

    /// Reports a crash of a target under a request of this entry.
    pub fn target_crashed(&self, cx: &Rc<Traffic>, request: RequestDigest, run: InterruptedRun) {
        let run = run.report(self.is_suspect(cx, || request));
        match cx.peers.owner_of(cx, &format!("{PREFIX}{request}")) {
            Owner::Me => self.count(cx, request, run),
            Owner::Peer(link) => link.send(Message::TargetCrashed { request, run }),
        }
    }

    /// Counts a crash, at the entry that counts for the request.
    pub fn count(&self, cx: &Rc<Traffic>, request: RequestDigest, run: CrashedRunReport) {
        let now = cx.clock.now();
        let run = CrashedRun {
            sent: now.saturating_sub(run.sent_ms),
            crashed_at: now.saturating_sub(run.ended_ms),
            was_suspect: run.was_suspect,
        };
        let counted = self.ledger.borrow_mut().record_crash(now, request, run);
        let Some(crashes) = counted else { return };
        let verdict = self.ledger.borrow().verdict(now, request);
        log_verdict(cx, request, verdict, format_args!("crashes={crashes}"));
        if crashes < CRASHES_TO_ISOLATE {
            return;
        }
        broadcast(cx, request, verdict);
        if let CrashVerdict::Refused { until } = verdict {
            let duration = Duration::from_millis(until - now);
            self.store(RefusalChange::Refuse(NewRefusal {
                request,
                duration,
                lease: duration,
            }));
        }
    }

    /// Has the control thread write a change to the store.
    fn store(&self, change: RefusalChange) {
        if let Err(err) = self.to_store.try_send(change) {
            log::warn!("cannot store {change:?}: {err}; entries that start later won't know of it");
        }
    }

    /// A peer sent its verdict on a request.
    pub fn on_verdict(&self, cx: &Rc<Traffic>, request: RequestDigest, notice: VerdictNotice) {
        let now = cx.clock.now();
        let verdict = match notice {
            VerdictNotice::Unsuspected => CrashVerdict::Unsuspected,
            VerdictNotice::Suspect => CrashVerdict::Suspect,
            VerdictNotice::Refused { for_ms } => CrashVerdict::Refused {
                until: now + for_ms,
            },
        };
        if self.ledger.borrow_mut().learn(now, request, verdict) {
            log_verdict(cx, request, verdict, format_args!("from=peer"));
        }
    }

    /// Applies the difference between two lists of refusals in the store.
    pub fn apply_listed(&self, cx: &Traffic, before: &RefusedRequests, listed: &RefusedRequests) {
        let now = cx.clock.now();
        let new = listed.iter();
        let new = new.filter(|(request, _)| !before.contains_key(*request));
        for (request, until) in new {
            let verdict = CrashVerdict::Refused { until: *until };
            if self.ledger.borrow_mut().learn(now, *request, verdict) {
                log_verdict(cx, *request, verdict, format_args!("from=store"));
            }
        }
        let removed = before
            .keys()
            .filter(|request| !listed.contains_key(*request));
        for request in removed {
            self.lift_part(now, *request);
            if self.ledger.borrow_mut().lift_refusal(now, *request) {
                log_verdict(
                    cx,
                    *request,
                    CrashVerdict::Suspect,
                    format_args!("from=store"),
                );
            }
        }
    }

    /// A request was completed: clears the suspicion.
    pub fn record_served(&self, cx: &Rc<Traffic>, request: impl FnOnce() -> RequestDigest) {
        let Some(request) = self.digest_if_known(request) else {
            return;
        };
        if self.ledger.borrow_mut().record_success(request) {
            log_verdict(
                cx,
                request,
                CrashVerdict::Unsuspected,
                format_args!("why=served"),
            );
            broadcast(cx, request, CrashVerdict::Unsuspected);
        }
    }

    /// Refused requests with the remaining time in milliseconds, for peers without access to
    /// the store.
    pub fn refused(&self, cx: &Traffic) -> Vec<(RequestDigest, Millis)> {
        let now = cx.clock.now();
        let ledger = self.ledger.borrow();
        let refused = ledger.refused(now);
        refused
            .map(|(request, until)| (request, until - now))
            .collect()
    }
}

/// Sends the verdict on a request to every other entry.
fn broadcast(cx: &Rc<Traffic>, request: RequestDigest, verdict: CrashVerdict) {
    let verdict = match verdict {
        CrashVerdict::Unsuspected => VerdictNotice::Unsuspected,
        CrashVerdict::Suspect => VerdictNotice::Suspect,
        CrashVerdict::Refused { until } => VerdictNotice::Refused {
            for_ms: until.saturating_sub(cx.clock.now()),
        },
    };
    for link in cx.peers.links_to_all(cx) {
        link.send(Message::CrashVerdict { request, verdict });
    }
}

fn log_verdict(
    cx: &Traffic,
    request: RequestDigest,
    verdict: CrashVerdict,
    inputs: std::fmt::Arguments<'_>,
) {
    let (name, for_ms) = match verdict {
        CrashVerdict::Unsuspected => ("unsuspected", 0),
        CrashVerdict::Suspect => ("suspect", 0),
        CrashVerdict::Refused { until } => ("refused", until.saturating_sub(cx.clock.now())),
    };
    let fields = format_args!("content={request} standing={name} for_ms={for_ms} {inputs}");
    cx.log.line(events::REQUEST_STANDING, fields);
}
