//! Tests of a fleet on loopback, through its callers' and operators' interfaces.

mod answers;
mod bad_input;
mod configuration;
mod crashing_requests;
mod draining;
mod fixture;
mod halls;
mod not_run;
mod pipelines;
mod raw_target;
mod run_once;
mod stopping;
mod tls;
