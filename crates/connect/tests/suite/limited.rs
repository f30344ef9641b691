//! Pools with a limit, whose peers accept few connections.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hollowsail_connect::{connect_first, soonest, Availability, Pool, PoolRules, Reuse, SendError};
use http::Request;
use http_body_util::Full;
use tokio::task::JoinHandle;

use crate::server::{eventually, Server};

/// Longer than any test may take.
const LONG: Duration = Duration::from_secs(20);

fn pool(server: &Server, limit: u32) -> Rc<Pool> {
    let rules = PoolRules {
        dial_timeout: Duration::from_secs(5),
        max_idle: 16,
        idle_timeout: Duration::from_secs(60),
    };
    let pool = Pool::new(server.addr, rules);
    pool.set_limit(Some(limit));
    pool
}

async fn call(
    pool: &Rc<Pool>,
    path: &str,
    reuse: Reuse,
    max_wait: Duration,
) -> Result<(), SendError> {
    let mut req = Request::new(Full::<Bytes>::default());
    *req.uri_mut() = path.parse().expect("the path is valid");
    let connection = pool.connect(reuse, Some(max_wait)).await?;
    let (_, body) = connection.send(req, reuse).await?.into_body(true);
    body.collect(1_024).await.expect("the answer is complete");
    Ok(())
}

/// Starts a request and waits until it was sent or stands in the line.
async fn start(
    pool: &Rc<Pool>,
    server: &Server,
    path: &'static str,
) -> JoinHandle<Result<(), SendError>> {
    let before = server.paths.borrow().len() + pool.stats().waiting;
    let caller = pool.clone();
    let task = actix_rt::spawn(async move { call(&caller, path, Reuse::Any, LONG).await });
    eventually("the request is sent or waits", || {
        server.paths.borrow().len() + pool.stats().waiting > before
    })
    .await;
    task
}

/// Guards against an entry that takes the connections of others.
#[actix_rt::test]
async fn pool_opens_no_more_than_its_limit() {
    let server = Server::start(100, 1_000).await;
    let pool = pool(&server, 3);
    let calls = (0..60).map(|_| call(&pool, "/", Reuse::Any, LONG));
    for result in futures_util::future::join_all(calls).await {
        result.expect("every request is answered");
    }
    assert_eq!(server.paths.borrow().len(), 60);
    assert!(server.max_open.get() <= 3, "{} open", server.max_open.get());
}

/// Guards against connections that are replaced before they were closed: the peer would count
/// both.
#[actix_rt::test]
async fn unusable_idle_connection_is_closed_before_another_is_opened() {
    let server = Server::start(1, 1_000).await;
    let pool = pool(&server, 1);
    for _ in 0..20 {
        let fresh_only = Reuse::Within(Duration::ZERO);
        let result = call(&pool, "/", fresh_only, LONG).await;
        // The peer may see the new connection before the close of the old one. The request
        // isn't lost then.
        assert!(!matches!(result, Err(SendError::Broken { .. })));
    }
    assert!(server.max_open.get() <= 1);
    assert!(pool.stats().open <= 1);
}

#[actix_rt::test]
async fn waiting_requests_are_served_in_the_order_of_their_arrival() {
    let server = Server::start(100, 0).await;
    let pool = pool(&server, 1);
    let mut tasks = Vec::new();
    for path in ["/0", "/1", "/2", "/3", "/4"] {
        tasks.push(start(&pool, &server, path).await);
    }
    assert_eq!(pool.stats().waiting, 4);
    server.answers.add_permits(5);
    for task in tasks {
        task.await
            .expect("no panic")
            .expect("the request is answered");
    }
    assert_eq!(*server.paths.borrow(), ["/0", "/1", "/2", "/3", "/4"]);
}

/// Guards against a connection that is granted to a request that no longer exists.
#[actix_rt::test]
async fn dropped_request_leaves_the_line() {
    let server = Server::start(100, 0).await;
    let pool = pool(&server, 1);
    let first = start(&pool, &server, "/first").await;
    let dropped = start(&pool, &server, "/dropped").await;
    let last = start(&pool, &server, "/last").await;
    dropped.abort();
    eventually("the dropped request left the line", || {
        pool.stats().waiting == 1
    })
    .await;
    server.answers.add_permits(2);
    for task in [first, last] {
        task.await
            .expect("no panic")
            .expect("the request is answered");
    }
    assert_eq!(*server.paths.borrow(), ["/first", "/last"]);
}

/// Guards against a lost connection when a request is dropped between its grant and its send.
#[actix_rt::test]
async fn grant_of_a_dropped_request_goes_to_the_next() {
    let server = Server::start(100, 0).await;
    let pool = pool(&server, 1);
    let first = start(&pool, &server, "/first").await;
    let mut granted = Box::pin(call(&pool, "/dropped", Reuse::Any, LONG));
    assert!(futures_util::poll!(&mut granted).is_pending());
    let last = start(&pool, &server, "/last").await;
    server.answers.add_permits(2);
    first
        .await
        .expect("no panic")
        .expect("the request is answered");
    // The connection is granted to the second request, which isn't polled any more.
    eventually("only the last request waits", || pool.stats().waiting == 1).await;
    drop(granted);
    last.await
        .expect("no panic")
        .expect("the request is answered");
    assert_eq!(*server.paths.borrow(), ["/first", "/last"]);
}

