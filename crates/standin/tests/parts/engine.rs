//! Tests of the model engine.

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper_util::client::legacy;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;
use standin::configs;
use standin::engine;
use standin::engine::Engine;
use standin::engine::fault::Fault;
use standin::http::Http;
use standin::tokens::Chat;
use standin::tokens::Message;

use crate::get;
use crate::post;
use crate::run;

const TOKEN_MS: u64 = 1;

async fn start() -> (Engine, String) {
    start_with(configs::engine::Engine::default()).await
}

async fn start_with(config: configs::engine::Engine) -> (Engine, String) {
    let config = configs::engine::Engine {
        token_ms: TOKEN_MS,
        ..config
    };
    let engine = engine::spawn(config).await.unwrap();
    let address = engine.server.address().to_string();
    (engine, address)
}

/// Output of a stream: its text, the next offset, and whether it is complete.
#[derive(Debug, Default, PartialEq)]
struct Output {
    text: String,
    next_offset: u32,
    complete: bool,
}

/// Starts a stream and reads it until it ends or is cut.
async fn ask(address: &str, id: &str, priority: u8, chat: &Chat) -> Output {
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}/v1/chat/completions"))
        .header("x-stream", id)
        .header("x-priority", u16::from(priority))
        .body(Full::new(Bytes::from(serde_json::to_vec(chat).unwrap())));
    read_events(request.unwrap(), 0).await
}

/// Resumes a stream at an offset.
async fn resume(address: &str, id: &str, offset: u32) -> Output {
    let request = Request::builder()
        .uri(format!("http://{address}/v1/streams/{id}?offset={offset}"))
        .body(Full::default());
    read_events(request.unwrap(), offset).await
}

async fn read_events(request: Request<Full<Bytes>>, offset: u32) -> Output {
    let http = legacy::Client::builder(TokioExecutor::new()).build_http();
    let mut body = http.request(request).await.unwrap().into_body();
    let mut bytes = Vec::new();
    while let Some(Ok(frame)) = body.frame().await {
        bytes.extend_from_slice(&frame.into_data().unwrap());
    }
    let mut output = Output {
        next_offset: offset,
        ..Output::default()
    };
    for event in String::from_utf8(bytes).unwrap().split_terminator("\n\n") {
        if event == "data: [DONE]" {
            output.complete = true;
            continue;
        }
        let (id, data) = event.split_once("\ndata: ").unwrap();
        assert_eq!(id, format!("id: {}", output.next_offset));
        let data: Value = serde_json::from_str(data).unwrap();
        output
            .text
            .push_str(data["choices"][0]["delta"]["content"].as_str().unwrap());
        output.next_offset += 1;
    }
    output
}

#[test]
fn continued_answer_starts_where_the_text_ended() {
    run(async {
        let (engine, address) = start().await;
        let chat = Chat::question("m", "why?", 30);
        let complete = ask(&address, "s-1", 5, &chat).await;
        assert_eq!(complete.text, chat.plan().answer());
        let mut continued = chat.clone();
        continued.continue_final_message = true;
        let so_far: String = (0..12).map(|offset| chat.plan().token(offset)).collect();
        continued.messages.push(Message {
            role: "assistant".to_owned(),
            content: so_far.clone(),
        });
        let rest = ask(&address, "s-2", 5, &continued).await;
        assert_eq!(rest.next_offset, 18);
        assert_eq!(so_far + &rest.text, complete.text);
        assert!(engine.counts().recomputed_tokens > 0);
    });
}

#[test]
fn cut_stream_is_resumed_and_runs_once() {
    run(async {
        let (engine, address) = start().await;
        engine.set_fault(Fault {
            cut_at: Some(7),
            ..Fault::default()
        });
        let chat = Chat::question("m", "why?", 20);
        let first = ask(&address, "s-1", 5, &chat).await;
        assert!(!first.complete);
        let rest = resume(&address, "s-1", first.next_offset).await;
        assert!(rest.complete);
        assert_eq!(first.text + &rest.text, chat.plan().answer());
        assert_eq!(engine.counts().started["s-1"], 1);
    });
}

