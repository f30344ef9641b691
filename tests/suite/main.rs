//! The `hollowsail` command, as its users run it.

mod check;
mod daemon;
mod gateway;
mod output;
mod process;
