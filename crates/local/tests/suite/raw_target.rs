//! A target on a raw socket, which fails at a given byte of a request or answer.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Handling of each connection.
#[derive(Debug, Clone)]
pub enum Behaviour {
    /// Closes after reading this many bytes of the request.
    CloseAfterReading(usize),
    /// Reads the request, writes these bytes and closes.
    AnswerAndClose(Vec<u8>),
    /// Stops listening at a request whose body contains this text, until
    /// [`RawTarget::restart`]. Answers other requests correctly.
    CrashOn(&'static str),
    /// Answers one request correctly and closes the connection without an answer
    /// when a second one arrives on it.
    CloseReused,
}

/// Connections and requests received.
#[derive(Debug, Default)]
pub struct Received {
    /// Connections on which data arrived; liveness probes send none.
    pub connections: usize,
    /// Dispatch ids of requests whose head was read.
    pub dispatches: Vec<String>,
}

/// A listening raw target.
pub struct RawTarget {
    pub address: SocketAddr,
    pub received: Arc<Mutex<Received>>,
    behaviour: Behaviour,
    /// Accept loop; empty while the target is down.
    tasks: Tasks,
}

type Tasks = Arc<Mutex<Vec<actix_rt::task::JoinHandle<()>>>>;

impl RawTarget {
    /// Listens on a free loopback port until the test's runtime ends.
    pub async fn start(behaviour: Behaviour) -> RawTarget {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let target = RawTarget {
            address: listener.local_addr().expect("an address"),
            received: Arc::new(Mutex::new(Received::default())),
            behaviour,
            tasks: Tasks::default(),
        };
        target.serve(listener);
        target
    }

    /// Listens again on the same address.
    pub async fn restart(&self) {
        let listener = TcpListener::bind(self.address).await.expect("its port");
        self.serve(listener);
    }

    pub fn is_up(&self) -> bool {
        !self.tasks.lock().expect("no panic").is_empty()
    }

    fn serve(&self, listener: TcpListener) {
        let (received, behaviour, tasks) = (
            self.received.clone(),
            self.behaviour.clone(),
            self.tasks.clone(),
        );
        let accepting = actix_rt::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                actix_rt::spawn(serve(
                    socket,
                    behaviour.clone(),
                    received.clone(),
                    tasks.clone(),
                ));
            }
        });
        self.tasks.lock().expect("no panic").push(accepting);
    }

    pub fn connections(&self) -> usize {
        self.received.lock().expect("no panic").connections
    }

    pub fn dispatches(&self) -> Vec<String> {
        self.received.lock().expect("no panic").dispatches.clone()
    }
}

async fn serve(
    mut socket: TcpStream,
    behaviour: Behaviour,
    received: Arc<Mutex<Received>>,
    accept_tasks: Tasks,
) {
    if !matches!(socket.peek(&mut [0]).await, Ok(1)) {
        return;
    }
    received.lock().expect("no panic").connections += 1;
    match behaviour {
        Behaviour::CrashOn(text) => {
            while let Some((dispatch, body)) = read_whole_request(&mut socket, &received).await {
                if String::from_utf8_lossy(&body).contains(text) {
                    let tasks = std::mem::take(&mut *accept_tasks.lock().expect("no panic"));
                    for task in tasks {
                        task.abort();
                        // An aborted task returns an error.
                        let _aborted = task.await;
                    }
                    return;
                }
                let _ = socket.write_all(&good_answer(&dispatch)).await;
            }
        }
        Behaviour::CloseAfterReading(count) => {
            let mut buf = vec![0; count];
            let _ = socket.read_exact(&mut buf).await;
        }
        Behaviour::AnswerAndClose(answer) => {
            read_request(&mut socket, &received).await;
            let _ = socket.write_all(&answer).await;
        }
        Behaviour::CloseReused => {
            if let Some(dispatch) = read_request(&mut socket, &received).await {
                let _ = socket.write_all(&good_answer(&dispatch)).await;
                read_request(&mut socket, &received).await;
            }
        }
    }
}

/// A valid HTTP answer to a dispatch.
pub fn good_answer(dispatch: &str) -> Vec<u8> {
    let output = serde_json::json!({ "done": "raw" });
    let body = serde_json::json!({
        "dispatch": dispatch,
        "length": output.to_string().len(),
        "output": output,
    })
    .to_string();
    let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: ";
    format!("{head}{}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Reads one request; returns its dispatch id.
async fn read_request(socket: &mut TcpStream, received: &Mutex<Received>) -> Option<String> {
    let (dispatch, _) = read_whole_request(socket, received).await?;
    Some(dispatch)
}

/// Reads one request; returns its dispatch id and its body.
async fn read_whole_request(
    socket: &mut TcpStream,
    received: &Mutex<Received>,
) -> Option<(String, Vec<u8>)> {
    let mut bytes = Vec::new();
    let head_end = loop {
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            break end + 4;
        }
        if socket.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).to_lowercase();
    let field = |name: &str| {
        head.lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
            .map(String::from)
    };
    let dispatch = field("hollowsail-dispatch")?;
    received
        .lock()
        .expect("no panic")
        .dispatches
        .push(dispatch.clone());
    let length: usize = field("content-length")?.parse().ok()?;
    while bytes.len() < head_end + length {
        if socket.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
    Some((dispatch, bytes.split_off(head_end)))
}
