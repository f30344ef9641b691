//! A small deployment and steps shared by the tests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use hollowsail_config::key::hash_key;
use hollowsail_config::settings::Limits;
use hollowsail_config::SourceFile;
use hollowsail_entry::apply::ApplyResult;
use hollowsail_fleet::FleetTiming;
use hollowsail_local::caller::Request;
use hollowsail_local::{localize, Caller, LocalFleet, LocalOptions, Once, Response};
use hollowsail_standins::Profile;
use serde_json::json;

/// Key of an organisation permitted in both halls.
pub const BOTH_KEY: &str = "key-both";
/// Key of an organisation permitted only in the north.
pub const NORTH_KEY: &str = "key-north";
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

/// Files of a deployment with two halls and one target of each service in each hall.
pub fn files() -> Vec<SourceFile> {
    let mut text = String::from(
        "[deployment]\nname = small\n[hall.north]\nregion = one\n[hall.south]\nregion = one\n",
    );
    for (service, kind, refusals) in [
        ("encoder", "encoder", "429, 503"),
        ("retriever", "retriever", "429, 503"),
        ("llm", "engine", "503"),
        ("payments", "plain", "429"),
    ] {
        text += &format!("[service.{service}]\nkind = {kind}\nfinal_refusals = {refusals}\n");
        for (index, hall) in ["north", "south"].iter().enumerate() {
            text += &format!(
                "[target.{service}-{hall}]\nservice = {service}\nhall = {hall}\naddress = 127.0.0.1:{}\n",
                index + 1
            );
        }
    }
    text += "[pipeline.read]\ndeadline_ms = 20000\nstages = encode, retrieve, generate\n";
    text += "[stage.read.encode]\nservice = encoder\n";
    text += "[stage.read.retrieve]\nservice = retriever\n";
    text += "[stage.read.generate]\nservice = llm\nmax_tokens = 20\n";
    text += "[pipeline.pay]\ndeadline_ms = 20000\nstages = encode, retrieve, confirm\n";
    text += "[stage.pay.encode]\nservice = encoder\n";
    text += "[stage.pay.retrieve]\nservice = retriever\n";
    text += "[stage.pay.confirm]\nservice = payments\nrepeatable = no\n";
    for (name, halls, key) in [
        ("both", "north, south", BOTH_KEY),
        ("northern", "north", NORTH_KEY),
    ] {
        let hash = hex::encode(hash_key(key));
        text += &format!("[organisation.{name}]\nhalls = {halls}\nkey_sha256 = {hash}\n");
    }
    vec![SourceFile {
        name: "small.ini".into(),
        text,
    }]
}

/// Options with short timeouts and one thread per entry.
pub fn options(entries: usize) -> LocalOptions {
    LocalOptions {
        entries,
        profile: Profile::instant(),
        limits: Limits {
            threads: 1,
            stop_grace_ms: 200,
            isolation_ms: 1_500,
            ..Limits::default()
        },
        timing: FleetTiming {
            tick_ms: 50,
            suspect_ms: 500,
            ..FleetTiming::default()
        },
        host_list_lag: Duration::ZERO,
        ..LocalOptions::default()
    }
}

/// Starts a small fleet, with entries in north, south, north and so on.
pub async fn start(entries: usize) -> LocalFleet {
    start_with(options(entries)).await
}

/// Starts a small fleet with the given options.
pub async fn start_with(options: LocalOptions) -> LocalFleet {
    LocalFleet::start(&files(), options)
        .await
        .expect("the fleet starts")
}

/// Waits until a condition holds; panics on timeout.
pub async fn wait_until(condition: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + CONDITION_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "timed out waiting until {condition}");
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}

/// A request with an id, which identifies it in the execution log.
pub fn request<'a>(pipeline: &'a str, key: &'a str, id: &'a str) -> Request<'a> {
    let mut request = Request::new(pipeline, key, json!("input"));
    request.id = Some(id);
    request
}

/// A payment request with a ticket.
pub fn payment<'a>(key: &'a str, id: &'a str, ticket: &str) -> Request<'a> {
    let mut request = request("pay", key, id);
    request.once = Once::Ticket(ticket.into());
    request
}

/// Calls an entry; panics without a complete answer.
pub async fn call(fleet: &LocalFleet, index: usize, request: &Request<'_>) -> Response {
    Caller::default()
        .call(fleet.entry(index).callers, request)
        .await
        .expect("an answer arrives")
}

/// Gets one ticket.
pub async fn ticket(fleet: &LocalFleet, index: usize, key: &str) -> String {
    let tickets = Caller::default()
        .tickets(fleet.entry(index).callers, key, 1)
        .await;
    tickets.expect("a ticket").pop().expect("one ticket")
}

/// Number of executions of a request's stage, over all targets.
pub fn executions(fleet: &LocalFleet, request: &str, stage: &str) -> usize {
    fleet.targets.log.count(request, stage)
}

/// Applies the files in force with a new address of one target.
pub async fn move_target(fleet: &mut LocalFleet, name: &str, address: SocketAddr) {
    let addresses = HashMap::from([(name.to_string(), address)]);
    let files = localize(&fleet.files, &addresses);
    apply(fleet, files).await;
}

/// Applies files on the revision in force; panics unless every entry has them in force.
pub async fn apply(fleet: &mut LocalFleet, files: Vec<SourceFile>) {
    let base = fleet
        .running()
        .next()
        .expect("an entry runs")
        .entry
        .view()
        .revision();
    let result = fleet
        .apply(0, files.clone(), base, &format!("after-{base}"))
        .await;
    let expected = ApplyResult::Accepted {
        revision: base + 1,
        missing: Vec::new(),
    };
    assert_eq!(result, expected);
    fleet.files = files;
}

/// Unix time in milliseconds, for callers' own ids.
pub fn wall_clock_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("after 1970")
        .as_millis() as u64
}
