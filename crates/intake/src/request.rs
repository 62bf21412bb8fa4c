//! One request, from its head to the end of its answer.

use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http::Version;
use http::request::Parts;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use verdict::Refusal;

use crate::budget::Hold;
use crate::connections::Connection;
use crate::connections::Connections;
use crate::intake::Intake;

/// Bytes that a request takes beside its head and body.
const FIXED_BYTES: usize = 1 << 10;
/// Bytes that a header takes beside its name and value.
const HEADER_BYTES: usize = 64;

/// A caller's connection and the bounds that it counts for.
#[derive(Clone)]
pub struct Session {
    /// The bounds of the process.
    pub intake: Rc<Intake>,
    /// The port of the connection.
    pub port: Rc<Connections>,
    /// The connection.
    pub connection: Rc<Connection>,
}

/// A request that is being received or answered.
pub struct Request {
    session: Session,
    version: Version,
    stage: Stage,
    /// Counts the head.
    head: Hold,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Receiving,
    Running(u64),
}

/// The body of an answer.
pub struct Answer<B> {
    body: B,
    request: Request,
    number: u64,
}

impl Session {
    /// Begins a request of this version of HTTP, whose head is complete.
    pub fn begin(&self, version: Version) -> Request {
        self.port.end_head(&self.connection);
        self.connection.begin_receiving();
        Request {
            session: self.clone(),
            version,
            stage: Stage::Receiving,
            head: self.intake.requests.hold(),
        }
    }
}

impl Request {
    /// Reads the request's body of at most `limit` bytes, or returns why the request is refused.
    pub async fn receive<B>(
        &mut self,
        head: &Parts,
        body: B,
        limit: usize,
    ) -> Result<Bytes, Refusal>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let intake = &self.session.intake;
        let held = intake.make_room(&mut self.head, size_of_head(&head.headers));
        let receiving = async {
            held.await?;
            intake.read_body(body, limit).await
        };
        let received = tokio::select! {
            biased;
            received = receiving => received,
            refusal = intake.ending() => Err(refusal),
        };
        if received.is_err() {
            self.session.connection.refuse_rest();
        }
        received
    }

    /// Marks the request as received and returns its number on its connection.
    fn run(&mut self) -> u64 {
        if let Stage::Running(number) = self.stage {
            return number;
        }
        let now = self.session.intake.clock.now();
        let number = self.session.connection.begin_running();
        self.session.connection.end_receiving(now);
        self.stage = Stage::Running(number);
        number
    }

    /// Marks the request as received.
    pub fn begin_running(&mut self) {
        self.run();
    }

    /// Returns the answer, which counts as unread until the caller takes it. To a caller over HTTP/1.0 only the end of its
    /// connection marks the end of an answer of unknown length, so a truncated one resets the connection.
    pub fn answer<B: Body>(mut self, response: Response<B>) -> Response<Answer<B>> {
        let number = self.run();
        let has_length = response.body().size_hint().exact().is_some();
        if self.version == Version::HTTP_10 && !has_length {
            self.session.connection.set_undelimited(true);
        }
        response.map(|body| {
            let answer = Answer {
                body,
                request: self,
                number,
            };
            if !answer.body.is_end_stream() {
                answer.mark_unread(true);
            }
            answer
        })
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        let now = self.session.intake.clock.now();
        match self.stage {
            Stage::Receiving => self.session.connection.end_receiving(now),
            Stage::Running(number) => self.session.connection.end_running(number, now),
        }
    }
}

impl<B> Answer<B> {
    fn mark_unread(&self, is_unread: bool) {
        let session = &self.request.session;
        let since = is_unread.then(|| session.intake.clock.now());
        session.connection.set_unread(self.number, since);
    }
}

impl<B: Body + Unpin> Body for Answer<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        if matches!(frame, Poll::Ready(None)) {
            self.request.session.connection.set_undelimited(false);
        }
        self.mark_unread(matches!(frame, Poll::Ready(Some(Ok(_)))));
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Returns about how many bytes a head takes.
fn size_of_head(headers: &HeaderMap) -> usize {
    let sizes = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_BYTES);
    FIXED_BYTES + sizes.sum::<usize>()
}
