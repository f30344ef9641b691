//! The `hollowsail` command, as its users run it.

mod check;
mod daemon;
mod output;
mod process;
