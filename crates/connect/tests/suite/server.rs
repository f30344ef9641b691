//! A small HTTP server that accepts a bounded number of connections.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// Timeout for conditions that have to come true.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// State of a running server.
pub struct Server {
    pub addr: SocketAddr,
    /// Connections that it keeps open; more are reset right after they were accepted.
    pub cap: Cell<usize>,
    pub open: Cell<usize>,
    pub max_open: Cell<usize>,
    pub accepted: Cell<usize>,
    pub resets: Cell<usize>,
    /// Paths of the requests received, in order.
    pub paths: RefCell<Vec<String>>,
    /// One permit is used by each answer.
    pub answers: Semaphore,
}

impl Server {
    /// Starts a server on this thread.
    pub async fn start(cap: usize, answers: usize) -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
        let server = Rc::new(Server {
            addr: listener.local_addr().expect("a local address"),
            cap: Cell::new(cap),
            open: Cell::default(),
            max_open: Cell::default(),
            accepted: Cell::default(),
            resets: Cell::default(),
            paths: RefCell::default(),
            answers: Semaphore::new(answers),
        });
        let accepting = server.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                accepting.accepted.set(accepting.accepted.get() + 1);
                if accepting.open.get() >= accepting.cap.get() {
                    accepting.resets.set(accepting.resets.get() + 1);
                    stream.set_zero_linger().expect("the option is supported");
                    continue;
                }
                accepting.open.set(accepting.open.get() + 1);
                let max_open = accepting.max_open.get().max(accepting.open.get());
                accepting.max_open.set(max_open);
                let serving = accepting.clone();
                actix_rt::spawn(async move {
                    serving.serve(stream).await;
                    serving.open.set(serving.open.get() - 1);
                });
            }
        });
        server
    }

    async fn serve(&self, mut stream: TcpStream) {
        let mut buf = [0; 1024];
        loop {
            let count = stream.read(&mut buf).await.unwrap_or(0);
            if count == 0 {
                return;
            }
            let head = String::from_utf8_lossy(&buf[..count]).to_string();
            let path = head.split(' ').nth(1).unwrap_or_default().to_string();
            self.paths.borrow_mut().push(path);
            tokio::select! {
                permit = self.answers.acquire() => permit.expect("never closed").forget(),
                // The client closed the connection.
                _ = stream.readable() => return,
            }
            let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            if stream.write_all(answer).await.is_err() {
                return;
            }
        }
    }
}

/// Waits until `condition` is true; panics with `description` after a timeout.
pub async fn eventually(description: &str, mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < until, "timed out: {description}");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}
