//! A small deployment and the steps that most tests share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use hollowsail_config::key::hash_key;
use hollowsail_config::settings::Limits;
use hollowsail_config::SourceFile;
use hollowsail_entry::apply::ApplyResult;
use hollowsail_fleet::FleetTiming;
use hollowsail_local::caller::Request;
use hollowsail_local::{localize, Answered, Caller, LocalFleet, LocalOptions, Once};
use hollowsail_standins::Profile;
use serde_json::json;

/// Organisation permitted in both halls.
pub const BOTH: &str = "key-both";
/// Organisation permitted in the north alone.
pub const NORTH: &str = "key-north";
/// Longest wait for something that must come about.
const PATIENCE: Duration = Duration::from_secs(20);

/// Two halls; two targets of each service, one in each hall.
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
        for (at, hall) in ["north", "south"].iter().enumerate() {
            text += &format!(
                "[target.{service}-{hall}]\nservice = {service}\nhall = {hall}\naddress = 127.0.0.1:{}\n",
                at + 1
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
    for (name, halls, key) in [("both", "north, south", BOTH), ("northern", "north", NORTH)] {
        let hash = hex::encode(hash_key(key));
        text += &format!("[organisation.{name}]\nhalls = {halls}\nkey_sha256 = {hash}\n");
    }
    vec![SourceFile {
        name: "small.ini".into(),
        text,
    }]
}

/// Options with short times and few threads.
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

/// A small fleet; entries stand in north, south, north, ...
pub async fn start(entries: usize) -> LocalFleet {
    start_with(options(entries)).await
}

/// A small fleet with other options.
pub async fn start_with(options: LocalOptions) -> LocalFleet {
    LocalFleet::start(&files(), options)
        .await
        .expect("it starts")
}

/// Waits until a condition holds; panics when it never does.
pub async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "never came about: {what}");
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}

/// A request with an id, to find it again in the record of executions.
pub fn request<'a>(pipeline: &'a str, key: &'a str, id: &'a str) -> Request<'a> {
    let mut request = Request::new(pipeline, key, json!("input"));
    request.id = Some(id);
    request
}

/// A payment under a ticket.
pub fn payment<'a>(key: &'a str, id: &'a str, ticket: &str) -> Request<'a> {
    let mut request = request("pay", key, id);
    request.once = Once::Ticket(ticket.into());
    request
}

/// Calls an entry; the answer must arrive.
pub async fn call(fleet: &LocalFleet, place: usize, request: &Request<'_>) -> Answered {
    Caller::default()
        .call(fleet.entry(place).callers, request)
        .await
        .expect("an answer arrives")
}

/// Gets one ticket.
pub async fn ticket(fleet: &LocalFleet, place: usize, key: &str) -> String {
    let tickets = Caller::default()
        .tickets(fleet.entry(place).callers, key, 1)
        .await;
    tickets.expect("a ticket").pop().expect("one ticket")
}

/// Executions of a stage of a request, at any target.
pub fn executions(fleet: &LocalFleet, request: &str, stage: &str) -> usize {
    fleet.targets.log.count(request, stage)
}

/// Applies the files in force with one target moved to another address.
pub async fn move_target(fleet: &mut LocalFleet, name: &str, address: SocketAddr) {
    let addresses = HashMap::from([(name.to_string(), address)]);
    let files = localize(&fleet.files, &addresses);
    apply(fleet, files).await;
}

/// Applies files on the revision in force; they must be accepted everywhere.
pub async fn apply(fleet: &mut LocalFleet, files: Vec<SourceFile>) {
    let base = fleet
        .running()
        .next()
        .expect("one runs")
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

/// Milliseconds since 1970, for callers' own ids.
pub fn wall_clock_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("after 1970")
        .as_millis() as u64
}
