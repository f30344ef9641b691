//! Entry daemons run as child processes.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};

use hollowsail_config::key::hash_key;

/// Operators' key of every daemon.
pub const OPERATOR_KEY: &str = "operator";

/// The program under test.
pub fn own_program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_hollowsail"))
}

/// A running `hollowsail entry`; killed when dropped.
pub struct Daemon {
    child: Child,
    stdout: BufReader<ChildStdout>,
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    pub operators: SocketAddr,
}

impl Daemon {
    /// Starts a daemon of `program` and waits until it prints its addresses.
    pub fn start(
        program: &Path,
        directory: &Path,
        name: &str,
        hall: &str,
        store: SocketAddr,
        seeds: &[SocketAddr],
    ) -> Daemon {
        let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
        let settings = format!(
            "[entry]\nname = {name}\nhall = {hall}\n\
             [listen]\ncallers = 127.0.0.1:0\npeers = 127.0.0.1:0\noperators = 127.0.0.1:0\n\
             [fleet]\nkey = 00112233445566778899aabbccddeeff\nseeds = {}\n\
             [platform]\nstore = {store}\n\
             [operators]\nkey_sha256 = {}\n\
             [limits]\nthreads = 1\nstop_grace_ms = 1500\n",
            seeds.join(", "),
            hex::encode(hash_key(OPERATOR_KEY)),
        );
        let path = directory.join(format!("{name}.ini"));
        std::fs::write(&path, settings).expect("settings can be written");
        let mut child = Command::new(program)
            .args(["entry", "--settings"])
            .arg(&path)
            .env("RUST_LOG", "error")
            .stdout(Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let mut stdout = BufReader::new(child.stdout.take().expect("piped"));
        let mut line = String::new();
        stdout
            .read_line(&mut line)
            .expect("it prints its addresses");
        let address = |name: &str| -> SocketAddr {
            line.split_whitespace()
                .find_map(|field| field.strip_prefix(name))
                .and_then(|text| text.parse().ok())
                .expect("an address")
        };
        Daemon {
            callers: address("callers="),
            peers: address("peers="),
            operators: address("operators="),
            child,
            stdout,
        }
    }

    /// Sends a signal to this daemon alone.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([&format!("-{name}"), &self.child.id().to_string()])
            .status();
        assert!(status.expect("kill runs").success());
    }

    /// True once the process has exited with success.
    pub fn has_exited_successfully(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(status)) if status.success())
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = &self.stdout;
    }
}
