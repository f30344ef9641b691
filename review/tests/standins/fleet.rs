//! The gateways of a case: their settings, processes and readiness.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::net::call;

/// What was sent, answered and run, with the time since the start of the case.
pub struct Record {
    began: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn new() -> Arc<Record> {
        Arc::new(Record {
            began: Instant::now(),
            lines: Mutex::default(),
        })
    }

    pub fn line(&self, text: String) {
        let ms = self.began.elapsed().as_millis();
        self.lines.lock().unwrap().push(format!("{ms:>6} {text}"));
    }

    pub fn write(&self, path: &str) {
        let text = self.lines.lock().unwrap().join("\n") + "\n";
        if let Err(err) = fs::write(path, text) {
            eprintln!("cannot write {path}: {err}");
        }
    }
}

/// One gateway process.
pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    output: PathBuf,
    child: Option<Child>,
}

/// The gateways; they are killed when this is dropped.
pub struct Fleet {
    pub gateways: Vec<Gateway>,
    program: Vec<String>,
    root: PathBuf,
    folder: PathBuf,
}

extern "C" {
    fn prctl(option: i32, signal: u64, _: u64, _: u64, _: u64) -> i32;
}
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// Has a process end with this one, also when this one is killed. It has to be started on the main
/// thread.
pub fn end_with_parent(command: &mut Command) -> &mut Command {
    // SAFETY: prctl is async-signal-safe and takes no pointers here.
    unsafe {
        command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0) {
            0 => Ok(()),
            _ => Err(std::io::Error::last_os_error()),
        })
    }
}

/// The command of the one role in the deploy file.
fn deployed_command(root: &PathBuf) -> Vec<String> {
    let text = fs::read_to_string(root.join("deploy/system.toml")).expect("there is a deploy file");
    let run = text
        .lines()
        .find_map(|line| line.trim().strip_prefix("run"));
    let run = run
        .and_then(|rest| rest.split('"').nth(1))
        .expect("the role has a command");
    run.split(' ').map(str::to_string).collect()
}

/// A loopback address of its own for each gateway, as every machine has one. No connection is opened
/// from it, so that a port that was free stays free until the gateway listens.
fn host_ip(index: usize) -> Ipv4Addr {
    let process = std::process::id();
    let (second, third) = (64 + (process % 128) as u8, (process / 128 % 250) as u8);
    Ipv4Addr::new(127, second, third, index as u8 + 1)
}

/// Four free ports at an address.
fn free_addrs(ip: Ipv4Addr) -> Vec<SocketAddr> {
    let bind = |_| TcpListener::bind((ip, 0)).expect("a loopback port is free");
    let listeners: Vec<TcpListener> = (0..4).map(bind).collect();
    let addrs = listeners.iter().map(|listener| listener.local_addr());
    addrs
        .map(|addr| addr.expect("a bound listener has an address"))
        .collect()
}

