//! Processes on hosts, the store that they share, and targets that may stand still.

use hollowsail_fleet::quota::{self, Quota};
use hollowsail_routing::repeats::{
    RepeatBudget, RepeatReason, RetiredUnits, SendPermit, Share, TrackedSend, Work,
};
use rand::rngs::SmallRng;
use rand::SeedableRng;

use super::arrivals::Arrivals;
use super::pieces::Pieces;
use super::store::{Lease, Link, Run, Store};
use super::{Defect, Millis, Press, Step, RULES, TIMING};

/// Time between two rounds of calls of a process, and between two steps of the model, in milliseconds.
const ROUND_MS: Millis = 1_000;
const TICK_MS: Millis = 250;
/// How long a process goes on after a planned stop began.
const GRACE_MS: Millis = 8_000;
/// Longest time that sends stay unread.
const MAX_UNREAD_MS: Millis = 50_000;
/// Longest time that a permit waits.
const MAX_PERMIT_WAIT_MS: Millis = 150_000;
/// How much faster than others, or slower, clocks run, in parts of a thousand.
const CLOCK_RATES: [u64; 3] = [1_000, 990, 1_010];

/// One process. Its clock starts with it.
pub(super) struct Process {
    pub run: Run,
    started: Millis,
    /// Milliseconds that its clock counts in a second.
    clock_rate: u64,
    lease: Option<Lease>,
    quota: Quota,
    pub share: Share,
    pub budget: RepeatBudget,
    /// Hosts that it takes to exist.
    believed_hosts: usize,
    link: Link,
    pub is_paused: bool,
    /// When its planned stop began.
    stopping: Option<Millis>,
    next_round: Millis,
    /// Permits that were granted and are used later, with the work that they are for.
    waiting: Vec<(SendPermit, u64, Millis)>,
    /// Requests that callers sent while it was paused.
    unread: Vec<Press>,
    /// When it had last read all that callers had sent.
    read_until: Millis,
}

impl Process {
    /// Its clock at this time.
    pub fn clock(&self, now: Millis) -> Millis {
        (now - self.started) * self.clock_rate / 1_000
    }

    /// Permits work to be sent again, if its share covers that.
    pub fn repeat(
        &mut self,
        clock: Millis,
        reason: RepeatReason,
        work: &Work,
    ) -> Option<SendPermit> {
        let share = self.share.at(clock);
        let permit = self.budget.repeat(clock, RULES, share, reason, work)?;
        let budget = &self.budget;
        self.share.raise_charged(budget.charged(), budget.held());
        Some(permit.with_expiry(self.share.until()))
    }
}

/// A send that its target hasn't read.
struct Unread {
    send: TrackedSend,
    work: u64,
    /// When it arrives at the latest.
    due: Millis,
    /// The target stands still; else it reads the send when that is due.
    is_abandoned: bool,
    /// Its process, while it runs, hears when the target reads it.
    run: Run,
}

/// Everything that runs.
pub struct World {
    pub(super) now: Millis,
    extra: f64,
    store: Store,
    pub(super) hosts: Vec<Option<Process>>,
    unread: Vec<Unread>,
    pub(super) pieces: Pieces,
    pub arrivals: Arrivals,
    next_run: u64,
    next_work: u64,
    pub(super) defect: Option<Defect>,
    rng: SmallRng,
}

impl World {
    pub fn new(hosts: usize, extra: f64, defect: Option<Defect>) -> Self {
        World {
            now: 1_000_000,
            extra,
            store: Store::new(defect),
            hosts: (0..hosts).map(|_| None).collect(),
            unread: Vec::new(),
            pieces: Pieces::default(),
            arrivals: Arrivals::default(),
            next_run: 0,
            next_work: 0,
            defect,
            rng: SmallRng::seed_from_u64(7),
        }
    }

    pub fn apply(&mut self, step: Step) {
        let hosts = self.hosts.len();
        match step {
            Step::Wait(ms) => self.wait(ms),
            Step::Start(host) => self.start(host % hosts),
            Step::Kill(host) => self.end(host % hosts),
            Step::Stop(host) => self.stop(host % hosts),
            Step::Pause(host) => self.with(host, |process| process.is_paused = true),
            Step::Resume(host) => {
                self.with(host, |process| process.is_paused = false);
                self.send_waiting(host % hosts);
                self.read_requests(host % hosts);
            }
            Step::Round(host) => self.run_extra_round(host % hosts),
            Step::Believe(host, count) => {
                self.with(host, |process| process.believed_hosts = count);
            }
            Step::SetLink(host, link) => self.with(host, |process| process.link = link),
            Step::SetStore(is_up) => self.store.is_up = is_up,
            Step::Restore(lost, keeps_leases) => {
                self.store.restore(self.now, lost, keeps_leases);
            }
            Step::Press(host, press) => self.press(host % hosts, press),
            Step::ReadAll => self.read(true),
            Step::Pass(from, to, count) => self.pass(from % hosts, to % hosts, count),
            Step::SendPassed(host, still) => self.send_passed(host % hosts, still),
            Step::GiveUp(host) => self.give_up(host % hosts),
            Step::LoseTouch(host) => self.lose_touch(host % hosts),
            Step::Ask(host) => self.ask(host % hosts),
        }
    }

