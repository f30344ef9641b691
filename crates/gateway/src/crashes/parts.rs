//! Parts of prompts that crash targets.
//!
//! An entry whose answer broke off with its target, soon after it began, reports the shared parts of
//! its prompt to the entry that gathers the evidence of the service ([`Peers::owner_of`]). That one
//! asks all others whether a suspected part passed lately, and decides ([`PartLedger`]). A part that
//! was refused is tried by one request at a time, with a permit of the same entry ([`Trial`]).
//!
//! [`Peers::owner_of`]: crate::peers::Peers::owner_of

use std::fmt::Arguments;
use std::rc::Rc;
use std::time::Duration;

use hollowsail_clock::BootInstant;
use hollowsail_fleet::rendezvous;
use hollowsail_observe::ErrorKind;
use hollowsail_platform::headers::Generation;
use hollowsail_routing::crashes::parts::{BEGINNING_MS, CONTROL_MS, PASS_MEMORY_MS};
use hollowsail_routing::crashes::requests::MAX_REFUSAL_MS;
use hollowsail_routing::crashes::{
    CrashKey, CrashedAnswer, CrashedPart, PartEvidence, PartLedger, TrialDecision,
};
use hollowsail_routing::{CrashVerdict, Millis, RequestDigest};
use hollowsail_targets::Target;

use super::messages::{
    CrashedAnswerReport, CrashedPartReport, PartCall, PartMessage, ServicePart, TrialReply,
};
use super::{broadcast, log_verdict, Crashes, InterruptedRun, NewRefusal, RefusalChange, PREFIX};
use crate::answer::Refusal;
use crate::batched_calls::NoReply;
use crate::peers::Owner;
use crate::traffic::Traffic;

/// Retry-After where the entry that grants trials doesn't reply: another one does soon.
const NO_OWNER_RETRY_MS: Millis = 1_000;

/// The shared parts of a request's prompt, as they count for the service that answers it.
#[derive(Debug, Clone, Default)]
pub struct PromptParts {
    service: String,
    parts: Vec<SharedPart>,
}

#[derive(Debug, Clone)]
struct SharedPart {
    digest: RequestDigest,
    /// Its id as it is logged.
    label: String,
}

/// Maximum number of parts of a prompt that crashes are counted for.
const MAX_PARTS: usize = 32;
/// Maximum length of a part's id that is logged.
const MAX_LABEL: usize = 32;

impl PromptParts {
    pub fn new(service: &str, generation: Option<&Generation>) -> Self {
        let shared = generation.map_or(&[][..], |generation| generation.shared_parts());
        let parts = shared.iter().take(MAX_PARTS).map(|part| SharedPart {
            digest: RequestDigest::of_part(service, &part.id),
            label: label_of(&part.id),
        });
        PromptParts {
            service: service.to_string(),
            parts: parts.collect(),
        }
    }

    /// Ids of the parts, for the log.
    pub fn labels(&self) -> String {
        let labels: Vec<&str> = self.parts.iter().map(|part| part.label.as_str()).collect();
        labels.join(",")
    }

    fn digests(&self) -> impl Iterator<Item = RequestDigest> + '_ {
        self.parts.iter().map(|part| part.digest)
    }
}

/// Callers choose the ids of parts: only short hexadecimal ones are logged.
fn label_of(id: &str) -> String {
    let is_plain = id.len() <= MAX_LABEL && id.bytes().all(|byte| byte.is_ascii_hexdigit());
    let label = if is_plain { id } else { "?" };
    label.to_string()
}

/// Permission to try a part that was refused; ends when dropped.
pub struct Trial {
    cx: Rc<Traffic>,
    part: ServicePart,
}

impl Drop for Trial {
    fn drop(&mut self) {
        let part = self.part.clone();
        match owner_of(&self.cx, &part.service) {
            Owner::Me => self.cx.crashes.end_trial(&part),
            Owner::Peer(link) => link.parts.send(PartMessage::EndTrial(part)),
        }
    }
}

