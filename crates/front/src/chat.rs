//! The body of a model call, in the customary chat-completions shape.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use smol_str::SmolStr;
use verdict::Reason;
use verdict::Refusal;
use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64;

/// Bytes of text that make a token, on average; only used to estimate cost before a request runs.
const BYTES_PER_TOKEN: usize = 4;

/// Tokens that a call may generate if it doesn't say.
const DEFAULT_MAX_TOKENS: u32 = 512;

/// The most tokens that a call may ask for.
const MOST_MAX_TOKENS: u32 = 131_072;

/// Bytes of a block of the prompt: engines cache whole blocks and name them by the hash of all text
/// up to their end.
const BLOCK_BYTES: usize = 256;

/// Blocks that make the prefix. A longer one tells more prompts apart that share a system prompt, a
/// shorter one brings more of them together; 4 KiB is about a thousand tokens.
const PREFIX_BLOCKS: usize = 16;

/// A model call.
#[derive(Clone, Debug)]
pub struct Chat {
    /// The deployment that the call names as its model.
    pub deployment: SmolStr,
    /// Whether the answer is wanted as server-sent events.
    pub stream: bool,
    /// Estimated length of the prompt, tokens.
    pub prompt_tokens: u32,
    /// Most tokens to generate.
    pub max_new_tokens: u32,
    /// Hash of the prompt's beginning.
    pub prefix: u64,
    /// Hash of the whole prompt; the text so far of a continued request is left out, so that a
    /// repeat has the fingerprint of the original.
    pub fingerprint: u64,
    /// Text so far that the caller sent along to be continued.
    pub text_so_far: Option<String>,
    /// The body as it came.
    pub body: Bytes,
}

/// The parts of the body that are read; everything else is passed on untouched.
#[derive(Deserialize)]
struct Body {
    model: SmolStr,
    messages: Vec<Message>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    continue_final_message: bool,
}

/// One message of the conversation.
#[derive(Deserialize)]
struct Message {
    role: String,
    content: String,
}

impl Chat {
    /// Reads a body, or says what is wrong with it.
    pub fn read(body: Bytes) -> Result<Chat, Refusal> {
        let read: Body = serde_json::from_slice(&body).map_err(|error| {
            // The error's text could hold a piece of the prompt, so only its place is told.
            let place = format!("line {} column {}", error.line(), error.column());
            malformed(format!("the body isn't a chat completion request: {place}"))
        })?;
        if read.messages.is_empty() {
            return Err(malformed("messages is empty"));
        }
        let max_new_tokens = read.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        if max_new_tokens == 0 || max_new_tokens > MOST_MAX_TOKENS {
            return Err(malformed("max_tokens must be 1 to 131072"));
        }
        let continued = read.continue_final_message
            && read
                .messages
                .last()
                .is_some_and(|last| last.role == "assistant");
        let (prompt, text_so_far) = split_prompt(&read.messages, continued);
        Ok(Chat {
            stream: read.stream,
            prompt_tokens: estimate_tokens(&read.messages),
            max_new_tokens,
            prefix: prefix_of(prompt),
            fingerprint: fingerprint_of(&read.model, prompt),
            text_so_far,
            deployment: read.model,
            body,
        })
    }

    /// The body that makes an engine go on behind the text so far; to be used while tokens are left.
    pub fn continued_body(&self, text: &str, tokens_so_far: u64) -> Bytes {
        let Ok(mut value) = serde_json::from_slice::<Value>(&self.body) else {
            return self.body.clone();
        };
        let left = u64::from(self.max_new_tokens).saturating_sub(tokens_so_far);
        value["max_tokens"] = json!(left);
        value["continue_final_message"] = json!(true);
        if let Some(messages) = value["messages"].as_array_mut() {
            if self.text_so_far.is_some() {
                messages.pop();
            }
            messages.push(json!({"role": "assistant", "content": text}));
        }
        Bytes::from(value.to_string())
    }
}

/// The prompt's messages, and the text to be continued where there is one.
fn split_prompt(messages: &[Message], continued: bool) -> (&[Message], Option<String>) {
    match messages.split_last() {
        Some((last, prompt)) if continued => (prompt, Some(last.content.clone())),
        _ => (messages, None),
    }
}

/// An estimate that is good enough for admission; the actual count is charged later.
fn estimate_tokens(messages: &[Message]) -> u32 {
    let bytes: usize = messages.iter().map(|message| message.content.len()).sum();
    u32::try_from(bytes / BYTES_PER_TOKEN + 1).unwrap_or(u32::MAX)
}

/// Hash of the prompt's first whole blocks, as engines name them; of all its text if it has none.
fn prefix_of(prompt: &[Message]) -> u64 {
    let mut text = String::new();
    for message in prompt {
        if text.len() >= PREFIX_BLOCKS * BLOCK_BYTES {
            break;
        }
        for part in [&message.role, &message.content] {
            text.push_str(part);
            text.push('\n');
        }
    }
    let blocks = (text.len() / BLOCK_BYTES).min(PREFIX_BLOCKS);
    let end = if blocks == 0 {
        text.len()
    } else {
        blocks * BLOCK_BYTES
    };
    xxh3_64(&text.as_bytes()[..end])
}

/// Hash over deployment and prompt.
fn fingerprint_of(deployment: &str, prompt: &[Message]) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(deployment.as_bytes());
    for message in prompt {
        hasher.update(b"\0");
        hasher.update(message.role.as_bytes());
        hasher.update(b"\0");
        hasher.update(message.content.as_bytes());
    }
    hasher.digest()
}

/// The refusal of a body that can't be read.
fn malformed(message: impl Into<SmolStr>) -> Refusal {
    Refusal::not_run(Reason::Malformed, message)
}