    fn with(&mut self, host: usize, change: impl FnOnce(&mut Process)) {
        let index = host % self.hosts.len();
        if let Some(process) = &mut self.hosts[index] {
            change(process);
        }
    }

    fn start(&mut self, host: usize) {
        self.end(host);
        self.next_run += 1;
        let running = self.hosts.iter().flatten().count();
        self.hosts[host] = Some(Process {
            run: Run(self.next_run),
            started: self.now,
            clock_rate: CLOCK_RATES[host % CLOCK_RATES.len()],
            lease: None,
            quota: Quota::new(TIMING),
            share: Share::default(),
            budget: RepeatBudget::default(),
            believed_hosts: running + 1,
            link: Link::Up,
            is_paused: false,
            stopping: None,
            next_round: self.now,
            waiting: Vec::new(),
            unread: Vec::new(),
            read_until: self.now,
        });
        self.run_round(host, false);
    }

    /// The process is gone. What it sent arrives all the same.
    fn end(&mut self, host: usize) {
        if let Some(process) = self.hosts[host].take() {
            self.store.forget(process.lease);
            self.end_pieces_of(process.run);
        }
    }

    fn stop(&mut self, host: usize) {
        let Some(process) = &mut self.hosts[host] else {
            return;
        };
        if process.stopping.is_none() && !process.is_paused {
            process.stopping = Some(self.now);
        }
    }

    fn wait(&mut self, ms: Millis) {
        let until = self.now + ms;
        while self.now < until {
            self.now = (self.now + TICK_MS).min(until);
            let now = self.now;
            self.store.tick(now);
            self.read(false);
            for host in 0..self.hosts.len() {
                self.tick_process(host);
            }
        }
    }

    fn tick_process(&mut self, host: usize) {
        let Some(process) = &mut self.hosts[host] else {
            return;
        };
        let waits = process.waiting.first().map(|(_, _, since)| *since);
        if waits.is_some_and(|since| since + MAX_PERMIT_WAIT_MS <= self.now) {
            process.is_paused = false;
        }
        if process.is_paused {
            return;
        }
        if process.stopping.is_some_and(|at| at + GRACE_MS <= self.now) {
            self.send_waiting(host);
            self.run_round(host, true);
            return self.end(host);
        }
        let is_due = process.next_round <= self.now;
        self.send_waiting(host);
        self.read_requests(host);
        let now = self.now;
        self.with(host, |process| process.read_until = now);
        if is_due {
            self.run_round(host, false);
        }
    }

    fn run_extra_round(&mut self, host: usize) {
        let process = self.hosts[host].as_ref();
        if process.is_some_and(|process| !process.is_paused) {
            self.run_round(host, false);
        }
    }

    fn run_round(&mut self, host: usize, is_last: bool) {
        let Some(process) = &mut self.hosts[host] else {
            return;
        };
        let clock = process.clock(self.now);
        process.next_round = self.now + ROUND_MS;
        process.budget.update(clock, RULES);
        match self.defect {
            Some(Defect::ChargedUnitsGivenUp) => process.share.set_charged(0.0, 0),
            // Traffic doesn't say it once more before a process ends.
            _ if is_last => {}
            _ => process
                .share
                .set_charged(process.budget.charged(), process.budget.held()),
        }
        let total = self.extra as u32;
        let part = quota::target(total, process.believed_hosts);
        let target = match process.share.is_pressed() {
            true => quota::pressed_target(total, process.believed_hosts),
            false => part,
        };
        if is_last {
            let RetiredUnits { spare, settled } = process.share.retire();
            process.quota.begin_last_round(spare, settled);
        } else {
            let surplus = process.quota.surplus(total, target);
            process.quota.give_up(process.share.give_up(surplus));
            process.quota.begin_round(total, part, target);
        }
        while let Some(call) = process.quota.next_call(clock, &mut self.rng) {
            let (store, run) = (&mut self.store, process.run);
            let reply = store.call(self.now, process.link, run, &mut process.lease, &call);
            let epoch = store.epoch;
            let is_heard = process.link == Link::Up && store.is_up;
            if is_heard {
                let is_restored = epoch > 1 && self.defect != Some(Defect::RestoresIgnored);
                process.quota.record_epoch(clock, epoch, is_restored);
            }
            process
                .quota
                .record_reply(clock, clock, epoch, &call, reply);
        }
        let usable = process.quota.usable(clock);
        let (units, until) = match self.defect {
            Some(Defect::UsedWithoutLease) => (process.quota.held(), Millis::MAX),
            _ => (usable.count, usable.until),
        };
        process.share.set_units(units, until);
    }

