//! Checks of operators' files and settings.

mod chunks;
mod faults;
mod large;
mod settings;
mod shipped;
