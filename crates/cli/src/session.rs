//! One run of the command: its connection and its output.

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
use crate::arguments::ChangeOptions;
use crate::exit::Error;
use crate::exit::Exit;

/// Most sends of a change whose outcome stays unknown; resending is safe, because the id is the same.
const MAX_SENDS: u32 = 3;
/// Delay before a change is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Random bytes in a generated change id.
const CHANGE_ID_BYTES: usize = 12;

/// Address and key of the system.
#[derive(Clone, Debug, Default)]
pub struct Access {
    /// Operators' port of an entry, `http://HOST:PORT`.
    pub entry: Option<String>,
    /// The operators' key.
    pub key: Option<String>,
}

/// One run of the command.
pub struct Session<'a> {
    /// Writer for the output.
    pub out: &'a mut dyn Write,
    /// Whether to print JSON.
    pub json: bool,
    entry: Option<String>,
    key: Option<String>,
}

impl<'a> Session<'a> {
    /// Reads the key file, if given; sends nothing.
    pub fn new(
        arguments: &Arguments,
        access: Access,
        out: &'a mut dyn Write,
    ) -> Result<Session<'a>, Error> {
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

    /// Sends a request and waits for the reply.
    pub async fn call(&self, request: Request) -> Result<Reply, Error> {
        let mut client = self.connect().await?;
        Ok(client.call(request).await?)
    }

    /// Sends a change; resends it under the same id while its outcome is unknown.
    pub async fn change(
        &self,
        edit: Edit,
        expected_version: u64,
        options: &ChangeOptions,
    ) -> Result<Changed, Error> {
        let change = Change {
            id: options
                .change_id
                .clone()
                .map_or_else(|| random_hex(CHANGE_ID_BYTES), Ok)?
                .into(),
            expected_version,
            wait: Span::from_millis(options.wait_ms.unwrap_or_default()),
            edit,
        };
        let mut unknown_outcome = None;
        for send in 0..MAX_SENDS {
            if send > 0 {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            match self.send(&change).await {
                Ok(changed) => return Ok(changed),
                Err(error) if error.exit == Exit::OutcomeUnknown => unknown_outcome = Some(error),
                Err(error) if error.exit == Exit::Unavailable && unknown_outcome.is_some() => {}
                Err(error) => return Err(error),
            }
        }
        let error =
            unknown_outcome.unwrap_or_else(|| Error::new(Exit::OutcomeUnknown, "no answer"));
        let message = format!("{}\nthe change id was {}", error.message, change.id);
        Err(Error::new(error.exit, message))
    }

    /// Sends a change once.
    async fn send(&self, change: &Change) -> Result<Changed, Error> {
        match self.call(Request::Change(change.clone())).await? {
            Reply::Changed(changed) => Ok(changed),
            _ => Err(unexpected_reply()),
        }
    }

    /// Writes a value as JSON.
    pub fn write_json(&mut self, value: &impl Serialize) -> Result<(), Error> {
        let text = serde_json::to_string_pretty(value)?;
        writeln!(self.out, "{text}")?;
        Ok(())
    }

    /// Connects to the entry.
    async fn connect(&self) -> Result<Client, Error> {
        let Some(entry) = &self.entry else {
            let message = "no entry: give --entry http://HOST:PORT or set DOGWOODSPUR_ENTRY";
            return Err(Error::new(Exit::Usage, message));
        };
        let Some(key) = &self.key else {
            let message = "no key: give --key-file or set DOGWOODSPUR_KEY";
            return Err(Error::new(Exit::Usage, message));
        };
        Client::connect(entry, key).await.map_err(|failure| {
            let exit = match failure.kind {
                Kind::Invalid => Exit::Usage,
                _ => Exit::Unavailable,
            };
            Error::new(exit, failure.message)
        })
    }
}

/// Returns the error for a reply that doesn't match its call.
pub fn unexpected_reply() -> Error {
    Error::new(Exit::Failed, "the entry's reply doesn't match the call")
}

/// Returns random bytes as hexadecimal digits.
pub fn random_hex(bytes: usize) -> Result<String, Error> {
    let mut buffer = vec![0; bytes];
    getrandom::fill(&mut buffer).map_err(|error| {
        Error::new(
            Exit::Failed,
            format!("can't generate random bytes: {error}"),
        )
    })?;
    Ok(buffer.iter().map(|byte| format!("{byte:02x}")).collect())
}

/// Reads a key file.
fn read_key(file: &str) -> Result<String, Error> {
    match fs::read_to_string(file) {
        Ok(text) => Ok(text.trim().to_owned()),
        Err(error) => Err(Error::new(
            Exit::Usage,
            format!("{file}: can't be read: {error}"),
        )),
    }
}
