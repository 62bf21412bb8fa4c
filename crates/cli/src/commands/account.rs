//! Commands for client accounts and their keys.

use argh::FromArgs;
use config::snapshot::hash_key;
use ops::request::Edit;

use crate::arguments::ChangeOptions;
use crate::commands::deployment::fetch_configuration;
use crate::exit::Error;
use crate::exit::Exit;
use crate::output;
use crate::session::Session;
use crate::session::random_hex;

/// Random bytes in a new key.
const KEY_BYTES: usize = 32;

/// Manages client accounts.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "account",
    example = "{command_name} add branches --weight 3",
    example = "{command_name} rekey branches"
)]
pub struct Account {
    /// action to run
    #[argh(subcommand)]
    pub action: Action,
}

/// Actions on an account.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Action {
    /// Adds an account.
    Add(Add),
    /// Changes shares and limits of an account.
    Change(Change),
    /// Gives an account a new key.
    Rekey(Rekey),
    /// Removes an account.
    Remove(Remove),
    /// Shows an account.
    Show(Show),
}

impl Account {
    /// Runs the action.
    pub async fn run(self, session: &mut Session<'_>) -> Result<Exit, Error> {
        match self.action {
            Action::Add(add) => add.run(session).await,
            Action::Change(change) => change.run(session).await,
            Action::Rekey(rekey) => rekey.run(session).await,
            Action::Remove(remove) => remove.run(session).await,
            Action::Show(show) => show.run(session).await,
        }
    }
}

/// Adds an account with a new random key, which is printed once; only its hash is sent.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "add",
    example = "{command_name} branches --weight 3 --priority 2"
)]
pub struct Add {
    /// name of the account
    #[argh(positional)]
    pub name: String,
    /// share relative to other accounts under contention (1)
    #[argh(option, default = "1")]
    pub weight: u32,
    /// priority under overload: 9 is shed first, 0 last (0)
    #[argh(option, default = "0")]
    pub priority: u8,
    /// most tokens per second over all entries, 0 for no limit (0)
    #[argh(option, default = "0")]
    pub tokens_per_second: u64,
    /// most concurrent requests over all entries, 0 for no limit (0)
    #[argh(option, default = "0")]
    pub concurrent: u32,
    /// id of the change, which is idempotent under it (random by default)
    #[argh(option, arg_name = "id")]
    pub change_id: Option<String>,
}

impl Add {
    /// Adds the account. The check that it doesn't exist reads the version that the change expects, so
    /// that two operators who add the same name can't overwrite each other's key.
    pub async fn run(self, session: &mut Session<'_>) -> Result<Exit, Error> {
        let (version, configuration) = fetch_configuration(session).await?;
        if configuration
            .accounts
            .iter()
            .any(|account| account.name == self.name)
        {
            let message = format!("account {} already exists", self.name);
            return Err(Error::new(Exit::Refused, message));
        }
        let key = random_hex(KEY_BYTES)?;
        let account = config::deployment::Account {
            name: self.name.into(),
            key_hashes: vec![hash_key(&key)],
            weight: self.weight,
            priority: self.priority,
            tokens_per_second: self.tokens_per_second,
            concurrent: self.concurrent,
        };
        let options = ChangeOptions {
            change_id: self.change_id,
            ..ChangeOptions::default()
        };
        let changed = session
            .change(Edit::PutAccount(account), version, &options)
            .await?;
        output::changed::write_with_key(session, &changed, &key)
    }
}

/// Changes shares and limits of an account; omitted options keep their values.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "change",
    example = "{command_name} branches --weight 5"
)]
pub struct Change {
    /// name of the account
    #[argh(positional)]
    pub name: String,
    /// share relative to other accounts under contention
    #[argh(option)]
    pub weight: Option<u32>,
    /// priority under overload: 9 is shed first, 0 last
    #[argh(option)]
    pub priority: Option<u8>,
    /// most tokens per second over all entries, 0 for no limit
    #[argh(option)]
    pub tokens_per_second: Option<u64>,
    /// most concurrent requests over all entries, 0 for no limit
    #[argh(option)]
    pub concurrent: Option<u32>,
    /// id of the change, which is idempotent under it (random by default)
    #[argh(option, arg_name = "id")]
    pub change_id: Option<String>,
}

