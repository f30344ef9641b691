//! Contention in a soak run: services with few workers or connections, and the callers that
//! compete for them.
//!
//! [`draw`] adds to the site a stage service that two routes of different priority share, a slow
//! worker, and a plain service with few connections. [`contenders`] lists their callers. A burst
//! on the less urgent route exceeds the workers for some seconds. All of it is drawn from a
//! random stream of its own, so that the faults of a seed don't depend on it.

use std::fmt;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Separates this random stream from the one of the faults.
const STREAM: u64 = 0x726f_6f6d;
/// Earliest start of the burst, in milliseconds: gateways know each other by then.
const FIRST_BURST_MS: u64 = 4_000;
/// Length of the burst, in milliseconds.
const BURST_MS: u64 = 8_000;
/// Length of the time with a slow worker, in milliseconds.
const SLOW_MS: u64 = 6_000;
/// Paths of the contended routes and of the route to the service with few connections.
pub const URGENT_PATH: &str = "/room/urgent/";
pub const LESS_URGENT_PATH: &str = "/room/other/";
const FEW_PATH: &str = "/few/";
const ORGANISATIONS: [&str; 3] = ["large", "medium", "small"];
/// Organisation that causes the burst.
const BURST_ORGANISATION: &str = "large";
/// Callers of each organisation on each contended route outside the burst.
const STEADY_CALLERS: usize = 2;
/// Additional callers in the burst. The workers complete about 50 requests a second: callers that
/// all waited would wait for 2 s, longer than the target latency.
const BURST_CALLERS: usize = 100;
/// Callers of the service with few connections.
const FEW_CALLERS: usize = 6;

const SECTIONS: &str = "\
[service.workers]
kind = stage
targets = 4
slots = 1
queue = 2
batch = 2
work_ms = 150
piece_ms = 1
noise_percent = 30

[service.writers]
kind = engines
targets = 4
slots = 64
queue = 64
work_ms = 5
events = 3

[service.few]
kind = plain
targets = 3
slots = 6
queue = 8
work_ms = 15
connections = 8

[route.few]
kind = once
path = /few/
service = few
";

/// When the burst begins, and how long it lasts.
#[derive(Debug, Clone, Copy)]
pub struct Burst {
    pub at: Duration,
    pub duration: Duration,
}

/// A caller of a contended service.
#[derive(Debug, Clone)]
pub struct Contender {
    pub path: &'static str,
    pub organisation: Option<&'static str>,
    /// Start and end of its activity; the whole run if `None`.
    pub active: Option<(Duration, Duration)>,
    /// A part of its prompts that crashes targets.
    pub part: Option<&'static str>,
    /// Longest time between the head of a request and its body.
    pub max_body_delay: Duration,
    /// It retries at once, and more often.
    pub is_impatient: bool,
}

impl Contender {
    /// A caller of a route that needs no key, active for the whole run.
    pub fn of_path(path: &'static str) -> Self {
        Contender {
            path,
            organisation: None,
            active: None,
            part: None,
            max_body_delay: Duration::ZERO,
            is_impatient: false,
        }
    }
}

impl fmt::Display for Burst {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (at, duration) = (self.at.as_millis(), self.duration.as_millis());
        writeln!(f, "{at} ms: burst on {LESS_URGENT_PATH} for {duration} ms")
    }
}

/// Draws the sections of the site, and the burst. `latest` is the latest start in seconds.
pub fn draw(seed: u64, latest: u64) -> (String, Burst) {
    let mut rng = SmallRng::seed_from_u64(seed ^ STREAM);
    let mut at_ms = || rng.random_range(FIRST_BURST_MS..latest * 1_000);
    let burst = Burst {
        at: Duration::from_millis(at_ms()),
        duration: Duration::from_millis(BURST_MS),
    };
    let slow = format!(
        "[trouble.slow]\nwhat = targets-slow\nservice = workers\npercent = 300\n\
         at_ms = {}\nfor_ms = {SLOW_MS}\n",
        at_ms()
    );
    let urgent = contended_route("urgent", URGENT_PATH, 0);
    let less_urgent = contended_route("other", LESS_URGENT_PATH, 2);
    (
        format!("{SECTIONS}\n{urgent}\n{less_urgent}\n{slow}"),
        burst,
    )
}

fn contended_route(name: &str, path: &str, priority: u8) -> String {
    let organisations = ORGANISATIONS.join(", ");
    format!(
        "[route.{name}]\nkind = stream\npath = {path}\nservice = writers\nstages = workers\n\
         target_ms = 1500\ntimeout_ms = 6000\npriority = {priority}\n\
         organisations = {organisations}\n"
    )
}

/// The callers of the contended services.
pub fn contenders(burst: &Burst) -> Vec<Contender> {
    let steady = [URGENT_PATH, LESS_URGENT_PATH]
        .into_iter()
        .flat_map(|path| {
            ORGANISATIONS.map(|organisation| Contender {
                organisation: Some(organisation),
                ..Contender::of_path(path)
            })
        });
    let steady = steady.flat_map(|contender| std::iter::repeat_n(contender, STEADY_CALLERS));
    let in_burst = Contender {
        organisation: Some(BURST_ORGANISATION),
        active: Some((burst.at, burst.at + burst.duration)),
        ..Contender::of_path(LESS_URGENT_PATH)
    };
    let few = Contender::of_path(FEW_PATH);
    let in_burst = std::iter::repeat_n(in_burst, BURST_CALLERS);
    steady
        .chain(in_burst)
        .chain(std::iter::repeat_n(few, FEW_CALLERS))
        .collect()
}
