//! Distinguishes a crashed target from one whose connection broke.
//!
//! The address of a crashed process refuses connections until its restart, seconds later; a
//! target that dropped a connection accepts new ones. So the check opens a connection after an
//! answer broke off; where that is refused or unanswered, others are asked, and the state may
//! remain unknown. Answers that break off together share one probe, which begins after the last of
//! them: an earlier one doesn't show that the target outlived an answer.

use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::{FutureExt, LocalBoxFuture, Shared};
use hollowsail_clock::BootInstant;
use tokio::net::TcpStream;

use crate::dial::{dial, DialError};
use crate::dialer::{Dialer, ProcessState, Unreached};

/// Connect timeout of a probe. The address of a crashed target refuses within a round trip.
pub const CHECK_TIMEOUT: Duration = Duration::from_millis(150);
/// How long a new connection must stay open to count as accepted: an exiting process closes
/// its descriptors within a millisecond.
const ACCEPTED_AFTER: Duration = Duration::from_millis(5);
/// Delay of a probe, which answers that break off meanwhile share.
const PROBE_DELAY: Duration = Duration::from_millis(2);
/// How long a crash is known without another probe; no target restarts sooner.
const CRASH_LIFETIME: Duration = Duration::from_millis(800);

/// Checks whether a target has crashed; concurrent checks share one probe.
#[derive(Default)]
pub struct CrashCheck {
    last: RefCell<Option<Probe>>,
}

struct Probe {
    starts: BootInstant,
    result: Shared<LocalBoxFuture<'static, ProcessState>>,
}

impl Probe {
    /// True if its result holds for an answer that has just broken off.
    fn is_current(&self, now: BootInstant) -> bool {
        match self.result.peek() {
            Some(ProcessState::Ended) => now < self.starts + CRASH_LIFETIME,
            _ => now < self.starts,
        }
    }
}

impl CrashCheck {
    /// True when no process listens at the target's address.
    pub async fn has_crashed(&self, addr: SocketAddr) -> bool {
        let confirm = Dialer::direct(addr).confirm_state;
        self.state(addr, false, confirm).await == ProcessState::Ended
    }

    /// Whether a process listens at the target's address. `confirm` decides where a direct
    /// connection isn't accepted, or isn't tried because they are known to fail.
    pub async fn state<F>(
        &self,
        addr: SocketAddr,
        is_direct_failing: bool,
        confirm: impl FnOnce(Unreached) -> F + 'static,
    ) -> ProcessState
    where
        F: Future<Output = ProcessState> + 'static,
    {
        let result = {
            let mut last = self.last.borrow_mut();
            let now = BootInstant::now();
            match &*last {
                Some(probe) if probe.is_current(now) => probe.result.clone(),
                _ => {
                    let check = async move {
                        tokio::time::sleep(PROBE_DELAY).await;
                        let direct = match is_direct_failing {
                            true => Err(Unreached::Silent),
                            false => connect_twice(addr).await,
                        };
                        match direct {
                            Ok(()) => ProcessState::Running,
                            Err(unreached) => confirm(unreached).await,
                        }
                    };
                    let result = check.boxed_local().shared();
                    *last = Some(Probe {
                        starts: now + PROBE_DELAY,
                        result: result.clone(),
                    });
                    result
                }
            }
        };
        result.await
    }
}

/// Succeeds when an address accepts connections. An exiting process may close an accepted
/// connection before its listener, so one that closes at once is retried.
async fn connect_twice(addr: SocketAddr) -> Result<(), Unreached> {
    let stream = dial(addr, CHECK_TIMEOUT).await.map_err(unreached)?;
    if closes_at_once(stream).await {
        dial(addr, CHECK_TIMEOUT).await.map_err(unreached)?;
    }
    Ok(())
}

fn unreached(err: DialError) -> Unreached {
    match err {
        DialError::Refused { source, .. }
            if source.kind() == std::io::ErrorKind::ConnectionRefused =>
        {
            Unreached::Refused
        }
        _ => Unreached::Silent,
    }
}

async fn closes_at_once(stream: TcpStream) -> bool {
    tokio::time::timeout(ACCEPTED_AFTER, stream.readable())
        .await
        .is_ok()
}
