//! Requests of callers, and the answers they expect.

use bytes::Bytes;
use client::Client;
use client::call::Call;
use client::call::Delivery;
use client::error::Error;
use client::stream::Stream;
use http::Method;
use smol_str::SmolStr;
use standin::sample;
use standin::tokens::Chat;

use crate::harness::process::Process;
use crate::harness::raw;
use crate::harness::raw::Response;

/// Reads a streamed answer and checks it against the expected text.
pub struct Reader {
    pub stream: Stream,
    pub text: String,
    expected: String,
}

impl Reader {
    /// Sends a question that is answered with `length` tokens.
    pub async fn new(caller: &Client, question: &str, length: u32) -> Reader {
        let chat = Chat::question(sample::MODEL, question, length);
        let body = serde_json::to_value(&chat).unwrap();
        Reader {
            stream: caller.stream(body, "").await.unwrap(),
            text: String::new(),
            expected: chat.plan().answer(),
        }
    }

    /// Reads `chunks` chunks.
    pub async fn read(&mut self, chunks: usize) {
        for _ in 0..chunks {
            let chunk = self.stream.next().await.expect("more chunks").unwrap();
            self.text.push_str(&chunk.text);
        }
    }

    /// Reads the rest and checks that the answer is complete, without a duplicate chunk.
    pub async fn finish(&mut self) {
        self.text
            .push_str(&self.stream.collect_text().await.unwrap());
        assert_eq!(self.text, self.expected);
    }
}

/// Returns a non-idempotent call.
pub fn receipt(body: &str, delivery: Delivery) -> Call {
    Call {
        deployment: SmolStr::from(sample::SERVICE),
        method: Method::POST,
        path: SmolStr::from("/receipts"),
        body: Bytes::from(body.to_owned()),
        delivery,
    }
}

/// Returns the key under which the plain service counts [`receipt`].
pub fn receipt_key(body: &str) -> String {
    format!("POST /receipts {body}")
}

/// Sends a receipt to this entry only, identified by one header: an idempotency key or a ticket.
pub async fn receipt_at(entry: &Process, body: &str, id_header: (&str, &str)) -> Response {
    let key = format!("Bearer {}", sample::ACCOUNT_KEY);
    let headers = [("authorization", key.as_str()), id_header];
    let request_line = "POST /services/records/receipts";
    raw::request(entry.address("callers"), request_line, &headers, body).await
}

/// Asks this entry only a question that is answered with three tokens, not streamed.
pub async fn ask_at(address: &str, question: &str) -> Response {
    let chat = Chat {
        stream: false,
        ..Chat::question(sample::MODEL, question, 3)
    };
    let body = serde_json::to_string(&chat).unwrap();
    let key = format!("Bearer {}", sample::ACCOUNT_KEY);
    let headers = [("authorization", key.as_str())];
    raw::request(address, "POST /v1/chat/completions", &headers, &body).await
}

/// Sends a receipt under an idempotency key.
pub async fn send_receipt(caller: &Client, body: &str, key: &str) -> Result<(), Error> {
    let call = receipt(body, Delivery::Key(SmolStr::from(key)));
    caller.call(&call).await.map(drop)
}
