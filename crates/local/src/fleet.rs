//! Starts, reconfigures and stops a fleet on loopback.

use std::net::SocketAddr;
use std::time::Duration;

use hollowsail_clients::{HostRecord, HostStatus};
use hollowsail_config::key::hash_key;
use hollowsail_config::settings::{Limits, Settings};
use hollowsail_config::{check, Deployment, Faults, SourceFile};
use hollowsail_entry::apply::{self, ApplyRequest, ApplyResult};
use hollowsail_entry::worker::Worker;
use hollowsail_entry::{start, RunningEntry, StartError, StartOptions};
use hollowsail_fleet::FleetTiming;
use hollowsail_routing::Switches;
use hollowsail_standins::{HostListStandIn, Profile, StoreStandIn, TargetStandIns};
use snafu::{ResultExt, Snafu};

use crate::localize::localize;

/// Operators' key of every local entry.
pub const OPERATOR_KEY: &str = "local-operator";
const FLEET_KEY: &[u8] = b"a fleet on loopback";
/// How long an apply waits to be in force everywhere.
const APPLY_WAIT_MS: u64 = 10_000;

const MEMBERS_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why a local fleet does not start.
#[derive(Debug, Snafu)]
pub enum LocalError {
    #[snafu(display("{source}"))]
    Check { source: Faults },
    #[snafu(display("cannot start a stand-in: {source}; check the limit on open files"))]
    StandIn { source: std::io::Error },
    #[snafu(display("{source}"))]
    Entry { source: StartError },
    #[snafu(display("the configuration was not accepted: {result:?}"))]
    Apply { result: ApplyResult },
}

/// Options of a local fleet.
#[derive(Debug, Clone)]
pub struct LocalOptions {
    pub entries: usize,
    pub profile: Profile,
    /// Seed of the stand-ins' random faults.
    pub seed: u64,
    pub host_list_lag: Duration,
    pub limits: Limits,
    pub timing: FleetTiming,
    pub switches: Switches,
}

impl Default for LocalOptions {
    fn default() -> Self {
        LocalOptions {
            entries: 3,
            profile: Profile::default(),
            seed: 1,
            host_list_lag: Duration::from_secs(2),
            limits: Limits::default(),
            timing: FleetTiming::default(),
            switches: Switches::default(),
        }
    }
}

/// A running fleet. Stopped entries stay in `entries` as `None`.
pub struct LocalFleet {
    pub deployment: Deployment,
    /// Files in force, with the stand-ins' addresses.
    pub files: Vec<SourceFile>,
    pub store: StoreStandIn,
    pub host_list: HostListStandIn,
    pub targets: TargetStandIns,
    pub entries: Vec<Option<RunningEntry>>,
    options: LocalOptions,
    next_entry: usize,
}

impl LocalFleet {
    /// Starts stand-ins and entries and applies the files.
    pub async fn start(files: &[SourceFile], options: LocalOptions) -> Result<Self, LocalError> {
        let deployment = check(files).context(CheckSnafu)?;
        let targets = TargetStandIns::start(&deployment, options.profile).context(StandInSnafu)?;
        let files = localize(files, &targets.addresses);
        let deployment = check(&files).context(CheckSnafu)?;
        let store = StoreStandIn::start(options.seed).context(StandInSnafu)?;
        let host_list = HostListStandIn::start(live_hosts(&deployment), options.host_list_lag)
            .context(StandInSnafu)?;
        let mut fleet = LocalFleet {
            deployment,
            files,
            store,
            host_list,
            targets,
            entries: Vec::new(),
            options,
            next_entry: 0,
        };
        for _ in 0..fleet.options.entries {
            fleet.start_entry().await?;
        }
        let files = fleet.files.clone();
        match fleet.apply(0, files, 0, "first").await {
            ApplyResult::Accepted { .. } => {
                fleet.wait_for_members().await;
                Ok(fleet)
            }
            result => Err(LocalError::Apply { result }),
        }
    }

    /// Waits until all running entries list each other and have the files in
    /// force, as a load balancer waits for their readiness.
    pub async fn wait_for_members(&self) {
        let count = self.running().count();
        let ready = |entry: &RunningEntry| {
            let view = entry.entry.view();
            let present = view.members.iter().filter(|m| m.is_present()).count();
            present + 1 >= count && view.revision() > 0 && entry.entry.has_joined_fleet()
        };
        while !self.running().all(ready) {
            tokio::time::sleep(MEMBERS_POLL_INTERVAL).await;
        }
    }

