//! Pieces that the owner of their queue sends first, and their requester once more.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use hollowsail_gateway::Running;
use hollowsail_platform_emulator::{RepeatAllowance, WorstWindow};
use hollowsail_platform_standins::{Step, TargetStandin};
use serde::Serialize;

use crate::fixture::{
    eventually, gateway_at, peer_answer, piece_arrivals, post, run_of_entry, settings_allowing,
    stage_runs, staged_call, wait_for_entries, Answer, EntryRecord, StageSite, MESSAGES_PATH,
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

const STARTED_PIECES_PATH: &str = "/hollowsail/started-pieces";
const RUN_OF_REQUESTER: u64 = 77;
const PIECE: u64 = 5;

/// Request id, stage, piece, time that is left, key and inputs.
type PassedPiece = (String, u16, u32, u64, Option<String>, Vec<String>);

/// Id, queue, piece, digest, priority, times until it is due and until it expires, bytes of its result,
/// whether its inputs are large, hall of its use, and halls where it may be produced.
type ProducePiece = (
    u64,
    String,
    PassedPiece,
    [u8; 16],
    u8,
    i64,
    u64,
    u64,
    bool,
    Option<String>,
    Option<Vec<String>>,
);

/// A message as it is encoded.
#[derive(Serialize)]
enum Message {
    #[serde(rename = "Make")]
    ProducePiece(ProducePiece),
}

/// Calls that a worker gets after the owner of its queue has told the requester of a piece that it is about to
/// send it, by the requester's reply.
async fn calls_after_reply(reply: Option<bool>) -> usize {
    let shared = StageSite::start(1, 4, Duration::from_millis(10), 30_000).await;
    let owner = settings_allowing(&ALLOWANCE, "host-1", shared.store.addr);
    let owner = gateway_at(owner).await;
    wait_for_entries("the owner is recorded", &shared.store, 1).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let requester = TargetStandin::start(move |req| {
        let answer = match req.path.as_str() {
            STARTED_PIECES_PATH => {
                let replies = rmp_serde::to_vec(&[reply]).expect("it encodes");
                peer_answer(&replies)
            }
            _ => b"HTTP/1.1 204 No Content\r\n\r\n".to_vec(),
        };
        vec![Step::Write(answer)]
    })
    .await;
    let sender: EntryRecord = (
        RUN_OF_REQUESTER,
        "host-2".to_string(),
        requester.addr,
        "hall-a".to_string(),
        1,
    );
    let piece = (
        "00000000000000aa".to_string(),
        0,
        0,
        9_000,
        None,
        Vec::new(),
    );
    let message = Message::ProducePiece((
        PIECE,
        "encoders/0".to_string(),
        piece,
        [0; 16],
        0,
        5_000,
        8_000,
        1_000,
        false,
        None,
        None,
    ));
    let envelope = (sender, run_of_entry(&shared.store), false, [message]);
    let body = rmp_serde::to_vec(&envelope).expect("it encodes");
    let accepted = post(owner.addrs.peers, MESSAGES_PATH, &body).await;
    assert!(accepted.starts_with(b"HTTP/1.1 204"), "{accepted:?}");
    eventually("the requester is told", || {
        let received = requester.received();
        received.iter().any(|req| req.path == STARTED_PIECES_PATH)
    })
    .await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    stage_runs(&shared.workers[0]).len()
}

// Guards against an owner that sends a piece although its requester, which takes it for ended, has passed the
// piece to another owner for free.
#[actix_rt::test]
async fn piece_that_its_requester_no_longer_awaits_isnt_sent() {
    assert_eq!(calls_after_reply(Some(false)).await, 0);
    assert_eq!(calls_after_reply(None).await, 1);
}

// Guards against a requester that lets a piece be sent that it doesn't wait for.
#[actix_rt::test]
async fn requester_says_that_it_doesnt_await_a_piece() {
    let shared = StageSite::start(1, 4, Duration::from_millis(10), 30_000).await;
    let requester = settings_allowing(&ALLOWANCE, "host-1", shared.store.addr);
    let requester = gateway_at(requester).await;
    let notice = rmp_serde::to_vec(&(RUN_OF_REQUESTER, [PIECE])).expect("it encodes");
    let answer = post(requester.addrs.peers, STARTED_PIECES_PATH, &notice).await;
    let replies = rmp_serde::to_vec(&[Some(false)]).expect("it encodes");
    assert!(answer.ends_with(&replies), "{answer:?}");
}
