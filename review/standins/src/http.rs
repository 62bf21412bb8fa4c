//! HTTP/1.1 over blocking sockets: a server with one thread a connection, and the reading of messages.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub line: String,
    /// Names in lower case, with values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    /// Returns the path of a request, without its query.
    pub fn path(&self) -> &str {
        let target = self.line.split(' ').nth(1).unwrap_or_default();
        target.split('?').next().unwrap_or_default()
    }

    /// Returns a parameter of the query, decoded.
    pub fn parameter(&self, name: &str) -> String {
        let target = self.line.split(' ').nth(1).unwrap_or_default();
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.find(|(known, _)| *known == name);
        value.map_or_else(String::new, |(_, value)| decoded(value))
    }

    /// Returns the status of a response, or 0.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1).unwrap_or_default();
        status.parse().unwrap_or(0)
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let digits = text.get(at + 1..at + 3);
        let byte = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match byte.filter(|_| bytes[at] == b'%') {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Serves connections until the process ends; a handler returns false to close its connection.
pub fn serve<H>(handler: H) -> SocketAddr
where
    H: Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(socket, handler.as_ref()));
        }
    });
    address
}

fn serve_connection<H>(mut socket: TcpStream, handler: &H)
where
    H: Fn(&Message, &mut TcpStream) -> bool,
{
    let _ = socket.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(request) = read_message(&mut socket, &mut buffer, None, &mut |_| {}) {
        if !handler(&request, &mut socket) {
            return;
        }
    }
}

/// Sends a whole response.
pub fn respond(socket: &mut TcpStream, status: u16, headers: &str, body: &str) -> bool {
    let length = body.len();
    let text = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    socket.write_all(text.as_bytes()).is_ok()
}

/// Reads one message; `None` if the connection ends before it does or the time is up. `buffer` keeps what follows.
/// `seen` gets each part of a body in chunks as it arrives.
pub fn read_message(
    socket: &mut TcpStream,
    buffer: &mut Vec<u8>,
    until: Option<Instant>,
    seen: &mut dyn FnMut(&[u8]),
) -> Option<Message> {
    let head_end = loop {
        if let Some(at) = find(buffer, b"\r\n\r\n") {
            break at;
        }
        fill(socket, buffer, until)?;
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    buffer.drain(..head_end + 4);
    let mut lines = head.split("\r\n");
    let mut message = Message {
        line: lines.next().unwrap_or_default().to_owned(),
        ..Message::default()
    };
    for (name, value) in lines.filter_map(|line| line.split_once(':')) {
        let header = (name.to_ascii_lowercase(), value.trim().to_owned());
        message.headers.push(header);
    }
    if message.header("transfer-encoding").contains("chunked") {
        loop {
            let chunk = read_chunk(socket, buffer, until)?;
            if chunk.is_empty() {
                return Some(message);
            }
            seen(&chunk);
            message.body.extend_from_slice(&chunk);
        }
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    while buffer.len() < length {
        fill(socket, buffer, until)?;
    }
    message.body = buffer.drain(..length).collect();
    Some(message)
}

fn read_chunk(
    socket: &mut TcpStream,
    buffer: &mut Vec<u8>,
    until: Option<Instant>,
) -> Option<Vec<u8>> {
    let line_end = loop {
        if let Some(at) = find(buffer, b"\r\n") {
            break at;
        }
        fill(socket, buffer, until)?;
    };
    let line = String::from_utf8_lossy(&buffer[..line_end]).into_owned();
    let digits = line.split(';').next().unwrap_or_default();
    let length = usize::from_str_radix(digits.trim(), 16).ok()?;
    while buffer.len() < line_end + 2 + length + 2 {
        fill(socket, buffer, until)?;
    }
    let chunk = buffer[line_end + 2..line_end + 2 + length].to_vec();
    buffer.drain(..line_end + 2 + length + 2);
    Some(chunk)
}

fn fill(socket: &mut TcpStream, buffer: &mut Vec<u8>, until: Option<Instant>) -> Option<()> {
    let left = until.map(|until| until.saturating_duration_since(Instant::now()));
    if left.is_some_and(|left| left.is_zero()) {
        return None;
    }
    let _ = socket.set_read_timeout(left.map(|left| left.max(Duration::from_millis(1))));
    let mut bytes = [0; 16_384];
    match socket.read(&mut bytes) {
        Ok(0) => None,
        Ok(count) => {
            buffer.extend_from_slice(&bytes[..count]);
            Some(())
        }
        Err(error) if error.kind() == ErrorKind::Interrupted => Some(()),
        Err(_) => None,
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    let mut windows = bytes.windows(wanted.len());
    windows.position(|window| window == wanted)
}
