//! `hollowsail gateway` as a process: its settings, signals and log.

use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

use hollowsail_platform_standins::{DeploymentJson, StoreStandin, TargetStandin};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longest wait for a line.
const PATIENCE: Duration = Duration::from_secs(10);

/// A running `hollowsail gateway`; killed when dropped.
struct Gateway {
    child: Child,
    lines: Receiver<String>,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ended = self.child.kill();
        let _status = self.child.wait();
    }
}

fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback can be bound");
    listener.local_addr().expect("it is bound")
}

fn settings(directory: &Path, store: SocketAddr, grace_s: u32) -> PathBuf {
    let [callers, readiness, peers, metrics] = [(); 4].map(|()| free_addr());
    let text = format!(
        "node: host-1\nip: 127.0.0.1\nzone: hall-a\n\
         listen:\n  front: {callers}\n  readiness: {readiness}\n  control: {peers}\n  metrics: {metrics}\n\
         limits:\n  memory_mb: 260\n  max_fds: 4100\n\
         bounds:\n  drain_ms: 2000\n  grace_s: {grace_s}\n  config_apply_ms: 2000\n\
         platform:\n  address: {store}\nheartbeat_ms: 1200\n"
    );
    let path = directory.join("settings.yaml");
    std::fs::write(&path, text).expect("settings can be written");
    path
}

/// Starts the process with its log in a pipe.
fn spawn(settings: &Path) -> Child {
    Command::new(env!("CARGO_BIN_EXE_hollowsail"))
        .arg("gateway")
        .env("HOLLOWSAIL_BOOT", settings)
        .stdout(Stdio::piped())
        .spawn()
        .expect("it starts")
}

impl Gateway {
    fn start(settings: &Path) -> Self {
        let mut child = spawn(settings);
        let stdout = BufReader::new(child.stdout.take().expect("piped"));
        let (tx, lines) = channel();
        std::thread::spawn(move || {
            let lines = stdout.lines().map_while(Result::ok);
            lines.for_each(|line| drop(tx.send(line)));
        });
        Gateway { child, lines }
    }

    /// Waits for a line with an event, while the stand-ins on this thread serve.
    async fn line_with(&self, event: &str) -> String {
        let until = std::time::Instant::now() + PATIENCE;
        while std::time::Instant::now() < until {
            match self.lines.try_recv() {
                Ok(line) if line.contains(event) => return line,
                Ok(_) => {}
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
        panic!("no line with {event}");
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status()
            .expect("kill runs");
        assert!(status.success());
    }
}

#[actix_rt::test]
async fn it_logs_its_start_reload_and_stop_and_ends_in_order() {
    let store = StoreStandin::start().await;
    store.put("op/config", &DeploymentJson::new(3).bytes());
    let directory = tempfile::tempdir().expect("a directory");
    let path = settings(directory.path(), store.addr, 2);
    let mut gateway = Gateway::start(&path);
    assert!(gateway
        .line_with("HS0101 started")
        .await
        .contains("hall=hall-a"));
    assert!(gateway.line_with("HS0301").await.contains("version=3"));
    settings(directory.path(), store.addr, 4);
    gateway.signal("-HUP");
    assert!(gateway
        .line_with("HS0109 reloaded")
        .await
        .contains("grace_s: 4.0"));
    std::fs::write(&path, "node: 1\n").expect("settings can be written");
    gateway.signal("-HUP");
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(
        gateway.child.try_wait().expect("it can be asked").is_none(),
        "it goes on"
    );
    gateway.signal("-TERM");
    gateway.line_with("HS0102 stop_begun").await;
    gateway.line_with("HS0107 left").await;
    let until = std::time::Instant::now() + PATIENCE;
    let status = loop {
        if let Some(status) = gateway.child.try_wait().expect("it can be asked") {
            break status;
        }
        assert!(std::time::Instant::now() < until, "it did not end");
        tokio::time::sleep(Duration::from_millis(10)).await;
    };
    assert!(status.success());
}

#[test]
fn without_usable_settings_it_ends_and_says_what_to_do() {
    let output = Command::new(env!("CARGO_BIN_EXE_hollowsail"))
        .arg("gateway")
        .env_remove("HOLLOWSAIL_BOOT")
        .output()
        .expect("it runs");
    assert_eq!(output.status.code(), Some(2));
    expect_test::expect![[r#"
        error: HOLLOWSAIL_BOOT is not set; set it to the path of the settings file
    "#]]
    .assert_eq(&String::from_utf8_lossy(&output.stderr));
}

/// Asks until the gateway answers with a status.
async fn status_of(addr: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(addr).await.ok()?;
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: 1\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.ok()?;
    answer.split(' ').nth(1)?.parse().ok()
}

#[test]
fn without_an_unknown_mechanism_it_ends_and_names_the_known_ones() {
    let output = Command::new(env!("CARGO_BIN_EXE_hollowsail"))
        .args(["gateway", "--without", "desks"])
        .env_remove("HOLLOWSAIL_BOOT")
        .output()
        .expect("it runs");
    assert_eq!(output.status.code(), Some(2));
    let said = String::from_utf8_lossy(&output.stderr);
    assert!(
        said.contains("--without desks: no such mechanism"),
        "{said}"
    );
}

#[actix_rt::test]
async fn a_log_that_nobody_reads_holds_no_request_up() {
    /// Each logs at least 100 bytes: far more than a pipe holds (64 KiB).
    const REQUESTS: usize = 1_500;
    let store = StoreStandin::start().await;
    let target = TargetStandin::answering("ok", Duration::ZERO).await;
    let deployment = DeploymentJson::new(1).service("plain").route(
        "/safe/",
        "safe",
        "plain",
        serde_json::json!({}),
    );
    store.put("op/config", &deployment.bytes());
    store.put_target("i-1", "plain", target.addr, "hall-a", "ready");
    let directory = tempfile::tempdir().expect("a directory");
    let path = settings(directory.path(), store.addr, 2);
    let callers = callers_of(&path);
    let mut child = spawn(&path);
    let until = std::time::Instant::now() + PATIENCE;
    while status_of(callers, "/safe/").await != Some(200) {
        assert!(std::time::Instant::now() < until, "it does not serve");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    for request in 0..REQUESTS {
        let answered = tokio::time::timeout(PATIENCE, status_of(callers, "/safe/")).await;
        assert_eq!(answered, Ok(Some(200)), "request {request}");
    }
    let mut stdout = child.stdout.take().expect("piped");
    let reader = std::thread::spawn(move || {
        let mut log = String::new();
        let _read = stdout.read_to_string(&mut log);
        log
    });
    // Lines get through again, the first of them telling how many were lost.
    while status_of(callers, "/safe/").await != Some(200) {}
    tokio::time::sleep(Duration::from_millis(100)).await;
    status_of(callers, "/safe/").await;
    child.kill().expect("it runs");
    child.wait().expect("it ends");
    let log = reader.join().expect("it reads");
    assert!(
        log.contains("HS0100 log_lines_lost count="),
        "none was lost"
    );
    assert!(log.lines().count() < 2 * REQUESTS);
}

/// Where settings say that callers come.
fn callers_of(settings: &Path) -> SocketAddr {
    let text = std::fs::read_to_string(settings).expect("it was written");
    let (_, rest) = text.split_once("front: ").expect("it names the address");
    let (addr, _) = rest.split_once('\n').expect("a line");
    addr.parse().expect("an address")
}
