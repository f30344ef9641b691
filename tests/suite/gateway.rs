//! `hollowsail gateway` as a process: its settings, signals and log.

use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

use hollowsail_platform_standins::{DeploymentJson, StoreStandin, TargetStandin};
use rand::Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::process::own_program;

const TIMEOUT: Duration = Duration::from_secs(10);

/// A running `hollowsail gateway`; killed when dropped.
pub(crate) struct Gateway {
    child: Child,
    lines: Receiver<String>,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ended = self.child.kill();
        let _status = self.child.wait();
    }
}

/// A free port below those that the system gives to outgoing connections, which could take it
/// before the gateway listens there.
fn free_addr() -> SocketAddr {
    loop {
        let port = rand::rng().random_range(15_000..30_000);
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("the listener is bound");
        }
    }
}

/// Writes the settings of a gateway on `host`.
pub(crate) fn settings(directory: &Path, host: &str, store: SocketAddr, grace_s: u32) -> PathBuf {
    write_settings(directory, host, store, &format!("grace_s: {grace_s}"), 260).0
}

/// Writes the settings of a gateway with a memory limit; also returns its address for callers.
pub(crate) fn settings_with_memory(
    directory: &Path,
    host: &str,
    store: SocketAddr,
    memory_mb: u64,
) -> (PathBuf, SocketAddr) {
    write_settings(directory, host, store, "grace_s: 8", memory_mb)
}

/// Writes the settings of a gateway whose bounds end with the lines `bounds`.
pub(crate) fn write_settings(
    directory: &Path,
    host: &str,
    store: SocketAddr,
    bounds: &str,
    memory_mb: u64,
) -> (PathBuf, SocketAddr) {
    let [callers, readiness, peers, metrics] = [(); 4].map(|()| free_addr());
    let text = format!(
        "node: {host}\nip: 127.0.0.1\nzone: hall-a\n\
         listen:\n  front: {callers}\n  readiness: {readiness}\n  control: {peers}\n  metrics: {metrics}\n\
         limits:\n  memory_mb: {memory_mb}\n  max_fds: 4100\n\
         bounds:\n  drain_ms: 2000\n  config_apply_ms: 2000\n  {bounds}\n\
         platform:\n  address: {store}\nheartbeat_ms: 1200\n"
    );
    let path = directory.join(format!("{host}.yaml"));
    std::fs::write(&path, text).expect("settings can be written");
    (path, callers)
}

/// Starts the process with its standard output in a pipe.
pub(crate) fn spawn(program: &Path, settings: &Path) -> Child {
    Command::new(program)
        .arg("gateway")
        .env("HOLLOWSAIL_BOOT", settings)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the gateway starts")
}

impl Gateway {
    pub(crate) fn start(settings: &Path) -> Self {
        let mut child = spawn(&own_program(), settings);
        let stdout = BufReader::new(child.stdout.take().expect("piped"));
        let (tx, lines) = channel();
        std::thread::spawn(move || {
            let lines = stdout.lines().map_while(Result::ok);
            lines.for_each(|line| drop(tx.send(line)));
        });
        Gateway { child, lines }
    }

    /// Waits for a log line that contains `event`, without blocking the stand-ins on this thread.
    pub(crate) async fn wait_for_line(&self, event: &str) -> String {
        let deadline = std::time::Instant::now() + TIMEOUT;
        while std::time::Instant::now() < deadline {
            match self.lines.try_recv() {
                Ok(line) if line.contains(event) => return line,
                Ok(_) => {}
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
        panic!("no log line with {event} within {TIMEOUT:?}");
    }

    /// Reads the log from now on without keeping it.
    pub(crate) fn discard_lines(&mut self) {
        let lines = std::mem::replace(&mut self.lines, channel().1);
        std::thread::spawn(move || lines.into_iter().for_each(drop));
    }

    pub(crate) fn is_running(&mut self) -> bool {
        let ended = self.child.try_wait();
        ended.expect("the process status can be read").is_none()
    }

    /// Most memory that the process has used so far.
    pub(crate) fn peak_memory_mb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("the process runs");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = peak.and_then(|peak| peak.trim().strip_suffix(" kB"));
        let kilobytes: u64 = kilobytes
            .and_then(|peak| peak.trim().parse().ok())
            .expect("the peak is a number of kilobytes");
        kilobytes >> 10
    }

    pub(crate) fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status()
            .expect("kill runs");
        assert!(status.success());
    }
}