/// The entry that gathers the evidence on a service's prompts.
fn owner_of(cx: &Rc<Traffic>, service: &str) -> Owner {
    cx.peers.owner_of(cx, &format!("{PREFIX}{service}"))
}

impl Crashes {
    /// Returns an error when a part of a prompt is refused because it crashes targets.
    pub fn check_parts(&self, cx: &Traffic, prompt: &PromptParts) -> Result<(), Refusal> {
        let now = cx.clock.now();
        let ledger = self.ledger.borrow();
        let verdicts = prompt.digests().map(|part| ledger.verdict(now, part));
        let until = verdicts.filter_map(|verdict| match verdict {
            CrashVerdict::Refused { until } => Some(until),
            _ => None,
        });
        match until.max() {
            Some(until) => Err(refusal(until - now)),
            None => Ok(()),
        }
    }

    /// True when a part of a prompt is suspected of crashing targets.
    pub fn has_suspect_part(&self, cx: &Traffic, prompt: &PromptParts) -> bool {
        let (now, ledger) = (cx.clock.now(), self.ledger.borrow());
        let mut parts = prompt.digests();
        parts.any(|part| ledger.verdict(now, part) != CrashVerdict::Unsuspected)
    }

    /// Records a whole answer of a target, or that it has gone on for long.
    pub fn record_passed(
        &self,
        cx: &Rc<Traffic>,
        prompt: &PromptParts,
        target: &Target,
        is_whole: bool,
    ) {
        let now = cx.clock.now();
        let mut passes = self.passes.borrow_mut();
        if is_whole {
            passes.record_answer(now, &target.record.service, &target.record.version);
        }
        prompt
            .digests()
            .for_each(|part| passes.record_part(now, part));
        drop(passes);
        for part in prompt.digests() {
            if self.ledger.borrow().verdict(now, part) != CrashVerdict::Unsuspected {
                self.report_pass(cx, service_part(prompt, part), 0);
            }
        }
    }

    /// Reports a crash of a target under a request of this entry that it had begun to answer.
    pub fn answer_crashed(
        &self,
        cx: &Rc<Traffic>,
        prompt: &PromptParts,
        target: &Target,
        run: InterruptedRun,
        begun: BootInstant,
    ) {
        let answering = run.interrupted.saturating_since(begun).as_millis() as Millis;
        if prompt.parts.is_empty() || answering > BEGINNING_MS {
            return;
        }
        let now = cx.clock.now();
        let passes = self.passes.borrow();
        let sent = cx.clock.millis_at(run.sent);
        let crashed_at = cx.clock.millis_at(run.interrupted);
        let record = &target.record;
        let part_report = |part: &SharedPart| CrashedPartReport {
            digest: part.digest,
            label: part.label.clone(),
            passed_ms: passes
                .last_pass(now, part.digest)
                .map(|at| now.saturating_sub(at)),
            was_suspect: self.ledger.borrow().verdict(now, part.digest)
                != CrashVerdict::Unsuspected,
        };
        let report = CrashedAnswerReport {
            service: prompt.service.clone(),
            crash: rendezvous::score(&record.incarnation.id, record.incarnation.started),
            sent_ms: now.saturating_sub(sent),
            ended_ms: now.saturating_sub(crashed_at),
            controls: passes.answers_since(
                crashed_at.saturating_sub(CONTROL_MS),
                &record.service,
                &record.version,
            ),
            parts: prompt.parts.iter().map(part_report).collect(),
        };
        drop(passes);
        match owner_of(cx, &prompt.service) {
            Owner::Me => self.count_answer(cx, report),
            Owner::Peer(link) => link.parts.send(PartMessage::Crashed(report)),
        }
    }