    /// Callers send requests.
    fn press(&mut self, host: usize, press: Press) {
        let now = self.now;
        let Some(process) = &mut self.hosts[host] else {
            return;
        };
        for _ in 0..press.requests {
            self.arrivals.request(now);
        }
        if process.is_paused {
            return process.unread.push(press);
        }
        self.serve(host, press);
    }

    /// Reads what callers sent while the process was paused.
    fn read_requests(&mut self, host: usize) {
        let process = self.hosts[host].as_mut();
        let unread = process.map(|process| std::mem::take(&mut process.unread));
        for press in unread.into_iter().flatten() {
            let permits_wait = false;
            self.serve(
                host,
                Press {
                    permits_wait,
                    ..press
                },
            );
        }
    }

    /// Sends requests that were read, and repeats them as often as wanted and permitted.
    fn serve(&mut self, host: usize, press: Press) {
        let (now, extra) = (self.now, self.extra);
        let running = self.hosts.iter().flatten().count();
        let Some(process) = &mut self.hosts[host] else {
            return;
        };
        let clock = process.clock(now);
        let sent_at = match self.defect {
            Some(Defect::ReadIsSent) => clock,
            _ => process.clock(process.read_until),
        };
        for _ in 0..press.requests {
            self.next_work += 1;
            let work_id = self.next_work;
            let first = process.budget.first_of_request(clock, sent_at, RULES);
            let work = first.work().clone();
            let mut permit = first;
            for attempt in 0..=press.repeats {
                if press.permits_wait && attempt == press.repeats && attempt > 0 {
                    process.waiting.push((permit, work_id, now));
                    break;
                }
                let send = permit.send().clone();
                send.begin(clock, false);
                let is_abandoned = press.unread & (1 << attempt) != 0;
                if is_abandoned {
                    send.abandon(clock);
                }
                if is_abandoned && self.defect == Some(Defect::AbandonedIsGone) {
                    send.settle();
                }
                if !is_abandoned && press.late_ms == 0 {
                    send.settle();
                    self.arrivals.record(now, work_id);
                } else {
                    let late_ms = match is_abandoned {
                        true => MAX_UNREAD_MS,
                        false => press.late_ms,
                    };
                    self.unread.push(Unread {
                        send,
                        work: work_id,
                        due: now + late_ms,
                        is_abandoned,
                        run: process.run,
                    });
                }
                if attempt == press.repeats {
                    break;
                }
                let reason = RepeatReason::AttemptFailed;
                let granted = match self.defect {
                    Some(Defect::SharedByKnownHosts) => {
                        let share = 0.6 * extra / running as f64;
                        process.budget.repeat(clock, RULES, share, reason, &work)
                    }
                    _ => process.repeat(clock, reason, &work),
                };
                let Some(granted) = granted else { break };
                permit = granted;
            }
        }
        if press.permits_wait && !process.waiting.is_empty() {
            process.is_paused = true;
        }
    }

    /// Uses the permits that have waited.
    fn send_waiting(&mut self, host: usize) {
        let Some(process) = &mut self.hosts[host] else {
            return;
        };
        let clock = process.clock(self.now);
        let lasts = self.defect == Some(Defect::PermitsLast);
        for (permit, work, _) in process.waiting.drain(..) {
            if !permit.is_valid(clock) && !lasts {
                continue;
            }
            permit.send().begin(clock, false);
            permit.send().settle();
            self.arrivals.record(self.now, work);
        }
    }

    /// A number for new work.
    pub(super) fn new_work(&mut self) -> u64 {
        self.next_work += 1;
        self.next_work
    }

    /// A target that stands still gets work.
    pub(super) fn leave_unread(&mut self, run: Run, work: u64, send: TrackedSend) {
        self.unread.push(Unread {
            send,
            work,
            due: self.now + MAX_UNREAD_MS,
            is_abandoned: true,
            run,
        });
    }

    /// Targets read what is due, or everything; the processes that sent it learn that.
    fn read(&mut self, is_all: bool) {
        let now = self.now;
        let is_read = |unread: &Unread| unread.due <= now || is_all && unread.is_abandoned;
        let (read, unread): (Vec<Unread>, _) = self.unread.drain(..).partition(is_read);
        self.unread = unread;
        for unread in read {
            self.arrivals.record(unread.due.min(now), unread.work);
            let mut processes = self.hosts.iter().flatten();
            if processes.any(|process| process.run == unread.run) {
                unread.send.settle();
            }
        }
    }
}
