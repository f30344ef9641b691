//! Reports the state of the lists at regular intervals, whatever the loops that follow them do.

use std::rc::Rc;
use std::time::Duration;

use super::Control;

const INTERVAL: Duration = Duration::from_millis(500);

/// Reports until the thread ends.
pub async fn report(cx: Rc<Control>) {
    loop {
        tokio::time::sleep(INTERVAL).await;
        cx.lists.report(&cx.log, cx.clock.now(), cx.store.epoch());
    }
}
