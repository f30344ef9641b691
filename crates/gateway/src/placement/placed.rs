//! A generation on a desk's account, until it has ended.

use std::rc::Rc;

use hollowsail_routing::PlacementKey;
use hollowsail_targets::Target;

use super::Desk;
use crate::peers::{Link, Message, PlacementId, PlacementStep};
use crate::target_words;
use crate::traffic::Traffic;

/// Where the account is.
pub(super) enum Account {
    Here(Rc<Traffic>, Rc<Desk>, PlacementKey),
    Peer(Rc<Link>, PlacementId),
}

/// A generation that a desk placed. Dropped without another word, it is told as
/// given up.
pub struct Placed {
    account: Account,
    end: PlacementStep,
}

impl Placed {
    /// One that was just placed.
    pub(super) fn new(account: Account) -> Self {
        Placed {
            account,
            end: PlacementStep::Left,
        }
    }

    /// Its target answered: a desk elsewhere, which may have a new owner, hears again what
    /// the target says of how much it takes.
    pub fn answered(&self, cx: &Traffic, target: &Target) {
        if let Account::Peer(link, _) = &self.account {
            target_words::repeat_limit(cx, target, link);
        }
    }

    /// Its first event came.
    pub fn prompt_read(&self) {
        self.tell(PlacementStep::PromptRead);
    }

    /// It ends whole.
    pub fn whole(&mut self) {
        self.end = PlacementStep::Whole;
    }

    /// It ends without a good answer, and the engine is to blame.
    pub fn failed(&mut self) {
        self.end = PlacementStep::Failed;
    }

    fn tell(&self, step: PlacementStep) {
        match &self.account {
            Account::Here(cx, desk, key) => desk.step(cx, *key, step),
            Account::Peer(link, id) => link.send(Message::PlacementStep(*id, step)),
        }
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        self.tell(self.end);
    }
}
