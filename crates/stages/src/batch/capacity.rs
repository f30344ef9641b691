//! Capacity of the available workers, from the rules, the memory and the measured rate.
//!
//! Capacity is counted in pieces of the average size. Where memory limits the batches, a
//! piece costs as much as its share of the bytes; where the calls are full, all cost the
//! same.

use slotmap::SecondaryMap;

use super::waiting::Cohort;
use super::workers::Worker;
use super::{BatchQueue, PoolRules, WorkerKey};
use crate::reservations::demand::{Supply, SupplyChange};
use crate::Millis;

/// Decay of older samples with each started piece: an average over about 200 pieces.
const MIX_DECAY: f64 = 0.005;
/// Duration of a calibration period, in milliseconds.
const PERIOD_MS: Millis = 500;
/// Weight of the newest period in the calibration.
const NEWEST_PERIOD_WEIGHT: f64 = 0.25;
/// Weight of the model in a period without saturation, so that a queue that refuses too
/// much finds that it has room.
const RECOVERY_WEIGHT: f64 = 0.1;
/// Bounds of the calibration: outside, the measurement is wrong rather than the model.
const MIN_FACTOR: f64 = 0.4;
const MAX_FACTOR: f64 = 1.1;
/// A worker with this share of its memory free isn't limited by memory.
const IDLE_MEMORY_SHARE: f64 = 0.5;
/// Part of a call in which the pieces of a worker's next call are counted. Counted only at
/// the end of a whole call, they would be missing for requests that are due soon.
const NEXT_CALL_SHARE: f64 = 0.25;

/// Decaying sums over the calls that were started recently.
#[derive(Debug, Default)]
struct Mix {
    calls: f64,
    pieces: f64,
    bytes: f64,
}

impl Mix {
    fn record(&mut self, pieces: usize, bytes: u64) {
        let keep = (1.0 - MIX_DECAY).powi(pieces as i32);
        self.calls = self.calls * keep + 1.0;
        self.pieces = self.pieces * keep + pieces as f64;
        self.bytes = self.bytes * keep + bytes as f64;
    }

    fn mean_bytes(&self) -> Option<f64> {
        (self.pieces > 0.0).then(|| (self.bytes / self.pieces).max(1.0))
    }

    fn mean_call(&self) -> Option<f64> {
        (self.calls > 0.0).then(|| self.pieces / self.calls)
    }
}

/// Ratio of the measured to the modelled rate.
#[derive(Debug)]
pub(super) struct Calibration {
    pub(super) factor: f64,
    mix: Mix,
    period_start: Millis,
    /// Pieces waited, and no worker was idle, since the start of the period.
    is_saturated: bool,
    answered_pieces: f64,
    answered_bytes: f64,
}

impl Default for Calibration {
    fn default() -> Self {
        Calibration {
            factor: 1.0,
            mix: Mix::default(),
            period_start: 0,
            is_saturated: false,
            answered_pieces: 0.0,
            answered_bytes: 0.0,
        }
    }
}

impl Calibration {
    pub(super) fn record_started(&mut self, pieces: usize, bytes: u64) {
        self.mix.record(pieces, bytes);
    }

    pub(super) fn record_answered(&mut self, pieces: usize, bytes: u64) {
        self.answered_pieces += pieces as f64;
        self.answered_bytes += bytes as f64;
    }

    fn start_period(&mut self, now: Millis) {
        self.period_start = now;
        self.is_saturated = true;
        self.answered_pieces = 0.0;
        self.answered_bytes = 0.0;
    }
}

/// Cost of a piece in pieces of the average size.
#[derive(Debug, Clone, Copy)]
pub(super) struct PieceCost {
    fixed: f64,
    per_byte: f64,
}

impl PieceCost {
    pub(super) fn of(&self, pieces: f64, bytes: f64) -> f64 {
        self.fixed * pieces + self.per_byte * bytes
    }
}

/// Capacity of the queue at one time.
#[derive(Debug, Clone)]
pub(super) struct Capacity {
    pub supply: Supply,
    pub cost: PieceCost,
}

