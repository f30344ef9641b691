//! Values at the edges of their types, from other writers of the store, targets and callers: they
//! end no task, and what comes after them is followed.

use std::time::Duration;

use hollowsail_platform_standins::target::answer;
use hollowsail_platform_standins::{DeploymentJson, ReceivedRequest, Step, TargetStandin};
use serde_json::{json, Value};

use crate::fixture::{
    eventually, generation, plain_deployment, single_event_stream, Call, Fixture,
};

/// JSON numbers at the edges of the types that they are decoded to, and text that is none.
const NUMBERS: [&str; 18] = [
    "-1",
    "-0.0",
    "0",
    "1e300",
    "1.8e19",
    "9e18",
    "18446744073709551615",
    "18446744073709551616",
    "9223372036854775808",
    "4294967295",
    "4294967296",
    "65536",
    "70000",
    "1e-300",
    "1e400",
    "null",
    "\"\"",
    "[]",
];

/// A record whose field has a value that is inserted as text.
fn record_with(target: &TargetStandin, field: &str, value: &str) -> String {
    let mut record = json!({
        "service": "plain",
        "address": target.addr.to_string(),
        "zone": "hall-a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "born": 1,
        "sequence": 1,
    });
    record[field] = Value::String("@".to_string());
    record.to_string().replace("\"@\"", value)
}

fn odd_records(target: &TargetStandin) -> Vec<String> {
    let fields = ["cold_left_ms", "slots", "born", "sequence", "added"];
    let numbers = fields
        .iter()
        .flat_map(|field| NUMBERS.map(|number| record_with(target, field, number)));
    let ports = ["70000", "0", "-1", "99999999999999999999"];
    let ports = ports.map(|port| {
        let address = format!("\"127.0.0.1:{port}\"");
        record_with(target, "address", &address)
    });
    let nested = "[".repeat(200_000);
    let closed = nested.clone() + &"]".repeat(200_000);
    let nested = [
        record_with(target, "added", &nested),
        record_with(target, "added", &closed),
        record_with(target, "zone", &closed),
        closed.clone(),
        "{}".to_string(),
        String::new(),
        "\u{0}".to_string(),
        record_with(target, "version", &format!("\"{}\"", "v".repeat(300_000))),
    ];
    numbers.chain(ports).chain(nested).collect()
}

async fn served(fixture: &Fixture, requests: usize) -> usize {
    let mut served = 0;
    for number in 0..requests {
        let call = Call::new("GET", "/safe/x").with("X-Request-Id", &format!("{number:016x}"));
        let answer = call.send(fixture.gateway.addrs.callers).await;
        served += usize::from(answer.status == 200);
    }
    served
}

