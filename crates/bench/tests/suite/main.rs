//! Tests of scenarios, arrivals, fault injection, the history check and simulated days.

mod arrivals;
mod chaos;
mod day;
mod groups;
mod history;
mod limited;
mod scenario;
mod soak_grants;
mod soak_owners;
mod soak_report;

use std::path::Path;

use hollowsail_config::{check, Deployment};
use hollowsail_local::read_directory;

/// The deployment of `examples/accra`.
fn accra() -> Deployment {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/accra");
    check(&read_directory(&path).expect("the example exists")).expect("the example is valid")
}
