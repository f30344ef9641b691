//! Processing times of the target stand-ins.

use hollowsail_config::ServiceKind;

use crate::engine::EngineTimes;

/// Processing time of one call on an idle target, by service kind.
#[derive(Debug, Clone, Copy)]
pub struct Profile {
    pub encoder_ms: f64,
    pub retriever_ms: f64,
    pub reranker_ms: f64,
    pub plain_ms: f64,
    pub engine: EngineTimes,
}

impl Default for Profile {
    fn default() -> Self {
        Profile {
            encoder_ms: 4.0,
            retriever_ms: 8.0,
            reranker_ms: 10.0,
            plain_ms: 5.0,
            engine: EngineTimes::default(),
        }
    }
}

impl Profile {
    /// No processing time, which isolates the time added by an entry.
    pub fn instant() -> Self {
        Profile {
            encoder_ms: 0.0,
            retriever_ms: 0.0,
            reranker_ms: 0.0,
            plain_ms: 0.0,
            engine: EngineTimes {
                prefill_per_token: 0.0,
                token: 0.0,
                token_per_sequence: 0.0,
            },
        }
    }

    /// Base time of one call, in milliseconds; 0 for engines.
    pub(crate) fn base_ms(&self, kind: ServiceKind) -> f64 {
        match kind {
            ServiceKind::Encoder => self.encoder_ms,
            ServiceKind::Retriever => self.retriever_ms,
            ServiceKind::Reranker => self.reranker_ms,
            ServiceKind::Plain => self.plain_ms,
            ServiceKind::Engine => 0.0,
        }
    }
}
