//! Requests that end targets: who counts, who is told, and who refuses them.
//!
//! An entry whose answer broke off because its target ended reports that to the one
//! entry that counts for this request ([`Peers::owner_of`]). From the second target on
//! that one tells all entries, which run the request apart from others; at the third all
//! refuse it, and control writes the refusal to the platform's store, for entries that
//! start later. An entry that serves a suspect whole acquits it everywhere. The decisions
//! are those of [`CrashLedger`].
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
use crate::peers::{Message, Owner, RunAgo, ToldStanding};
use crate::traffic::Traffic;

/// Prefix of the store's keys under which refused requests lie; the rest of a key is the
/// request's digest.
pub const PREFIX: &str = "hollowsail/refused/";
/// Refusals that wait for control at most; more are told to the entries alone.
const MOST_WAITING: usize = 64;

/// Requests that are refused, and until when, in milliseconds since the start.
pub type Refused = BTreeMap<RequestDigest, Millis>;

/// What this entry knows of requests that end targets.
pub struct Crashes {
    ledger: RefCell<CrashLedger>,
    /// To control, which writes refusals to the store.
    to_store: mpsc::Sender<NewRefusal>,
}

/// A run that broke off since its target ended.
#[derive(Debug, Clone, Copy)]
pub struct BrokenRun {
    /// When the request was sent to the target.
    pub sent: Moment,
    /// When the answer broke off.
    pub ended: Moment,
}

