//! A roll-out by gateways of two builds, as during an upgrade.
//!
//! `HOLLOWSAIL_OLD_BUILD` names the program of an older build, as in `mixed_builds`.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::time::{Duration, Instant};

use hollowsail_platform_standins::target::answer;
use hollowsail_platform_standins::{DeploymentJson, Step, StoreStandin, TargetStandin};
use serde_json::{json, Value};

use crate::gateway::{callers_addr, get_status, settings, spawn};
use crate::mixed_builds::old_program;
use crate::process::own_program;

const TARGETS: usize = 4;
/// Time within which the operators want the new version everywhere.
const ROLLOUT_TIME: Duration = Duration::from_secs(8);

/// A running gateway; killed when dropped.
struct Gateway {
    child: Child,
    callers: SocketAddr,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ended = self.child.kill();
        let _status = self.child.wait();
    }
}

impl Gateway {
    fn start(program: &Path, directory: &Path, host: &str, store: SocketAddr) -> Self {
        let settings = settings(directory, host, store, 4);
        Gateway {
            callers: callers_addr(&settings),
            child: spawn(program, &settings),
        }
    }
}

async fn target(version: &'static str) -> TargetStandin {
    TargetStandin::start(move |request| vec![Step::Write(answer(request, 200, version))]).await
}

fn received(targets: &[TargetStandin]) -> usize {
    targets.iter().map(|target| target.received().len()).sum()
}

/// The state of the roll-out in the status that operators read.
fn state(store: &StoreStandin) -> Option<String> {
    let status = store.value("status/rollout/plain")?;
    let status: Value = serde_json::from_slice(&status).expect("the status is JSON");
    Some(status["state"].as_str()?.to_string())
}

/// Sends a batch of requests to both gateways.
async fn send_batch(gateways: &[Gateway; 2]) {
    let calls = gateways
        .iter()
        .flat_map(|gateway| (0..4).map(|_| get_status(gateway.callers, "/a/")));
    for status in futures_util::future::join_all(calls).await {
        assert_eq!(status, Some(200));
    }
    tokio::time::sleep(Duration::from_millis(10)).await;
}

/// Rolls a healthy version out at two gateways with the given programs.
async fn roll_out(programs: [&Path; 2]) {
    let store = StoreStandin::start().await;
    let deployment =
        DeploymentJson::new(1)
            .service("plain")
            .route("/a/", "safe", "plain", json!({}));
    store.put("op/config", &deployment.bytes());
    let (mut old, mut new) = (Vec::new(), Vec::new());
    for index in 0..TARGETS {
        old.push(target("v1").await);
        new.push(target("v2").await);
        store.put_target_version(&format!("old-{index}"), "plain", old[index].addr, "v1");
    }
    let directory = tempfile::tempdir().expect("a temporary directory");
    let start = |program, host| Gateway::start(program, directory.path(), host, store.addr);
    let gateways = [start(programs[0], "host-1"), start(programs[1], "host-2")];
    let deadline = Instant::now() + Duration::from_secs(10);
    for gateway in &gateways {
        while get_status(gateway.callers, "/a/").await != Some(200) {
            assert!(Instant::now() < deadline, "a gateway does not serve");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    let order = json!({
        "service": "plain", "target_version": "v2", "duration_s": ROLLOUT_TIME.as_secs_f64(),
    });
    store.put("op/rollout/plain", order.to_string().as_bytes());
    for (index, target) in new.iter().enumerate() {
        store.put_target_version(&format!("new-{index}"), "plain", target.addr, "v2");
    }
    let ordered = Instant::now();
    while state(&store).as_deref() != Some("completed") {
        assert!(ordered.elapsed() < ROLLOUT_TIME, "{:?}", state(&store));
        send_batch(&gateways).await;
    }
    let to_old = received(&old);
    for _ in 0..20 {
        send_batch(&gateways).await;
    }
    assert_eq!(received(&old), to_old, "requests after completion");
    assert!(received(&new) > 0);
}

#[actix_rt::test]
async fn rollout_completes_with_old_build_at_host_1() {
    roll_out([&old_program(), &own_program()]).await;
}

/// The other way around, so that each build leads in one of the two tests.
#[actix_rt::test]
async fn rollout_completes_with_old_build_at_host_2() {
    roll_out([&own_program(), &old_program()]).await;
}
