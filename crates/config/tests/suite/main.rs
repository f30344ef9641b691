//! Operators' files and settings, checked whole.

mod chunks;
mod faults;
mod large;
mod settings;
mod shipped;
