//! Whether this host reaches its targets, from the results of its own connects.
//!
//! A failed connect may be the target's fault, so others are asked before the host counts as cut
//! off: after failed connects to two targets without a success in between, or when targets have
//! been silent for a while, a probe is due, which connects to a few other targets. If none of them
//! is reached the host is cut off, until a connect succeeds.

use std::time::Duration;

use crate::Millis;

/// Number of targets with a failed connect from which a probe is due.
const FAILED_TARGETS: usize = 2;
/// How long a failed connect counts towards that, in milliseconds.
const FAILURE_WINDOW_MS: Millis = 3_000;
/// How long connects to a target count as failing after the last failure, in milliseconds.
const FAILING_MS: Millis = 1_000;
/// Time without a byte from any target, after something was sent, from which a probe is due. A
/// single target may be silent for longer.
const SILENCE: Duration = Duration::from_millis(300);
/// Least time between probes, in milliseconds.
const PROBE_INTERVAL_MS: Millis = 500;
/// The same while the host is cut off: it bounds how late the end of a cut is noticed.
const CUT_OFF_PROBE_INTERVAL_MS: Millis = 250;

/// What is known of the ways to one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KnownWays {
    /// The host reaches no target directly.
    pub is_cut_off: bool,
    /// Direct connects to the target fail.
    pub is_direct_failing: bool,
    /// Relays didn't reach the target lately.
    pub have_relays_failed: bool,
    /// No peer could relay lately.
    pub has_no_relay: bool,
}

/// How a connection to a target is opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectPlan {
    DirectOnly,
    /// Directly, and through a relay if that fails or takes long.
    DirectFirst,
    /// Through a relay, and directly if that fails.
    RelayFirst,
    RelayOnly,
    /// Neither way works now.
    Neither,
}

impl KnownWays {
    /// How to open a connection to the target.
    pub fn plan(self) -> ConnectPlan {
        let may_relay = !self.have_relays_failed && !self.has_no_relay;
        match (self.is_cut_off, may_relay) {
            (true, true) => ConnectPlan::RelayOnly,
            (true, false) => ConnectPlan::Neither,
            (false, true) if self.is_direct_failing => ConnectPlan::RelayFirst,
            (false, true) => ConnectPlan::DirectFirst,
            (false, false) => ConnectPlan::DirectOnly,
        }
    }
}

/// What is known of the ways from this host to its targets, which have keys `K`.
#[derive(Debug, Clone)]
pub struct Reachability<K> {
    /// The last failed connect to each target.
    failed: Vec<(K, Millis)>,
    last_reached: Option<Millis>,
    last_probe: Option<Millis>,
    cut_off_since: Option<Millis>,
    /// When the last cut ended.
    cut_off_until: Option<Millis>,
}

impl<K> Default for Reachability<K> {
    fn default() -> Self {
        Reachability {
            failed: Vec::new(),
            last_reached: None,
            last_probe: None,
            cut_off_since: None,
            cut_off_until: None,
        }
    }
}

impl<K: Copy + PartialEq> Reachability<K> {
    /// Records a connect that succeeded. Returns for how long the host was cut off, if that ends
    /// with it.
    pub fn record_reached(&mut self, now: Millis, target: K) -> Option<Millis> {
        self.last_reached = Some(now);
        self.failed.retain(|(failed, _)| *failed != target);
        let since = self.cut_off_since.take()?;
        self.cut_off_until = Some(now);
        self.failed.clear();
        Some(now.saturating_sub(since))
    }

    /// Records a connect that failed.
    pub fn record_failed(&mut self, now: Millis, target: K) {
        self.failed
            .retain(|(failed, at)| *failed != target && *at + FAILURE_WINDOW_MS > now);
        self.failed.push((target, now));
    }

    /// Records a probe that begins.
    pub fn record_probe(&mut self, now: Millis) {
        self.last_probe = Some(now);
    }

    /// Records that a probe reached no target. Returns true when the host is cut off from now on.
    pub fn record_failed_probe(&mut self, now: Millis) -> bool {
        let is_new = self.cut_off_since.is_none();
        self.cut_off_since.get_or_insert(now);
        is_new
    }

    /// True when a probe is due. `silent_for` is the time without a byte from any target since
    /// something was sent.
    pub fn is_probe_due(&self, now: Millis, silent_for: Duration) -> bool {
        let interval = match self.is_cut_off() {
            true => CUT_OFF_PROBE_INTERVAL_MS,
            false => PROBE_INTERVAL_MS,
        };
        let is_rested = self.last_probe.is_none_or(|last| now >= last + interval);
        let is_wanted = self.is_cut_off()
            || silent_for >= SILENCE
            || self.failed_since_success(now) >= FAILED_TARGETS;
        is_rested && is_wanted
    }

    /// Number of targets to which connects have failed since the last success.
    fn failed_since_success(&self, now: Millis) -> usize {
        let since_success = |at: Millis| self.last_reached.is_none_or(|reached| at > reached);
        let failed = self.failed.iter();
        failed
            .filter(|(_, at)| since_success(*at) && *at + FAILURE_WINDOW_MS > now)
            .count()
    }

    /// True while the host reaches no target.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off_since.is_some()
    }

    /// True if the host reached no target at some time since `at`.
    pub fn was_cut_off_since(&self, at: Millis) -> bool {
        self.is_cut_off() || self.cut_off_until.is_some_and(|until| until >= at)
    }

    /// True while connects to a target fail: the last one did, not long ago.
    pub fn is_failing(&self, now: Millis, target: K) -> bool {
        let mut failed = self.failed.iter();
        failed.any(|(failed, at)| *failed == target && *at + FAILING_MS > now)
    }

    /// True when a connect to any target has succeeded in the last `within` milliseconds.
    pub fn has_reached_within(&self, now: Millis, within: Millis) -> bool {
        self.last_reached
            .is_some_and(|reached| reached + within > now)
    }
}
