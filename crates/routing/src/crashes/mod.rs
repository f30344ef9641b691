//! How crashes of targets are attributed to what they ran.
//!
//! | evidence | counted for | answers the load |
//! |---|---|---|
//! | [`requests`] | a whole request, by its digest | a fatal request that its caller sends again |
//! | [`parts`] | a part of prompts, which many requests share | fatal requests that differ, but share a part |
//!
//! A crash under a run is a failing run, a whole answer a passing one. What is in failing runs again
//! and again and in no passing one is isolated first, then refused for a while, and tried again
//! afterwards. What passes is cleared. Verdicts on both kinds are kept by [`CrashLedger`] and spread
//! and stored alike; a part has a digest of its own ([`RequestDigest::of_part`]).
//!
//! [`RequestDigest::of_part`]: crate::RequestDigest::of_part

pub mod parts;
pub mod passes;
pub mod requests;

pub use parts::{CrashKey, CrashedAnswer, CrashedPart, PartEvidence, PartLedger, TrialDecision};
pub use passes::RecentPasses;
pub use requests::{CrashLedger, CrashVerdict, CrashedRun};
