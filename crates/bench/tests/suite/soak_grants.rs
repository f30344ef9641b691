//! Arrivals of work that no gateway granted.

use std::time::Duration;

use hollowsail_bench::soak::{Arrival, GrantLog};

const LOG: &str = "\
HS0236 repeated service=workers request=r1 stage=1 piece=4 why=call_failed left=3.00
HS0236 repeated service=plain request=r2 why=failed left=3.00
HS0237 repeat_refused service=workers request=r1 stage=1 piece=5 why=call_failed
HS0210 call_ended entry=host-3 queue=workers/0 target=workers-2 call=c1 pieces=6 ms=80 outcome=\"answered\"
";

fn arrival(service: &str, request: &str, piece: Option<(u64, u64)>, at_ms: u64) -> Arrival {
    Arrival {
        service: service.to_string(),
        target: format!("{service}-2"),
        request: request.to_string(),
        piece,
        at: Duration::from_millis(at_ms),
        given: None,
        call: piece.map(|_| format!("c{at_ms}")),
    }
}

fn log() -> GrantLog {
    let mut log = GrantLog::default();
    log.add("host-3.1", LOG);
    log
}

#[test]
fn granted_repeats_are_kept() {
    let arrivals = [
        arrival("workers", "r1", Some((1, 4)), 1),
        arrival("workers", "r1", Some((1, 4)), 2),
        arrival("finishers", "r1", Some((2, 4)), 3),
        arrival("plain", "r2", None, 4),
        arrival("plain", "r2", None, 5),
    ];
    assert_eq!(log().ungranted(&arrivals), []);
}

#[test]
fn repeat_that_nobody_granted_is_named_with_its_senders() {
    let arrivals = [
        arrival("workers", "r1", Some((1, 5)), 2),
        arrival("workers", "r1", Some((1, 5)), 1),
    ];
    let failures = log().evaluate(&arrivals);
    let texts: Vec<&str> = failures.iter().map(|f| f.description.as_str()).collect();
    let expected = "workers request r1 stage 1 piece 5: 2 arrivals, 0 repeats granted: \
                    1 ms at workers-2 from host-3.1; 2 ms at workers-2 from unknown;";
    assert_eq!(texts, [expected]);
}

#[test]
fn more_arrivals_than_grants_are_found() {
    let thrice = [1, 2, 3].map(|at_ms| arrival("plain", "r2", None, at_ms));
    let ungranted = log().ungranted(&thrice);
    assert_eq!((ungranted.len(), ungranted[0].granted), (1, 1));
}

#[test]
fn log_that_lacks_lines_fails_the_check() {
    let mut log = log();
    log.add("host-4.2", "HS0100 log_lines_lost count=3\n");
    assert_eq!(log.evaluate(&[]).len(), 1);
}
