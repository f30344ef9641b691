//! Loops of the control thread that panic.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hollowsail_gateway::keep_running;
use tokio::sync::{mpsc, Mutex};

// Guards against a loop of panics that reads whole lists several times a second for ever.
#[actix_rt::test]
async fn loop_that_panics_again_and_again_pauses_longer() {
    let (runs, panics) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    let (counted, reported) = (runs.clone(), panics.clone());
    let run = move || {
        counted.set(counted.get() + 1);
        async { panic!("the same input") }
    };
    let running = keep_running(run, move |panics| reported.set(panics));
    let ended = tokio::time::timeout(Duration::from_secs(6), running).await;
    assert!(ended.is_err(), "it is started again");
    assert!((6..=8).contains(&runs.get()), "{} runs", runs.get());
    assert_eq!(panics.get(), runs.get());
}

// Guards against requests that nobody receives any more, since the loop that owned them panicked.
#[actix_rt::test]
async fn requests_after_a_panic_are_received() {
    let (requests, receiver) = mpsc::unbounded_channel();
    let (receiver, handled) = (Rc::new(Mutex::new(receiver)), Rc::new(Cell::new(0)));
    let sum = handled.clone();
    let run = move || {
        let (receiver, sum) = (receiver.clone(), sum.clone());
        async move {
            let mut receiver = receiver.lock().await;
            while let Some(number) = receiver.recv().await {
                assert_ne!(number, 2, "a request that can't be handled");
                sum.set(sum.get() + number);
            }
        }
    };
    for number in [1, 2, 4] {
        requests.send(number).expect("the loop runs");
    }
    drop(requests);
    let started = Instant::now();
    keep_running(run, |_| {}).await;
    assert_eq!(handled.get(), 5);
    assert!(started.elapsed() < Duration::from_secs(1));
}
