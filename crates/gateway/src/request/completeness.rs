//! Whether an answer whose body ended without an error is complete.
//!
//! A length and a last chunk show that. Where only the connection marks the end, a process that
//! ends marks it, too, as its system closes its connections. Such an answer counts as complete if
//! its target is known to accept connections after it, also while the target leaves: nobody can tell
//! whether one that has ended did so before or after the end of its answer.

use std::rc::Rc;

use hollowsail_connect::{Framing, ProcessState};
use hollowsail_targets::Target;

use crate::answer::BodyFault;
use crate::traffic::Traffic;

/// Returns an error when a body with this framing may have been ended by the end of its target.
pub async fn check_end(
    cx: &Traffic,
    target: &Rc<Target>,
    framing: Framing,
) -> Result<(), BodyFault> {
    if framing != Framing::Connection {
        return Ok(());
    }
    let is_in_use = cx.target(target.incarnation()).is_some();
    match target.process_state().await {
        ProcessState::Running => Ok(()),
        ProcessState::Ended if is_in_use => Err(BodyFault::TargetCrashed),
        ProcessState::Ended | ProcessState::Unknown => Err(BodyFault::UnconfirmedEnd),
    }
}
