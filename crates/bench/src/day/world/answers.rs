//! The engine part of a request, from sending its prompt to its last event.

use super::super::engines::{Prompt, SendOutcome};
use super::super::report::RequestOutcome;
use super::{Event, Request, RequestKey, World};

impl World<'_> {
    /// Sends a request with completed stages to an engine, or schedules a retry.
    pub(super) fn send_to_engine(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        match self.engines.send(&self.prompt(request), self.now) {
            SendOutcome::Running(run) => {
                self.requests[key].run = Some(run);
                self.schedule(run.first_event_at, Event::AnswerStart(key));
                self.schedule(run.ends_at, Event::RunEnd(key));
            }
            SendOutcome::BusyUntil(at) => self.wait_for_engine(key, at),
        }
    }

    /// Waits for an engine for up to half of the target time; refuses the request if none
    /// becomes available by then.
    fn wait_for_engine(&mut self, key: RequestKey, available_at: u64) {
        let request = &self.requests[key];
        let latest = request.requested_at + self.kind(request.attempt).target_ms / 2;
        if available_at <= latest {
            self.schedule(available_at.max(self.now + 1), Event::EngineRetry(key));
        } else if let Some(attempt) = self.cancel_request(key) {
            self.refuse(attempt);
        }
    }

    fn prompt(&self, request: &Request) -> Prompt {
        let drawn = self.drawn(request.attempt);
        let kind = self.kind(request.attempt);
        let results = request.retained.values();
        Prompt {
            prefix: format!("{}-{}", kind.name, drawn.prefix),
            shared_tokens: kind.shared_tokens,
            own_tokens: drawn.own_tokens,
            events: drawn.events,
            hall: drawn.entry % self.day.halls,
            results: results
                .map(|result| (result.worker % self.day.halls, result.bytes))
                .collect(),
        }
    }

    /// Handles the first event: releases the results that the engine has read, and counts the
    /// request.
    pub(super) fn first_event(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let retained = std::mem::take(&mut request.retained);
        let attempt = request.attempt;
        let latency_ms = self.now - request.requested_at;
        if let Some(run) = request.run {
            self.engines.first_event(run, self.now);
        }
        retained.values().for_each(|result| self.release(result));
        let outcome = match latency_ms <= self.kind(attempt).target_ms {
            true => RequestOutcome::InTime,
            false => RequestOutcome::Late,
        };
        self.count(attempt, outcome);
        self.start_calls();
    }

    /// Handles the last event of a run.
    pub(super) fn end_run(&mut self, key: RequestKey) {
        let run = self.requests.remove(key).and_then(|request| request.run);
        if let Some(run) = run {
            self.engines.end_run(run, true, self.now);
        }
    }
}
