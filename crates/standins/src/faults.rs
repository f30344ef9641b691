//! Faults that can be injected while stand-ins run.

use std::net::SocketAddr;

/// Faults of one target.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetFaults {
    /// Multiplies every processing time.
    pub slow_factor: f64,
    /// Starts to execute calls and never answers.
    pub hang: bool,
    /// Refuses every call with this status, without executing it.
    pub refuse: Option<u16>,
    /// Refuses new calls and reports that it is draining.
    pub draining: bool,
    /// Executes, then cuts the connection instead of answering.
    pub cut_answer: bool,
    /// Cuts a token stream after this many tokens, once per call.
    pub cut_stream_after: Option<u32>,
    /// Ends a stream without its end marker.
    pub drop_end_marker: bool,
    /// Answers with the dispatch id of another call.
    pub cross_answers: bool,
    /// Reports a wrong output length.
    pub wrong_length: bool,
    /// Sends every token event twice.
    pub double_tokens: bool,
    /// Reports this load instead of the real one.
    pub frozen_load: Option<u32>,
    /// Redirects calls to this address, without executing them.
    pub redirect: Option<SocketAddr>,
}

impl Default for TargetFaults {
    fn default() -> Self {
        TargetFaults {
            slow_factor: 1.0,
            hang: false,
            refuse: None,
            draining: false,
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

/// Faults of the store.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct StoreFaults {
    /// Drops every call without executing or answering it.
    pub down: bool,
    /// Milliseconds added to every call.
    pub slow_ms: u64,
    /// Share of writes, from 0 to 1, that take effect but whose answers are lost.
    pub lose_answers: f64,
    /// Expires values after this share of their time to live.
    pub early_expiry: Option<f64>,
}
