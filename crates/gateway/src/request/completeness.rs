//! Whether an answer whose body ended without an error is complete.
//!
//! A length and a last chunk show that. Where only the connection marks the end, a process that
//! crashes marks it, too, as its system closes its connections. Such an answer counts as complete
//! if its target is known to accept connections, or was leaving and may have ended after it.

use std::rc::Rc;

use hollowsail_connect::{Framing, ProcessState};
use hollowsail_targets::Target;

use crate::answer::BodyFault;
use crate::traffic::Traffic;

/// Returns an error when a body with this framing may have been ended by a crash of its target.
pub async fn check_end(
    cx: &Traffic,
    target: &Rc<Target>,
    framing: Framing,
) -> Result<(), BodyFault> {
    let is_in_use = cx.target(target.incarnation()).is_some();
    if framing != Framing::Connection || !is_in_use {
        return Ok(());
    }
    match target.process_state().await {
        ProcessState::Running => Ok(()),
        ProcessState::Ended => Err(BodyFault::TargetCrashed),
        ProcessState::Unknown => Err(BodyFault::UnconfirmedEnd),
    }
}
