//! A request at its engine, from its prompt to its last event.

use super::super::engines::{Prompt, Sent};
use super::super::report::End;
use super::{Event, Request, RequestKey, World};

impl World<'_> {
    /// Sends a request whose stages are done to an engine.
    pub(super) fn send_to_engine(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        match self.engines.send(&self.prompt(request), self.now) {
            Sent::Runs(run) => {
                self.requests[key].run = Some(run);
                self.schedule(run.first_event_at, Event::AnswerBegins(key));
                self.schedule(run.ends_at, Event::RunEnds(key));
            }
            Sent::OpensAt(at) => self.wait_for_engine(key, at),
        }
    }

    /// Waits until an engine opens, for half of the time in which the answer is in time;
    /// a request that can't have its turn by then is refused.
    fn wait_for_engine(&mut self, key: RequestKey, opens_at: u64) {
        let request = &self.requests[key];
        let latest = request.begun + self.kind(request.attempt).target_ms / 2;
        if opens_at <= latest {
            self.schedule(opens_at.max(self.now + 1), Event::AsksForEngine(key));
        } else if let Some(attempt) = self.drop_request(key) {
            self.refuse(attempt);
        }
    }

    fn prompt(&self, request: &Request) -> Prompt {
        let drawn = self.drawn(request.attempt);
        let kind = self.kind(request.attempt);
        let results = request.held.values();
        Prompt {
            part: format!("{}-{}", kind.name, drawn.part),
            shared_tokens: kind.shared_tokens,
            own_tokens: drawn.own_tokens,
            events: drawn.events,
            hall: drawn.entry % self.day.halls,
            results: results
                .map(|held| (held.worker % self.day.halls, held.bytes))
                .collect(),
        }
    }

    /// The answer begins: the engine has read the results, and the caller is
    /// counted.
    pub(super) fn first_event(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let held = std::mem::take(&mut request.held);
        let attempt = request.attempt;
        let took = self.now - request.begun;
        if let Some(run) = request.run {
            self.engines.first_event(run, self.now);
        }
        held.values().for_each(|held| self.free(held));
        let end = match took <= self.kind(attempt).target_ms {
            true => End::InTime,
            false => End::Late,
        };
        self.count(attempt, end);
        self.start_calls();
    }

    /// The last event came.
    pub(super) fn end_run(&mut self, key: RequestKey) {
        let run = self.requests.remove(key).and_then(|request| request.run);
        if let Some(run) = run {
            self.engines.ended(run, true, self.now);
        }
    }
}
