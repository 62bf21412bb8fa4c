//! A client: it asks for addresses, and sends requests on kept or new connections.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::json;
use crate::json::Value;
use crate::record::Record;

/// Time by which a client waits longer than it said.
const SLACK: Duration = Duration::from_millis(1_500);

/// A request to send.
pub struct Request<'a> {
    pub id: &'a str,
    pub method: &'a str,
    pub path: &'a str,
    /// Further headers, each line with its end.
    pub headers: &'a str,
    pub body: &'a str,
    pub deadline_ms: u64,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// A whole answer.
    Answered(u16, String),
    /// The connection ended or nothing came.
    Broken,
}

impl End {
    /// Returns the status, or 0.
    pub fn status(&self) -> u16 {
        match self {
            End::Answered(status, _) => *status,
            End::Broken => 0,
        }
    }
}

/// A kept connection.
pub struct Connection {
    socket: TcpStream,
    buffer: Vec<u8>,
    pub entry: SocketAddr,
}

impl Connection {
    /// Connects within a second.
    pub fn open(entry: SocketAddr) -> Option<Connection> {
        let socket = TcpStream::connect_timeout(&entry, Duration::from_secs(1)).ok()?;
        let _ = socket.set_nodelay(true);
        Some(Connection {
            socket,
            buffer: Vec::new(),
            entry,
        })
    }

    /// Sends a request and waits for its answer.
    pub fn send(&mut self, record: &Record, request: &Request<'_>) -> End {
        self.send_streaming(record, request, &mut String::new())
    }

    /// Sends a request and waits for its answer; `text` gets the parts of a stream as they arrive.
    pub fn send_streaming(
        &mut self,
        record: &Record,
        request: &Request<'_>,
        text: &mut String,
    ) -> End {
        let Request {
            id,
            method,
            path,
            headers,
            body,
            deadline_ms,
        } = request;
        let length = body.len();
        let message = format!(
            "{method} {path} HTTP/1.1\r\nHost: site.example\r\nDogwoodspur-Attempt-Id: {id}\r\n\
             Dogwoodspur-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer key-ann\r\n{headers}\
             Content-Length: {length}\r\n\r\n{body}"
        );
        record.line(&format!(
            "client: sends {id} to {}: {method} {path} {body}",
            self.entry
        ));
        let until = Instant::now() + Duration::from_millis(*deadline_ms) + SLACK;
        let sent = self.socket.write_all(message.as_bytes());
        let answer = sent.ok().and_then(|()| {
            let seen = &mut |part: &[u8]| {
                if text.is_empty() {
                    let part = String::from_utf8_lossy(part).replace('\n', " ");
                    record.line(&format!("client: gets for {id}: {part}and more"));
                }
                text.push_str(&String::from_utf8_lossy(part));
            };
            http::read_message(&mut self.socket, &mut self.buffer, Some(until), seen)
        });
        let Some(answer) = answer else {
            record.line(&format!("client: {id} ends without a whole answer"));
            return End::Broken;
        };
        let retry = answer.header("retry-after");
        record.line(&format!(
            "client: {id} is answered {} retry-after '{retry}': {}",
            answer.status(),
            answer.text().replace('\n', " ")
        ));
        End::Answered(answer.status(), answer.text())
    }
}

/// Asks for addresses.
pub fn resolve(directory: SocketAddr) -> Vec<SocketAddr> {
    let ask = || {
        let mut socket = TcpStream::connect_timeout(&directory, Duration::from_secs(1)).ok()?;
        let text =
            "GET /v1/resolve?name=site.example&region=geo&zone=hall-a HTTP/1.1\r\nHost: x\r\n\r\n";
        socket.write_all(text.as_bytes()).ok()?;
        let until = Instant::now() + Duration::from_secs(1);
        http::read_message(&mut socket, &mut Vec::new(), Some(until), &mut |_| {})
    };
    let answer = ask().filter(|answer| answer.status() == 200);
    let body = answer.and_then(|answer| json::parse(&answer.text()));
    let body = body.unwrap_or(Value::Null);
    let addresses = body.get("addresses").list().iter();
    addresses
        .filter_map(|address| address.text().parse().ok())
        .collect()
}
