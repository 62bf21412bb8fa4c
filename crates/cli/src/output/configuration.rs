//! Output for deployments and accounts.

use config::deployment::Account;
use config::deployment::Deployment;
use config::deployment::Kind;
use serde::Serialize;

use crate::commands::deployment::Configuration;
use crate::exit::Error;
use crate::exit::Exit;
use crate::output::table;
use crate::output::table::row;
use crate::session::Session;

/// JSON output of an item with the version of the configuration that it was read from.
#[derive(Serialize)]
struct Versioned<'a, T> {
    version: u64,
    #[serde(flatten)]
    item: &'a T,
}

/// JSON output of the whole configuration.
#[derive(Serialize)]
struct Listing<'a> {
    version: u64,
    deployments: &'a [Deployment],
    accounts: &'a [Account],
}

/// Writes one deployment; its JSON form is a definition that `change` accepts.
pub fn deployment(
    session: &mut Session<'_>,
    version: u64,
    deployment: &Deployment,
) -> Result<Exit, Error> {
    if session.json {
        let item = deployment;
        session.write_json(&Versioned { version, item })?;
        return Ok(Exit::Done);
    }
    let fencing = if deployment.checks_fencing {
        "checked"
    } else {
        "not checked"
    };
    let fields = [
        row(&["deployment", &deployment.name]),
        row(&["version", &version.to_string()]),
        row(&["serves", &format_kind(&deployment.kind)]),
        row(&["pool", &deployment.pool]),
        row(&["fencing", fencing]),
    ];
    table::write(session.out, &fields)?;
    let mut grants = vec![row(&[
        "account",
        "first token",
        "token gap",
        "share within",
    ])];
    for grant in &deployment.grants {
        grants.push(vec![
            grant.account.to_string(),
            format!("{} ms", grant.first_token_ms),
            format!("{} ms", grant.token_gap_ms),
            format!("{} in 1000", grant.share_per_mille),
        ]);
    }
    writeln!(session.out)?;
    table::write(session.out, &grants)?;
    for pattern in &deployment.non_idempotent {
        let method = if pattern.method.is_empty() {
            "any method"
        } else {
            &pattern.method
        };
        writeln!(
            session.out,
            "\nat most once: {method} {}",
            pattern.path_prefix
        )?;
    }
    Ok(Exit::Done)
}

/// Writes one account.
pub fn account(session: &mut Session<'_>, version: u64, account: &Account) -> Result<Exit, Error> {
    if session.json {
        let item = account;
        session.write_json(&Versioned { version, item })?;
        return Ok(Exit::Done);
    }
    table::write(session.out, &[account_header(), account_row(account)])?;
    Ok(Exit::Done)
}

/// Writes the whole configuration.
pub fn configuration(
    session: &mut Session<'_>,
    version: u64,
    configuration: &Configuration,
) -> Result<Exit, Error> {
    if session.json {
        session.write_json(&Listing {
            version,
            deployments: &configuration.deployments,
            accounts: &configuration.accounts,
        })?;
        return Ok(Exit::Done);
    }
    writeln!(session.out, "version {version}\n")?;
    let mut deployments = vec![row(&["deployment", "serves", "pool", "accounts"])];
    for deployment in &configuration.deployments {
        deployments.push(vec![
            deployment.name.to_string(),
            format_kind(&deployment.kind),
            deployment.pool.to_string(),
            deployment.grants.len().to_string(),
        ]);
    }
    table::write(session.out, &deployments)?;
    writeln!(session.out)?;
    let mut accounts = vec![account_header()];
    accounts.extend(configuration.accounts.iter().map(account_row));
    table::write(session.out, &accounts)?;
    Ok(Exit::Done)
}

/// Formats what a deployment serves.
fn format_kind(kind: &Kind) -> String {
    match kind {
        Kind::Model {
            model,
            adapter,
            version,
        } if adapter.is_empty() => format!("{model} {version}"),
        Kind::Model {
            model,
            adapter,
            version,
        } => format!("{model}+{adapter} {version}"),
        Kind::Service => "plain service".to_owned(),
    }
}

/// Returns the header row of the accounts table.
fn account_header() -> Vec<String> {
    row(&[
        "account",
        "weight",
        "priority",
        "tokens/s",
        "concurrent",
        "keys",
    ])
}

/// Returns the row of an account.
fn account_row(account: &Account) -> Vec<String> {
    vec![
        account.name.to_string(),
        account.weight.to_string(),
        account.priority.to_string(),
        format_limit(account.tokens_per_second),
        format_limit(u64::from(account.concurrent)),
        account.key_hashes.len().to_string(),
    ]
}

/// Formats a limit; 0 means no limit.
fn format_limit(number: u64) -> String {
    if number == 0 {
        "no limit".to_owned()
    } else {
        number.to_string()
    }
}
