//! Small HTTP/1.1 and JSON helpers for the stand-ins; standard library only.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// A request or an answer.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The words of the first line.
    pub start: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// False when the body ended before the end that its head announces.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        &self.start[0]
    }

    /// Path and query.
    pub fn target(&self) -> &str {
        &self.start[1]
    }

    pub fn status(&self) -> u16 {
        self.start
            .get(1)
            .and_then(|word| word.parse().ok())
            .unwrap_or(0)
    }
}

fn read_line(stream: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_string())
}

/// Reads a head: the first line and the headers.
pub fn read_head(stream: &mut BufReader<TcpStream>) -> io::Result<Message> {
    let first = read_line(stream)?;
    let mut message = Message {
        start: first.splitn(3, ' ').map(str::to_string).collect(),
        ..Message::default()
    };
    loop {
        let line = read_line(stream)?;
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message
                .headers
                .push((name.trim().to_string(), value.trim().to_string()));
        }
    }
    match message.start.len() >= 2 {
        true => Ok(message),
        false => Err(io::ErrorKind::InvalidData.into()),
    }
}

/// Reads the body that a head announces. Without a length or chunks, an answer's body ends with its
/// connection, and a request has none.
pub fn read_body(stream: &mut BufReader<TcpStream>, message: &mut Message, is_answer: bool) {
    let chunked = message
        .header("transfer-encoding")
        .is_some_and(|value| value.to_ascii_lowercase().contains("chunked"));
    let length = message
        .header("content-length")
        .and_then(|value| value.parse::<usize>().ok());
    let mut body = Vec::new();
    let result = if chunked {
        read_chunks(stream, &mut body)
    } else if let Some(length) = length {
        body.resize(length, 0);
        stream.read_exact(&mut body)
    } else if is_answer {
        stream.read_to_end(&mut body).map(drop)
    } else {
        Ok(())
    };
    message.is_complete = result.is_ok();
    message.body = body;
}

fn read_chunks(stream: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let line = read_line(stream)?;
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size + 2];
        stream.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Reads a whole request; `None` at the end of the connection.
pub fn read_request(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = read_head(stream).ok()?;
    read_body(stream, &mut message, false);
    message.is_complete.then_some(message)
}

/// Writes an answer with a length.
pub fn write_answer(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Sends a request on a new connection and reads the answer; an error when there is no whole head.
pub fn call(
    addr: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut stream = BufReader::new(stream);
    let mut answer = read_head(&mut stream)?;
    read_body(&mut stream, &mut answer, true);
    Ok(answer)
}

/// Binds a free loopback port.
pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let addr = listener
        .local_addr()
        .expect("a bound listener has an address");
    (listener, addr)
}

/// Serves each connection in a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = std::sync::Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || {
                if stream.set_nodelay(true).is_ok() {
                    handle(stream);
                }
            });
        }
    });
}

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut at = 0;
        let value = value(text, &mut at)?;
        Some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Json::Text(text)) => text,
            _ => "",
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Json::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(list)) => list,
            _ => &[],
        }
    }
}

fn skip(text: &[u8], at: &mut usize) {
    while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(text: &[u8], at: &mut usize) -> Option<Json> {
    skip(text, at);
    match text.get(*at)? {
        b'"' => string(text, at).map(Json::Text),
        b'{' => {
            let mut fields = BTreeMap::new();
            *at += 1;
            loop {
                skip(text, at);
                match text.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Object(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let name = string(text, at)?;
                        skip(text, at);
                        *at += 1;
                        fields.insert(name, value(text, at)?);
                    }
                }
            }
        }
        b'[' => {
            let mut list = Vec::new();
            *at += 1;
            loop {
                skip(text, at);
                match text.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(value(text, at)?),
                }
            }
        }
        _ => {
            let start = *at;
            while text
                .get(*at)
                .is_some_and(|byte| !b",]} \r\n\t".contains(byte))
            {
                *at += 1;
            }
            match std::str::from_utf8(&text[start..*at]).ok()? {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}

/// Strings of the messages used here have no escapes beyond a quote and a backslash.
fn string(text: &[u8], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut bytes = Vec::new();
    loop {
        match text.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(bytes).ok();
            }
            b'\\' => {
                bytes.push(*text.get(*at + 1)?);
                *at += 2;
            }
            byte => {
                bytes.push(*byte);
                *at += 1;
            }
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut word = 0u32;
        for index in 0..3 {
            word = word << 8 | u32::from(*group.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            match index <= group.len() {
                true => text.push(SIGNS[(word >> (18 - 6 * index) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
