//! A fake entry behind a real operators' port.

use cli::exit::Exit;
use cli::session::Access;
use config::snapshot::Snapshot;
use ops::Call;
use ops::Fault;
use ops::Reply;
use ops::Request;
use ops::reply::Changed;
use ops::reply::Difference;
use ops::request::Change;
use ops::request::Edit;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

const KEY: &str = "0123456789abcdef";

/// Result of one run of the command.
pub struct Output {
    /// Exit status.
    pub exit: Exit,
    /// Standard output.
    pub stdout: String,
    /// Standard error.
    pub stderr: String,
}

/// A running fake entry.
pub struct Fake {
    entry: String,
}

impl Fake {
    /// Starts a fake with an empty configuration.
    pub async fn start() -> Fake {
        let mut snapshot = Snapshot::default();
        Fake::answering(move |request| answer(&mut snapshot, request)).await
    }

    /// Starts a fake that answers by a closure.
    pub async fn answering(
        mut answer: impl FnMut(Request) -> Result<Reply, Fault> + Send + 'static,
    ) -> Fake {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let (calls, mut received) = mpsc::channel::<Call>(16);
        tokio::spawn(async move { ops::serve(listener, KEY, calls).await });
        tokio::spawn(async move {
            while let Some(call) = received.recv().await {
                match answer(call.request) {
                    Err(Fault::OutcomeUnknown) => drop(call.reply),
                    result => drop(call.reply.send(result)),
                }
            }
        });
        Fake {
            entry: format!("http://{address}"),
        }
    }

    /// Runs the command against the fake.
    pub async fn run(&self, arguments: &[&str]) -> Output {
        run_with(arguments, Some(self.entry.clone()), KEY).await
    }

    /// Runs the command against the fake with another key.
    pub async fn run_with_key(&self, arguments: &[&str], key: &str) -> Output {
        run_with(arguments, Some(self.entry.clone()), key).await
    }
}

/// Runs the command.
pub async fn run_with(arguments: &[&str], entry: Option<String>, key: &str) -> Output {
    let access = Access {
        entry,
        key: Some(key.to_owned()),
    };
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = cli::execute(arguments, access, &mut out, &mut err).await;
    Output {
        exit,
        stdout: String::from_utf8(out).expect("text"),
        stderr: String::from_utf8(err).expect("text"),
    }
}

/// Answers from a configuration to which changes apply immediately.
fn answer(snapshot: &mut Snapshot, request: Request) -> Result<Reply, Fault> {
    match request {
        Request::Change(change) => apply(snapshot, change).map(Reply::Changed),
        Request::GetDeployment { name } => match snapshot.deployment(&name) {
            Some(deployment) => Ok(Reply::Deployment {
                version: snapshot.version,
                deployment: deployment.clone(),
            }),
            None => Err(Fault::NotFound(format!("deployment {name}"))),
        },
        Request::ListDeployments => Ok(Reply::Configuration {
            version: snapshot.version,
            deployments: snapshot.deployments.clone(),
            accounts: snapshot.accounts.clone(),
        }),
        _ => Err(Fault::Unavailable("not part of this fake".into())),
    }
}

/// Applies a change if it expects the newest version.
fn apply(snapshot: &mut Snapshot, change: Change) -> Result<Changed, Fault> {
    if change.expected_version != snapshot.version {
        return Ok(Changed::Conflict {
            version: snapshot.version,
            differences: vec![Difference {
                subject: "deployment thesis".to_owned(),
                field: "pool".to_owned(),
                before: "\"thesis\"".to_owned(),
                after: "\"theses\"".to_owned(),
            }],
        });
    }
    match change.edit {
        Edit::CreateDeployment(deployment) => {
            if snapshot.deployment(&deployment.name).is_some() {
                let what = format!("deployment {}", deployment.name);
                return Err(Fault::AlreadyExists(what));
            }
            snapshot.deployments.push(deployment);
        }
        Edit::ChangeDeployment(deployment) => {
            snapshot
                .deployments
                .retain(|item| item.name != deployment.name);
            snapshot.deployments.push(deployment);
        }
        Edit::RemoveDeployment(name) => snapshot.deployments.retain(|item| item.name != name),
        Edit::PutAccount(account) => {
            snapshot.accounts.retain(|item| item.name != account.name);
            snapshot.accounts.push(account);
        }
        Edit::RemoveAccount(name) => snapshot.accounts.retain(|item| item.name != name),
    }
    snapshot.version += 1;
    Ok(Changed::Accepted {
        version: snapshot.version,
    })
}
