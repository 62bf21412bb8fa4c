//! Streams that began at the next process of a listed server.
//!
//! A server may come back under its id at another software version and take requests before its new row arrives. A stream that
//! begins there meanwhile is taken for one of the listed version. The new row states when the process started, which shows
//! afterwards which streams it began.

use clock::Span;
use clock::Time;
use line::Line;
use policy::job;
use smol_str::SmolStr;
use watch::server::Server;

use crate::attempt::Endpoint;
use crate::effect::Effect;
use crate::gateway::Gateway;
use crate::servers::version_key;
use crate::streams::Key;

/// Largest difference of the clocks by which a server and this entry date the start of its process.
const CLOCK_MARGIN: Span = Span::from_seconds(1);
/// Stands for the version of a stream that either process may have begun: no server has it.
const UNKNOWN_VERSION: &str = "\0";

/// The process to which an attempt was sent, as the list named it then.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Runner {
    /// The server's id.
    pub id: SmolStr,
    /// The listed incarnation.
    pub incarnation: SmolStr,
    /// The listed software version.
    pub version: SmolStr,
    /// When the attempt was sent, or later.
    pub sent_at: Time,
}

/// The process that began a stream, in the light of a server's new row.
enum Process {
    /// The one that was listed before.
    Former,
    /// The one of the new row.
    Next,
    /// Either.
    Unknown,
}

impl Runner {
    /// Creates the process to which an attempt is sent at a time.
    pub fn new(endpoint: &Endpoint, version: SmolStr, sent_at: Time) -> Runner {
        Runner {
            id: endpoint.id.clone(),
            incarnation: endpoint.incarnation.clone(),
            version,
            sent_at,
        }
    }

    /// Returns which process of a server got the attempt, if the server's row is that of a process that started at `started`.
    fn process(&self, server: &Server, started: Time) -> Process {
        let is_affected = self.id == server.id
            && self.incarnation != server.incarnation
            && self.version != server.version;
        match is_affected {
            false => Process::Former,
            true if self.sent_at >= started + CLOCK_MARGIN => Process::Next,
            true if self.sent_at + CLOCK_MARGIN > started => Process::Unknown,
            true => Process::Former,
        }
    }
}

impl Gateway {
    /// Corrects the versions of streams that a server's process began before its row arrived.
    pub(crate) fn correct_origins(
        &mut self,
        now: Time,
        server: &Server,
        effects: &mut Vec<Effect>,
    ) {
        let Some(started_unix_ms) = server.started_unix_ms else {
            return;
        };
        let age = self.usage.unix_ms(now).saturating_sub(started_unix_ms);
        let age = Span::from_millis(age);
        let started = now - age;
        let version_of = |runner: &Runner| match runner.process(server, started) {
            Process::Former => None,
            Process::Next => Some(server.version.clone()),
            Process::Unknown => Some(SmolStr::new_static(UNKNOWN_VERSION)),
        };
        let begun: Vec<(Key, SmolStr)> = self
            .streams
            .runners()
            .filter_map(|(stream, runner)| Some((stream, version_of(runner)?)))
            .collect();
        if begun.is_empty() {
            return;
        }
        let line = Line::warn("stream_origins_corrected")
            .with("replica", &server.incarnation)
            .with("version", &server.version)
            .with("started_ms", age.as_millis())
            .with("streams", begun.len());
        effects.push(Effect::Log(line));
        for (stream, version) in begun {
            self.correct_open_requests(stream, &version);
            self.streams.correct(stream, version);
        }
    }

    /// Binds the open requests of a stream to the version that began it.
    fn correct_open_requests(&mut self, stream: Key, version: &SmolStr) {
        for (serial, open) in &mut self.requests {
            if open.stream != stream || open.version.is_none() {
                continue;
            }
            open.version = Some(version.clone());
            open.job.terms.version = Some(version_key(version));
            self.scheduler
                .require_version(job::Id(*serial), version_key(version));
        }
    }
}

/// Returns whether a stream's version is one that no server has.
pub(crate) fn is_unknown(version: &str) -> bool {
    version == UNKNOWN_VERSION
}
