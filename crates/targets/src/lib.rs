//! What an entry knows of the targets: connections, what is in flight, health, cold spells.
//!
//! [`TargetTable`] takes the targets that may get new work and gives each start of one its
//! [`Target`]. Everything known of a target hangs on that, so a target that starts again,
//! under its id or not, begins with nothing; [`Words`] keeps what starts said of themselves,
//! which outlasts their records. [`Target::has_ended`] tells a target that
//! ended from one whose connection broke.

mod limit_word;
mod table;
mod target;
mod words;

pub use limit_word::LimitWord;
pub use table::{TargetTable, UsableTarget};
pub use target::{InFlight, Target};
pub use words::Words;
