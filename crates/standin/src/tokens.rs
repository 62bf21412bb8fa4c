//! The stand-in model: each token is a function of the prompt and its index.
//!
//! Tests can therefore predict the whole answer, whichever engines generate it.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64;

/// Bytes of prompt text in one KV cache block.
pub const BLOCK_BYTES: usize = 256;

/// Bytes of prompt text counted as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Text that crashes the engine when it starts to run a prompt that contains it.
pub const CRASH_MARK: &str = "[crash]";

const LENGTH_MARK: &str = "[tokens=";
const DEFAULT_LENGTH: u32 = 24;

/// Body of a model call, reduced to the fields that the stand-in uses.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Chat {
    /// Name of the deployment.
    #[serde(default)]
    pub model: String,
    /// Messages of the conversation.
    pub messages: Vec<Message>,
    /// Maximum number of new tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Whether the response is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Whether the last assistant message is continued.
    #[serde(default)]
    pub continue_final_message: bool,
}

/// A message of the conversation.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Message {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

impl Chat {
    /// Returns a streamed call with one question that is answered with `length` tokens.
    pub fn question(model: &str, text: &str, length: u32) -> Chat {
        Chat {
            model: model.to_owned(),
            messages: vec![Message {
                role: "user".to_owned(),
                content: format!("{text} {LENGTH_MARK}{length}]"),
            }],
            stream: true,
            ..Chat::default()
        }
    }

    /// Returns what the model generates for this call.
    pub fn plan(&self) -> Plan {
        let partial_answer = self.partial_answer();
        let prompt_length = self.messages.len() - usize::from(partial_answer.is_some());
        let prompt = flatten(&self.messages[..prompt_length]);
        let base = partial_answer.map_or(0, |text| text.split_whitespace().count() as u32);
        let length = answer_length(&prompt);
        let new = length.saturating_sub(base);
        Plan {
            seed: xxh3_64(prompt.as_bytes()),
            base,
            new: new.min(self.max_tokens.unwrap_or(u32::MAX)),
            crashes: prompt.contains(CRASH_MARK),
        }
    }

    /// Returns the text whose KV cache the engine computes, block by block.
    pub fn text(&self) -> String {
        flatten(&self.messages)
    }

    fn partial_answer(&self) -> Option<&str> {
        let last = self.messages.last()?;
        (self.continue_final_message && last.role == "assistant").then_some(last.content.as_str())
    }
}

/// Tokens that the model generates for a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Hash of the prompt without the continued part of the answer.
    pub seed: u64,
    /// Tokens in the continued part of the answer.
    pub base: u32,
    /// Tokens to generate.
    pub new: u32,
    /// Whether the prompt crashes the engine.
    pub crashes: bool,
}

impl Plan {
    /// Returns the token at an offset; offset 0 is the first new token.
    pub fn token(&self, offset: u32) -> String {
        let index = u64::from(self.base) + u64::from(offset);
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&self.seed.to_le_bytes());
        bytes[8..].copy_from_slice(&index.to_le_bytes());
        format!("w{:05x} ", xxh3_64(&bytes) & 0xf_ffff)
    }

    /// Returns the text of all new tokens.
    pub fn answer(&self) -> String {
        (0..self.new).map(|offset| self.token(offset)).collect()
    }
}

/// Returns, for each full block, the hash of the text up to its end.
pub fn block_hashes(text: &str) -> Vec<u64> {
    let mut hasher = Xxh3::new();
    let mut hashes = Vec::with_capacity(text.len() / BLOCK_BYTES);
    for block in text.as_bytes().chunks_exact(BLOCK_BYTES) {
        hasher.update(block);
        hashes.push(hasher.digest());
    }
    hashes
}

fn flatten(messages: &[Message]) -> String {
    let mut text = String::new();
    for message in messages {
        text.push_str(&message.role);
        text.push('\n');
        text.push_str(&message.content);
        text.push('\n');
    }
    text
}

fn answer_length(prompt: &str) -> u32 {
    let Some(mark) = prompt.rfind(LENGTH_MARK) else {
        return DEFAULT_LENGTH;
    };
    let digits = &prompt[mark + LENGTH_MARK.len()..];
    let end = digits.find(']').unwrap_or(0);
    digits[..end].parse().unwrap_or(DEFAULT_LENGTH)
}