impl BrokenRun {
    /// The same as peers are told it; `was_suspect` when the request was known as one.
    fn ago(&self, was_suspect: bool) -> RunAgo {
        RunAgo {
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
    /// For how long.
    pub lasts: Duration,
}

/// Where control takes the refusals that it writes to the store.
pub type ToStore = mpsc::Receiver<NewRefusal>;

impl Crashes {
    /// Nothing known yet, and the way to control.
    pub fn new() -> (Self, ToStore) {
        let (to_store, rx) = mpsc::channel(MOST_WAITING);
        let crashes = Crashes {
            ledger: RefCell::default(),
            to_store,
        };
        (crashes, rx)
    }

    /// The digest of a request, worked out only where anything is known of any request.
    fn if_any(&self, request: impl FnOnce() -> RequestDigest) -> Option<RequestDigest> {
        let is_empty = self.ledger.borrow().is_empty();
        (!is_empty).then(request)
    }

    /// What is known of a request.
    fn standing(&self, now: Millis, request: impl FnOnce() -> RequestDigest) -> Standing {
        let request = self.if_any(request);
        request.map_or(Standing::Unsuspected, |request| {
            self.ledger.borrow().standing(now, request)
        })
    }

    /// Refuses a request that ends targets.
    pub fn judge(
        &self,
        cx: &Traffic,
        request: impl FnOnce() -> RequestDigest,
    ) -> Result<(), Refusal> {
        let now = cx.clock.now();
        let Standing::Refused { until } = self.standing(now, request) else {
            return Ok(());
        };
        let detail = format!("{CRASHES_TO_REFUSE} targets ended while they ran it");
        let refusal = Refusal::new(ErrorKind::EndsTargets, detail);
        Err(refusal.come_back_after(Duration::from_millis(until - now)))
    }

    /// True when a request runs apart from others.
    pub fn is_suspect(&self, cx: &Traffic, request: impl FnOnce() -> RequestDigest) -> bool {
        self.standing(cx.clock.now(), request) != Standing::Unsuspected
    }

    /// A target ended while it ran a request of this entry.
    pub fn target_ended(&self, cx: &Rc<Traffic>, request: RequestDigest, run: BrokenRun) {
        let run = run.ago(self.is_suspect(cx, || request));
        match cx.peers.owner_of(cx, &format!("{PREFIX}{request}")) {
            Owner::Me => self.count(cx, request, run),
            Owner::Peer(link) => link.send(Message::TargetEnded { request, run }),
        }
    }

    /// Counts a target that ended under a request, here where that is counted.
    pub fn count(&self, cx: &Rc<Traffic>, request: RequestDigest, run: RunAgo) {
        let now = cx.clock.now();
        let run = CrashedRun {
            sent: now.saturating_sub(run.sent_ms),
            ended: now.saturating_sub(run.ended_ms),
            was_suspect: run.was_suspect,
        };
        let counted = self.ledger.borrow_mut().crashed(now, request, run);
        let Some(crashes) = counted else { return };
        let standing = self.ledger.borrow().standing(now, request);
        log_standing(cx, request, standing, format_args!("crashes={crashes}"));
        if crashes < CRASHES_TO_SET_APART {
            return;
        }
        tell_all(cx, request, standing);
        if let Standing::Refused { until } = standing {
            let lasts = Duration::from_millis(until - now);
            let refusal = NewRefusal { request, lasts };
            if let Err(err) = self.to_store.try_send(refusal) {
                log::warn!("the refusal of {request} isn't written to the store: {err}");
            }
        }
    }

    /// A peer tells what is known of a request.
    pub fn told(&self, cx: &Rc<Traffic>, request: RequestDigest, told: ToldStanding) {
        let now = cx.clock.now();
        let standing = match told {
            ToldStanding::Unsuspected => Standing::Unsuspected,
            ToldStanding::Suspect => Standing::Suspect,
            ToldStanding::Refused { for_ms } => Standing::Refused {
                until: now + for_ms,
            },
        };
        if self.ledger.borrow_mut().told(now, request, standing) {
            log_standing(cx, request, standing, format_args!("from=peer"));
        }
    }

    /// Takes what the store lists, after what it listed before: a refusal that went there
    /// is over, or was taken back.
    pub fn take_listed(&self, cx: &Traffic, before: &Refused, listed: &Refused) {
        let now = cx.clock.now();
        let new = listed.iter();
        let new = new.filter(|(request, _)| !before.contains_key(*request));
        for (request, until) in new {
            let standing = Standing::Refused { until: *until };
            if self.ledger.borrow_mut().told(now, *request, standing) {
                log_standing(cx, *request, standing, format_args!("from=store"));
            }
        }
        let gone = before
            .keys()
            .filter(|request| !listed.contains_key(*request));
        for request in gone {
            if self.ledger.borrow_mut().lifted(now, *request) {
                log_standing(cx, *request, Standing::Suspect, format_args!("from=store"));
            }
        }
    }

    /// A request was answered whole: it ends no target.
    pub fn served(&self, cx: &Rc<Traffic>, request: impl FnOnce() -> RequestDigest) {
        let Some(request) = self.if_any(request) else {
            return;
        };
        if self.ledger.borrow_mut().served(request) {
            log_standing(
                cx,
                request,
                Standing::Unsuspected,
                format_args!("why=served"),
            );
            tell_all(cx, request, Standing::Unsuspected);
        }
    }

    /// What is refused, with the time that is left, for a peer that the store turns away.
    pub fn refused(&self, cx: &Traffic) -> Vec<(RequestDigest, Millis)> {
        let now = cx.clock.now();
        let ledger = self.ledger.borrow();
        let refused = ledger.refused(now);
        refused
            .map(|(request, until)| (request, until - now))
            .collect()
    }
}

/// Tells every other entry what is known of a request.
fn tell_all(cx: &Rc<Traffic>, request: RequestDigest, standing: Standing) {
    let standing = match standing {
        Standing::Unsuspected => ToldStanding::Unsuspected,
        Standing::Suspect => ToldStanding::Suspect,
        Standing::Refused { until } => ToldStanding::Refused {
            for_ms: until.saturating_sub(cx.clock.now()),
        },
    };
    for link in cx.peers.links_to_all(cx) {
        link.send(Message::Standing { request, standing });
    }
}

fn log_standing(
    cx: &Traffic,
    request: RequestDigest,
    standing: Standing,
    inputs: std::fmt::Arguments<'_>,
) {
    let (name, for_ms) = match standing {
        Standing::Unsuspected => ("unsuspected", 0),
        Standing::Suspect => ("suspect", 0),
        Standing::Refused { until } => ("refused", until.saturating_sub(cx.clock.now())),
    };
    let fields = format_args!("content={request} standing={name} for_ms={for_ms} {inputs}");
    cx.log.line(events::REQUEST_STANDING, fields);
}