impl Change {
    /// Changes the account.
    pub async fn run(self, session: &mut Session<'_>) -> Result<Exit, Error> {
        let (version, mut account) = find(session, &self.name).await?;
        account.weight = self.weight.unwrap_or(account.weight);
        account.priority = self.priority.unwrap_or(account.priority);
        account.tokens_per_second = self.tokens_per_second.unwrap_or(account.tokens_per_second);
        account.concurrent = self.concurrent.unwrap_or(account.concurrent);
        let options = ChangeOptions {
            change_id: self.change_id,
            ..ChangeOptions::default()
        };
        let changed = session
            .change(Edit::PutAccount(account), version, &options)
            .await?;
        output::changed::write(session, &changed)
    }
}

/// Gives an account a new random key, which is printed once. Earlier keys stay valid unless dropped.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "rekey",
    note = "Give the new key to the callers first, then run it again with --drop-earlier. Drop at \
once if a key has leaked.",
    example = "{command_name} branches",
    example = "{command_name} branches --drop-earlier"
)]
pub struct Rekey {
    /// name of the account
    #[argh(positional)]
    pub name: String,
    /// invalidate all earlier keys
    #[argh(switch)]
    pub drop_earlier: bool,
    /// id of the change, which is idempotent under it (random by default)
    #[argh(option, arg_name = "id")]
    pub change_id: Option<String>,
}

impl Rekey {
    /// Adds the key and, on request, drops the earlier ones.
    pub async fn run(self, session: &mut Session<'_>) -> Result<Exit, Error> {
        let (version, mut account) = find(session, &self.name).await?;
        if self.drop_earlier {
            account.key_hashes.clear();
        }
        let key = random_hex(KEY_BYTES)?;
        account.key_hashes.push(hash_key(&key));
        let options = ChangeOptions {
            change_id: self.change_id,
            ..ChangeOptions::default()
        };
        let changed = session
            .change(Edit::PutAccount(account), version, &options)
            .await?;
        output::changed::write_with_key(session, &changed, &key)
    }
}

/// Removes an account; refused while a deployment has a grant for it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "remove", example = "{command_name} branches")]
pub struct Remove {
    /// name of the account
    #[argh(positional)]
    pub name: String,
    /// id of the change, which is idempotent under it (random by default)
    #[argh(option, arg_name = "id")]
    pub change_id: Option<String>,
}

impl Remove {
    /// Removes the account.
    pub async fn run(self, session: &mut Session<'_>) -> Result<Exit, Error> {
        let (version, _) = fetch_configuration(session).await?;
        let options = ChangeOptions {
            change_id: self.change_id,
            ..ChangeOptions::default()
        };
        let edit = Edit::RemoveAccount(self.name.into());
        let changed = session.change(edit, version, &options).await?;
        output::changed::write(session, &changed)
    }
}

/// Shows an account; its keys aren't stored, only their hashes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show", example = "{command_name} branches")]
pub struct Show {
    /// name of the account
    #[argh(positional)]
    pub name: String,
}

impl Show {
    /// Shows the account.
    pub async fn run(self, session: &mut Session<'_>) -> Result<Exit, Error> {
        let (version, account) = find(session, &self.name).await?;
        output::configuration::account(session, version, &account)
    }
}

/// Fetches one account and the version of the configuration that it was read from.
async fn find(
    session: &Session<'_>,
    name: &str,
) -> Result<(u64, config::deployment::Account), Error> {
    let (version, configuration) = fetch_configuration(session).await?;
    let mut accounts = configuration.accounts.into_iter();
    match accounts.find(|account| account.name == name) {
        Some(account) => Ok((version, account)),
        None => Err(Error::new(Exit::NotFound, format!("no account {name}"))),
    }
}
