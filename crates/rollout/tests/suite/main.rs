//! Roll-out decisions, without sockets or clocks.

mod decisions;
mod evidence;
mod simulated;
