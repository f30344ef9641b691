//! Pieces that one process has another one send, and repeats itself when the other fails or is lost.

use hollowsail_routing::repeats::{
    PassedOn, PassedOnEnd, RepeatBudget, RepeatReason, SendPermit, TrackedSend, Work,
};

use super::store::Run;
use super::world::World;
use super::{Defect, Millis, RULES};

/// A piece at the process that sends it.
struct Piece {
    work: u64,
    requester: Run,
    sender: Run,
    /// All sends, as the requester knows them.
    requested: Work,
    /// Absent once the requester has stopped waiting.
    passed_on: Option<PassedOn>,
    /// All sends of the sender.
    sent: Work,
    /// Permits the sender's first send.
    permit: Option<SendPermit>,
    /// When it was sent.
    sent_at: Option<Millis>,
}

/// A send of another process that may still arrive.
struct Unsettled {
    requester: Run,
    sender: Run,
    send: TrackedSend,
    /// All sends of the sender.
    sent: Work,
}

#[derive(Default)]
pub struct Pieces {
    pieces: Vec<Piece>,
    unsettled: Vec<Unsettled>,
}

impl World {
    fn run_of(&self, host: usize) -> Option<Run> {
        let process = self.hosts[host].as_ref();
        process
            .filter(|process| !process.is_paused)
            .map(|process| process.run)
    }

    fn host_of(&self, run: Run) -> Option<usize> {
        let is_run = |host: &usize| self.run_of(*host) == Some(run);
        (0..self.hosts.len()).find(is_run)
    }

    pub fn pass(&mut self, from: usize, to: usize, count: usize) {
        let (Some(requester), Some(sender)) = (self.run_of(from), self.run_of(to)) else {
            return;
        };
        if requester == sender {
            return;
        }
        let clock_of = |host: usize| {
            let process = self.hosts[host].as_ref();
            process.map_or(0, |process| process.clock(self.now))
        };
        let (requester_clock, sender_clock) = (clock_of(from), clock_of(to));
        for _ in 0..count {
            let permit = RepeatBudget::first_of_piece(requester_clock);
            let requested = permit.work().clone();
            let sent = Work::default();
            let piece = Piece {
                work: self.new_work(),
                requester,
                sender,
                requested,
                passed_on: Some(PassedOn::begin(requester_clock, permit)),
                permit: Some(SendPermit::from_peer(sender_clock, &sent)),
                sent_at: None,
                sent,
            };
            self.pieces.pieces.push(piece);
        }
    }

    pub fn send_passed(&mut self, host: usize, still: bool) {
        let Some(run) = self.run_of(host) else { return };
        let Some(clock) = self.clock_of(run) else {
            return;
        };
        let mut pieces = std::mem::take(&mut self.pieces.pieces);
        pieces.retain_mut(|piece| {
            let permit = match piece.sender == run {
                true => piece.permit.take(),
                false => None,
            };
            let Some(permit) = permit else { return true };
            let send = permit.send().clone();
            send.begin(clock, false);
            piece.sent_at = Some(self.now);
            if still {
                self.leave_unread(run, piece.work, send);
                return true;
            }
            send.settle();
            self.arrivals.record(self.now, piece.work);
            self.end_passed_on(piece, PassedOnEnd::Done);
            false
        });
        self.pieces.pieces = pieces;
    }

    fn clock_of(&self, run: Run) -> Option<u64> {
        let processes = self.hosts.iter().flatten();
        let process = processes.into_iter().find(|process| process.run == run)?;
        Some(process.clock(self.now))
    }

    /// Ends the requester's wait for a piece, and has it sent once more if it may be.
    fn end_passed_on(&mut self, piece: &mut Piece, end: PassedOnEnd) {
        let Some(passed_on) = piece.passed_on.take() else {
            return;
        };
        let Some(clock) = self.clock_of(piece.requester) else {
            return;
        };
        if let Some(send) = passed_on.end(clock, end) {
            self.pieces.unsettled.push(Unsettled {
                requester: piece.requester,
                sender: piece.sender,
                send,
                sent: piece.sent.clone(),
            });
        }
        let requester = self.host_of(piece.requester);
        let Some(process) = requester.and_then(|host| self.hosts[host].as_mut()) else {
            return;
        };
        let permit = match end {
            PassedOnEnd::Done => None,
            PassedOnEnd::Unsent => Some(SendPermit::from_peer(clock, &piece.requested)),
            PassedOnEnd::Unsettled => {
                process.repeat(clock, RepeatReason::OwnerLost, &piece.requested)
            }
        };
        if let Some(permit) = permit {
            permit.send().begin(clock, false);
            permit.send().settle();
            self.arrivals.record(self.now, piece.work);
        }
    }

