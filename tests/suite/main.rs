//! Tests of the `hollowsail` command and its operations.

mod check;
mod daemon;
mod endless_answers;
mod forged_lines;
mod gateway;
mod local_platform;
mod mixed_builds;
mod mixed_rollouts;
mod output;
mod process;
mod restarts_in_outages;
