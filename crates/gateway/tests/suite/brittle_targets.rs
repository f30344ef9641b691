//! Targets that report how many requests they can refuse in a second before they fail.
//!
//! Guards against entries that together send more than such targets have room for, whichever
//! entry a request comes to.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use hollowsail_gateway::Running;
use hollowsail_platform_standins::target::{brittle, not_run};
use hollowsail_platform_standins::{ReceivedRequest, Step, StoreStandin, TargetStandin};

use crate::all_kinds::{deployment, whole_answer};
use crate::fixture::{gateway, generation, wait_for_entries, Call};

/// Requests that a target runs at once, as its record says, and that wait there besides.
const SLOTS: usize = 8;
const QUEUE: usize = 1;
/// Duration of a request.
const WORK: Duration = Duration::from_millis(100);
/// Refusals in a second that a target survives.
const REFUSALS: usize = 2;
/// Time within which entries must have applied the report.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// More than the targets run at once.
const CALLERS: usize = 32;
const LOAD_TIME: Duration = Duration::from_secs(11);
/// Time after which the owners of schedulers use the whole room.
const SETTLED_TIME: Duration = Duration::from_secs(8);

/// A target that refuses what it has no room for.
struct BrittleTarget {
    target: TargetStandin,
    refused: Rc<RefCell<Vec<Instant>>>,
    is_brittle: Rc<Cell<bool>>,
}

impl BrittleTarget {
    async fn start() -> Self {
        let refused: Rc<RefCell<Vec<Instant>>> = Rc::default();
        let is_brittle = Rc::new(Cell::new(true));
        let running: RefCell<Vec<Instant>> = RefCell::default();
        let (refusals, reports) = (refused.clone(), is_brittle.clone());
        let script = move |request: &ReceivedRequest| {
            let report = |head: Vec<u8>| match reports.get() {
                true => brittle(head, &REFUSALS.to_string()),
                false => head,
            };
            let now = Instant::now();
            let mut running = running.borrow_mut();
            running.retain(|ends| *ends > now);
            if running.len() >= SLOTS + QUEUE {
                refusals.borrow_mut().push(now);
                return vec![Step::Write(report(not_run(503)))];
            }
            running.push(now + WORK);
            let mut steps = whole_answer(request, report);
            steps.insert(0, Step::Wait(WORK));
            steps
        };
        BrittleTarget {
            target: TargetStandin::start(script).await,
            refused,
            is_brittle,
        }
    }

    /// Highest number of refusals in a second since `from`.
    fn max_refused_in_a_second(&self, from: Instant) -> usize {
        let refused = self.refused.borrow();
        let refused: Vec<&Instant> = refused.iter().filter(|time| **time >= from).collect();
        let second = Duration::from_secs(1);
        let within = |first: &&&Instant| {
            let in_second = |time: &&&Instant| ***time >= ***first && ***time < ***first + second;
            refused.iter().filter(in_second).count()
        };
        refused
            .iter()
            .map(|first| within(&first))
            .max()
            .unwrap_or(0)
    }
}

/// Callers that send one request after the other, for longer than the targets have room. Returns
/// the number of requests served once the owners are settled.
async fn press(gateways: &[Running], call: fn(usize) -> Call) -> usize {
    let started = Instant::now();
    let callers = (0..CALLERS).map(|caller| async move {
        let addr = gateways[caller % gateways.len()].addrs.callers;
        let mut served = 0;
        for number in caller * 10_000.. {
            let answer = call(number).send(addr).await;
            if started.elapsed() >= LOAD_TIME {
                break;
            }
            if answer.status == 200 {
                served += usize::from(started.elapsed() >= SETTLED_TIME);
                continue;
            }
            let after = answer.header("Retry-After").and_then(|s| s.parse().ok());
            let after = Duration::from_secs_f64(after.unwrap_or(0.05));
            tokio::time::sleep(after.min(Duration::from_millis(200))).await;
        }
        served
    });
    join_all(callers).await.into_iter().sum()
}

async fn assert_no_target_fails(service: &str, call: fn(usize) -> Call) {
    let store = StoreStandin::start().await;
    store.put("op/config", &deployment(60.0).bytes());
    let gateways = [
        gateway(&store, "host-1", "hall-a").await,
        gateway(&store, "host-2", "hall-a").await,
        gateway(&store, "host-3", "hall-b").await,
    ];
    wait_for_entries("all gateways", &store, 3).await;
    let targets = [BrittleTarget::start().await, BrittleTarget::start().await];
    for (id, brittle) in ["i-1", "i-2"].iter().zip(&targets) {
        store.put_target(id, service, brittle.target.addr, "hall-a", "ready");
    }
    let begun = Instant::now();
    let served = press(&gateways, call).await;
    for brittle in &targets {
        let most = brittle.max_refused_in_a_second(begun + CONTACT_TIME);
        assert!(most <= REFUSALS, "{most} refusals in a second");
    }
    let time = LOAD_TIME - SETTLED_TIME;
    let room = 2.0 * SLOTS as f64 * time.as_secs_f64() / WORK.as_secs_f64();
    let used = served as f64 / room;
    assert!(used > 0.5, "{served} served, {used} of the room");
}

#[actix_rt::test]
async fn plain_targets_get_no_more_than_they_have_room_for() {
    let plain = |number| Call::new("GET", "/a/x").with("X-Request-Id", &format!("{number:016x}"));
    assert_no_target_fails("plain", plain).await;
}

#[actix_rt::test]
async fn engines_get_no_more_than_they_have_room_for() {
    assert_no_target_fails("engines", generation).await;
}

/// Requests wait at a target again once it doesn't report a limit any more.
#[actix_rt::test]
async fn end_of_a_refusal_limit_opens_the_target() {
    let store = StoreStandin::start().await;
    store.put("op/config", &deployment(60.0).bytes());
    let gateway = gateway(&store, "host-1", "hall-a").await;
    let brittle = BrittleTarget::start().await;
    store.put_target("i-1", "plain", brittle.target.addr, "hall-a", "ready");
    let plain = Call::new("GET", "/a/x");
    let call = || plain.send(gateway.addrs.callers);
    eventually_served(&gateway).await;
    brittle.is_brittle.set(false);
    call().await;
    let answers = join_all((0..SLOTS + QUEUE).map(|_| call())).await;
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    assert_eq!(served, SLOTS + QUEUE);
}

async fn eventually_served(gateway: &Running) {
    let until = Instant::now() + Duration::from_secs(5);
    while Call::new("GET", "/a/x")
        .send(gateway.addrs.callers)
        .await
        .status
        != 200
    {
        assert!(Instant::now() < until, "the target isn't used");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
