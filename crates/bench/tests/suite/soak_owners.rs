//! Times in which two gateways call the workers of one service.

use std::time::Duration;

use hollowsail_bench::soak::{longest_disagreement, Arrival, Disagreement, GrantLog};

/// Calls of a gateway at some times, each a piece of a call of its own; and its log.
fn calls(host: &str, at_ms: impl Iterator<Item = u64>, log: &mut GrantLog) -> Vec<Arrival> {
    let calls = at_ms.map(|at_ms| {
        let call = format!("{host}-{at_ms}");
        let line = format!("HS0210 call_ended entry={host} queue=workers/0 call={call} pieces=1\n");
        log.add(host, &line);
        Arrival {
            service: "workers".to_string(),
            target: "workers-1".to_string(),
            request: call.clone(),
            piece: Some((0, 0)),
            at: Duration::from_millis(at_ms),
            given: None,
            call: Some(call),
        }
    });
    calls.collect()
}

#[test]
fn change_of_owner_is_no_disagreement() {
    let mut log = GrantLog::default();
    let mut arrivals = calls("host-1", (0..2_000).step_by(20), &mut log);
    arrivals.extend(calls("host-2", (2_000..4_000).step_by(20), &mut log));
    // Ends what it began.
    arrivals.extend(calls("host-1", [2_100, 2_300].into_iter(), &mut log));
    assert_eq!(longest_disagreement(&arrivals, &log), None);
}

#[test]
fn two_owners_at_a_time_are_found() {
    let mut log = GrantLog::default();
    let mut arrivals = calls("host-1", (0..3_500).step_by(20), &mut log);
    arrivals.extend(calls("host-2", (2_000..4_000).step_by(20), &mut log));
    let found = Disagreement {
        service: "workers".to_string(),
        from: Duration::from_millis(2_000),
        lasted: Duration::from_millis(1_500),
        owners: vec!["host-1".to_string(), "host-2".to_string()],
    };
    assert_eq!(longest_disagreement(&arrivals, &log), Some(found));
}