    /// Starts one more entry and returns its index; halls are assigned in rotation.
    pub async fn start_entry(&mut self) -> Result<usize, LocalError> {
        let index = self.next_entry;
        let hall = &self.deployment.halls[index % self.deployment.halls.len()];
        let name = format!("entry-{}", index + 1);
        let settings = self.settings(&name, &hall.name);
        let options = StartOptions {
            timing: self.options.timing,
            switches: self.options.switches,
            configuration: None,
        };
        let running = start(settings, options).await.context(EntrySnafu)?;
        self.entries.push(Some(running));
        self.next_entry += 1;
        Ok(index)
    }

    /// Settings of a new entry, with every running entry as a seed.
    pub fn settings(&self, name: &str, hall: &str) -> Settings {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Settings {
            name: name.into(),
            hall: hall.into(),
            callers: any_port,
            peers: any_port,
            operators: any_port,
            fleet_key: FLEET_KEY.to_vec(),
            seeds: self.running().map(|entry| entry.peers).collect(),
            store: Some(self.store.address),
            host_list: Some(self.host_list.address),
            operator_key: hash_key(OPERATOR_KEY),
            tls: None,
            limits: self.options.limits,
        }
    }

    pub fn running(&self) -> impl Iterator<Item = &RunningEntry> {
        self.entries.iter().flatten()
    }

    /// The entry at an index.
    ///
    /// # Panics
    /// When the entry was stopped.
    pub fn entry(&self, index: usize) -> &RunningEntry {
        self.entries[index]
            .as_ref()
            .expect("the entry should be running")
    }

    /// Callers' addresses of all running entries.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.running().map(|entry| entry.callers).collect()
    }

    /// Applies files at an entry, as an operator would.
    pub async fn apply(
        &self,
        index: usize,
        files: Vec<SourceFile>,
        base: u64,
        apply_id: &str,
    ) -> ApplyResult {
        let request = apply_request(files, base, apply_id, false, APPLY_WAIT_MS);
        self.send_apply(index, request).await
    }

    /// Applies files without waiting until they are in force everywhere.
    pub async fn apply_without_waiting(
        &self,
        index: usize,
        files: Vec<SourceFile>,
        base: u64,
        apply_id: &str,
    ) -> ApplyResult {
        self.send_apply(index, apply_request(files, base, apply_id, false, 0))
            .await
    }

    /// Resends an apply whose outcome is unknown.
    pub async fn resend_apply(
        &self,
        index: usize,
        files: Vec<SourceFile>,
        base: u64,
        apply_id: &str,
    ) -> ApplyResult {
        let request = apply_request(files, base, apply_id, true, APPLY_WAIT_MS);
        self.send_apply(index, request).await
    }

    async fn send_apply(&self, index: usize, request: ApplyRequest) -> ApplyResult {
        let running = self.entry(index);
        let worker = Worker::new(running.entry.clone(), running.control.clone());
        apply::apply(&worker, request).await
    }

    /// Removes an entry from the fleet, to be stopped or killed.
    pub fn take_entry(&mut self, index: usize) -> Option<RunningEntry> {
        self.entries[index].take()
    }

    /// Kills the entries and stops the stand-ins.
    pub async fn shut_down(mut self) {
        for index in 0..self.entries.len() {
            if let Some(entry) = self.take_entry(index) {
                entry.kill().await;
            }
        }
        self.targets.stop().await;
        self.host_list.stop().await;
        self.store.stop().await;
    }
}

fn live_hosts(deployment: &Deployment) -> Vec<HostRecord> {
    deployment
        .targets
        .iter()
        .map(|target| HostRecord {
            name: target.name.clone(),
            incarnation: 1,
            status: HostStatus::Live,
        })
        .collect()
}

fn apply_request(
    files: Vec<SourceFile>,
    base: u64,
    apply_id: &str,
    resent: bool,
    wait_ms: u64,
) -> ApplyRequest {
    ApplyRequest {
        files,
        base,
        apply_id: apply_id.into(),
        resent,
        wait_ms,
    }
}
