//! What follows when a worker ends in the middle of a call.
//!
//! A piece may end its worker, and goes down with all others of its call. Which one it
//! was isn't known, so the end counts for each of their requests ([`crate::crashes`]), and
//! a piece that meets a second one goes on alone.

use std::collections::BTreeSet;
use std::rc::Rc;

use hollowsail_clock::Moment;
use hollowsail_observe::events;
use hollowsail_routing::RequestDigest;
use hollowsail_stages::PieceKey;
use hollowsail_targets::Target;

use super::batcher::Batcher;
use super::call::Asked;
use crate::crashes::BrokenRun;
use crate::traffic::Traffic;

/// Workers that end under a piece until it shares no call with other requests'. With the
/// first one a whole call ends, of which one piece at most is to blame: made one by one at
/// once, the pieces of workers that ended for their own reasons come late.
const ENDED_TO_GO_ALONE: u32 = 2;

/// Finds out whether the worker of a call that broke off has ended. Then that counts for
/// each request of the call, as for all that an engine ran; a whole answer acquits.
pub(super) async fn look(
    cx: &Rc<Traffic>,
    batcher: &Batcher,
    target: &Rc<Target>,
    asked: &[Asked],
    sent: Moment,
) {
    let run = BrokenRun {
        sent,
        ended: Moment::now(),
    };
    if asked.is_empty() || !target.has_ended().await {
        return;
    }
    let requests: BTreeSet<RequestDigest> = asked.iter().map(|asked| asked.request).collect();
    for request in &requests {
        let fields = format_args!(
            "queue={} content={request} target={} requests={}",
            batcher.name(),
            target.incarnation().id,
            requests.len(),
        );
        cx.log.line(events::TARGET_ENDED, fields);
        cx.crashes.target_ended(cx, *request, run);
    }
    for asked in asked {
        count_end(batcher, asked.started.key, requests.len() == 1);
    }
}

/// Counts a worker's end for one of its pieces, which goes on alone after some.
fn count_end(batcher: &Batcher, piece: PieceKey, was_alone: bool) {
    let mut queue = batcher.queue.borrow_mut();
    let Some(job) = queue.job_mut(piece) else {
        return;
    };
    job.ended += 1;
    job.ended_alone += u32::from(was_alone);
    if job.ended >= ENDED_TO_GO_ALONE {
        queue.set_alone(piece);
    }
}