    /// Handles messages of a peer. Returns a reply for each that expects one.
    pub fn handle_part_call(&self, cx: &Rc<Traffic>, call: PartCall) -> Vec<TrialReply> {
        let messages = call.requests.into_iter();
        let replies = messages.filter_map(|message| match message {
            PartMessage::Crashed(report) => {
                self.count_answer(cx, report);
                None
            }
            PartMessage::Passed { part, passed_ms } => {
                self.on_pass(cx, &part, passed_ms);
                None
            }
            PartMessage::Suspected(part) => {
                self.report_recent_pass(cx, part);
                None
            }
            PartMessage::BeginTrial(part) => Some(self.begin_trial(cx, &part)),
            PartMessage::EndTrial(part) => {
                self.end_trial(&part);
                None
            }
        });
        replies.collect()
    }

    /// Reports the last pass of a part that another entry suspects.
    fn report_recent_pass(&self, cx: &Rc<Traffic>, part: ServicePart) {
        let now = cx.clock.now();
        let passed_at = self.passes.borrow().last_pass(now, part.digest);
        if let Some(passed_at) = passed_at {
            self.report_pass(cx, part, now.saturating_sub(passed_at));
        }
    }

    fn report_pass(&self, cx: &Rc<Traffic>, part: ServicePart, passed_ms: Millis) {
        match owner_of(cx, &part.service) {
            Owner::Me => self.on_pass(cx, &part, passed_ms),
            Owner::Peer(link) => link.parts.send(PartMessage::Passed { part, passed_ms }),
        }
    }

    /// Counts a crash for the parts of an answer.
    fn count_answer(&self, cx: &Rc<Traffic>, report: CrashedAnswerReport) {
        let now = cx.clock.now();
        let answer = CrashedAnswer {
            crash: CrashKey(report.crash),
            sent: now.saturating_sub(report.sent_ms),
            crashed_at: now.saturating_sub(report.ended_ms),
            controls: report.controls,
        };
        for crashed in report.parts {
            let part = ServicePart {
                service: report.service.clone(),
                digest: crashed.digest,
            };
            let label = crashed.label;
            let crashed = CrashedPart {
                part: crashed.digest,
                last_pass: crashed.passed_ms.map(|age| now.saturating_sub(age)),
                was_suspect: crashed.was_suspect,
            };
            let evidence = self.with_ledger_of(&part.service, |ledger| {
                ledger.record_crash(now, answer, crashed)
            });
            match evidence {
                PartEvidence::None => {}
                PartEvidence::Suspect { crashes } => {
                    let inputs = format_args!("crashes={crashes} part={label}");
                    self.suspect(cx, part, inputs);
                }
                PartEvidence::Refused { crashes, for_ms } => {
                    let inputs = format_args!("crashes={crashes} part={label}");
                    self.refuse(cx, &part, for_ms, inputs);
                }
            }
        }
    }

    fn with_ledger_of<T>(&self, service: &str, change: impl FnOnce(&mut PartLedger) -> T) -> T {
        let mut ledgers = self.parts.borrow_mut();
        change(ledgers.entry(service.to_string()).or_default())
    }

    fn suspect(&self, cx: &Rc<Traffic>, part: ServicePart, inputs: Arguments<'_>) {
        let verdict = CrashVerdict::Suspect;
        let now = cx.clock.now();
        if self.ledger.borrow_mut().learn(now, part.digest, verdict) {
            log_verdict(cx, part.digest, verdict, inputs);
        }
        broadcast(cx, part.digest, verdict);
        for link in cx.peers.links_to_all(cx) {
            link.parts.send(PartMessage::Suspected(part.clone()));
        }
        self.report_recent_pass(cx, part);
    }

    fn refuse(&self, cx: &Rc<Traffic>, part: &ServicePart, for_ms: Millis, inputs: Arguments<'_>) {
        let now = cx.clock.now();
        let verdict = CrashVerdict::Refused {
            until: now + for_ms,
        };
        self.ledger.borrow_mut().learn(now, part.digest, verdict);
        log_verdict(cx, part.digest, verdict, inputs);
        broadcast(cx, part.digest, verdict);
        self.store(RefusalChange::Refuse(NewRefusal {
            request: part.digest,
            duration: Duration::from_millis(for_ms),
            // For entries that start after it: the part is tried by one request at a time then.
            lease: Duration::from_millis(MAX_REFUSAL_MS),
        }));
    }

