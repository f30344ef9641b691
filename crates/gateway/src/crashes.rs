//! Requests that crash targets: counting, verdicts and refusals.
//!
//! An entry whose target crashed under a request reports this to the entry that counts crashes
//! for the request ([`Peers::owner_of`]). From the second crash on, that entry broadcasts that
//! the request is suspect, and all entries run it isolated. At the third all refuse it, and
//! control writes the refusal to the store for entries that start later. An entry that
//! completes a suspect request clears it everywhere. [`CrashLedger`] makes the decisions.
//!
//! [`Peers::owner_of`]: crate::peers::Peers::owner_of

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use hollowsail_clock::Moment;
use hollowsail_observe::{events, ErrorKind};
use hollowsail_routing::crash_ledger::{CRASHES_TO_REFUSE, CRASHES_TO_SET_APART};
use hollowsail_routing::{CrashLedger, CrashedRun, Millis, RequestDigest, Standing};
use tokio::sync::mpsc;

use crate::answer::Refusal;
use crate::peers::{CrashedRunReport, Message, Owner, VerdictNotice};
use crate::traffic::Traffic;

/// Prefix of the store keys of refused requests, followed by the request's digest.
pub const PREFIX: &str = "hollowsail/refused/";
/// Maximum number of refusals that wait for the control thread; further ones are only
/// broadcast.
const MAX_PENDING_REFUSALS: usize = 64;

/// Refused requests, and the end of each refusal in milliseconds since the start.
pub type Refused = BTreeMap<RequestDigest, Millis>;

/// Verdicts on requests that crash targets.
pub struct Crashes {
    ledger: RefCell<CrashLedger>,
    /// To the control thread, which writes refusals to the store.
    to_store: mpsc::Sender<NewRefusal>,
}

/// A run that was interrupted by a crash of its target.
#[derive(Debug, Clone, Copy)]
pub struct BrokenRun {
    /// Time of the send to the target.
    pub sent: Moment,
    /// Time at which the response was interrupted.
    pub ended: Moment,
}

impl BrokenRun {
    /// The run as reported to peers; `was_suspect` when the request was suspected already.
    fn report(&self, was_suspect: bool) -> CrashedRunReport {
        CrashedRunReport {
            was_suspect,
            sent_ms: self.sent.elapsed().as_millis() as Millis,
            ended_ms: self.ended.elapsed().as_millis() as Millis,
        }
    }
}

/// A refusal that this entry decided on.
#[derive(Debug, Clone, Copy)]
pub struct NewRefusal {
    pub request: RequestDigest,
    /// Duration of the refusal.
    pub lasts: Duration,
}

/// Receives the refusals that the control thread writes to the store.
pub type ToStore = mpsc::Receiver<NewRefusal>;

impl Crashes {
    /// Creates the state, with the receiver for the control thread.
    pub fn new() -> (Self, ToStore) {
        let (to_store, rx) = mpsc::channel(MAX_PENDING_REFUSALS);
        let crashes = Crashes {
            ledger: RefCell::default(),
            to_store,
        };
        (crashes, rx)
    }

    /// The digest of a request, derived only when there is a verdict on any request.
    fn digest_if_known(&self, request: impl FnOnce() -> RequestDigest) -> Option<RequestDigest> {
        let is_empty = self.ledger.borrow().is_empty();
        (!is_empty).then(request)
    }

    /// The verdict on a request.
    fn verdict(&self, now: Millis, request: impl FnOnce() -> RequestDigest) -> Standing {
        let request = self.digest_if_known(request);
        request.map_or(Standing::Unsuspected, |request| {
            self.ledger.borrow().standing(now, request)
        })
    }

    /// Returns an error when the request is refused because it crashes targets.
    pub fn judge(
        &self,
        cx: &Traffic,
        request: impl FnOnce() -> RequestDigest,
    ) -> Result<(), Refusal> {
        let now = cx.clock.now();
        let Standing::Refused { until } = self.verdict(now, request) else {
            return Ok(());
        };
        let detail = format!("{CRASHES_TO_REFUSE} targets crashed while running it");
        let refusal = Refusal::new(ErrorKind::EndsTargets, detail);
        Err(refusal.come_back_after(Duration::from_millis(until - now)))
    }

    /// True when the request has to run isolated.
    pub fn is_suspect(&self, cx: &Traffic, request: impl FnOnce() -> RequestDigest) -> bool {
        self.verdict(cx.clock.now(), request) != Standing::Unsuspected
    }

