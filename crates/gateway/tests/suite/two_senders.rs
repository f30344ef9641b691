//! Pieces that the owner of their queue sends first, and their requester once more.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use hollowsail_gateway::Running;
use hollowsail_platform_emulator::{RepeatAllowance, WorstWindow};
use hollowsail_platform_standins::TargetStandin;

use crate::fixture::{
    gateway_at, piece_arrivals, settings_allowing, staged_call, wait_for_entries, Answer, StageSite,
};

const ALLOWANCE: RepeatAllowance = RepeatAllowance {
    ratio: 0.2,
    extra: 40.0,
    window: Duration::from_secs(2),
};
const HOSTS: usize = 6;
/// Workers that stand still from a round on, and those that never do.
const STILL_WORKERS: usize = 3;
const RUNNING_WORKERS: usize = 3;
const ROUNDS: usize = 5;
const ROUND_INTERVAL: Duration = Duration::from_millis(3_200);

/// Hosts that share workers.
struct Site {
    hosts: Vec<Running>,
    shared: StageSite,
}

impl Site {
    async fn start() -> Self {
        let workers = ROUNDS * STILL_WORKERS + RUNNING_WORKERS;
        let shared = StageSite::start(workers, 16, Duration::from_millis(30), 30_000).await;
        let mut hosts = Vec::new();
        for number in 0..HOSTS {
            let host = format!("host-{number}");
            let settings = settings_allowing(&ALLOWANCE, &host, shared.store.addr);
            hosts.push(gateway_at(settings).await);
            wait_for_entries("the host is recorded", &shared.store, number + 1).await;
        }
        // Lets all hosts claim their units.
        tokio::time::sleep(Duration::from_secs(4)).await;
        Site { hosts, shared }
    }

    /// Sends requests of four pieces each through all hosts.
    async fn send(&self, from: usize, count: usize) -> Vec<Answer> {
        let calls = (from..from + count).map(|number| {
            let callers = self.hosts[number % HOSTS].addrs.callers;
            async move {
                let call = staged_call(&format!("{number:016x}"), 20_000);
                call.send(callers).await
            }
        });
        join_all(calls).await
    }

    fn worst_window(&self, begun: Instant) -> Option<WorstWindow> {
        let mut arrivals = piece_arrivals(&self.shared.workers);
        arrivals.sort();
        let mut seen = HashSet::new();
        arrivals.retain(|(_, work)| !seen.insert(work.clone()));
        let repeats: Vec<Duration> = arrivals.iter().map(|(at, _)| *at - begun).collect();
        // No route leads to the stage service.
        // No route leads to the stage service.
        ALLOWANCE.worst_window(&repeats, &[])
    }
}

// Guards against an owner that lets pieces be repeated whose late arrival no unit of it covers.
#[actix_rt::test]
async fn pieces_that_their_owner_gave_up_stay_within_the_allowance() {
    let site = Site::start().await;
    let site = &site;
    let begun = Instant::now();
    // Calls time out after 4 s; what was repeated then is charged for a window.
    let rounds = (0..ROUNDS).map(|round| async move {
        tokio::time::sleep(ROUND_INTERVAL * round as u32).await;
        let workers = &site.shared.workers[round * STILL_WORKERS..][..STILL_WORKERS];
        workers.iter().for_each(TargetStandin::suspend);
        site.send(round * 1_000, 36).await
    });
    let reading = async {
        tokio::time::sleep(ROUND_INTERVAL * ROUNDS as u32 + Duration::from_millis(1_600)).await;
        let still = &site.shared.workers[..ROUNDS * STILL_WORKERS];
        still.iter().for_each(TargetStandin::resume);
    };
    let (answers, ()) = futures_util::future::join(join_all(rounds), reading).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let answers = answers.concat();
    let worst = site.worst_window(begun);
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    println!("{worst:?}, {served} of {} served", answers.len());
    assert!(
        worst.is_none_or(|worst| !worst.is_exceeded()),
        "{worst:?}, {served} of {} served",
        answers.len()
    );
}
