//! The bench's own parts: scenarios, arrivals, and the history check.

mod arrivals;
mod chaos;
mod day;
mod groups;
mod history;
mod limited;
mod scenario;

use std::path::Path;

use hollowsail_config::{check, Deployment};
use hollowsail_local::read_directory;

/// Accra's example.
fn accra() -> Deployment {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/accra");
    check(&read_directory(&path).expect("it ships")).expect("it is right")
}
