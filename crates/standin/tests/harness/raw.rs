//! Response HTTP requests, as a faulty or hostile caller sends them.

use std::time::Duration;

use serde_json::Value;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Everything received until the connection was closed.
#[derive(Debug)]
pub struct Response {
    /// Status code; 0 if no HTTP response was received.
    pub status: u16,
    /// Status line and headers, in lower case.
    pub head: String,
    /// Body.
    pub body: String,
}

impl Response {
    /// Returns the reason in the body of a refusal.
    pub fn reason(&self) -> String {
        self.field("reason")
    }

    /// Returns the verdict in the body of a refusal, and checks that the header has the same.
    pub fn verdict(&self) -> String {
        let verdict = self.field("verdict");
        let header = format!("x-dogwoodspur-verdict: {verdict}");
        assert!(self.head.contains(&header), "{self:?}");
        verdict
    }

    /// Returns the value of a header; empty if it is missing.
    pub fn header(&self, name: &str) -> String {
        let lines = self.head.lines().filter_map(|line| line.split_once(": "));
        let mut values = lines.filter(|(header, _)| *header == name);
        values
            .next()
            .map(|(_, value)| value.to_owned())
            .unwrap_or_default()
    }

    fn field(&self, name: &str) -> String {
        let body: Value = serde_json::from_str(&self.body).unwrap_or_default();
        body["error"][name].as_str().unwrap_or_default().to_owned()
    }
}

/// Sends bytes and reads until the peer closes the connection.
pub async fn exchange(address: &str, bytes: &[u8]) -> Response {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let _ = stream.write_all(bytes).await;
    read(stream).await
}

/// Sends a complete HTTP/1.1 request.
pub async fn request(
    address: &str,
    request_line: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Response {
    let mut text = format!("{request_line} HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    exchange(address, text.as_bytes()).await
}

/// Reads until the peer closes the connection.
pub async fn read(mut stream: TcpStream) -> Response {
    let mut bytes = Vec::new();
    let reading = stream.read_to_end(&mut bytes);
    let _ = tokio::time::timeout(READ_TIMEOUT, reading)
        .await
        .expect("the connection is closed");
    let text = String::from_utf8_lossy(&bytes);
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    Response {
        status: status.unwrap_or(0),
        head: head.to_lowercase(),
        body: body.to_owned(),
    }
}