    /// Settles the last of the requester's sends without a proof, if the code is played like that.
    fn settle_if(&mut self, defect: Defect) {
        if self.defect == Some(defect) {
            if let Some(unsettled) = self.pieces.unsettled.pop() {
                unsettled.send.settle();
            }
        }
    }

    /// The sender repeats what targets haven't read, or leaves that to the requesters.
    pub fn give_up(&mut self, host: usize) {
        let Some(run) = self.run_of(host) else { return };
        let (now, defect) = (self.now, self.defect);
        let pieces = std::mem::take(&mut self.pieces.pieces);
        let is_given_up = |piece: &Piece| piece.sender == run && piece.permit.is_none();
        let (given_up, kept): (Vec<Piece>, _) = pieces.into_iter().partition(is_given_up);
        self.pieces.pieces = kept;
        for mut piece in given_up {
            let Some(process) = self.hosts[host].as_mut() else {
                return;
            };
            let clock = process.clock(now);
            let permit = process.repeat(clock, RepeatReason::CallFailed, &piece.sent);
            match permit {
                Some(permit) => {
                    permit.send().begin(clock, false);
                    permit.send().settle();
                    self.arrivals.record(now, piece.work);
                    self.end_passed_on(&mut piece, PassedOnEnd::Done);
                }
                None => {
                    if defect == Some(Defect::UncoveredCharges) {
                        let any_share = f64::MAX;
                        process.budget.cover(clock, RULES, any_share, &piece.sent);
                    }
                    let is_awaited = piece.passed_on.is_some();
                    self.end_passed_on(&mut piece, PassedOnEnd::Unsettled);
                    if is_awaited {
                        self.settle_if(Defect::UncoveredCharges);
                    }
                }
            }
        }
    }

    /// The requesters of a process that has ended know what it had sent.
    pub fn end_pieces_of(&mut self, run: Run) {
        let pieces = std::mem::take(&mut self.pieces.pieces);
        let (ended, kept): (Vec<Piece>, _) =
            pieces.into_iter().partition(|piece| piece.sender == run);
        self.pieces.pieces = kept;
        for mut piece in ended {
            let has_notice = self.defect != Some(Defect::LateNotices);
            let is_known = piece.sent_at.is_some_and(|at| has_notice || at < self.now);
            let end = match is_known {
                false => PassedOnEnd::Unsent,
                true => PassedOnEnd::Unsettled,
            };
            let is_awaited = piece.passed_on.is_some();
            self.end_passed_on(&mut piece, end);
            if end == PassedOnEnd::Unsettled && is_awaited {
                self.settle_if(Defect::EndedIsSettled);
            }
        }
    }

    /// The requesters repeat what a process has, which goes on with it.
    pub fn lose_touch(&mut self, host: usize) {
        let Some(process) = &self.hosts[host] else {
            return;
        };
        let run = process.run;
        let mut pieces = std::mem::take(&mut self.pieces.pieces);
        let lost = pieces.iter_mut().filter(|piece| piece.sender == run);
        lost.for_each(|piece| self.end_passed_on(piece, PassedOnEnd::Unsettled));
        self.pieces.pieces.append(&mut pieces);
    }

    /// Requesters in touch with a process again have it drop their pieces, and charge what it has sent.
    pub fn ask(&mut self, host: usize) {
        let Some(run) = self.run_of(host) else { return };
        let heard_is_settled = self.defect == Some(Defect::HeardIsSettled);
        if !heard_is_settled {
            self.pieces
                .pieces
                .retain(|piece| piece.sender != run || piece.passed_on.is_some());
        }
        let requesters: Vec<Run> = (0..self.hosts.len())
            .filter_map(|host| self.run_of(host))
            .collect();
        let Some(process) = self.hosts[host].as_mut() else {
            return;
        };
        let clock = process.clock(self.now);
        let share = process.share.at(clock);
        self.pieces.unsettled.retain(|unsettled| {
            if unsettled.sender != run || !requesters.contains(&unsettled.requester) {
                return true;
            }
            let budget = &mut process.budget;
            let is_settled = heard_is_settled || budget.cover(clock, RULES, share, &unsettled.sent);
            if is_settled {
                unsettled.send.settle();
                process.share.raise_charged(budget.charged(), budget.held());
            }
            !is_settled
        });
    }
}
