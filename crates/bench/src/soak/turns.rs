//! Gateways that run in turn, so that each has a fraction of a core.

use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use rustix::process::{kill_process, Pid, Signal};

use super::plan::SoakPlan;
use super::processes::Fleet;

/// How long a group of gateways runs.
const TURN: Duration = Duration::from_millis(2);
/// Time after which the processes are listed anew, without delays. All run at its end, so that none stays
/// stopped.
pub const ROUND: Duration = Duration::from_millis(256);

/// Lets groups of gateways run in turn until it is stopped.
pub struct Turns {
    is_over: Arc<AtomicBool>,
    task: actix_rt::task::JoinHandle<()>,
}

impl Turns {
    /// `None` if all gateways run at once.
    pub fn start(plan: &SoakPlan, fleet: &Rc<Fleet>) -> Option<Self> {
        (plan.turns > 1).then(|| Self::of_groups(plan.turns, fleet.clone()))
    }

    fn of_groups(groups: usize, fleet: Rc<Fleet>) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let over = is_over.clone();
        let task = actix_rt::spawn(async move {
            while !over.load(Ordering::Relaxed) {
                // A gateway may have been started again.
                let pids = fleet.pids();
                let over = over.clone();
                let round =
                    actix_rt::task::spawn_blocking(move || take_turns(&pids, groups, &over));
                if round.await.is_err() {
                    return;
                }
            }
        });
        Turns { is_over, task }
    }

    pub async fn stop(self) {
        self.is_over.store(true, Ordering::Relaxed);
        // It ends with its round.
        let _ended = self.task.await;
    }
}

fn take_turns(pids: &[Pid], groups: usize, is_over: &AtomicBool) {
    let signal = |group: usize, signal| {
        for pid in pids.iter().skip(group).step_by(groups) {
            // Fails once the process has ended.
            let _sent = kill_process(*pid, signal);
        }
    };
    (0..groups).for_each(|group| signal(group, Signal::STOP));
    let turns = (ROUND.as_millis() / TURN.as_millis()) as usize;
    for turn in 0..turns {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        signal(turn % groups, Signal::CONT);
        std::thread::sleep(TURN);
        signal(turn % groups, Signal::STOP);
    }
    (0..groups).for_each(|group| signal(group, Signal::CONT));
}
