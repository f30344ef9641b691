//! Faults that a test or a scenario switches on while stand-ins run.

use std::net::SocketAddr;

/// What is wrong with one target.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetFaults {
    /// Multiplies every time.
    pub slow_factor: f64,
    /// Accepts calls, executes them and never answers.
    pub hang: bool,
    /// Refuses every call with this status, unexecuted.
    pub refuse: Option<u16>,
    /// Takes no new work and says so.
    pub leaving: bool,
    /// Executes, then cuts the connection instead of answering.
    pub cut_answer: bool,
    /// Cuts a token stream after this many tokens, once per call.
    pub cut_stream_after: Option<u32>,
    /// Ends a stream without its end marker.
    pub drop_end_marker: bool,
    /// Answers with the dispatch id of another call.
    pub cross_answers: bool,
    /// States a wrong length.
    pub wrong_length: bool,
    /// Sends every token event twice.
    pub double_tokens: bool,
    /// Reports this load whatever it holds.
    pub frozen_load: Option<u32>,
    /// Answers with a redirect to this address, unexecuted.
    pub redirect: Option<SocketAddr>,
}

impl Default for TargetFaults {
    fn default() -> Self {
        TargetFaults {
            slow_factor: 1.0,
            hang: false,
            refuse: None,
            leaving: false,
            cut_answer: false,
            cut_stream_after: None,
            drop_end_marker: false,
            cross_answers: false,
            wrong_length: false,
            double_tokens: false,
            frozen_load: None,
            redirect: None,
        }
    }
}

/// What is wrong with the store.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct StoreFaults {
    /// Drops every call unanswered and undone.
    pub down: bool,
    /// Milliseconds added to every call.
    pub slow_ms: u64,
    /// Lets this share of writes take effect and loses their answers.
    pub lose_answers: f64,
    /// Ends values with a time to live after this share of it.
    pub early_lapse: Option<f64>,
}
