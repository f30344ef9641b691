//! Targets of all kinds that leave in a soak run without a record that says so, and stay for seconds.
//!
//! [`draw`] adds a plain service with few connections, and engines with a stage. Of each, some
//! targets say that they leave in responses only, and some not at all: their records go. Meanwhile
//! the store is silent for some of the gateways. [`evaluate`] judges the requests that reach those
//! targets later, by the gateway that the target saw as the sender. All of it is drawn from a random
//! stream of its own, so that the faults of a seed don't depend on it.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::contention::Contender;
use super::processes::Observations;
use super::report::{Failure, FailureKind};

/// Separates this random stream from the one of the faults.
const STREAM: u64 = 0x6465_7061;
/// Earliest start of a trouble, in milliseconds.
const FIRST_MS: u64 = 4_000;
/// How long targets that leave go on, and the store is silent for some, in milliseconds.
const STAY_MS: u64 = 7_000;
const STORE_SILENT_MS: u64 = 6_000;
/// Callers of each route.
const CALLERS: usize = 6;
const PLAIN_PATH: &str = "/parting/plain/";
const STREAM_PATH: &str = "/parting/stream/";
/// Time for which a gateway must have been undisturbed to be bound by the store.
const CONTACT_TIME: Duration = Duration::from_secs(3);

const SECTIONS: &str = "\
[service.parting]
kind = plain
targets = 8
slots = 4
queue = 4
work_ms = 80
connections = 6

[service.parting-workers]
kind = stage
targets = 6
slots = 1
queue = 2
batch = 8
work_ms = 20
piece_ms = 2

[service.parting-engines]
kind = engines
targets = 6
slots = 16
queue = 16
work_ms = 15
events = 5

[route.parting-plain]
kind = once
path = /parting/plain/
service = parting
target_ms = 1000

[route.parting-stream]
kind = stream
path = /parting/stream/
service = parting-engines
stages = parting-workers
target_ms = 1500
timeout_ms = 6000
";

const SERVICES: [&str; 3] = ["parting", "parting-workers", "parting-engines"];
/// How targets leave: the notice, and the index of the first of two.
const NOTICES: [(&str, usize); 2] = [("responses", 0), ("nothing", 2)];

/// A request that a target got after it had left.
#[derive(Debug, Clone)]
pub struct LateSend {
    /// The gateway that the target saw as the sender.
    pub entry: usize,
    /// Since when the gateway could know, and when the request arrived.
    pub since: Instant,
    pub at: Instant,
    pub description: String,
}

/// Draws the sections of the site. `latest` is the latest start in seconds.
pub fn draw(seed: u64, latest: u64, entries: usize) -> String {
    let mut rng = SmallRng::seed_from_u64(seed ^ STREAM);
    let mut sections = vec![SECTIONS.to_string()];
    for service in SERVICES {
        for (notice, first) in NOTICES {
            let at_ms = rng.random_range(FIRST_MS..latest * 1_000);
            sections.push(format!(
                "[trouble.{service}-{notice}]\nwhat = targets-leave\nsays = {notice}\n\
                 service = {service}\nfirst = {first}\ntargets = 2\nat_ms = {at_ms}\n\
                 for_ms = {STAY_MS}\n"
            ));
        }
    }
    let at_ms = rng.random_range(FIRST_MS..latest * 1_000);
    let hosts = rng.random_range(1..=(entries / 2).max(1));
    let first = rng.random_range(0..=entries - hosts);
    sections.push(format!(
        "[trouble.silent-for-some]\nwhat = store-silent\nfirst = {first}\nhosts = {hosts}\n\
         at_ms = {at_ms}\nfor_ms = {STORE_SILENT_MS}\n"
    ));
    sections.join("\n")
}

/// The callers of these routes.
pub fn callers() -> impl Iterator<Item = Contender> {
    let callers = [PLAIN_PATH, STREAM_PATH].map(Contender::of_path);
    let callers = callers.into_iter();
    callers.flat_map(|caller| std::iter::repeat_n(caller, CALLERS))
}

/// The requests to targets that had left whose gateway was bound all the time.
pub fn evaluate(observations: &Observations) -> Vec<Failure> {
    let late = observations.late_sends.iter();
    let late = late.filter(|late| !is_excused(late, observations));
    let failure = |late: &LateSend| {
        let promise = "a leaving target gets no new work".to_string();
        Failure::new(FailureKind::Platform(promise), late.description.clone())
    };
    late.map(failure).collect()
}

/// True if a fault of the gateway is recent.
fn is_excused(late: &LateSend, observations: &Observations) -> bool {
    let bound_from = late.since.min(late.at - CONTACT_TIME);
    let mut disturbances = observations.disturbances.iter();
    disturbances.any(|disturbance| {
        disturbance.entry == late.entry
            && disturbance.from <= late.at
            && bound_from <= disturbance.until
    })
}
