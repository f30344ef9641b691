//! Worker crashes in the middle of a call.
//!
//! The piece of a call that caused a crash can't be identified, so the crash counts against
//! the requests of all its pieces ([`crate::crashes`]). A piece with a second
//! crash is isolated: it shares no more calls with other requests.

use std::collections::BTreeSet;
use std::rc::Rc;

use hollowsail_clock::BootInstant;
use hollowsail_observe::events;
use hollowsail_observe::text::Field;
use hollowsail_routing::RequestDigest;
use hollowsail_stages::PieceKey;
use hollowsail_targets::Target;

use super::batcher::Batcher;
use super::call::CallPiece;
use crate::crashes::InterruptedRun;
use crate::traffic::Traffic;

/// Worker crashes after which a piece is isolated. Isolation after the first one would delay
/// every piece of the call, of which at most one is the cause.
const CRASHES_TO_ISOLATE: u32 = 2;

/// Checks whether the worker of an interrupted call has crashed, and if so counts the crash
/// against each request of the call.
pub(super) async fn check_crash(
    cx: &Rc<Traffic>,
    batcher: &Batcher,
    target: &Rc<Target>,
    pieces: &[CallPiece],
    sent: BootInstant,
) {
    let run = InterruptedRun {
        sent,
        interrupted: BootInstant::now(),
    };
    if pieces.is_empty() || !target.has_crashed().await {
        return;
    }
    let requests: BTreeSet<RequestDigest> = pieces.iter().map(|piece| piece.request).collect();
    for request in &requests {
        let fields = format_args!(
            "queue={} content={request} target={} requests={}",
            Field(&batcher.name()),
            Field(&target.incarnation().id),
            requests.len()
        );
        cx.log.line(events::TARGET_ENDED, fields);
        cx.crashes.target_crashed(cx, *request, run);
    }
    for piece in pieces {
        record_crash(batcher, piece.started.key, requests.len() == 1);
    }
}

/// Counts a worker crash for one of its pieces and isolates the piece at the limit.
fn record_crash(batcher: &Batcher, piece: PieceKey, is_single_request: bool) {
    let mut queue = batcher.queue.borrow_mut();
    let Some(job) = queue.job_mut(piece) else {
        return;
    };
    job.crashes += 1;
    job.crashes_alone += u32::from(is_single_request);
    if job.crashes >= CRASHES_TO_ISOLATE {
        queue.isolate(piece);
    }
}