impl Capacity {
    /// Cost of waiting pieces.
    pub fn cost_of(&self, cohort: &Cohort) -> f64 {
        self.cost.of(cohort.len() as f64, cohort.bytes() as f64)
    }
}

/// What the capacity of a worker depends on.
#[derive(Debug, Clone, Copy)]
struct Model {
    rules: PoolRules,
    mean_bytes: f64,
    /// Results of the average size that fit into a worker's memory.
    fitting: f64,
    /// Time that results stay after the end of their call, in milliseconds.
    after_call_ms: f64,
}

impl Model {
    /// The largest batch whose results fit with those of earlier calls: n + n·r/T(n) is at
    /// most the number of results that fit, with r the time that results stay after their
    /// call and T(n) the duration of the call.
    fn batch(&self, slowness: f64) -> f64 {
        let fits = |pieces: usize| {
            let call_ms = (self.rules.expected_ms(pieces) * slowness).max(1.0);
            pieces as f64 * (1.0 + self.after_call_ms / call_ms) <= self.fitting
        };
        // The left side grows with the number of pieces.
        let (mut fitting, mut most) = (1, self.rules.batch.max(1));
        while fitting < most {
            let middle = (fitting + most).div_ceil(2);
            match fits(middle) {
                true => fitting = middle,
                false => most = middle - 1,
            }
        }
        fitting as f64
    }

    fn call_ms(&self, batch: f64) -> f64 {
        (self.rules.call_ms + self.rules.piece_ms * batch).max(1.0)
    }

    /// Pieces per ms of a worker.
    fn rate(&self, slowness: f64) -> f64 {
        let batch = self.batch(slowness);
        batch * self.rules.running as f64 / (self.call_ms(batch) * slowness)
    }

    fn cost(&self) -> PieceCost {
        let memory_share = 1.0 - self.batch(1.0) / self.rules.batch.max(1) as f64;
        PieceCost {
            fixed: 1.0 - memory_share,
            per_byte: memory_share / self.mean_bytes,
        }
    }
}

impl<T> BatchQueue<T> {
    /// Mean size of recent results, in bytes; 1 before the first.
    pub(super) fn mean_result_bytes(&self) -> u64 {
        self.calibration
            .mix
            .mean_bytes()
            .map_or(1, |bytes| bytes as u64)
    }

    /// Capacity now; `bytes` is the size of a result before any piece was started.
    pub(super) fn capacity(&self, bytes: u64, now: Millis) -> Capacity {
        let model = self.model(bytes);
        let batch = model.batch(1.0);
        Capacity {
            supply: Supply {
                rate: self.model_rate(&model, now) * self.calibration.factor,
                call_ms: model.call_ms(batch),
                idle: self.idle_pieces(&model, now),
                changes: self.supply_changes(&model, now),
            },
            cost: model.cost(),
        }
    }

    fn model(&self, bytes: u64) -> Model {
        let mix = &self.calibration.mix;
        let mean_bytes = mix.mean_bytes().unwrap_or(bytes.max(1) as f64);
        let mean_call = mix.mean_call().unwrap_or(self.rules.batch as f64);
        let mean_call_ms = self.rules.call_ms + self.rules.piece_ms * mean_call;
        Model {
            rules: self.rules,
            mean_bytes,
            fitting: self.usable_memory() as f64 / mean_bytes,
            after_call_ms: (self.retention_ms() - mean_call_ms).max(0.0),
        }
    }

