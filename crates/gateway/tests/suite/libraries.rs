//! Checks what `hyper` and `actix-web` do with a handler whose caller disconnects: the gateway
//! depends on `hyper` dropping it.

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

/// Duration of a handler's work.
const WORK: Duration = Duration::from_millis(900);
/// Delay after which the caller disconnects, and time by which the work has to be stopped.
const DISCONNECT_AFTER: Duration = Duration::from_millis(100);
const STOPPED_BY: Duration = Duration::from_millis(500);

async fn call_and_disconnect(addr: std::net::SocketAddr) {
    let mut caller = TcpStream::connect(addr).await.expect("the server listens");
    let request = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    caller.write_all(request).await.expect("the server reads");
    tokio::time::sleep(DISCONNECT_AFTER).await;
}

#[actix_rt::test]
async fn hyper_drops_handler_on_disconnect() {
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
    let is_dropped = dropped.clone();
    actix_rt::spawn(async move {
        let (stream, _) = listener.accept().await.expect("a caller");
        let service = service_fn(move |_| {
            let guard = SetOnDrop(is_dropped.clone());
            async move {
                tokio::time::sleep(WORK).await;
                std::mem::forget(guard);
                Ok::<_, Infallible>(Response::new(Full::<bytes::Bytes>::default()))
            }
        });
        // The connection ends with an error when the caller disconnects.
        let _disconnected = http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await;
    });
    call_and_disconnect(addr).await;
    tokio::time::sleep(STOPPED_BY - DISCONNECT_AFTER).await;
    assert!(dropped.get(), "the handler is dropped on disconnect");
}

#[actix_rt::test]
async fn actix_web_finishes_handler_after_disconnect() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let addr = listener.local_addr().expect("bound");
    let finished = Arc::new(AtomicBool::new(false));
    let is_finished = finished.clone();
    let server = HttpServer::new(move || {
        let is_finished = is_finished.clone();
        let handler = move || {
            let is_finished = is_finished.clone();
            async move {
                tokio::time::sleep(WORK).await;
                is_finished.store(true, Ordering::SeqCst);
                HttpResponse::Ok().finish()
            }
        };
        App::new().default_service(web::to(handler))
    })
    .workers(1)
    .listen(listener)
    .expect("the server listens")
    .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    call_and_disconnect(addr).await;
    tokio::time::sleep(WORK).await;
    assert!(
        finished.load(Ordering::SeqCst),
        "the handler runs to its end after the disconnect"
    );
    handle.stop(false).await;
}