impl Fleet {
    /// Starts `count` gateways, one to a zone in turn.
    pub fn start(count: usize, zones: &[&str], store: SocketAddr) -> Fleet {
        let root = std::env::current_dir().expect("the current folder is known");
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder can be made");
        let addrs: Vec<SocketAddr> = (0..count)
            .flat_map(|index| free_addrs(host_ip(index)))
            .collect();
        let seeds: Vec<String> = (0..count)
            .map(|index| format!("\"{}\"", addrs[index * 4 + 2]))
            .collect();
        let mut fleet = Fleet {
            gateways: Vec::new(),
            program: deployed_command(&root),
            root,
            folder: folder.clone(),
        };
        for index in 0..count {
            let [front, readiness, control, metrics] =
                [0, 1, 2, 3].map(|offset| addrs[index * 4 + offset]);
            let name = format!("front-{}", index + 1);
            let zone = zones[index % zones.len()];
            let zones: String = zones
                .iter()
                .map(|zone| format!("  {zone}: \"region\"\n"))
                .collect();
            let text = format!(
                "node: \"{name}\"\nrole: \"gateway\"\nmachine_class: \"front\"\nserves:\n  - \"front\"\n  \
                 - \"control\"\nip: \"{}\"\nzone: \"{zone}\"\nregion: \"region\"\nzones:\n{zones}\
                 listen:\n  front: \"{front}\"\n  readiness: \"{readiness}\"\n  control: \"{control}\"\n  \
                 metrics: \"{metrics}\"\nseeds: [{}]\nbootstrap: true\nloss_counts: false\n\
                 limits:\n  cpu_share: 1.0\n  cores: 1\n  memory_mb: 260\n  max_fds: 4100\n  \
                 link_mbps: 1000.0\n  disk_mb: 0\ndata_dir: null\ndiscovery: \"platform\"\nentry: \"vip\"\n\
                 heartbeat_ms: 1200\nbounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  contact_ms: 3000\n  \
                 ack_ms: 4000\n  catch_up_s: 4\n  drain_ms: 2000\n  grace_s: 8\n  loss_slack_ms: 200\n  \
                 config_apply_ms: 2000\n  rollback_slack_ms: 250\n  max_stretch_ms: 5000\n  \
                 retry_budget_ratio: 0.2\n  retry_window_s: 10\n  retry_extra: 56\n  recovery_s: 12\n  \
                 pass_ms: 120\n  retry_after_s: 10\nplatform:\n  address: \"{store}\"\n  form: \"kv\"\n  \
                 writes_per_s: 400\n  reads_per_s: 2000\n  history_s: 20\n  value_bytes: 1048576\n  \
                 min_ttl_ms: 1000\n",
                front.ip(),
                seeds.join(", ")
            );
            let settings = folder.join(format!("{name}.yaml"));
            fs::write(&settings, text).expect("the settings can be written");
            let output = folder.join(format!("{name}.log"));
            fleet.gateways.push(Gateway {
                name,
                front,
                readiness,
                settings,
                output,
                child: None,
            });
            fleet.start_gateway(index);
        }
        fleet
    }

    pub fn start_gateway(&mut self, index: usize) {
        let gateway = &mut self.gateways[index];
        let open = || {
            File::options()
                .create(true)
                .append(true)
                .open(&gateway.output)
        };
        let (out, err) = (
            open().expect("a log can be made"),
            open().expect("a log can be made"),
        );
        let mut command = Command::new(self.root.join(&self.program[0]));
        let child = end_with_parent(&mut command)
            .args(&self.program[1..])
            .current_dir(&self.root)
            .env("HOLLOWSAIL_BOOT", &gateway.settings)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn();
        gateway.child = child
            .map_err(|err| eprintln!("cannot start a gateway: {err}"))
            .ok();
    }

    pub fn pid(&self, index: usize) -> Option<u32> {
        self.gateways[index].child.as_ref().map(Child::id)
    }

    /// Sends a signal by its name to a gateway that this fleet started.
    #[allow(dead_code)]
    pub fn signal(&self, index: usize, signal: &str) {
        if let Some(pid) = self.pid(index) {
            let sent = Command::new("kill")
                .args(["-s", signal, &pid.to_string()])
                .status();
            if !sent.is_ok_and(|status| status.success()) {
                eprintln!("cannot signal gateway {index}");
            }
        }
    }

    /// Waits for the end of a gateway's process.
    #[allow(dead_code)]
    pub fn wait(&mut self, index: usize) -> Option<std::process::ExitStatus> {
        self.gateways[index]
            .child
            .as_mut()
            .and_then(|child| child.wait().ok())
    }

    /// True once every gateway has answered two readiness checks with 200.
    pub fn is_ready_within(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let check = |gateway: &Gateway| {
            let answer = call(
                gateway.readiness,
                "GET",
                "/-/ready",
                &[("Host", "gateway"), ("Connection", "close")],
                b"",
                Duration::from_millis(500),
            );
            answer.is_ok_and(|answer| answer.status() == 200)
        };
        let mut passed = 0;
        while Instant::now() < until {
            passed = match self.gateways.iter().all(check) {
                true => passed + 1,
                false => 0,
            };
            if passed == 2 {
                return true;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Gateways whose processes have ended.
    pub fn ended(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for gateway in &mut self.gateways {
            if let Some(Ok(Some(status))) = gateway.child.as_mut().map(Child::try_wait) {
                ended.push(format!("{}: {status}", gateway.name));
            }
        }
        ended
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for gateway in &mut self.gateways {
            if let Some(child) = &mut gateway.child {
                let _ended = child.kill();
                let _status = child.wait();
            }
        }
        if std::env::var_os("KEEP").is_some() {
            eprintln!("logs kept in {}", self.folder.display());
        } else if let Err(err) = fs::remove_dir_all(&self.folder) {
            eprintln!("cannot remove {}: {err}", self.folder.display());
        }
    }
}