#[actix_rt::test]
async fn gateway_logs_start_reload_and_stop() {
    let store = StoreStandin::start().await;
    store.put("op/config", &DeploymentJson::new(3).bytes());
    let directory = tempfile::tempdir().expect("a temporary directory");
    let path = settings(directory.path(), "host-1", store.addr, 2);
    let mut gateway = Gateway::start(&path);
    assert!(gateway
        .wait_for_line("HS0101 started")
        .await
        .contains("hall=hall-a"));
    assert!(gateway.wait_for_line("HS0301").await.contains("version=3"));
    settings(directory.path(), "host-1", store.addr, 4);
    gateway.signal("-HUP");
    assert!(gateway
        .wait_for_line("HS0109 reloaded")
        .await
        .contains("grace_s: 4.0"));
    std::fs::write(&path, "node: 1\n").expect("settings can be written");
    gateway.signal("-HUP");
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(
        gateway
            .child
            .try_wait()
            .expect("the process status can be read")
            .is_none(),
        "the gateway keeps running"
    );
    gateway.signal("-TERM");
    gateway.wait_for_line("HS0102 stop_begun").await;
    gateway.wait_for_line("HS0107 left").await;
    let deadline = std::time::Instant::now() + TIMEOUT;
    let status = loop {
        if let Some(status) = gateway
            .child
            .try_wait()
            .expect("the process status can be read")
        {
            break status;
        }
        assert!(
            std::time::Instant::now() < deadline,
            "the gateway did not exit"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    };
    assert!(status.success());
}

#[test]
fn missing_settings_variable_exits_with_advice() {
    let output = Command::new(env!("CARGO_BIN_EXE_hollowsail"))
        .arg("gateway")
        .env_remove("HOLLOWSAIL_BOOT")
        .output()
        .expect("the command runs");
    assert_eq!(output.status.code(), Some(2));
    expect_test::expect![[r#"
        error: HOLLOWSAIL_BOOT is not set; set it to the path of the settings file
    "#]]
    .assert_eq(&String::from_utf8_lossy(&output.stderr));
}

/// Sends a GET request; returns the status, or `None` when the response is incomplete.
pub(crate) async fn get_status(addr: SocketAddr, path: &str) -> Option<u16> {
    let answer = get(addr, path, "1").await.ok()?;
    status_of(&answer)
}

/// Sends a GET request with an id; returns the response.
pub(crate) async fn get(addr: SocketAddr, path: &str, id: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(addr).await?;
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: {id}\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok(answer)
}

fn status_of(answer: &str) -> Option<u16> {
    answer.split(' ').nth(1)?.parse().ok()
}

#[test]
fn unknown_mechanism_is_rejected_by_name() {
    let output = Command::new(env!("CARGO_BIN_EXE_hollowsail"))
        .args(["gateway", "--without", "desks"])
        .env_remove("HOLLOWSAIL_BOOT")
        .output()
        .expect("the command runs");
    assert_eq!(output.status.code(), Some(2));
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(
        stderr.contains("--without desks: no such mechanism"),
        "{stderr}"
    );
}

struct KilledOnDrop(Child);

impl Drop for KilledOnDrop {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ended = self.0.kill();
        let _status = self.0.wait();
    }
}

/// Requests with this id that a target received.
fn requests_with(target: &TargetStandin, id: &str) -> usize {
    let received = target.received().into_iter();
    received
        .filter(|request| request.request_id() == id)
        .count()
}

/// Kills a gateway and returns the lines of its log on a request, as far as they weren't lost, and
/// its last ones.
fn lines_with(child: &mut Child, id: &str) -> String {
    let _ended = child.kill();
    let mut log = String::new();
    let stdout = child.stdout.as_mut().expect("piped");
    let _read = stdout.read_to_string(&mut log);
    let field = format!("request={id} ");
    let of_request = log.lines().filter(|line| line.contains(&field));
    let last = log.lines().rev().take(3);
    let lines: Vec<&str> = of_request.chain(last).collect();
    lines.join("\n")
}

#[actix_rt::test]
async fn unread_log_does_not_block_requests() {
    /// Enough to overflow a pipe of 64 KiB at 100 bytes of log or more for each request.
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
    let directory = tempfile::tempdir().expect("a temporary directory");
    let path = settings(directory.path(), "host-1", store.addr, 2);
    let callers = callers_addr(&path);
    let mut gateway = KilledOnDrop(spawn(&own_program(), &path));
    let deadline = std::time::Instant::now() + TIMEOUT;
    while get_status(callers, "/safe/").await != Some(200) {
        assert!(
            std::time::Instant::now() < deadline,
            "the gateway does not serve"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    for request in 0..REQUESTS {
        let id = request.to_string();
        let answer = tokio::time::timeout(TIMEOUT, get(callers, "/safe/", &id)).await;
        let status = answer.as_ref().map(|answer| {
            let answer = answer.as_ref().ok()?;
            status_of(answer)
        });
        assert_eq!(
            status,
            Ok(Some(200)),
            "request {request}: {answer:?}; received {} times; log: {}",
            requests_with(&target, &id),
            lines_with(&mut gateway.0, &id)
        );
    }
    let child = &mut gateway.0;
    let mut stdout = child.stdout.take().expect("piped");
    let reader = std::thread::spawn(move || {
        let mut log = String::new();
        let _read = stdout.read_to_string(&mut log);
        log
    });
    // Log lines are written again; the first one reports the number of lost lines.
    while get_status(callers, "/safe/").await != Some(200) {}
    tokio::time::sleep(Duration::from_millis(100)).await;
    get_status(callers, "/safe/").await;
    child.kill().expect("the gateway runs");
    child.wait().expect("the gateway exits");
    let log = reader.join().expect("the reader ends");
    assert!(
        log.contains("HS0100 log_lines_lost count="),
        "no lost lines were reported"
    );
    assert!(log.lines().count() < 2 * REQUESTS);
}

/// Callers' address in a settings file.
pub(crate) fn callers_addr(settings: &Path) -> SocketAddr {
    let text = std::fs::read_to_string(settings).expect("the settings can be read");
    let (_, rest) = text
        .split_once("front: ")
        .expect("the settings name the address");
    let (addr, _) = rest.split_once('\n').expect("a line");
    addr.parse().expect("an address")
}

/// Guards against a process that ends without a word on why.
#[actix_rt::test]
async fn signal_of_a_faulty_instruction_is_logged_before_the_end() {
    let store = StoreStandin::start().await;
    store.put("op/config", &DeploymentJson::new(1).bytes());
    let directory = tempfile::tempdir().expect("a temporary directory");
    let path = settings(directory.path(), "host-1", store.addr, 2);
    let mut gateway = Gateway::start(&path);
    gateway.wait_for_line("HS0101 started").await;
    gateway.signal("-ILL");
    let line = gateway.wait_for_line("HS0112 fatal_signal").await;
    assert!(line.contains("signal=4 code=0 thread="), "{line}");
    let status = gateway.child.wait().expect("the gateway exits");
    assert_eq!(status.signal(), Some(4), "{status}");
}