/// True once a request reaches a target, one of many.
async fn is_heard_of(fixture: &Fixture, target: &TargetStandin) -> bool {
    for _ in 0..1_000 {
        served(fixture, 1).await;
        if !target.received().is_empty() {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    false
}

async fn answering() -> TargetStandin {
    TargetStandin::answering("ok", Duration::from_millis(1)).await
}

// Guards against a list of targets that nobody follows any more after one odd record.
#[actix_rt::test]
async fn targets_are_followed_after_each_odd_record() {
    let fixture = Fixture::start(&plain_deployment(1, "/safe/")).await;
    let first = answering().await;
    fixture.add("i-first", "plain", &first);
    let odd = answering().await;
    for (number, record) in odd_records(&odd).into_iter().enumerate() {
        fixture.store.put("servers/i-odd", record.as_bytes());
        // A change of its own, instead of one with the next.
        tokio::time::sleep(Duration::from_millis(40)).await;
        if number % 9 == 0 {
            let later = answering().await;
            let id = format!("i-later-{number}");
            fixture.add(&id, "plain", &later);
            assert!(
                is_heard_of(&fixture, &later).await,
                "unheard of after {}",
                &record[..record.len().min(200)]
            );
            fixture.store.delete(&format!("servers/{id}"));
        }
    }
}

// Guards against a process that never knows a target because of one odd record in the first list.
#[actix_rt::test]
async fn first_list_with_odd_records_is_followed() {
    let store = hollowsail_platform_standins::StoreStandin::start().await;
    store.put("op/config", &plain_deployment(1, "/safe/").bytes());
    let odd = answering().await;
    for (number, record) in odd_records(&odd).into_iter().enumerate() {
        store.put(&format!("servers/a-odd-{number:03}"), record.as_bytes());
    }
    for number in 0..20 {
        let value = [0xc1, 0xff, number];
        store.put(&format!("hollowsail/peers/odd-{number}"), &value);
    }
    let target = answering().await;
    store.put_target("z-sound", "plain", target.addr, "hall-a", "ready");
    let gateway = crate::fixture::gateway(&store, "host-1", "hall-a").await;
    let fixture = Fixture { store, gateway };
    eventually("the sound target is known", || {
        fixture.store.keys("hollowsail/peers/host-1").len() == 1
    })
    .await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(served(&fixture, 30).await, 30);
    let later = answering().await;
    fixture.add("z-later", "plain", &later);
    assert!(is_heard_of(&fixture, &later).await);
}

/// Values of the reports in targets' answers.
const REPORTS: [(&str, &str); 9] = [
    ("Retry-After", "1e18"),
    ("Retry-After", "18446744073709551615"),
    ("Retry-After", "1e300"),
    ("Server-Limit", "18446744073709551616"),
    ("Server-Limit", "0.000000000000000000001"),
    ("Server-Brittle", "99999999999999999999999"),
    ("X-Server-Load", "4294967295,4294967295,4294967295"),
    ("X-Server-Load", "4294967295,4294967295,0,10000"),
    ("Keep-Alive", "timeout=18446744073709551615"),
];

fn with_header(answer: Vec<u8>, name: &str, value: &str) -> Vec<u8> {
    let text = String::from_utf8_lossy(&answer).to_string();
    let added = format!("\r\n{name}: {value}\r\n");
    text.replacen("\r\n", &added, 1).into_bytes()
}

// Guards against a report of one target that ends the tasks of its requests.
#[actix_rt::test]
async fn requests_are_answered_after_each_odd_report_of_a_target() {
    for (name, value) in REPORTS {
        for status in [200, 503] {
            let script = move |request: &ReceivedRequest| {
                let answer = answer(request, status, "ok");
                vec![Step::Write(with_header(answer, name, value))]
            };
            let (fixture, _odd) =
                Fixture::serving(&plain_deployment(1, "/safe/"), "plain", script).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
            served(&fixture, 5).await;
            let sound = answering().await;
            fixture.add("i-2", "plain", &sound);
            tokio::time::sleep(Duration::from_millis(200)).await;
            let served = served(&fixture, 10).await;
            assert!(served > 0, "{name}: {value} with {status}");
        }
    }
}

// Guards against numbers of one caller that end the tasks of others' requests.
#[actix_rt::test]
async fn generations_are_served_after_each_odd_number_of_a_caller() {
    let deployment = DeploymentJson::new(1).engines("engines").route(
        "/once/",
        "stream",
        "engines",
        json!({ "target_latency_ms": 1000 }),
    );
    let (fixture, _engine) = Fixture::serving(&deployment, "engines", single_event_stream).await;
    fixture.call(&generation(0)).await;
    let most = u64::MAX.to_string();
    let odd = [
        ("X-Token-Counts", format!("{most},{most}")),
        ("X-Token-Counts", format!("{most},1")),
        ("X-Prompt-Prefix", format!("aa:{most},bb:{most}")),
        ("X-Prompt-Prefix", format!("aa:{most},cc:{most},bb:1")),
        ("X-Deadline-Ms", "1e300".to_string()),
        ("X-Deadline-Ms", "0".to_string()),
        ("X-Pieces", "10000,10000,10000".to_string()),
    ];
    let callers = fixture.gateway.addrs.callers;
    for (number, (name, value)) in odd.iter().enumerate() {
        let call = generation(100 + number).with(name, value);
        let several = (0..5).map(|_| call.send(callers));
        futures_util::future::join_all(several).await;
        let answer = generation(200 + number).send(callers).await;
        assert_eq!(answer.status, 200, "after {name}: {value}: {answer:?}");
    }
}

/// Configurations with a number at the edge of its type.
fn odd_configurations() -> Vec<Value> {
    let valid = || {
        let stages = json!([{ "service": "encoders", "after": [], "bytes": 1000 }]);
        let route = json!({ "stages": stages, "target_latency_ms": 1000, "timeout_ms": 30000 });
        let bytes = DeploymentJson::new(2)
            .service("plain")
            .engines("engines")
            .stage_service("encoders", 4, 20.0, 10.0)
            .route("/safe/", "safe", "plain", json!({}))
            .route("/staged/", "stream", "engines", route)
            .bytes();
        serde_json::from_slice::<Value>(&bytes).expect("it is JSON")
    };
    let mut odd = Vec::new();
    let numbers = [
        json!(1e300),
        json!(u64::MAX),
        json!(4_294_967_295u64),
        json!(0),
    ];
    for number in numbers {
        for field in ["timeout_ms", "target_latency_ms", "max_attempts"] {
            let mut configuration = valid();
            configuration["routes"][1][field] = number.clone();
            odd.push(configuration);
        }
        let mut weights = valid();
        let weighted = json!([
            { "service": "engines", "weight": number },
            { "service": "engines", "weight": number },
        ]);
        weights["routes"][1]["weighted_services"] = weighted;
        odd.push(weights);
        let mut bytes = valid();
        bytes["routes"][1]["stages"][0]["bytes"] = number.clone();
        odd.push(bytes);
        let pieces = [
            "slots",
            "queue",
            "batch",
            "call_ms",
            "item_ms",
            "headroom_mb",
            "handle_s",
        ];
        for field in pieces {
            let mut configuration = valid();
            configuration["services"][2]["pieces"][field] = number.clone();
            odd.push(configuration);
        }
        for field in ["slots", "kv_capacity_tokens"] {
            let mut configuration = valid();
            configuration["services"][1]["engine"][field] = number.clone();
            odd.push(configuration);
        }
    }
    odd
}

// Guards against a configuration that ends the tasks which use it.
#[actix_rt::test]
async fn configurations_are_followed_after_each_odd_one() {
    let fixture = Fixture::start(&plain_deployment(1, "/safe/")).await;
    let target = answering().await;
    fixture.add("i-1", "plain", &target);
    let engine = TargetStandin::start(single_event_stream).await;
    fixture.add("i-engine", "engines", &engine);
    let worker = TargetStandin::start(|request| {
        let results = hollowsail_platform_standins::target::results(request, "producer");
        vec![Step::Write(results)]
    })
    .await;
    fixture.add("i-worker", "encoders", &worker);
    let mut version = 2;
    for mut odd in odd_configurations() {
        version += 1;
        odd["version"] = json!(version);
        fixture.store.put("op/config", odd.to_string().as_bytes());
        tokio::time::sleep(Duration::from_millis(30)).await;
        for number in 0..3 {
            let staged = generation(number)
                .with("X-Pieces", "3")
                .with("X-Piece-Key", "the-key");
            let staged = Call {
                path: "/staged/".to_string(),
                ..staged
            };
            staged
                .with("X-Deadline-Ms", "200")
                .send(fixture.gateway.addrs.callers)
                .await;
        }
    }
    version += 1;
    let last = plain_deployment(version, "/last/");
    fixture.store.put("op/config", &last.bytes());
    let call = Call::new("GET", "/last/x");
    let mut status = 0;
    for _ in 0..400 {
        status = call.send(fixture.gateway.addrs.callers).await.status;
        if status == 200 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(status, 200);
}