/// Guards against a connection that stays counted after its request was dropped.
#[actix_rt::test]
async fn dropped_request_in_progress_frees_its_connection() {
    let server = Server::start(100, 0).await;
    let pool = pool(&server, 1);
    let dropped = start(&pool, &server, "/dropped").await;
    let last = start(&pool, &server, "/last").await;
    dropped.abort();
    eventually("the last request is sent", || {
        server.paths.borrow().len() == 2
    })
    .await;
    server.answers.add_permits(1);
    last.await
        .expect("no panic")
        .expect("the request is answered");
}

/// Guards against requests that are lost on connections beyond the peer's limit.
#[actix_rt::test]
async fn reset_of_a_new_connection_means_that_nothing_was_sent() {
    let server = Server::start(0, 1_000).await;
    let pool = pool(&server, 4);
    let result = call(&pool, "/", Reuse::Within(LONG), LONG).await;
    let err = result.expect_err("the peer resets the connection");
    assert!(matches!(err, SendError::Rejected { .. }), "{err}");
    assert!(err.nothing_sent());
    assert!(server.paths.borrow().is_empty());
    assert_eq!(pool.stats().resets, 1);
    let availability = pool.availability(Reuse::Any);
    let Availability::Busy(wait) = availability else {
        panic!("{availability:?} during the backoff");
    };
    assert!(wait <= Duration::from_millis(50), "{wait:?}");
}

/// Guards against an entry that dials a full peer in a loop: between five dials there are backoffs
/// of at least 25, 50, 100 and 200 ms, whatever the number of requests.
#[actix_rt::test]
async fn full_peer_is_not_dialled_in_a_loop() {
    let server = Server::start(0, 1_000).await;
    let pool = pool(&server, 4);
    let started = Instant::now();
    while server.resets.get() < 5 {
        let calls = (0..4).map(|_| call(&pool, "/", Reuse::Any, LONG));
        for result in futures_util::future::join_all(calls).await {
            let err = result.expect_err("the peer resets every connection");
            assert!(err.nothing_sent(), "{err}");
        }
    }
    let resets = server.resets.get();
    let took = started.elapsed();
    assert!(
        took >= Duration::from_millis(375),
        "{resets} dials in {took:?}"
    );
    assert_eq!(server.accepted.get(), resets);
}

/// Guards against requests that wait although no connection can be had in time.
#[actix_rt::test]
async fn request_fails_at_once_when_the_backoff_is_longer_than_its_wait() {
    let server = Server::start(0, 1_000).await;
    let pool = pool(&server, 1);
    for _ in 0..4 {
        call(&pool, "/", Reuse::Any, LONG)
            .await
            .expect_err("the peer resets it");
    }
    // The fourth backoff is at least 200 ms.
    let started = Instant::now();
    let err = call(&pool, "/", Reuse::Any, Duration::from_millis(150)).await;
    let SendError::NoConnection { retry_after, .. } = err.expect_err("no connection") else {
        panic!("the request was not refused for lack of a connection");
    };
    assert!(started.elapsed() < Duration::from_millis(150));
    assert!(
        (Duration::from_millis(50)..=Duration::from_millis(1_000)).contains(&retry_after),
        "{retry_after:?}"
    );
}

#[actix_rt::test]
async fn request_fails_after_its_wait_when_no_connection_becomes_free() {
    let server = Server::start(100, 0).await;
    let pool = pool(&server, 1);
    let first = start(&pool, &server, "/first").await;
    let result = call(&pool, "/late", Reuse::Any, Duration::from_millis(30)).await;
    let err = result.expect_err("the only connection is in use");
    assert!(matches!(err, SendError::NoConnection { .. }), "{err}");
    assert_eq!(pool.stats().waiting, 0);
    first.abort();
}

/// Guards against a line that isn't served when the number of entries changes.
#[actix_rt::test]
async fn higher_limit_serves_waiting_requests() {
    let server = Server::start(100, 0).await;
    let pool = pool(&server, 1);
    let mut tasks = vec![start(&pool, &server, "/0").await];
    tasks.push(start(&pool, &server, "/1").await);
    assert_eq!(server.paths.borrow().len(), 1);
    pool.set_limit(None);
    eventually("the second request is sent", || {
        server.paths.borrow().len() == 2
    })
    .await;
    server.answers.add_permits(2);
    for task in tasks {
        task.await
            .expect("no panic")
            .expect("the request is answered");
    }
}

