//! A fleet on loopback, tried as its callers and operators would.

mod answers;
mod bad_input;
mod configuration;
mod crashing;
mod fixture;
mod leaving;
mod once;
mod pipelines;
mod places;
mod raw_target;
mod stopping;
mod tls;
mod truth;
