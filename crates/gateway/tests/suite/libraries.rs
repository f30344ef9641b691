//! Why `hyper` serves callers and not `actix-web`: what each does with a
//! handler whose caller left.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use actix_web::{web, App, HttpResponse, HttpServer};
use http::Response;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// How long a handler would work.
const WORK: Duration = Duration::from_millis(900);
/// When its caller leaves, and when its work should have stopped.
const LEAVES: Duration = Duration::from_millis(100);
const STOPPED: Duration = Duration::from_millis(500);

async fn call_and_leave(addr: std::net::SocketAddr) {
    let mut caller = TcpStream::connect(addr).await.expect("it listens");
    let request = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    caller.write_all(request).await.expect("it reads");
    tokio::time::sleep(LEAVES).await;
}

#[actix_rt::test]
async fn hyper_drops_a_handler_whose_caller_left() {
    struct SetOnDrop(Rc<Cell<bool>>);
    impl Drop for SetOnDrop {
        fn drop(&mut self) {
            self.0.set(true);
        }
    }
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback");
    let addr = listener.local_addr().expect("bound");
    let dropped = Rc::new(Cell::new(false));
    let told = dropped.clone();
    actix_rt::spawn(async move {
        let (stream, _) = listener.accept().await.expect("a caller");
        let service = service_fn(move |_| {
            let guard = SetOnDrop(told.clone());
            async move {
                tokio::time::sleep(WORK).await;
                std::mem::forget(guard);
                Ok::<_, Infallible>(Response::new(Full::<bytes::Bytes>::default()))
            }
        });
        // It ends with an error, as the caller leaves.
        let _left = http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await;
    });
    call_and_leave(addr).await;
    tokio::time::sleep(STOPPED - LEAVES).await;
    assert!(dropped.get(), "the work stopped with the caller");
}

#[actix_rt::test]
async fn actix_web_works_on_for_a_caller_that_left() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let addr = listener.local_addr().expect("bound");
    let finished = Arc::new(AtomicBool::new(false));
    let told = finished.clone();
    let server = HttpServer::new(move || {
        let told = told.clone();
        let handler = move || {
            let told = told.clone();
            async move {
                tokio::time::sleep(WORK).await;
                told.store(true, Ordering::SeqCst);
                HttpResponse::Ok().finish()
            }
        };
        App::new().default_service(web::to(handler))
    })
    .workers(1)
    .listen(listener)
    .expect("it listens")
    .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    call_and_leave(addr).await;
    tokio::time::sleep(WORK).await;
    assert!(
        finished.load(Ordering::SeqCst),
        "it ran to its end, for nobody"
    );
    handle.stop(false).await;
}
