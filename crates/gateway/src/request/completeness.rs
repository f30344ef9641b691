//! Whether an answer whose body ended without an error is complete.
//!
//! A length and a last chunk show that. Where only the connection marks the end, a process that
//! crashes marks it, too, as its system closes its connections. Such an answer counts as complete
//! if its target still accepts connections, or was leaving and may have ended after it.

use std::rc::Rc;

use hollowsail_connect::Framing;
use hollowsail_targets::Target;

use crate::traffic::Traffic;

/// True when a body with this framing was ended by a crash of its target.
pub async fn was_ended_by_crash(cx: &Traffic, target: &Rc<Target>, framing: Framing) -> bool {
    let is_in_use = cx.target(target.incarnation()).is_some();
    framing == Framing::Connection && is_in_use && target.has_crashed().await
}
