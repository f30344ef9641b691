//! The metrics address.

use hollowsail_platform_standins::target::answer;
use hollowsail_platform_standins::{DeploymentJson, Step, TargetStandin};
use serde_json::json;

use crate::fixture::{exchange, Call, Fixture};

#[actix_rt::test]
async fn counters_and_histograms_are_scraped() {
    let deployment =
        DeploymentJson::new(1)
            .service("plain")
            .route("/safe/", "safe", "plain", json!({}));
    let fixture = Fixture::start(&deployment).await;
    let target = TargetStandin::start(|seen| vec![Step::Write(answer(seen, 200, "ok"))]).await;
    fixture.add("i-1", "plain", &target);
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
