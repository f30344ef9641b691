//! Text that other processes chose, in the log of a gateway's process.

use std::time::Duration;

use hollowsail_platform_standins::{DeploymentJson, StoreStandin, TargetStandin};

use crate::gateway::{callers_addr, get, settings, Gateway};

const FORGED: &str =
    "[2026-12-07T00:00:00Z INFO  hollowsail] HS0204 request_ended entry=host-1 request=FORGED status=200";

/// Guards against records whose keys write lines, or parts of lines, of their own.
#[actix_rt::test]
async fn key_of_a_record_forges_no_line_and_no_field() {
    let store = StoreStandin::start().await;
    store.put("op/config", &DeploymentJson::new(1).bytes());
    for end in ["\n", "\r\n", "\u{85}", "\u{2028}"] {
        store.put(&format!("servers/a{end}{FORGED}"), b"{}");
    }
    store.put("servers/b at=9 bytes=9 why=\"fine\"", b"{}");
    store.put("servers/c", b"{\"service\": \"\\u001b[2J\\nHS0204\"}");
    let directory = tempfile::tempdir().expect("a temporary directory");
    let gateway = Gateway::start(&settings(directory.path(), "host-1", store.addr, 2));
    for end in ["\\n", "\\r\\n", "\\u{85}", "\\u{2028}"] {
        let line = gateway.wait_for_line("record_unreadable").await;
        assert!(
            line.contains(&format!(" key=\"servers/a{end}{FORGED}\" at=")),
            "{line}"
        );
    }
    let line = gateway.wait_for_line("record_unreadable").await;
    let key = r#" key="servers/b at=9 bytes=9 why=\"fine\"" at="#;
    assert!(line.contains(key), "{line}");
    let line = gateway.wait_for_line("record_unreadable").await;
    assert!(line.contains(" key=servers/c at="), "{line}");
    assert!(!line.contains(char::is_control), "{line}");
}

/// Guards against a caller's request id that reads as further fields.
#[actix_rt::test]
async fn id_of_a_request_forges_no_field() {
    let store = StoreStandin::start().await;
    let target = TargetStandin::answering("ok", Duration::ZERO).await;
    let route = serde_json::json!({});
    let deployment = DeploymentJson::new(1).service("plain");
    store.put(
        "op/config",
        &deployment.route("/safe/", "safe", "plain", route).bytes(),
    );
    store.put_target("i-1", "plain", target.addr, "hall-a", "ready");
    let directory = tempfile::tempdir().expect("a temporary directory");
    let path = settings(directory.path(), "host-1", store.addr, 2);
    let gateway = Gateway::start(&path);
    gateway.wait_for_line("HS0310 target_record").await;
    let answer = get(callers_addr(&path), "/safe/", "1 status=200 \"x").await;
    assert!(answer.is_ok(), "{answer:?}");
    for event in ["HS0201 route", "HS0204 request_ended"] {
        let line = gateway.wait_for_line(event).await;
        assert!(line.contains(r#" request="1 status=200 \"x" "#), "{line}");
    }
}
