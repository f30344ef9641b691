//! What targets say of themselves in their answers.

use hollowsail_observe::events;
use hollowsail_platform::heads::{TargetHead, OTHER_INCARNATION};
use hollowsail_targets::Target;
use http::StatusCode;

use crate::traffic::Traffic;

/// Takes what the head of an answer says of its target.
pub fn take(cx: &Traffic, target: &Target, status: StatusCode, head: &TargetHead) {
    // Another start wrote it, of which it says nothing here.
    if status == OTHER_INCARNATION {
        return;
    }
    let id = &target.incarnation().id;
    if head.is_leaving {
        let fields = format_args!("target={id} by=answer status={}", status.as_u16());
        cx.log.line(events::TARGET_LEAVES, fields);
    }
    let rests = head
        .retry_after
        .filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
    if let Some(rests) = rests {
        let fields = format_args!("target={id} for_ms={}", rests.as_millis());
        cx.log.line(events::TARGET_RESTS, fields);
    }
}
