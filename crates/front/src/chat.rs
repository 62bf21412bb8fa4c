//! Body of a model call in chat-completions format.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use smol_str::SmolStr;
use verdict::Reason;
use verdict::Refusal;
use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64;

/// Average bytes of text per token; only used to estimate the cost before a request runs.
const BYTES_PER_TOKEN: usize = 4;

/// Token limit of a call that sets none.
const DEFAULT_TOKENS_LIMIT: u32 = 512;

/// Largest token limit that a call may set.
const MAX_TOKENS_LIMIT: u32 = 131_072;

/// Bytes per block of the prompt: engines cache whole blocks and identify each by the hash of all text up
/// to its end.
const BLOCK_BYTES: usize = 256;

/// Blocks in the prefix. A longer prefix separates more prompts that share a system prompt, a shorter
/// one groups more of them; 4 KiB is about a thousand tokens.
const PREFIX_BLOCKS: usize = 16;

/// A model call.
#[derive(Clone, Debug)]
pub struct Chat {
    /// Deployment, which the call names as its model.
    pub deployment: SmolStr,
    /// Whether the caller wants server-sent events.
    pub stream: bool,
    /// Estimated length of the prompt, tokens.
    pub prompt_tokens: u32,
    /// Most tokens to generate.
    pub max_new_tokens: u32,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Hash of the whole prompt, without the text so far of a continued request, so that a retry has the
    /// fingerprint of the original.
    pub fingerprint: u64,
    /// Text so far that the caller wants continued.
    pub text_so_far: Option<String>,
    /// Original body.
    pub body: Bytes,
}

/// Fields of the body that are parsed; all others are forwarded unchanged.
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
    /// Parses and validates a body.
    pub fn read(body: Bytes) -> Result<Chat, Refusal> {
        let parsed: Body = serde_json::from_slice(&body).map_err(|error| {
            // The error's text may quote the prompt, so only its position is reported.
            let position = format!("line {} column {}", error.line(), error.column());
            malformed(format!(
                "the body isn't a chat completion request: {position}"
            ))
        })?;
        if parsed.messages.is_empty() {
            return Err(malformed("messages is empty"));
        }
        let max_new_tokens = parsed.max_tokens.unwrap_or(DEFAULT_TOKENS_LIMIT);
        if max_new_tokens == 0 || max_new_tokens > MAX_TOKENS_LIMIT {
            return Err(malformed("max_tokens must be 1 to 131072"));
        }
        let continued = parsed.continue_final_message
            && parsed
                .messages
                .last()
                .is_some_and(|last| last.role == "assistant");
        let (prompt, text_so_far) = split_prompt(&parsed.messages, continued);
        Ok(Chat {
            stream: parsed.stream,
            prompt_tokens: estimate_tokens(&parsed.messages),
            max_new_tokens,
            prefix: hash_prefix(prompt),
            fingerprint: compute_fingerprint(&parsed.model, prompt),
            text_so_far,
            deployment: parsed.model,
            body,
        })
    }

    /// Returns the body that makes an engine continue after `text`; requires that tokens are left.
    pub fn continued_body(&self, text: &str, tokens_so_far: u64) -> Bytes {
        let Ok(mut value) = serde_json::from_slice::<Value>(&self.body) else {
            return self.body.clone();
        };
        let remaining = u64::from(self.max_new_tokens).saturating_sub(tokens_so_far);
        value["max_tokens"] = json!(remaining);
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

/// Splits the messages into the prompt and the text to be continued, if any.
fn split_prompt(messages: &[Message], continued: bool) -> (&[Message], Option<String>) {
    match messages.split_last() {
        Some((last, prompt)) if continued => (prompt, Some(last.content.clone())),
        _ => (messages, None),
    }
}

/// Estimates the tokens of the messages for admission; the actual count is charged later.
fn estimate_tokens(messages: &[Message]) -> u32 {
    let bytes: usize = messages.iter().map(|message| message.content.len()).sum();
    u32::try_from(bytes / BYTES_PER_TOKEN + 1).unwrap_or(u32::MAX)
}

/// Hashes the whole blocks of the prefix as engines do, or all text if it is shorter than a block.
fn hash_prefix(prompt: &[Message]) -> u64 {
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

/// Hashes the deployment and the prompt.
fn compute_fingerprint(deployment: &str, prompt: &[Message]) -> u64 {
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

/// Returns the refusal of a malformed body.
fn malformed(message: impl Into<SmolStr>) -> Refusal {
    Refusal::not_run(Reason::Malformed, message)
}
