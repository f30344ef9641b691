//! Routing decisions: what an attempt proves, how long it may take, which target
//! serves it, and whether a retry is allowed.
//!
//! Every module is a plain state machine or a pure function. Callers pass in facts
//! (latencies, refusals, load reports), the clock and random numbers.

#![warn(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::unreachable,
    clippy::todo
)]

pub mod admission;
pub mod budget;
pub mod choose;
pub mod connections;
pub mod crashes;
pub mod deadline;
pub mod engine;
pub mod event_loop_lag;
pub mod health;
pub mod host_capacity;
pub mod kept_bytes;
pub mod latency;
pub mod limit;
pub mod planned_stop;
pub mod policy;
pub mod prefill_times;
pub mod progress;
pub mod queue;
pub mod reachability;
pub mod repeats;
pub mod request_digest;
pub mod scheduler;
pub mod speed;
pub mod stall;
pub mod warm_up;

pub use admission::{admit, critical_path, OrgUsage, ServiceLoad, StageDemand, Verdict};
pub use budget::RetryBudget;
pub use choose::{choose, choose_by_end, Candidate, Choice, Reason};
pub use connections::DialPacing;
pub use crashes::{CrashLedger, CrashVerdict, CrashedRun};
pub use deadline::{plan, StageExpectation, StagePlan, TooLate};
pub use engine::{choose_engine, prefix_outweighs_results, EngineCandidate, EngineChoice};
pub use event_loop_lag::EventLoopLag;
pub use health::{HealthRules, Observation, TargetHealth};
pub use host_capacity::{CallerAdmission, Carried, HostState, LinkBudget};
pub use latency::LatencyWindow;
pub use limit::{LimitGate, LimitShare};
pub use policy::{ChoicePolicy, Switches};
pub use prefill_times::PrefillTimes;
pub use progress::{
    attempt_status, may_retry, outcome_of, stage_status, Outcome, Progress, StageStatus,
};
pub use queue::{Rank, WaitQueue};
pub use reachability::{ConnectPlan, KnownWays, Reachability};
pub use request_digest::RequestDigest;
pub use scheduler::{
    Demand, DemandKey, DemandQueue, EngineScheduler, PlacementEnd, PlacementKey, QueueEstimate,
    SchedulableEngine, Versions,
};
pub use speed::TargetSpeed;
pub use stall::Stall;
pub use warm_up::{WarmUp, WarmUpGate};

/// Milliseconds since the owning process started.
pub type Millis = u64;
