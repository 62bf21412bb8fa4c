//! Commands for deployments: create, change, show, list and remove.

use argh::FromArgs;
use ops::Reply;
use ops::Request;
use ops::request::Edit;

use crate::arguments::ChangeOptions;
use crate::definition;
use crate::exit::Error;
use crate::exit::Exit;
use crate::output;
use crate::session::Session;
use crate::session::unexpected_reply;

/// Adds a deployment from a definition file.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "create",
    note = "The file is JSON with comments:\n\
{{\n  // what callers name as their model\n  \"name\": \"thesis\",\n  \
\"kind\": {{\"type\": \"model\", \"model\": \"base-7b\", \"adapter\": \"\", \"version\": \"v1\"}},\n  \
\"pool\": \"thesis\",\n  \"grants\": [{{\"account\": \"branches\", \"first_token_ms\": 480, \
\"token_gap_ms\": 61, \"share_per_mille\": 950}}],\n  \"non_idempotent\": [],\n  \
\"checks_fencing\": true\n}}\n\
A plain service has {{\"type\": \"service\"}} as its kind.",
    example = "{command_name} thesis.jsonc"
)]
pub struct Create {
    /// file with the definition
    #[argh(positional)]
    pub file: String,
    /// id of the change, which is idempotent under it (random by default)
    #[argh(option, arg_name = "id")]
    pub change_id: Option<String>,
    /// longest wait for the change to be in force everywhere, milliseconds
    #[argh(option, arg_name = "ms")]
    pub wait_ms: Option<u64>,
}

impl Create {
    /// Adds the deployment, based on the newest version: the entry refuses a name that is taken.
    pub async fn run(self, session: &mut Session<'_>) -> Result<Exit, Error> {
        let definition = definition::read(&self.file)?;
        let options = ChangeOptions {
            expect: None,
            change_id: self.change_id,
            wait_ms: self.wait_ms,
        };
        let (version, _) = fetch_configuration(session).await?;
        let edit = Edit::CreateDeployment(definition.deployment);
        let changed = session.change(edit, version, &options).await?;
        output::changed::write(session, &changed)
    }
}

/// Replaces a deployment from a definition file.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "change",
    note = "The version on which the change is based comes from --expect or from the file's \
\"version\", which show --json writes. If the deployment has been changed \
since, the change is rejected with the differences and exit code 4.",
    example = "{command_name} thesis.json",
    example = "{command_name} thesis.jsonc --expect 7"
)]
pub struct Change {
    /// file with the definition
    #[argh(positional)]
    pub file: String,
    /// version of the configuration on which the change is based
    #[argh(option, arg_name = "version")]
    pub expect: Option<u64>,
    /// id of the change, which is idempotent under it (random by default)
    #[argh(option, arg_name = "id")]
    pub change_id: Option<String>,
    /// longest wait for the change to be in force everywhere, milliseconds
    #[argh(option, arg_name = "ms")]
    pub wait_ms: Option<u64>,
}

impl Change {
    /// Replaces the deployment.
    pub async fn run(self, session: &mut Session<'_>) -> Result<Exit, Error> {
        let definition = definition::read(&self.file)?;
        let Some(version) = self.expect.or(definition.version) else {
            let message = "the change needs a base version: give --expect, or \"version\" in the file as \
written by show --json";
            return Err(Error::new(Exit::Usage, message));
        };
        let options = ChangeOptions {
            expect: Some(version),
            change_id: self.change_id,
            wait_ms: self.wait_ms,
        };
        let edit = Edit::ChangeDeployment(definition.deployment);
        let changed = session.change(edit, version, &options).await?;
        output::changed::write(session, &changed)
    }
}

/// Shows one deployment; with --json, as a definition that change accepts.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "show",
    example = "{command_name} thesis",
    example = "{command_name} thesis --json > thesis.json"
)]
pub struct Show {
    /// name of the deployment
    #[argh(positional)]
    pub name: String,
}

impl Show {
    /// Shows the deployment.
    pub async fn run(self, session: &mut Session<'_>) -> Result<Exit, Error> {
        let name = self.name.into();
        match session.call(Request::GetDeployment { name }).await? {
            Reply::Deployment {
                version,
                deployment,
            } => output::configuration::deployment(session, version, &deployment),
            _ => Err(unexpected_reply()),
        }
    }
}

/// Lists all deployments and accounts.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list", example = "{command_name}")]
pub struct List {}

impl List {
    /// Lists deployments and accounts.
    pub async fn run(self, session: &mut Session<'_>) -> Result<Exit, Error> {
        let (version, configuration) = fetch_configuration(session).await?;
        output::configuration::configuration(session, version, &configuration)
    }
}

/// Removes a deployment; requests in progress finish.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "remove",
    example = "{command_name} thesis",
    example = "{command_name} thesis --expect 7"
)]
pub struct Remove {
    /// name of the deployment
    #[argh(positional)]
    pub name: String,
    /// version of the configuration on which the change is based (the newest by default)
    #[argh(option, arg_name = "version")]
    pub expect: Option<u64>,
    /// id of the change, which is idempotent under it (random by default)
    #[argh(option, arg_name = "id")]
    pub change_id: Option<String>,
    /// longest wait for the change to be in force everywhere, milliseconds
    #[argh(option, arg_name = "ms")]
    pub wait_ms: Option<u64>,
}

impl Remove {
    /// Removes the deployment.
    pub async fn run(self, session: &mut Session<'_>) -> Result<Exit, Error> {
        let options = ChangeOptions {
            expect: self.expect,
            change_id: self.change_id,
            wait_ms: self.wait_ms,
        };
        let version = match options.expect {
            Some(version) => version,
            None => fetch_configuration(session).await?.0,
        };
        let edit = Edit::RemoveDeployment(self.name.into());
        let changed = session.change(edit, version, &options).await?;
        output::changed::write(session, &changed)
    }
}

/// Deployments and accounts of one version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Configuration {
    /// Deployments by name.
    pub deployments: Vec<config::deployment::Deployment>,
    /// Accounts by name.
    pub accounts: Vec<config::deployment::Account>,
}

/// Fetches the newest configuration and its version.
pub async fn fetch_configuration(session: &Session<'_>) -> Result<(u64, Configuration), Error> {
    match session.call(Request::ListDeployments).await? {
        Reply::Configuration {
            version,
            deployments,
            accounts,
        } => Ok((
            version,
            Configuration {
                deployments,
                accounts,
            },
        )),
        _ => Err(unexpected_reply()),
    }
}