#[actix_rt::test]
async fn lower_limit_closes_idle_connections() {
    let server = Server::start(100, 1_000).await;
    let pool = pool(&server, 8);
    pool.set_limit(None);
    let calls = (0..8).map(|_| call(&pool, "/", Reuse::Any, LONG));
    for result in futures_util::future::join_all(calls).await {
        result.expect("every request is answered");
    }
    assert!(server.open.get() > 2, "{} open", server.open.get());
    pool.set_limit(Some(2));
    eventually("the excess is closed", || {
        server.open.get() <= 2 && pool.stats().open <= 2
    })
    .await;
}

/// Guards against a request that finds no target because the remaining backoff changes while it is
/// compared: each millisecond, one of the comparisons sees two values.
#[actix_rt::test]
async fn one_pool_is_always_the_soonest() {
    let server = Server::start(0, 1_000).await;
    let pools = [pool(&server, 1), pool(&server, 1)];
    for pool in pools.iter().cycle().take(8) {
        call(pool, "/", Reuse::Any, LONG)
            .await
            .expect_err("the peer resets it");
    }
    // The fourth backoff is at least 200 ms.
    let started = Instant::now();
    while started.elapsed() < Duration::from_millis(150) {
        assert!(!soonest(pools.iter(), Reuse::Any).is_empty());
    }
}

/// Guards against a request that waits for one peer while another that can serve it has a free
/// connection, and against places in line that outlive the wait.
#[actix_rt::test]
async fn request_takes_the_first_connection_of_several_peers() {
    let busy = Server::start(100, 0).await;
    let other = Server::start(100, 0).await;
    let pools = [pool(&busy, 1), pool(&other, 1)];
    let first = start(&pools[0], &busy, "/first").await;
    let second = start(&pools[1], &other, "/second").await;
    let waiting = pools.clone();
    let waiter = actix_rt::spawn(async move { connect_first(&waiting, Reuse::Any, LONG).await });
    eventually("it waits in both lines", || {
        pools.iter().all(|pool| pool.stats().waiting == 1)
    })
    .await;
    other.answers.add_permits(1);
    let (index, connected) = waiter.await.expect("no panic");
    assert_eq!(index, 1);
    connected.expect("a connection is free");
    second
        .await
        .expect("no panic")
        .expect("the request is answered");
    assert!(pools.iter().all(|pool| pool.stats().waiting == 0));
    first.abort();
}

/// Guards against a connection that is lost when two peers grant one to the same request.
#[actix_rt::test]
async fn second_grant_goes_to_the_next_request() {
    let servers = [Server::start(100, 0).await, Server::start(100, 0).await];
    let pools = [pool(&servers[0], 1), pool(&servers[1], 1)];
    let first = start(&pools[0], &servers[0], "/first").await;
    let second = start(&pools[1], &servers[1], "/second").await;
    let mut both = Box::pin(connect_first(&pools, Reuse::Any, LONG));
    assert!(futures_util::poll!(&mut both).is_pending());
    servers
        .iter()
        .for_each(|server| server.answers.add_permits(1));
    for task in [first, second] {
        task.await
            .expect("no panic")
            .expect("the request is answered");
    }
    eventually("both connections are granted", || {
        pools.iter().all(|pool| pool.stats().waiting == 0)
    })
    .await;
    let (index, connected) = both.await;
    connected.expect("a connection is free");
    servers[1 - index].answers.add_permits(1);
    call(&pools[1 - index], "/next", Reuse::Any, LONG)
        .await
        .expect("the other connection is free");
    assert_eq!(servers[1 - index].accepted.get(), 1);
}

/// Guards against a refusal by the expected wait of one peer when another is free sooner.
#[actix_rt::test]
async fn backoff_of_one_peer_does_not_end_the_wait_for_another() {
    let full = Server::start(0, 1_000).await;
    let busy = Server::start(100, 0).await;
    let pools = [pool(&full, 1), pool(&busy, 1)];
    for _ in 0..6 {
        call(&pools[0], "/", Reuse::Any, LONG)
            .await
            .expect_err("the peer resets it");
    }
    let first = start(&pools[1], &busy, "/first").await;
    busy.answers.add_permits(1);
    let (index, connected) = connect_first(&pools, Reuse::Any, Duration::from_millis(400)).await;
    assert_eq!(index, 1);
    connected.expect("a connection is free");
    first
        .await
        .expect("no panic")
        .expect("the request is answered");
}

/// Guards against sending a request on an idle connection after it was withdrawn.
#[actix_rt::test]
async fn withdrawn_request_is_not_sent() {
    let server = Server::start(1, 1_000).await;
    let pool = pool(&server, 1);
    call(&pool, "/", Reuse::Any, LONG).await.expect("served");
    let connection = pool.connect(Reuse::Any, Some(LONG)).await.expect("idle");
    let req = Request::new(Full::<Bytes>::default());
    let sent = connection.send_if(req, Reuse::Any, || false, None).await;
    let err = sent.map(drop).expect_err("it was withdrawn");
    assert!(matches!(err, SendError::Withdrawn { .. }), "{err}");
    assert!(err.nothing_sent());
    assert_eq!(server.paths.borrow().len(), 1);
    call(&pool, "/", Reuse::Any, LONG).await.expect("served");
}