    /// A part passed: clears it everywhere if that was after its crashes, or speaks for it.
    fn on_pass(&self, cx: &Rc<Traffic>, part: &ServicePart, passed_ms: Millis) {
        let now = cx.clock.now();
        let passed_at = now.saturating_sub(passed_ms);
        let is_cleared = self.with_ledger_of(&part.service, |ledger| {
            ledger.record_pass(part.digest, passed_at)
        });
        let verdict = self.ledger.borrow().verdict(now, part.digest);
        let is_lately = passed_ms < PASS_MEMORY_MS;
        // What was refused is cleared only by a pass after its crashes.
        let was_refused = self.ledger.borrow().was_refused(now, part.digest);
        let is_suspect = verdict == CrashVerdict::Suspect && !was_refused && is_lately;
        let is_tried = was_refused && passed_ms == 0;
        if verdict == CrashVerdict::Unsuspected || !(is_cleared || is_suspect || is_tried) {
            return;
        }
        let unsuspected = CrashVerdict::Unsuspected;
        self.ledger
            .borrow_mut()
            .learn(now, part.digest, unsuspected);
        log_verdict(cx, part.digest, unsuspected, format_args!("why=passed"));
        broadcast(cx, part.digest, unsuspected);
        if verdict != CrashVerdict::Suspect || was_refused {
            self.store(RefusalChange::Lift(part.digest));
        }
    }

    /// Gets permission to run a request, if its prompt has a part that was refused before.
    pub async fn begin_trials(
        &self,
        cx: &Rc<Traffic>,
        prompt: &PromptParts,
    ) -> Result<Vec<Trial>, Refusal> {
        let now = cx.clock.now();
        let was_refused = |part: &RequestDigest| self.ledger.borrow().was_refused(now, *part);
        let parts: Vec<RequestDigest> = prompt.digests().filter(was_refused).collect();
        let mut trials = Vec::new();
        for part in parts {
            let part = service_part(prompt, part);
            let reply = match owner_of(cx, &part.service) {
                Owner::Me => Ok(self.begin_trial(cx, &part)),
                Owner::Peer(link) => {
                    let message = PartMessage::BeginTrial(part.clone());
                    link.parts.request(message).await
                }
            };
            match reply {
                // An older build doesn't grant any.
                Ok(TrialReply::Granted) | Err(NoReply::Unsupported) => trials.push(Trial {
                    cx: cx.clone(),
                    part,
                }),
                Ok(TrialReply::Refused { for_ms }) => return Err(refusal(for_ms)),
                Err(NoReply::Silent) => return Err(refusal(NO_OWNER_RETRY_MS)),
            }
        }
        Ok(trials)
    }

    fn begin_trial(&self, cx: &Traffic, part: &ServicePart) -> TrialReply {
        let now = cx.clock.now();
        let decision =
            self.with_ledger_of(&part.service, |ledger| ledger.begin_trial(now, part.digest));
        match decision {
            TrialDecision::Granted => TrialReply::Granted,
            TrialDecision::Refused { for_ms } => TrialReply::Refused { for_ms },
        }
    }

    fn end_trial(&self, part: &ServicePart) {
        self.with_ledger_of(&part.service, |ledger| ledger.end_trial(part.digest));
    }

    /// Ends the refusal of a part that operators lifted.
    pub(super) fn lift_part(&self, now: Millis, part: RequestDigest) {
        let mut ledgers = self.parts.borrow_mut();
        let ledgers = ledgers.values_mut();
        ledgers.for_each(|ledger| ledger.lift_refusal(now, part));
    }
}

fn service_part(prompt: &PromptParts, digest: RequestDigest) -> ServicePart {
    ServicePart {
        service: prompt.service.clone(),
        digest,
    }
}

fn refusal(for_ms: Millis) -> Refusal {
    let detail = "targets crashed while answering on a part of its prompt";
    let refusal = Refusal::new(ErrorKind::EndsTargets, detail);
    refusal.with_retry_after(Duration::from_millis(for_ms))
}
