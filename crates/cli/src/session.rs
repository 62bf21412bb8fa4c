//! One run of the command: where it reaches the system and where it writes.

use std::fs;
use std::io::Write;
use std::time::Duration;

use clock::Span;
use ops::Reply;
use ops::Request;
use ops::client::Client;
use ops::client::Kind;
use ops::reply::Changed;
use ops::request::Change;
use ops::request::Edit;
use serde::Serialize;

use crate::arguments::Arguments;
use crate::arguments::How;
use crate::exit::Exit;
use crate::exit::Trouble;

/// How often a change is sent whose outcome stays unknown. A repeat is safe: it carries the same id.
const SENDS: u32 = 3;
/// Pause before a change is sent again.
const PAUSE: Duration = Duration::from_millis(500);
/// Length of a change's random name, bytes.
const CHANGE_ID_BYTES: usize = 12;

/// Where the system is reached.
#[derive(Clone, Debug, Default)]
pub struct Access {
    /// Operators' port of an entry, `http://HOST:PORT`.
    pub entry: Option<String>,
    /// The operators' key.
    pub key: Option<String>,
}

/// One run of the command.
pub struct Session<'a> {
    /// Where answers go.
    pub out: &'a mut dyn Write,
    /// Whether answers are JSON.
    pub json: bool,
    entry: Option<String>,
    key: Option<String>,
}

impl<'a> Session<'a> {
    /// Reads the key; nothing is sent yet.
    pub fn new(
        arguments: &Arguments,
        access: Access,
        out: &'a mut dyn Write,
    ) -> Result<Session<'a>, Trouble> {
        let key = match &arguments.key_file {
            Some(file) => Some(read_key(file)?),
            None => access.key,
        };
        Ok(Session {
            out,
            json: arguments.json,
            entry: arguments.entry.clone().or(access.entry),
            key,
        })
    }

    /// Asks something and waits for the answer.
    pub async fn ask(&self, request: Request) -> Result<Reply, Trouble> {
        let mut client = self.connect().await?;
        Ok(client.call(request).await?)
    }

    /// Sends a change; as long as its outcome is unknown, again under the same name.
    pub async fn change(
        &self,
        edit: Edit,
        expected_version: u64,
        how: &How,
    ) -> Result<Changed, Trouble> {
        let change = Change {
            id: how
                .change_id
                .clone()
                .map_or_else(|| random(CHANGE_ID_BYTES), Ok)?
                .into(),
            expected_version,
            wait: Span::from_millis(how.wait_ms.unwrap_or_default()),
            edit,
        };
        let mut unknown = None;
        for send in 0..SENDS {
            if send > 0 {
                tokio::time::sleep(PAUSE).await;
            }
            match self.send(&change).await {
                Ok(changed) => return Ok(changed),
                Err(trouble) if trouble.exit == Exit::OutcomeUnknown => unknown = Some(trouble),
                Err(trouble) if trouble.exit == Exit::Unavailable && unknown.is_some() => {}
                Err(trouble) => return Err(trouble),
            }
        }
        let trouble = unknown.unwrap_or_else(|| Trouble::new(Exit::OutcomeUnknown, "no answer"));
        let message = format!("{}\nthe change id was {}", trouble.message, change.id);
        Err(Trouble::new(trouble.exit, message))
    }

    /// Sends a change once.
    async fn send(&self, change: &Change) -> Result<Changed, Trouble> {
        match self.ask(Request::Change(change.clone())).await? {
            Reply::Changed(changed) => Ok(changed),
            _ => Err(mismatch()),
        }
    }

    /// Writes an answer as JSON.
    pub fn write_json(&mut self, value: &impl Serialize) -> Result<(), Trouble> {
        let text = serde_json::to_string_pretty(value)?;
        writeln!(self.out, "{text}")?;
        Ok(())
    }

    /// Connects to the entry.
    async fn connect(&self) -> Result<Client, Trouble> {
        let Some(entry) = &self.entry else {
            let message = "no entry: give --entry http://HOST:PORT or set DOGWOODSPUR_ENTRY";
            return Err(Trouble::new(Exit::Usage, message));
        };
        let Some(key) = &self.key else {
            let message = "no key: give --key-file or set DOGWOODSPUR_KEY";
            return Err(Trouble::new(Exit::Usage, message));
        };
        Client::connect(entry, key).await.map_err(|failure| {
            let exit = match failure.kind {
                Kind::Invalid => Exit::Usage,
                _ => Exit::Unavailable,
            };
            Trouble::new(exit, failure.message)
        })
    }
}

/// The answer is of another kind than the call.
pub fn mismatch() -> Trouble {
    Trouble::new(
        Exit::Failed,
        "the entry's answer is of another kind than the call",
    )
}

/// Random bytes as hexadecimal digits.
pub fn random(bytes: usize) -> Result<String, Trouble> {
    let mut buffer = vec![0; bytes];
    getrandom::fill(&mut buffer)
        .map_err(|error| Trouble::new(Exit::Failed, format!("no randomness: {error}")))?;
    Ok(buffer.iter().map(|byte| format!("{byte:02x}")).collect())
}

/// Reads a key from its file.
fn read_key(file: &str) -> Result<String, Trouble> {
    match fs::read_to_string(file) {
        Ok(text) => Ok(text.trim().to_owned()),
        Err(error) => Err(Trouble::new(
            Exit::Usage,
            format!("{file}: can't be read: {error}"),
        )),
    }
}