    fn available_workers(&self) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        let is_available = |worker: &Worker| !worker.draining && worker.failures == 0;
        let workers = self.workers.iter();
        workers.filter(move |(_, worker)| is_available(worker))
    }

    /// Pieces per ms that the available workers complete by the model.
    fn model_rate(&self, model: &Model, now: Millis) -> f64 {
        self.available_workers()
            .map(|(key, worker)| {
                model.rate(self.slowness(key, now).max(1.0)) * self.utilisation(worker)
            })
            .sum()
    }

    /// Pieces that idle workers can start at once.
    fn idle_pieces(&self, model: &Model, now: Millis) -> f64 {
        let batch = model.batch(1.0);
        let free = self.free_workers(now);
        let idle = free.iter().filter(|key| self.workers[**key].calls == 0);
        idle.map(|key| batch.min(self.free_memory(*key, now) as f64 / model.mean_bytes))
            .sum()
    }

    /// Pieces that can be done in calls that start from now on, as a lower bound: a call of
    /// n pieces every T ms gives n·⌊y⌋ + n by the time T·y after the end of the first one,
    /// of which n·y is counted. That is the same while calls progress, so that no moment is
    /// better to ask at than another.
    fn supply_changes(&self, model: &Model, now: Millis) -> Vec<SupplyChange> {
        let mut ends: SecondaryMap<WorkerKey, f64> = SecondaryMap::new();
        for call in self.calls.values() {
            let end = call.started as f64 + call.expected_ms;
            let latest = ends.get(call.worker).copied().unwrap_or(0.0);
            ends.insert(call.worker, latest.max(end));
        }
        let mut changes = Vec::new();
        for (key, worker) in self.available_workers() {
            let slowness = self.slowness(key, now).max(1.0);
            let pieces = model.batch(slowness);
            let rate = model.rate(slowness) * self.utilisation(worker) * self.calibration.factor;
            let interval_ms = (pieces / rate.max(f64::MIN_POSITIVE)).max(1.0);
            let from = worker.backoff_until.max(now) as f64;
            let first_end = ends.get(key).copied().unwrap_or(0.0).max(from) + interval_ms;
            let mut change = |calls: f64, pieces: f64, rate: f64| {
                let at = (first_end + calls * interval_ms) as Millis;
                changes.push(SupplyChange { at, pieces, rate });
            };
            if ends.contains_key(key) {
                change(0.0, 0.0, rate / NEXT_CALL_SHARE);
                change(NEXT_CALL_SHARE, 0.0, -rate / NEXT_CALL_SHARE);
            } else {
                change(0.0, pieces, 0.0);
            }
            change(1.0, 0.0, rate);
        }
        changes.sort_unstable_by_key(|change| change.at);
        changes
    }

    /// Advances the calibration. `is_saturated` is false when a worker found nothing to do.
    pub(super) fn calibrate(&mut self, is_saturated: bool, now: Millis) {
        self.calibration.is_saturated &= is_saturated;
        let elapsed = now.saturating_sub(self.calibration.period_start);
        if elapsed < PERIOD_MS {
            return;
        }
        let factor = self.calibration.factor;
        let (target, weight) = match self.measured_factor(elapsed, now) {
            Some(measured) => (measured, NEWEST_PERIOD_WEIGHT),
            None => (factor.max(1.0), RECOVERY_WEIGHT),
        };
        self.calibration.factor += weight * (target - factor);
        self.calibration.start_period(now);
    }

    /// Measured rate divided by the modelled rate; `None` if the queue wasn't saturated.
    fn measured_factor(&self, elapsed: Millis, now: Millis) -> Option<f64> {
        let calibration = &self.calibration;
        // A long gap between two observations says nothing about the time between them.
        if !calibration.is_saturated || elapsed > 2 * PERIOD_MS {
            return None;
        }
        let model = self.model(calibration.mix.mean_bytes()? as u64);
        let modelled = self.model_rate(&model, now) * elapsed as f64;
        let cost = model.cost();
        let answered = cost.of(calibration.answered_pieces, calibration.answered_bytes);
        (modelled > 0.0).then(|| (answered / modelled).clamp(MIN_FACTOR, MAX_FACTOR))
    }

    /// True when a worker without a call has memory for more pieces.
    pub(super) fn has_idle_worker(&self, now: Millis) -> bool {
        let spare = self.usable_memory() as f64 * IDLE_MEMORY_SHARE;
        let is_idle = |key: &WorkerKey| {
            self.workers[*key].calls == 0 && self.free_memory(*key, now) as f64 >= spare
        };
        self.free_workers(now).iter().any(is_idle)
    }
}
