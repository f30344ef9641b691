//! Generated values at the edges of their types: what decodes may be used without an overflow.

use std::time::Duration;

use hollowsail_fleet::warm_ups::{WarmUpRecord, WarmUps};
use hollowsail_fleet::Position;
use hollowsail_platform::deployment::Deployment;
use hollowsail_platform::headers::{AdvertisedLimit, CallerHeaders, TargetHeaders};
use hollowsail_platform::{operators, targets};
use hollowsail_platform_standins::DeploymentJson;
use hollowsail_routing::{LimitGate, LimitShare};
use hollowsail_stages::{BatchQueue, HallKey, PoolRules};
use http::{HeaderMap, HeaderValue, StatusCode};
use proptest::prelude::*;
use serde_json::{json, Value};

/// Time since the start of a process that has run for ten years, in milliseconds.
const LATE_MS: u64 = 10 * 365 * 86_400_000;

fn edge_number() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(json!(0)),
        Just(json!(-1)),
        Just(json!(u32::MAX)),
        Just(json!(u64::from(u32::MAX) + 1)),
        Just(json!(u64::MAX)),
        Just(json!(i64::MIN)),
        Just(json!(1e300)),
        Just(json!(-1e300)),
        Just(json!(1e-300)),
        Just(json!(1.8446744073709552e19)),
        any::<u64>().prop_map(|number| json!(number)),
        any::<f64>().prop_map(|number| json!(number)),
        (0..100_000u64).prop_map(|number| json!(number)),
    ]
}

fn edge_text() -> impl Strategy<Value = String> {
    let number = || edge_number().prop_map(|number| number.to_string());
    prop_oneof![
        3 => number(),
        1 => proptest::collection::vec(number(), 1..5).prop_map(|numbers| numbers.join(",")),
        1 => "[0-9.eE,:+-]{0,40}",
    ]
}

fn valid_deployment() -> Value {
    let stages = json!([{ "service": "encoders", "after": [], "bytes": 1000 }]);
    let bytes = DeploymentJson::new(2)
        .service("plain")
        .engines("engines")
        .stage_service("encoders", 4, 20.0, 10.0)
        .route("/staged/", "stream", "engines", json!({ "stages": stages }))
        .bytes();
    serde_json::from_slice(&bytes).expect("it is JSON")
}

/// Uses the sizes and times of a configuration as requests with many pieces do.
fn use_deployment(deployment: &Deployment) {
    for route in &deployment.routes {
        let weights = route.services.iter().map(|(_, weight)| u64::from(*weight));
        assert!(weights.sum::<u64>() < u64::MAX);
        let bytes = route.stages.iter().map(|stage| stage.result_bytes * 10_000);
        assert!(bytes.sum::<u64>() < u64::MAX);
        assert!(route.timeout + route.target_latency * 4 < Duration::MAX);
    }
    for pool in deployment
        .services
        .iter()
        .filter_map(|s| s.stage_pool.as_ref())
    {
        let mut queue: BatchQueue<()> = BatchQueue::new(PoolRules {
            running: pool.max_running as usize,
            batch: pool.batch,
            call_ms: pool.call_time.as_secs_f64() * 1000.0,
            piece_ms: pool.piece_time.as_secs_f64() * 1000.0,
            result_bytes: pool.result_bytes,
        });
        let worker = queue.add_worker(HallKey(0));
        queue.mark_memory_full(worker, 1, pool.retention.as_millis() as u64, LATE_MS);
        let _call = queue.next_call(LATE_MS);
        let _load = queue.load(LATE_MS);
    }
}