    /// Reports a crash of a target under a request of this entry.
    pub fn target_ended(&self, cx: &Rc<Traffic>, request: RequestDigest, run: BrokenRun) {
        let run = run.report(self.is_suspect(cx, || request));
        match cx.peers.owner_of(cx, &format!("{PREFIX}{request}")) {
            Owner::Me => self.count(cx, request, run),
            Owner::Peer(link) => link.send(Message::TargetEnded { request, run }),
        }
    }

    /// Counts a crash, at the entry that counts for the request.
    pub fn count(&self, cx: &Rc<Traffic>, request: RequestDigest, run: CrashedRunReport) {
        let now = cx.clock.now();
        let run = CrashedRun {
            sent: now.saturating_sub(run.sent_ms),
            ended: now.saturating_sub(run.ended_ms),
            was_suspect: run.was_suspect,
        };
        let counted = self.ledger.borrow_mut().crashed(now, request, run);
        let Some(crashes) = counted else { return };
        let verdict = self.ledger.borrow().standing(now, request);
        log_verdict(cx, request, verdict, format_args!("crashes={crashes}"));
        if crashes < CRASHES_TO_SET_APART {
            return;
        }
        broadcast(cx, request, verdict);
        if let Standing::Refused { until } = verdict {
            let lasts = Duration::from_millis(until - now);
            let refusal = NewRefusal { request, lasts };
            if let Err(err) = self.to_store.try_send(refusal) {
                log::warn!(
                    "cannot store the refusal of {request}: {err}; \
                     entries that start later will accept it"
                );
            }
        }
    }

    /// A peer sent its verdict on a request.
    pub fn on_verdict(&self, cx: &Rc<Traffic>, request: RequestDigest, notice: VerdictNotice) {
        let now = cx.clock.now();
        let verdict = match notice {
            VerdictNotice::Unsuspected => Standing::Unsuspected,
            VerdictNotice::Suspect => Standing::Suspect,
            VerdictNotice::Refused { for_ms } => Standing::Refused {
                until: now + for_ms,
            },
        };
        if self.ledger.borrow_mut().told(now, request, verdict) {
            log_verdict(cx, request, verdict, format_args!("from=peer"));
        }
    }

    /// Applies the difference between two lists of refusals in the store.
    pub fn apply_listed(&self, cx: &Traffic, before: &Refused, listed: &Refused) {
        let now = cx.clock.now();
        let new = listed.iter();
        let new = new.filter(|(request, _)| !before.contains_key(*request));
        for (request, until) in new {
            let verdict = Standing::Refused { until: *until };
            if self.ledger.borrow_mut().told(now, *request, verdict) {
                log_verdict(cx, *request, verdict, format_args!("from=store"));
            }
        }
        let removed = before
            .keys()
            .filter(|request| !listed.contains_key(*request));
        for request in removed {
            if self.ledger.borrow_mut().lifted(now, *request) {
                log_verdict(cx, *request, Standing::Suspect, format_args!("from=store"));
            }
        }
    }

    /// A request was completed: clears the suspicion.
    pub fn served(&self, cx: &Rc<Traffic>, request: impl FnOnce() -> RequestDigest) {
        let Some(request) = self.digest_if_known(request) else {
            return;
        };
        if self.ledger.borrow_mut().served(request) {
            log_verdict(
                cx,
                request,
                Standing::Unsuspected,
                format_args!("why=served"),
            );
            broadcast(cx, request, Standing::Unsuspected);
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
fn broadcast(cx: &Rc<Traffic>, request: RequestDigest, verdict: Standing) {
    let verdict = match verdict {
        Standing::Unsuspected => VerdictNotice::Unsuspected,
        Standing::Suspect => VerdictNotice::Suspect,
        Standing::Refused { until } => VerdictNotice::Refused {
            for_ms: until.saturating_sub(cx.clock.now()),
        },
    };
    for link in cx.peers.links_to_all(cx) {
        link.send(Message::Standing {
            request,
            standing: verdict,
        });
    }
}

fn log_verdict(
    cx: &Traffic,
    request: RequestDigest,
    verdict: Standing,
    inputs: std::fmt::Arguments<'_>,
) {
    let (name, for_ms) = match verdict {
        Standing::Unsuspected => ("unsuspected", 0),
        Standing::Suspect => ("suspect", 0),
        Standing::Refused { until } => ("refused", until.saturating_sub(cx.clock.now())),
    };
    let fields = format_args!("content={request} standing={name} for_ms={for_ms} {inputs}");
    cx.log.line(events::REQUEST_STANDING, fields);
}
