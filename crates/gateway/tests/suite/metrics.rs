//! The metrics address.

use hollowsail_platform_standins::target::answer;
use hollowsail_platform_standins::{Seen, Step};

use crate::fixture::{exchange, plain_deployment, Call, Fixture};

#[actix_rt::test]
async fn counters_and_histograms_are_scraped() {
    let script = |seen: &Seen| vec![Step::Write(answer(seen, 200, "ok"))];
    let (fixture, _target) =
        Fixture::serving(&plain_deployment(1, "/safe/"), "plain", script).await;
    assert_eq!(fixture.call(&Call::new("GET", "/safe/")).await.status, 200);
    let at = fixture.gateway.at.metrics.expect("it listens");
    let scrape = b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let text = String::from_utf8(exchange(at, scrape).await).expect("text");
    for name in [
        "hollowsail_requests_total",
        "hollowsail_request_seconds_bucket",
        "hollowsail_attempts_total",
    ] {
        assert!(text.contains(name), "{name} is missing from\n{text}");
    }
}