proptest! {
    #[test]
    fn records_of_targets_are_used_without_overflow(
        cold in edge_number(), slots in edge_number(), born in edge_number(), port in edge_number(),
    ) {
        let record = json!({
            "service": "plain", "address": format!("127.0.0.1:{port}"), "zone": "hall-a",
            "slots": slots, "state": "ready", "cold_left_ms": cold, "born": born,
        });
        let with_port = targets::decode("i-1", record.to_string().as_bytes());
        let mut record = record;
        record["address"] = json!("127.0.0.1:1");
        let decoded = targets::decode("i-1", record.to_string().as_bytes());
        for record in with_port.into_iter().chain(decoded) {
            let mut warm_ups = WarmUps::default();
            let record = WarmUpRecord {
                incarnation: &record.incarnation.id,
                at: Position::default(),
                remaining_ms: record.warm_up_ms,
            };
            warm_ups.replace(LATE_MS, [record].into_iter());
            prop_assert!(warm_ups.until("i-1") <= Some(LATE_MS + 86_400_000));
        }
    }

    #[test]
    fn heads_of_targets_are_used_without_overflow(
        retry_after in edge_text(), limit in edge_text(), brittle in edge_text(), load in edge_text(),
    ) {
        let mut headers = HeaderMap::new();
        let values = [
            ("retry-after", retry_after), ("server-limit", limit), ("server-brittle", brittle),
            ("x-server-load", load),
        ];
        for (name, value) in values {
            headers.insert(name, HeaderValue::from_str(&value).expect("it is text"));
        }
        let head = TargetHeaders::read(StatusCode::SERVICE_UNAVAILABLE, &headers);
        let backoff = head.retry_after.unwrap_or_default();
        prop_assert!(LATE_MS.checked_add(backoff.as_millis() as u64).is_some());
        for limit in [head.limit, head.refusal_limit] {
            if let AdvertisedLimit::PerSecond(per_s) = limit {
                let mut gate = LimitGate::default();
                let share = LimitShare::default();
                for _ in 0..3 {
                    gate.record_sent(LATE_MS, Some(per_s), share);
                    let _opens = gate.opens_at(LATE_MS, Some(per_s), share);
                }
            }
        }
    }

    #[test]
    fn heads_of_callers_are_used_without_overflow(
        deadline in edge_text(), tokens in edge_text(), parts in edge_text(), pieces in edge_text(),
    ) {
        let mut headers = HeaderMap::new();
        let values = [
            ("x-request-id", "00000000deadbeef".to_string()), ("x-deadline-ms", deadline),
            ("x-token-counts", tokens), ("x-prompt-prefix", format!("aa:{parts}")),
            ("x-pieces", pieces),
        ];
        for (name, value) in values {
            headers.insert(name, HeaderValue::from_str(&value).expect("it is text"));
        }
        if let Ok(caller) = CallerHeaders::read(&headers) {
            let now = hollowsail_clock::BootInstant::now();
            let _deadline = now + caller.deadline.unwrap_or_default();
            let generation = caller.generation.iter();
            let tokens = generation.map(|generation| {
                let parts = generation.parts.iter().map(|part| part.tokens).sum::<u64>();
                (generation.prompt_tokens + generation.max_new_tokens + parts) * 1_000
            });
            prop_assert!(tokens.sum::<u64>() < u64::MAX);
            prop_assert!(caller.pieces.iter().map(|count| u64::from(*count)).sum::<u64>() < u64::MAX);
        }
    }

    #[test]
    fn configurations_are_used_without_overflow(
        numbers in proptest::collection::vec(edge_number(), 16),
    ) {
        let mut configuration = valid_deployment();
        let mut numbers = numbers.into_iter();
        let mut next = || numbers.next().unwrap_or_default();
        for field in ["timeout_ms", "target_latency_ms", "max_attempts"] {
            configuration["routes"][0][field] = next();
        }
        configuration["routes"][0]["stages"][0]["bytes"] = next();
        for field in ["slots", "queue", "batch", "call_ms", "item_ms", "headroom_mb", "handle_s"] {
            configuration["services"][2]["pieces"][field] = next();
        }
        for field in ["slots", "kv_capacity_tokens"] {
            configuration["services"][1]["engine"][field] = next();
        }
        // One field at a time as well: a configuration with any negative count is rejected whole.
        if let Ok(deployment) = Deployment::decode(configuration.to_string().as_bytes()) {
            use_deployment(&deployment);
        }
        let fields = [
            ("/routes/0/timeout_ms", next()),
            ("/routes/0/stages/0/bytes", next()),
            ("/services/2/pieces/headroom_mb", next()),
        ];
        for (field, number) in fields {
            let mut configuration = valid_deployment();
            *configuration.pointer_mut(field).expect("it is there") = number;
            if let Ok(deployment) = Deployment::decode(configuration.to_string().as_bytes()) {
                use_deployment(&deployment);
            }
        }
    }

    #[test]
    fn orders_are_used_without_overflow(seconds in edge_number()) {
        let order = json!({ "service": "plain", "target_version": "v2", "duration_s": seconds });
        if let Ok(order) = operators::decode_rollout("plain", order.to_string().as_bytes()) {
            prop_assert!(LATE_MS.checked_add(order.within.as_millis() as u64).is_some());
        }
    }
}
