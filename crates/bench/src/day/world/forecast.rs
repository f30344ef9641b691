//! The daemon's admission forecast: predicts from the queued work whether a request meets its
//! target time.

use hollowsail_routing::{
    admit, critical_path, ServiceLoad, StageDemand, StageExpectation, Verdict,
};

use super::super::draw::DrawnRequest;
use super::super::model::{KindModel, StageModel};
use super::{Attempt, World, ENGINE_MS};

/// Margin between the predicted end of a request and its target time, in milliseconds; same
/// as the daemon's value.
const MARGIN_MS: u64 = 150;

/// The engine as the last stage; the forecast ignores its queue.
const ENGINE: StageDemand = StageDemand {
    expected: StageExpectation::fixed(ENGINE_MS),
    load: ServiceLoad {
        slots: 1.0,
        ahead: 0.0,
    },
};

impl World<'_> {
    /// True if an attempt that arrives now is predicted to meet its target.
    pub(super) fn meets_target(&self, attempt: Attempt, requested_at: u64) -> bool {
        let kind = self.kind(attempt);
        let request = self.drawn(attempt);
        let stages = kind.stages.iter().zip(&request.pieces);
        let demands = stages.map(|(stage, &pieces)| {
            let demand = (pieces > 0).then(|| self.demand(kind, request, stage, pieces));
            (stage.after.as_slice(), demand)
        });
        let mut path = critical_path(demands);
        path.push(ENGINE);
        let used = MARGIN_MS + self.now - requested_at;
        admit(kind.target_ms.saturating_sub(used), &path, 0.0) == Verdict::Admit
    }

    /// Expected time and load of pieces of a stage.
    fn demand(
        &self,
        kind: &KindModel,
        request: &DrawnRequest,
        stage: &StageModel,
        pieces: usize,
    ) -> StageDemand {
        let model = &self.day.pools[stage.pool];
        let pool = &self.pools[stage.pool];
        let load = pool.load(pool.queue_of(request.entry), self.now);
        let own_ms = model.expected_ms(pieces.min(model.batch));
        StageDemand {
            expected: StageExpectation::fixed(own_ms as u64),
            load: ServiceLoad {
                slots: f64::from(load.slots),
                ahead: f64::from(load.ahead_of(kind.priority)) + pieces as f64 - 1.0,
            },
        }
    }
}
