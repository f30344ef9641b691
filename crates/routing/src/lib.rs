//! Routing decisions: what an attempt proves, how long it may take, which target
//! serves it, and whether a retry is allowed.
//!
//! Every module is a plain state machine or a pure function. Callers pass in facts
//! (latencies, refusals, load reports), the clock and random numbers.

pub mod admission;
pub mod budget;
pub mod choose;
pub mod cold;
pub mod crash_ledger;
pub mod deadline;
pub mod engine;
pub mod event_loop_lag;
pub mod health;
pub mod latency;
pub mod limit;
pub mod policy;
pub mod prefill_times;
pub mod progress;
pub mod queue;
pub mod request_digest;
pub mod scheduler;

pub use admission::{admit, longest_way, Holding, ServiceLoad, StageDemand, Verdict};
pub use budget::RetryBudget;
pub use choose::{choose, Candidate, Choice, Reason};
pub use cold::{Cold, ColdGate};
pub use crash_ledger::{CrashLedger, CrashedRun, Standing};
pub use deadline::{plan, StageExpectation, StagePlan, TooLate};
pub use engine::{choose_engine, engine_goes_first, EngineCandidate, EngineChoice};
pub use event_loop_lag::Pace;
pub use health::{HealthRules, Observation, TargetHealth};
pub use latency::LatencyWindow;
pub use limit::{LimitGate, LimitShare};
pub use policy::{Choosing, Switches};
pub use prefill_times::ReadingTimes;
pub use progress::{
    attempt_status, may_try_again, outcome_of, stage_status, Outcome, Progress, StageStatus,
};
pub use queue::{Rank, WaitQueue};
pub use request_digest::RequestDigest;
pub use scheduler::{
    Demand, DemandKey, DemandQueue, DeskEngine, EngineDesk, PlacementEnd, PlacementKey, Turn,
    Versions,
};

/// Milliseconds since the owning process started.
pub type Millis = u64;
