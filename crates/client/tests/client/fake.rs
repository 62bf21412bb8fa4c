//! A tiny entry: answers address requests, and everything else by a script.

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

/// What it answered and what it will.
#[derive(Default)]
pub struct Script {
    /// Whole requests, head and body, but for address requests.
    pub requests: Vec<String>,
    /// Answers to come, one a request; the connection is closed after each.
    pub answers: VecDeque<String>,
    /// Entries named in address answers; itself if there are none.
    pub named: Vec<String>,
    /// Tickets given out so far.
    pub tickets: u32,
}

/// A listening fake.
pub struct Fake {
    pub address: String,
    pub script: Rc<RefCell<Script>>,
    task: AbortHandle,
}

impl Fake {
    pub async fn start(answers: &[String]) -> Fake {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let script = Rc::new(RefCell::new(Script {
            answers: answers.iter().cloned().collect(),
            named: vec![address.clone()],
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

    pub fn name(&self, others: &[&Fake]) {
        let named = others.iter().map(|fake| fake.address.clone());
        self.script.borrow_mut().named = named.collect();
    }

    pub fn requests(&self) -> Vec<String> {
        self.script.borrow().requests.clone()
    }

    pub fn kill(&self) {
        self.task.abort();
    }
}

/// A client that knows these fakes.
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

/// Runs a test on one thread.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// A whole answer of a service.
pub fn done(body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\nx-dogwoodspur-request: r-1\r\n\
         x-dogwoodspur-verdict: done\r\n\r\n{body}"
    )
}

/// A refusal; `retry_after` in milliseconds where it helps to come back.
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

/// The head of a stream, and events after it; the connection is closed at their end.
pub fn stream(token: &str, events: &[String]) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-dogwoodspur-request: r-1\r\n\
         x-dogwoodspur-resume: {token}\r\nconnection: close\r\n\r\n{}",
        events.concat()
    )
}

/// Chunks `from..to`, each `cN `.
pub fn chunks(from: u64, to: u64) -> String {
    let chunk = |at| {
        format!("id: {at}\ndata: {{\"choices\":[{{\"delta\":{{\"content\":\"c{at} \"}}}}]}}\n\n")
    };
    (from..to).map(chunk).collect()
}

async fn serve(mut stream: TcpStream, script: Rc<RefCell<Script>>) {
    let Some(request) = read(&mut stream).await else {
        return;
    };
    let answer = if request.starts_with("GET /v1/addresses") {
        addresses(&script)
    } else {
        let mut script = script.borrow_mut();
        script.requests.push(request);
        script.answers.pop_front().unwrap_or_default()
    };
    let _ = stream.write_all(answer.as_bytes()).await;
}

fn addresses(script: &RefCell<Script>) -> String {
    let mut script = script.borrow_mut();
    script.tickets += 1;
    let place =
        |address: &String| format!("{{\"address\":\"{address}\",\"zone\":\"a\",\"weight\":1}}");
    let named: Vec<String> = script.named.iter().map(place).collect();
    let body = format!(
        "{{\"addresses\":[{}],\"ttl_ms\":60000,\"tickets\":[\"t-{}\"]}}",
        named.join(","),
        script.tickets
    );
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}")
}

async fn read(stream: &mut TcpStream) -> Option<String> {
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