#[test]
fn imported_stream_continues_without_recomputation() {
    run(async {
        let (first, first_address) = start().await;
        let (second, second_address) = start().await;
        let chat = Chat::question("m", "why?", 400);
        let (output, snapshot) = tokio::join!(ask(&first_address, "s-1", 5, &chat), async {
            while first.counts().generated_tokens < 5 {
                tokio::task::yield_now().await;
            }
            post(&first_address, "/v1/streams/s-1/export", json!({}))
                .await
                .1
        });
        assert!(!output.complete);
        assert_eq!(
            post(&second_address, "/v1/streams/s-1/import", snapshot)
                .await
                .0,
            200
        );
        let rest = resume(&second_address, "s-1", output.next_offset).await;
        assert_eq!(output.text + &rest.text, chat.plan().answer());
        assert_eq!(second.counts().computed_tokens, 0);
        assert_eq!(second.counts().imported, 1);
    });
}

#[test]
fn equal_prefix_is_cached_and_published_late_and_with_gaps() {
    run(async {
        let (engine, address) = start_with(configs::engine::Engine {
            event_delay_ms: 100,
            event_gap: 2,
            ..configs::engine::Engine::default()
        })
        .await;
        let bundle = "deed and census extract ".repeat(50);
        ask(&address, "s-1", 5, &Chat::question("m", &bundle, 2)).await;
        assert_eq!(engine.counts().cached_tokens, 0);
        let before_delay = get(&address, "/v1/cache-events?after=0").await;
        assert_eq!(before_delay["events"].as_array().unwrap().len(), 0);
        ask(&address, "s-2", 5, &Chat::question("m", &bundle, 3)).await;
        assert_eq!(engine.counts().cached_tokens, 4 * 64);
        tokio::time::sleep(std::time::Duration::from_millis(150)).await;
        let after_delay = get(&address, "/v1/cache-events?after=0").await;
        let seqs: Vec<u64> = after_delay["events"]
            .as_array()
            .unwrap()
            .iter()
            .map(|event| event["seq"].as_u64().unwrap())
            .collect();
        assert_eq!(seqs[..2], [1, 3]);
    });
}

#[test]
fn stale_fencing_number_is_refused_only_where_it_is_checked() {
    run(async {
        for checks_fencing in [true, false] {
            let (engine, address) = start_with(configs::engine::Engine {
                checks_fencing,
                ..configs::engine::Engine::default()
            })
            .await;
            let order = |fence: u64, version: &str| json!({ "fence": fence, "target": { "model": "m", "version": version } });
            assert_eq!(post(&address, "/v1/orders", order(13, "v2")).await.0, 200);
            let (status, answer) = post(&address, "/v1/orders", order(12, "v1")).await;
            if checks_fencing {
                assert_eq!(status, 409);
                assert_eq!(answer["fence"], 13);
                assert_eq!(get(&address, "/v1/state").await["target"]["version"], "v2");
            } else {
                assert_eq!(status, 200);
                assert_eq!(get(&address, "/v1/state").await["target"]["version"], "v1");
            }
            assert_eq!(engine.counts().fenced, u64::from(checks_fencing));
        }
    });
}

#[test]
fn urgent_request_is_served_before_waiting_ones() {
    run(async {
        let (engine, address) = start_with(configs::engine::Engine {
            slots: 1,
            ..configs::engine::Engine::default()
        })
        .await;
        let long = Chat::question("m", "long", 300);
        let short = Chat::question("m", "short", 5);
        let order = std::cell::RefCell::new(Vec::new());
        let ask_after = async |id: &'static str, priority, chat: &Chat, after| {
            while engine.counts().started.len() < after {
                tokio::task::yield_now().await;
            }
            ask(&address, id, priority, chat).await;
            order.borrow_mut().push(id);
        };
        tokio::join!(
            ask_after("running", 4, &long, 0),
            ask_after("patient", 8, &short, 1),
            ask_after("urgent", 0, &short, 2),
        );
        assert_eq!(*order.borrow(), ["running", "urgent", "patient"]);
    });
}

#[test]
fn marked_prompt_crashes_the_engine() {
    run(async {
        let (engine, address) = start().await;
        let output = ask(&address, "s-1", 5, &Chat::question("m", "[crash]", 20)).await;
        assert_eq!(output, Output::default());
        assert!(engine.server.is_dead());
        let path = "/v1/load";
        assert!(Http::default().get::<Value>(&address, path).await.is_err());
    });
}

#[test]
fn refusing_engine_answers_not_started() {
    run(async {
        let (engine, address) = start().await;
        engine.set_fault(Fault {
            refuse: true,
            ..Fault::default()
        });
        let chat = serde_json::to_value(Chat::question("m", "why?", 20)).unwrap();
        let (status, _) = post(&address, "/v1/chat/completions", chat).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(engine.counts().started.is_empty());
    });
}
