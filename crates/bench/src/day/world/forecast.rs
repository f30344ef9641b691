//! The daemon's forecast: a request's stages behind what waits, and its engine.

use hollowsail_routing::{admit, longest_way, ServiceLoad, StageDemand, StageExpectation, Verdict};

use super::super::draw::DrawnRequest;
use super::super::model::{KindModel, StageModel};
use super::{Attempt, World, ENGINE_MS};

/// Time before its target by which a request has to be foreseen to end, in
/// milliseconds: the daemon's figure.
const MARGIN_MS: u64 = 150;

/// The engine's own time; its queue isn't known to the forecast.
const ENGINE: StageDemand = StageDemand {
    expected: StageExpectation::fixed(ENGINE_MS),
    load: ServiceLoad {
        slots: 1.0,
        ahead: 0.0,
    },
};

impl World<'_> {
    /// True when a request that arrives now is foreseen to be in time.
    pub(super) fn can_be_in_time(&self, attempt: Attempt, asked_at: u64) -> bool {
        let kind = self.kind(attempt);
        let request = self.drawn(attempt);
        let stages = kind.stages.iter().zip(&request.pieces);
        let demands = stages.map(|(stage, &pieces)| {
            let demand = (pieces > 0).then(|| self.demand(kind, request, stage, pieces));
            (stage.after.as_slice(), demand)
        });
        let mut way = longest_way(demands);
        way.push(ENGINE);
        let used = MARGIN_MS + self.now - asked_at;
        admit(kind.target_ms.saturating_sub(used), &way, 0.0) == Verdict::Admit
    }

    /// What some pieces of a stage find.
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
