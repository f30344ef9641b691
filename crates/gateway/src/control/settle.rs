//! Settles a book of records some time after the store's return.

use std::cell::RefCell;
use std::rc::Rc;

use hollowsail_fleet::TargetBook;

use super::Control;

/// A book of the control thread.
type BookOf<R> = fn(&Control) -> &RefCell<TargetBook<R>>;

impl Control {
    /// Drops records that a book still misses once the store's return is
    /// settled; `tell_gone` gets their keys.
    pub(super) fn settle_later<R>(
        self: &Rc<Self>,
        book: BookOf<R>,
        tell_gone: fn(&Control, &[String]),
    ) where
        R: PartialEq + 'static,
    {
        let Some(at) = book(self).borrow().settles_at() else {
            return;
        };
        let cx = self.clone();
        actix_rt::spawn(async move {
            tokio::time::sleep_until(cx.clock.moment(at).into()).await;
            let gone = book(&cx).borrow_mut().settle(cx.clock.now());
            if !gone.is_empty() {
                tell_gone(&cx, &gone);
                cx.publish();
            }
        });
    }
}
