//! Decodes and validates requests; errors list all violations. Used by the server.

use clock::Span;
use config::check;
use config::check::Violation;
use smol_str::SmolStr;

use crate::convert::configuration::decode_account;
use crate::convert::configuration::decode_deployment;
use crate::fault::Fault;
use crate::request::Change;
use crate::request::Edit;
use crate::request::Request;
use crate::request::Target;
use crate::wire;
use crate::wire::drain_request::Target as WireTarget;

/// Longest change id.
const MAX_CHANGE_ID_LENGTH: usize = 64;
/// Wait of a change that specifies none, milliseconds.
const DEFAULT_WAIT_MS: u64 = 10_000;
/// Longest wait of a change, milliseconds.
const MAX_WAIT_MS: u64 = 60_000;
/// Number of past changes returned if the request sets no limit.
const DEFAULT_HISTORY_LIMIT: u32 = 50;
/// Most past changes returned by one call.
const MAX_HISTORY_LIMIT: u32 = 1_000;
/// Longest request id, entry name or incarnation.
const MAX_ID_LENGTH: usize = 256;

impl TryFrom<wire::CreateDeploymentRequest> for Request {
    type Error = Fault;

    fn try_from(message: wire::CreateDeploymentRequest) -> Result<Request, Fault> {
        let deployment = required("deployment", message.deployment, decode_deployment);
        change(message.change, deployment.map(Edit::CreateDeployment))
    }
}

impl TryFrom<wire::ChangeDeploymentRequest> for Request {
    type Error = Fault;

    fn try_from(message: wire::ChangeDeploymentRequest) -> Result<Request, Fault> {
        let deployment = required("deployment", message.deployment, decode_deployment);
        change(message.change, deployment.map(Edit::ChangeDeployment))
    }
}

impl TryFrom<wire::RemoveDeploymentRequest> for Request {
    type Error = Fault;

    fn try_from(message: wire::RemoveDeploymentRequest) -> Result<Request, Fault> {
        let name = valid_name(message.name);
        change(message.change, name.map(Edit::RemoveDeployment))
    }
}

impl TryFrom<wire::GetDeploymentRequest> for Request {
    type Error = Fault;

    fn try_from(message: wire::GetDeploymentRequest) -> Result<Request, Fault> {
        let name = valid_name(message.name).map_err(Fault::Invalid)?;
        Ok(Request::GetDeployment { name })
    }
}

impl TryFrom<wire::ListDeploymentsRequest> for Request {
    type Error = Fault;

    fn try_from(_: wire::ListDeploymentsRequest) -> Result<Request, Fault> {
        Ok(Request::ListDeployments)
    }
}

impl TryFrom<wire::PutAccountRequest> for Request {
    type Error = Fault;

    fn try_from(message: wire::PutAccountRequest) -> Result<Request, Fault> {
        let account = required("account", message.account, decode_account);
        change(message.change, account.map(Edit::PutAccount))
    }
}

impl TryFrom<wire::RemoveAccountRequest> for Request {
    type Error = Fault;

    fn try_from(message: wire::RemoveAccountRequest) -> Result<Request, Fault> {
        let name = valid_name(message.name);
        change(message.change, name.map(Edit::RemoveAccount))
    }
}

impl TryFrom<wire::GetHistoryRequest> for Request {
    type Error = Fault;

    fn try_from(message: wire::GetHistoryRequest) -> Result<Request, Fault> {
        let limit = match message.limit {
            0 => DEFAULT_HISTORY_LIMIT,
            limit if limit <= MAX_HISTORY_LIMIT => limit,
            limit => {
                let expected = format!("expected at most {MAX_HISTORY_LIMIT}, found {limit}");
                return Err(Fault::Invalid(vec![Violation::new("limit", expected)]));
            }
        };
        Ok(Request::GetHistory {
            before: (message.before_version > 0).then_some(message.before_version),
            limit: limit as usize,
        })
    }
}

impl TryFrom<wire::GetStatusRequest> for Request {
    type Error = Fault;

    fn try_from(_: wire::GetStatusRequest) -> Result<Request, Fault> {
        Ok(Request::GetStatus)
    }
}

impl TryFrom<wire::DrainRequest> for Request {
    type Error = Fault;

