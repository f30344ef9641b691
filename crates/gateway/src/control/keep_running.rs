//! Starts loops of the control thread again after a panic.

use std::future::Future;
use std::time::{Duration, Instant};

use super::backoff::Backoff;

/// Time for which a loop runs after which its next panic counts as a first one.
const SETTLED: Duration = Duration::from_secs(10);

/// Runs a loop on this thread until it returns, and starts it again after a panic. A loop that
/// panics again and again, as at the same input, pauses for up to 5 s. `on_panic` gets the
/// number of panics so far.
pub async fn keep_running<F>(run: impl Fn() -> F, on_panic: impl Fn(u64))
where
    F: Future<Output = ()> + 'static,
{
    let mut backoff = Backoff::for_standing_faults();
    let mut panics = 0;
    loop {
        let started = Instant::now();
        let ended = actix_rt::spawn(run()).await;
        if !ended.is_err_and(|ended| ended.is_panic()) {
            return;
        }
        if started.elapsed() >= SETTLED {
            backoff.reset();
        }
        panics += 1;
        on_panic(panics);
        backoff.pause().await;
    }
}
