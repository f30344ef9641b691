//! The metrics listener.

use hollowsail_platform_standins::target::{answer, limited};
use hollowsail_platform_standins::{ReceivedRequest, Step};

use crate::fixture::{plain_deployment, scrape, Call, Fixture};

/// Guards against failing a request when a target sends malformed or unrecognised headers;
/// operators see them in a counter.
#[actix_rt::test]
async fn unusable_target_headers_are_counted() {
    let script = |request: &ReceivedRequest| {
        let unusable = limited(answer(request, 200, "ok"), "plenty\r\nServer-Mood: low");
        vec![Step::Write(unusable)]
    };
    let (fixture, _target) =
        Fixture::serving(&plain_deployment(1, "/safe/"), "plain", script).await;
    assert_eq!(fixture.call(&Call::new("GET", "/safe/")).await.status, 200);
    let text = scrape(&fixture.gateway).await;
    for header in ["limit", "server-mood"] {
        let counter = format!("hollowsail_odd_words_total{{word=\"{header}\"}}");
        assert!(text.contains(&counter), "{counter} is missing from\n{text}");
    }
}

#[actix_rt::test]
async fn counters_and_histograms_are_scraped() {
    let script = |request: &ReceivedRequest| vec![Step::Write(answer(request, 200, "ok"))];
    let (fixture, _target) =
        Fixture::serving(&plain_deployment(1, "/safe/"), "plain", script).await;
    assert_eq!(fixture.call(&Call::new("GET", "/safe/")).await.status, 200);
    let text = scrape(&fixture.gateway).await;
    for name in [
        "hollowsail_requests_total",
        "hollowsail_request_seconds_bucket",
        "hollowsail_attempts_total",
    ] {
        assert!(text.contains(name), "{name} is missing from\n{text}");
    }
}