    fn try_from(message: wire::DrainRequest) -> Result<Request, Fault> {
        let target = match message.target {
            Some(WireTarget::Entry(name)) => Target::Entry(id("entry", name)?),
            Some(WireTarget::Backend(name)) => Target::Backend(id("backend", name)?),
            None => {
                let violation = Violation::new("target", "expected entry or backend, found none");
                return Err(Fault::Invalid(vec![violation]));
            }
        };
        Ok(Request::Drain(target))
    }
}

impl TryFrom<wire::ReportRequest> for Request {
    type Error = Fault;

    fn try_from(message: wire::ReportRequest) -> Result<Request, Fault> {
        if message.deployment.is_empty() {
            return Ok(Request::Report { deployment: None });
        }
        let mut violations = Vec::new();
        check::name("deployment", &message.deployment, &mut violations);
        if !violations.is_empty() {
            return Err(Fault::Invalid(violations));
        }
        Ok(Request::Report {
            deployment: Some(message.deployment.into()),
        })
    }
}

impl TryFrom<wire::ExplainRequest> for Request {
    type Error = Fault;

    fn try_from(message: wire::ExplainRequest) -> Result<Request, Fault> {
        let request = id("request", message.request)?;
        Ok(Request::Explain { request })
    }
}

/// Combines the change message and its edit, or returns the violations of both.
fn change(
    message: Option<wire::Change>,
    edit: Result<Edit, Vec<Violation>>,
) -> Result<Request, Fault> {
    let mut violations = Vec::new();
    let message = message.unwrap_or_else(|| {
        violations.push(Violation::new("change", "it must be set"));
        wire::Change::default()
    });
    if violations.is_empty() {
        check_change(&message, &mut violations);
    }
    let edit = edit.map_err(|more| violations.extend(more));
    match edit {
        Ok(edit) if violations.is_empty() => Ok(Request::Change(Change {
            id: message.change_id.into(),
            expected_version: message.expected_version,
            wait: wait(message.wait_ms),
            edit,
        })),
        _ => Err(Fault::Invalid(violations)),
    }
}

/// Checks the fields that all changes have in common.
fn check_change(message: &wire::Change, out: &mut Vec<Violation>) {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    let id = &message.change_id;
    if !(1..=MAX_CHANGE_ID_LENGTH).contains(&id.len()) || !id.bytes().all(is_allowed) {
        let expected = "expected 1 to 64 of A-Z, a-z, 0-9, - and _";
        out.push(Violation::new("change.change_id", expected));
    }
    if message.wait_ms > MAX_WAIT_MS {
        let expected = format!("expected at most {MAX_WAIT_MS}, found {}", message.wait_ms);
        out.push(Violation::new("change.wait_ms", expected));
    }
}

/// Returns the wait of a change; 0 selects the default.
fn wait(wait_ms: u64) -> Span {
    match wait_ms {
        0 => Span::from_millis(DEFAULT_WAIT_MS),
        requested => Span::from_millis(requested),
    }
}

/// Decodes a required message; prefixes the fields of its violations with `name`.
fn required<M, T>(
    name: &str,
    message: Option<M>,
    read: fn(M) -> Result<T, Vec<Violation>>,
) -> Result<T, Vec<Violation>> {
    let Some(message) = message else {
        return Err(vec![Violation::new(name, "it must be set")]);
    };
    read(message).map_err(|mut violations| {
        for violation in &mut violations {
            violation.field = format!("{name}.{}", violation.field);
        }
        violations
    })
}

/// Validates the name of a deployment or an account.
fn valid_name(name: String) -> Result<SmolStr, Vec<Violation>> {
    let mut violations = Vec::new();
    check::name("name", &name, &mut violations);
    if violations.is_empty() {
        Ok(name.into())
    } else {
        Err(violations)
    }
}

/// Validates an id that another system has assigned.
fn id(field: &str, text: String) -> Result<SmolStr, Fault> {
    let is_allowed = |byte: u8| byte.is_ascii_graphic();
    if (1..=MAX_ID_LENGTH).contains(&text.len()) && text.bytes().all(is_allowed) {
        return Ok(text.into());
    }
    let expected = format!("expected 1 to {MAX_ID_LENGTH} visible characters");
    Err(Fault::Invalid(vec![Violation::new(field, expected)]))
}
