//! Client accounts and their keys.

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

/// Length of a new key, bytes of randomness.
const KEY_BYTES: usize = 32;

/// Works on client accounts.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "account",
    example = "{command_name} add branches --weight 3",
    example = "{command_name} rekey branches"
)]
pub struct Account {
    /// what to do
    #[argh(subcommand)]
    pub action: Action,
}

/// What to do with an account.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Action {
    /// Adds one.
    Add(Add),
    /// Changes its shares and limits.
    Change(Change),
    /// Gives it a new key.
    Rekey(Rekey),
    /// Removes it.
    Remove(Remove),
    /// Shows it.
    Show(Show),
}

impl Account {
    /// Carries the action out.
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
    /// share against other accounts when there isn't enough for all (1)
    #[argh(option, default = "1")]
    pub weight: u32,
    /// who is shed first under overload: 0 goes last, 9 first (0)
    #[argh(option, default = "0")]
    pub priority: u8,
    /// most tokens a second over all entries, 0 for no limit (0)
    #[argh(option, default = "0")]
    pub tokens_per_second: u64,
    /// most requests open at once over all entries, 0 for no limit (0)
    #[argh(option, default = "0")]
    pub concurrent: u32,
    /// name of the change; a repeat under the same name takes effect once (a random one by default)
    #[argh(option, arg_name = "id")]
    pub change_id: Option<String>,
}

impl Add {
    /// Adds the account. That it isn't there is read at the version that the change expects, so that
    /// two operators who add the same name can't overwrite each other's key.
    pub async fn run(self, session: &mut Session<'_>) -> Result<Exit, Error> {
        let (version, configuration) = fetch_configuration(session).await?;
        if configuration
            .accounts
            .iter()
            .any(|account| account.name == self.name)
        {
            let message = format!("account {} is there already", self.name);
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

/// Changes shares and limits of an account; what isn't given stays.
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
    /// share against other accounts when there isn't enough for all
    #[argh(option)]
    pub weight: Option<u32>,
    /// who is shed first under overload: 0 goes last, 9 first
    #[argh(option)]
    pub priority: Option<u8>,
    /// most tokens a second over all entries, 0 for no limit
    #[argh(option)]
    pub tokens_per_second: Option<u64>,
    /// most requests open at once over all entries, 0 for no limit
    #[argh(option)]
    pub concurrent: Option<u32>,
    /// name of the change; a repeat under the same name takes effect once (a random one by default)
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
    note = "Hand the new key to the callers first, then run it again with --drop-earlier, or drop at \
once if a key has leaked.",
    example = "{command_name} branches",
    example = "{command_name} branches --drop-earlier"
)]
pub struct Rekey {
    /// name of the account
    #[argh(positional)]
    pub name: String,
    /// makes all earlier keys invalid
    #[argh(switch)]
    pub drop_earlier: bool,
    /// name of the change; a repeat under the same name takes effect once (a random one by default)
    #[argh(option, arg_name = "id")]
    pub change_id: Option<String>,
}

impl Rekey {
    /// Adds the key.
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

/// Removes an account; refused while a deployment grants it something.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "remove", example = "{command_name} branches")]
pub struct Remove {
    /// name of the account
    #[argh(positional)]
    pub name: String,
    /// name of the change; a repeat under the same name takes effect once (a random one by default)
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

/// Shows an account; its keys aren't known to the system, only their hashes.
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

/// Asks for one account and the version in which it stands so.
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
