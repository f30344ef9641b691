//! Settles a book of records some time after the store's return.

use std::cell::RefCell;
use std::rc::Rc;

use hollowsail_fleet::TargetBook;

use super::source::Teller;
use super::Control;

/// A book of the control thread.
type BookOf<R> = fn(&Control) -> &RefCell<TargetBook<R>>;

impl Control {
    /// True when a record that went may come back, by the word of who tells of it.
    pub(super) fn is_unsettled<R: PartialEq>(
        &self,
        book: &RefCell<TargetBook<R>>,
        teller: Teller,
    ) -> bool {
        match teller {
            Teller::Store => book.borrow().is_unsettled(self.clock.now()),
            Teller::Reader { is_unsettled } => is_unsettled,
        }
    }

    /// A reader says that the store was away until lately, which this entry may not have
    /// noticed: it asks the store itself only now and then.
    pub(super) fn hear_of_outage(&self, teller: Teller) {
        if teller == (Teller::Reader { is_unsettled: true }) {
            let now = self.clock.now();
            self.book.borrow_mut().told_of_outage(now);
            self.peers.borrow_mut().told_of_outage(now);
        }
    }

    /// Drops records that a book still misses once the store's return is
    /// settled; `tell_gone` gets their keys.
    pub(super) fn settle_later<R>(
        self: &Rc<Self>,
        book: BookOf<R>,
        tell_gone: fn(&Control, &[String]),
    ) where
        R: PartialEq + 'static,
    {
        let known = book(self).borrow();
        let Some(at) = known
            .settles_at()
            .into_iter()
            .chain(known.outlived_at())
            .min()
        else {
            return;
        };
        drop(known);
        let cx = self.clone();
        actix_rt::spawn(async move {
            tokio::time::sleep_until(cx.clock.timer(at).into()).await;
            let now = cx.clock.now();
            let gone = book(&cx).borrow_mut().settle(now);
            let is_changed = book(&cx).borrow_mut().take_outlived(now);
            if !gone.is_empty() {
                tell_gone(&cx, &gone);
            }
            if is_changed || !gone.is_empty() {
                cx.publish();
            }
            // Some records have more time than others.
            cx.settle_later(book, tell_gone);
        });
    }
}
