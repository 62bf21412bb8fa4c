//! A fake entry that answers address requests, and all fakes by a script.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use client::Client;
use client::configs;
use clock::Span;
use smol_str::SmolStr;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Script and record of a fake entry.
#[derive(Default)]
pub struct Script {
    /// Requests received, head and body, without address requests.
    pub requests: Vec<String>,
    /// Responses to send, one per request; the connection is closed after each.
    pub responses: VecDeque<String>,
    /// Entries in address responses; initially the fake itself.
    pub entries: Vec<String>,
    /// Tickets issued so far.
    pub issued_tickets: u32,
}

/// A running fake entry.
pub struct Fake {
    pub address: String,
    pub script: Rc<RefCell<Script>>,
    task: AbortHandle,
}

impl Fake {
    pub async fn start(responses: &[String]) -> Fake {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let script = Rc::new(RefCell::new(Script {
            responses: responses.iter().cloned().collect(),
            entries: vec![address.clone()],
            ..Script::default()
        }));
        let shared = Rc::clone(&script);
        let task = tokio::task::spawn_local(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::task::spawn_local(serve(stream, Rc::clone(&shared)));
            }
        });
        Fake {
            address,
            script,
            task: task.abort_handle(),
        }
    }

    pub fn set_entries(&self, fakes: &[&Fake]) {
        let entries = fakes.iter().map(|fake| fake.address.clone());
        self.script.borrow_mut().entries = entries.collect();
    }

    pub fn requests(&self) -> Vec<String> {
        self.script.borrow().requests.clone()
    }

    pub fn stop(&self) {
        self.task.abort();
    }
}

/// Creates a client that knows these fakes.
pub fn client(fakes: &[&Fake]) -> Client {
    Client::new(configs::Client {
        entries: fakes
            .iter()
            .map(|fake| SmolStr::from(fake.address.as_str()))
            .collect(),
        key: SmolStr::from("key-one"),
        idle_timeout: Span::from_millis(2_000),
        seed: Some(7),
        ..configs::Client::default()
    })
}

/// Runs a test on a single-threaded runtime.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// Returns a complete response of a service.
pub fn done(body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\nx-dogwoodspur-request: r-1\r\n\
         x-dogwoodspur-verdict: done\r\n\r\n{body}"
    )
}

/// Returns a refusal; `retry_after` is in milliseconds.
pub fn refusal(verdict: &str, reason: &str, retry_after: Option<u64>) -> String {
    let retry = retry_after.map_or("null".to_owned(), |millis| millis.to_string());
    let body = format!(
        "{{\"error\":{{\"reason\":\"{reason}\",\"verdict\":\"{verdict}\",\"message\":\"no\",\
         \"retry_after_ms\":{retry},\"request\":\"r-1\"}}}}"
    );
    let length = body.len();
    format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-length: {length}\r\n\
         x-dogwoodspur-verdict: {verdict}\r\n\r\n{body}"
    )
}

/// Returns the head of a stream, followed by events; the connection is closed at their end.
pub fn stream(token: &str, events: &[String]) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-dogwoodspur-request: r-1\r\n\
         x-dogwoodspur-resume: {token}\r\nconnection: close\r\n\r\n{}",
        events.concat()
    )
}

/// Returns the chunk events `from..to`, each with the text `cN `.
pub fn chunks(from: u64, to: u64) -> String {
    let chunk = |offset| {
        format!(
            "id: {offset}\ndata: {{\"choices\":[{{\"delta\":{{\"content\":\"c{offset} \"}}}}]}}\n\n"
        )
    };
    (from..to).map(chunk).collect()
}

async fn serve(mut stream: TcpStream, script: Rc<RefCell<Script>>) {
    let Some(request) = read_request(&mut stream).await else {
        return;
    };
    let response = if request.starts_with("GET /v1/addresses") {
        address_response(&script)
    } else {
        let mut script = script.borrow_mut();
        script.requests.push(request);
        script.responses.pop_front().unwrap_or_default()
    };
    let _ = stream.write_all(response.as_bytes()).await;
}

fn address_response(script: &RefCell<Script>) -> String {
    let mut script = script.borrow_mut();
    script.issued_tickets += 1;
    let entry =
        |address: &String| format!("{{\"address\":\"{address}\",\"zone\":\"a\",\"weight\":1}}");
    let entries: Vec<String> = script.entries.iter().map(entry).collect();
    let body = format!(
        "{{\"addresses\":[{}],\"ttl_ms\":60000,\"tickets\":[\"t-{}\"]}}",
        entries.join(","),
        script.issued_tickets
    );
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}")
}

async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n")
            && body.len() >= content_length(head)
        {
            return Some(text);
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
}

fn content_length(head: &str) -> usize {
    let lines = head.lines().filter_map(|line| line.split_once(": "));
    let mut lengths = lines.filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    lengths
        .next()
        .map_or(0, |(_, value)| value.parse().unwrap())
}
