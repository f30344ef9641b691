//! Requests that are restricted to some regions by their route or organisation.
//!
//! Attempts, stages and retries must all stay within the allowed regions.

use std::time::Duration;

use hollowsail_gateway::Running;
use hollowsail_platform::settings::Settings;
use hollowsail_platform_standins::target::{answer, results};
use hollowsail_platform_standins::{
    DeploymentJson, ReceivedRequest, Step, StoreStandin, TargetStandin,
};
use serde_json::json;

use crate::fixture::{gateway_at, settings, Call};

/// Requests sent to check that a region gets none of them.
const TRIES: usize = 30;

/// Settings of a gateway in hall-a, which is in region south; hall-b is in region north.
fn settings_in_south(store: &StoreStandin) -> Settings {
    let mut settings = settings("host-1", "hall-a", store.addr);
    let halls = [("hall-a", "south"), ("hall-b", "north")];
    settings.regions = halls
        .map(|(hall, region)| (hall.into(), region.into()))
        .into();
    settings
}

fn serve(request: &ReceivedRequest, hall: &'static str) -> Vec<Step> {
    let is_call = request.path.starts_with("/-/stage");
    vec![Step::Write(match is_call {
        true => results(request, hall),
        false => answer(request, 200, hall),
    })]
}

/// Targets of the given services in both halls, and a gateway.
struct Site {
    south: TargetStandin,
    north: TargetStandin,
    gateway: Running,
}

impl Site {
    async fn start(deployment: &DeploymentJson, services: &[&str]) -> Self {
        let store = StoreStandin::start().await;
        store.put("op/config", &deployment.bytes());
        let south = TargetStandin::start(|request| serve(request, "south")).await;
        let north = TargetStandin::start(|request| serve(request, "north")).await;
        for service in services {
            store.put_target(
                &format!("s-{service}"),
                service,
                south.addr,
                "hall-a",
                "ready",
            );
            store.put_target(
                &format!("n-{service}"),
                service,
                north.addr,
                "hall-b",
                "ready",
            );
        }
        let gateway = gateway_at(settings_in_south(&store)).await;
        tokio::time::sleep(Duration::from_millis(400)).await;
        Site {
            south,
            north,
            gateway,
        }
    }

    async fn distinct_answers(&self, call: &Call) -> Vec<String> {
        let mut answers = Vec::new();
        for _ in 0..TRIES {
            let got = call.send(self.gateway.addrs.callers).await;
            answers.push(format!("{} {}", got.status, got.body));
        }
        answers.sort();
        answers.dedup();
        answers
    }
}

fn only(regions: &[&str]) -> serde_json::Value {
    json!({ "allowed_regions": regions })
}

#[actix_rt::test]
async fn requests_stay_in_the_route_regions() {
    let deployment = DeploymentJson::new(1)
        .service("plain")
        .route("/n/", "safe", "plain", only(&["north"]))
        .route("/s/", "safe", "plain", only(&["south", "elsewhere"]))
        .route("/any/", "safe", "plain", json!({}));
    let site = Site::start(&deployment, &["plain"]).await;
    assert_eq!(
        site.distinct_answers(&Call::new("GET", "/n/")).await,
        ["200 north"]
    );
    assert_eq!(
        site.distinct_answers(&Call::new("GET", "/s/")).await,
        ["200 south"]
    );
    let any = site.distinct_answers(&Call::new("GET", "/any/")).await;
    assert_eq!(any, ["200 north", "200 south"]);
}

#[actix_rt::test]
async fn disjoint_route_and_org_regions_refuse() {
    let deployment = DeploymentJson::new(1)
        .service("plain")
        .route("/any/", "safe", "plain", json!({}))
        .route("/n/", "safe", "plain", only(&["north"]))
        .organisation_with_regions("southern", "key-s", &["south"]);
    let site = Site::start(&deployment, &["plain"]).await;
    let call = |path| Call::new("GET", path).with("Authorization", "Bearer key-s");
    assert_eq!(site.distinct_answers(&call("/any/")).await, ["200 south"]);
    let before = site.north.received().len() + site.south.received().len();
    let started = std::time::Instant::now();
    let answers = site.distinct_answers(&call("/n/")).await;
    assert!(
        answers
            .iter()
            .all(|answer| answer.starts_with("503 no_target")),
        "{answers:?}"
    );
    assert!(
        started.elapsed() < Duration::from_secs(2),
        "each is refused at once"
    );
    let after = site.north.received().len() + site.south.received().len();
    assert_eq!(after, before, "nothing ran anywhere");
}

#[actix_rt::test]
async fn stages_run_in_the_request_regions() {
    let stages = json!({
        "allowed_regions": ["north"],
        "stages": [{ "service": "first", "after": [], "bytes": 1_000 }],
    });
    let deployment = DeploymentJson::new(1)
        .service("plain")
        .stage_service("first", 4, 20.0, 10.0)
        .route("/n/", "safe", "plain", stages);
    let site = Site::start(&deployment, &["plain", "first"]).await;
    let call = Call::new("GET", "/n/")
        .with("X-Pieces", "2")
        .with("X-Piece-Key", "key");
    assert_eq!(site.distinct_answers(&call).await, ["200 north"]);
    assert!(site.south.received().is_empty(), "no data leaves the north");
}

#[actix_rt::test]
async fn retries_stay_in_the_request_regions() {
    let store = StoreStandin::start().await;
    let route = json!({ "allowed_regions": ["north"], "max_attempts": 3 });
    let deployment = DeploymentJson::new(1)
        .service("plain")
        .route("/n/", "safe", "plain", route);
    store.put("op/config", &deployment.bytes());
    let south = TargetStandin::start(|request| serve(request, "south")).await;
    store.put_target("s", "plain", south.addr, "hall-a", "ready");
    let mut north = Vec::new();
    for index in 0..3 {
        let failing =
            TargetStandin::start(|request| vec![Step::Write(answer(request, 500, "no"))]).await;
        store.put_target(
            &format!("n-{index}"),
            "plain",
            failing.addr,
            "hall-b",
            "ready",
        );
        north.push(failing);
    }
    let gateway = gateway_at(settings_in_south(&store)).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    for _ in 0..TRIES {
        let got = Call::new("GET", "/n/").send(gateway.addrs.callers).await;
        assert_eq!(got.status, 500);
    }
    assert!(south.received().is_empty());
    assert!(
        north
            .iter()
            .map(|target| target.received().len())
            .sum::<usize>()
            > TRIES
    );
}
