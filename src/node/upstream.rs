//! Connections to backends, and the attempts and probes on them. One request at a time on each.
//!
//! Bodies up to [`BODY_LIMIT`] are whole on both ways. Longer ones are passed on as they come: nothing is read
//! from one side before the other has room, and each takes one of the node's places for them.

use crate::body::{Outgoing, Piece, Upload};
use crate::places::Places;
use crate::socket::{Descriptors, Slot, Socket};
use bytes::{Bytes, BytesMut};
use daleturn::interface::{BackendId, Load, Outcome};
use daleturn::wire;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Bodies up to this are whole, either way; longer ones are passed on in pieces.
pub const BODY_LIMIT: usize = 64 * 1024;
/// What a connection's buffer may grow to: with many long transfers, buffers are what fills the memory.
pub const BUFFER: usize = 32 * 1024;
/// An answer of unknown length is passed on after this, or half of its attempt's time, even if it may yet prove
/// short: of a long one the first bytes are timed, and a short one that takes longer is late in any case.
const HOLD: Duration = Duration::from_millis(250);
/// A backend that has begun a long answer and says nothing for so long has broken off.
const SILENCE: Duration = Duration::from_secs(10);
/// How long this node will wait, as a backend is told.
pub const EXPIRES: &str = "x-expires-in-ms";
const NEVER_RAN: &str = "x-never-ran";
const LOAD: &str = "endpoint-load-metrics";
/// An idle connection is dropped after this part of the time at which the backend drops it: a request that
/// crosses the backend's close may have run, and an unsafe one is then lost.
const IDLE_PART: f64 = 0.7;
/// A second answer that nobody asked for may come some milliseconds late. A connection that has rested so long shows it;
/// on one that is used at once it would be taken for the next request's.
const REST: Duration = Duration::from_millis(20);
/// A probe that takes longer has failed.
const PROBE_LIMIT: Duration = Duration::from_millis(250);

/// What a client asked, to be sent on unchanged.
pub struct Call {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// The headers that go on.
    pub headers: HeaderMap,
    /// Its body, or the first part of a long one.
    pub body: Bytes,
    /// The rest of a long one.
    pub upload: Option<Rc<Upload>>,
}

/// The body of a backend's answer.
#[derive(Debug)]
pub enum ReplyBody {
    /// Whole.
    Whole(Bytes),
    /// A long one, piece by piece. Without [`Piece::End`] at its end it was cut.
    Long {
        /// Its length, if told.
        length: Option<u64>,
        /// What comes of it.
        pieces: mpsc::Receiver<Piece>,
    },
}

/// An answer of a backend.
#[derive(Debug)]
pub struct Reply {
    /// Its body.
    pub body: ReplyBody,
    /// What kind of body that is, if told.
    pub content_type: Option<HeaderValue>,
}

/// How an attempt or a probe ended.
pub struct Finish {
    /// How.
    pub outcome: Outcome,
    /// What a served attempt brought.
    pub reply: Option<Reply>,
    /// The load report, if there was one.
    pub load: Load,
    /// How a backend put it that the request itself is wrong.
    pub rejected: Option<StatusCode>,
    /// Time that counts for a long body: from the request's last byte to the answer's first ones.
    pub took: Option<Duration>,
}

impl From<Outcome> for Finish {
    fn from(outcome: Outcome) -> Finish {
        Finish { outcome, reply: None, load: Load::default(), rejected: None, took: None }
    }
}

type BoxError = Box<dyn std::error::Error + Send + Sync>;
type Driven = Pin<Box<Connection<TokioIo<Socket>, Outgoing>>>;

/// A connection whose reading and writing happen only while somebody exchanges on it: nothing is left
/// running behind an idle one, and dropping it closes the socket at once.
pub struct Conn {
    sender: SendRequest<Outgoing>,
    connection: Option<Driven>,
    socket: Socket,
}

impl Conn {
    /// Connects; the caller bounds the time.
    pub async fn open(address: SocketAddr, slot: Slot) -> Result<Conn, Box<dyn std::error::Error>> {
        let socket = Socket::new(TcpStream::connect(address).await?, slot);
        let builder = http1::Builder::new().max_buf_size(BUFFER).to_owned();
        let (sender, connection) = builder.handshake(TokioIo::new(socket.clone())).await?;
        Ok(Conn { sender, connection: Some(Box::pin(connection)), socket })
    }

    /// Runs `wanted` together with the connection's own reading and writing.
    async fn drive<F: Future>(connection: &mut Option<Driven>, wanted: F) -> F::Output {
        let mut wanted = pin!(wanted);
        poll_fn(|cx| {
            if let Poll::Ready(value) = wanted.as_mut().poll(cx) {
                return Poll::Ready(value);
            }
            if connection.as_mut().is_some_and(|c| c.as_mut().poll(cx).is_ready()) {
                *connection = None;
            }
            wanted.as_mut().poll(cx)
        })
        .await
    }

    /// One request and the head of its answer.
    async fn begin(&mut self, request: Request<Outgoing>) -> Result<Response<Incoming>, hyper::Error> {
        let sent = self.sender.send_request(request);
        Conn::drive(&mut self.connection, sent).await
    }

    /// The rest of an answer, whole.
    async fn whole(&mut self, body: Incoming, limit: usize) -> Result<Bytes, BoxError> {
        let body = Conn::drive(&mut self.connection, Limited::<Incoming>::new(body, limit).collect());
        let body = body.await?.to_bytes();
        self.settle().await;
        Ok(body)
    }

    /// The next piece of an answer; none at its end.
    async fn piece(&mut self, body: &mut Incoming) -> Result<Option<Bytes>, hyper::Error> {
        loop {
            let Some(frame) = Conn::drive(&mut self.connection, body.frame()).await else {
                self.settle().await;
                return Ok(None);
            };
            // What is no data is a trailer, which is free to be left out.
            if let Ok(data) = frame?.into_data() {
                return Ok(Some(data));
            }
        }
    }

    /// One request and its whole answer.
    pub async fn exchange(
        &mut self,
        request: Request<Outgoing>,
        limit: usize,
    ) -> Result<Response<Bytes>, BoxError> {
        let (head, body) = self.begin(request).await?.into_parts();
        let body = self.whole(body, limit).await?;
        Ok(Response::from_parts(head, body))
    }

    async fn settle(&mut self) {
        // One more turn: the connection sees that the answer is over and is ready for the next.
        poll_fn(|cx| {
            if self.connection.as_mut().is_some_and(|c| c.as_mut().poll(cx).is_ready()) {
                self.connection = None;
            }
            Poll::Ready(())
        })
        .await;
    }

    /// What it goes through.
    pub fn socket(&self) -> Socket {
        self.socket.clone()
    }

    /// Open at both ends and with nothing unread, which would be a farewell.
    pub fn alive(&self) -> bool {
        self.connection.is_some() && !self.sender.is_closed() && self.socket.quiet()
    }
}

struct Idle {
    conn: Conn,
    since: Instant,
}

/// One attempt: what is sent, where, and for how long it is waited for.
pub struct Errand {
    /// Which backend.
    pub backend: BackendId,
    /// Where that is.
    pub address: SocketAddr,
    /// What to send.
    pub call: Rc<Call>,
    /// How long to wait: from now or, where the request is long, from its last byte.
    pub timeout: Duration,
}

impl Errand {
    /// When to stop waiting for a connection.
    fn connect_until(&self, begun: Instant) -> Instant {
        begun + self.timeout
    }

    /// Ends when the wait for the answer is over.
    async fn overdue(&self, begun: Instant) {
        let from = match &self.call.upload {
            Some(upload) => upload.finished().await,
            None => begun,
        };
        tokio::time::sleep_until((from + self.timeout).into()).await;
    }
}

/// The connections to backends.
pub struct Upstream {
    idle: RefCell<HashMap<BackendId, Vec<Idle>>>,
    descriptors: Rc<Descriptors>,
    connect_limit: Cell<Duration>,
    idle_limit: Cell<Duration>,
    /// Places for long transfers.
    pub places: Rc<Places>,
}

/// The process or the whole machine has no descriptor left (EMFILE, ENFILE).
fn out_of_descriptors(e: &io::Error) -> bool {
    matches!(e.raw_os_error(), Some(23 | 24))
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64((ms.clamp(0.0, 86_400_000.0)) / 1000.0)
}

impl Upstream {
    /// No connections yet.
    pub fn new(
        descriptors: Rc<Descriptors>,
        memory: usize,
        connect_timeout_ms: f64,
        conn_idle_ms: f64,
    ) -> Rc<Upstream> {
        let upstream = Rc::new(Upstream {
            idle: RefCell::default(),
            descriptors: descriptors.clone(),
            connect_limit: Cell::new(millis(connect_timeout_ms)),
            idle_limit: Cell::new(millis(conn_idle_ms * IDLE_PART)),
            places: Places::new(memory),
        });
        let weak = Rc::downgrade(&upstream);
        descriptors.on_pressure(Box::new(move || weak.upgrade().is_some_and(|u| u.drop_oldest())));
        upstream
    }

    /// Takes the settings' times, for all that follows.
    pub fn retune(&self, connect_timeout_ms: f64, conn_idle_ms: f64) {
        self.connect_limit.set(millis(connect_timeout_ms));
        self.idle_limit.set(millis(conn_idle_ms * IDLE_PART));
    }

    /// Closes the connections to a backend that carry nothing.
    ///
    /// Not only for the decisions: a backend that broke a connection, or does not answer a probe, may have
    /// been away. What was open to it before is reset as soon as something is sent on it, and an unsafe
    /// request would be lost.
    pub fn release(&self, backend: BackendId) {
        let closed = self.idle.borrow_mut().remove(&backend);
        drop(closed);
    }

    /// Connections to backends that carry nothing.
    pub fn idle(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    fn drop_oldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.values_mut().filter(|v| !v.is_empty()).min_by_key(|v| v.first().map(|i| i.since));
        let closed = oldest.map(|v| v.remove(0));
        closed.is_some()
    }

    /// Closes what has been idle for long and what the backend has closed.
    pub fn sweep(&self) {
        for list in self.idle.borrow_mut().values_mut() {
            list.retain(|i| i.since.elapsed() < self.idle_limit.get() && i.conn.alive());
        }
    }

    fn take_idle(&self, backend: BackendId) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&backend)?;
        loop {
            // The last that has rested, so that the others turn old and are closed; else the one that rests longest.
            let rested = list.iter().rposition(|i| i.since.elapsed() >= REST).unwrap_or(0);
            if list.is_empty() {
                return None;
            }
            let Idle { conn, since } = list.remove(rested);
            // Looked at once more here: the sweep may be late, and the backend may have closed it since.
            if since.elapsed() < self.idle_limit.get() && conn.alive() {
                return Some(conn);
            }
        }
    }

    /// Keeps a connection whose exchange is over, if it can carry another.
    pub fn keep_connection(&self, backend: BackendId, conn: Conn) {
        if conn.alive() && conn.sender.is_ready() {
            let kept = Idle { conn, since: Instant::now() };
            self.idle.borrow_mut().entry(backend).or_default().push(kept);
        }
    }

    /// A connection to the backend, by `until` at the latest, on which a request may go out at once: `bars` is asked
    /// here and nowhere else, after every wait. Nothing is sent on a connection that does not come from here.
    ///
    /// Where this node itself has no descriptor for one, the attempt is not made: `NotConnected` would
    /// blame the backends, and all of them would be held for dead.
    async fn connection(
        &self,
        backend: BackendId,
        address: SocketAddr,
        until: Instant,
        bars: impl Fn() -> Option<Outcome>,
    ) -> Result<Conn, Outcome> {
        let conn = match self.take_idle(backend) {
            Some(conn) => conn,
            None => self.connect(address, until).await?,
        };
        bars().map_or(Ok(conn), Err)
    }

    async fn connect(&self, address: SocketAddr, until: Instant) -> Result<Conn, Outcome> {
        let limit = || self.connect_limit.get().min(until.saturating_duration_since(Instant::now()));
        let slot = tokio::time::timeout(limit(), self.descriptors.take()).await;
        let slot = slot.map_err(|_| Outcome::Skipped)?;
        match tokio::time::timeout(limit(), Conn::open(address, slot)).await {
            Ok(Ok(conn)) => Ok(conn),
            Ok(Err(e)) if e.downcast_ref::<io::Error>().is_some_and(out_of_descriptors) => {
                Err(Outcome::Skipped)
            }
            _ => Err(Outcome::NotConnected),
        }
    }

    /// Sends one attempt and waits for its end. `bars` says, right before the first byte, whether and how it ends
    /// unsent. A long answer is handed to `started` with its first bytes and passed on from there. A connection
    /// that may be kept comes back.
    pub async fn attempt(
        self: &Rc<Self>,
        errand: &Errand,
        bars: impl Fn() -> Option<Outcome>,
        started: impl FnOnce(Reply, Duration),
    ) -> (Finish, Option<Conn>) {
        let begun = Instant::now();
        let until = errand.connect_until(begun);
        let mut conn = match self.connection(errand.backend, errand.address, until, bars).await {
            Ok(conn) => conn,
            Err(outcome) => return (outcome.into(), None),
        };
        let written = conn.socket.written();
        let left = until.saturating_duration_since(Instant::now());
        let request = errand.call.request(errand.address, left);
        // Before the request's last byte for a long one, after its first for all: when nothing can have run.
        let never_ran = |conn: &Conn| match &errand.call.upload {
            Some(upload) => upload.finished_at().is_none(),
            None => conn.socket.written() == written,
        };
        let mut overdue = pin!(errand.overdue(begun));
        let exchange = async {
            let (head, mut body) = conn.begin(request).await?.into_parts();
            if head.headers.contains_key(TRANSFER_ENCODING) && head.headers.contains_key(CONTENT_LENGTH) {
                return Err("the answer is framed twice".into());
            }
            if head.status != StatusCode::OK {
                let body = conn.whole(body, BODY_LIMIT).await?;
                return Ok::<_, BoxError>((head, First::Whole(body)));
            }
            let from = errand.call.upload.as_ref().and_then(|u| u.finished_at()).unwrap_or(begun);
            let first = conn.first(&mut body, from + (errand.timeout / 2).min(HOLD)).await?;
            Ok((head, first.with(body)))
        };
        let answer = tokio::select! {
            biased;
            answer = exchange => answer,
            () = overdue.as_mut() => {
                let outcome = if never_ran(&conn) { Outcome::NotConnected } else { Outcome::TimedOut };
                return (outcome.into(), None);
            }
        };
        let took = errand.call.upload.as_ref().and_then(|u| u.finished_at()).map(|at| at.elapsed());
        let (head, first) = match answer {
            Ok(answer) => answer,
            Err(e) => return (self.broken(errand, never_ran(&conn), &e), None),
        };
        match first {
            First::Whole(body) => {
                let finish = finish(Response::from_parts(head, body));
                (Finish { took, ..finish }, Some(conn))
            }
            First::Long { first, rest } => {
                // The wait for a place ends like any other wait.
                let place = match &errand.call.upload {
                    Some(_) => None,
                    None => tokio::select! {
                        place = self.places.take(errand.timeout) => place,
                        () = overdue.as_mut() => None,
                    },
                };
                if place.is_none() && errand.call.upload.is_none() {
                    // This node's own want, and nothing against the backend.
                    return (Outcome::Cancelled.into(), None);
                }
                let took = took.unwrap_or_else(|| begun.elapsed());
                let (pieces, receiver) = mpsc::channel(1);
                let length = rest.size_hint().exact().map(|left| left + first.len() as u64);
                let body = ReplyBody::Long { length, pieces: receiver };
                let content_type = head.headers.get(CONTENT_TYPE).cloned();
                // The channel is new and empty.
                let _ = pieces.try_send(Piece::Data(first));
                started(Reply { body, content_type }, took);
                let outcome = conn.pass_on(rest, pieces).await;
                drop(place);
                let whole = outcome == Outcome::Done;
                let load = load_of(&head);
                (Finish { took: Some(took), load, ..outcome.into() }, whole.then_some(conn))
            }
        }
    }

    /// What it means that an attempt broke.
    fn broken(&self, errand: &Errand, never_ran: bool, e: &BoxError) -> Finish {
        match &errand.call.upload {
            Some(upload) if upload.too_long() => {
                let rejected = Some(StatusCode::PAYLOAD_TOO_LARGE);
                return Finish { rejected, ..Outcome::Rejected.into() };
            }
            // The client's doing, and nothing against the backend.
            Some(upload) if upload.cut() => return Outcome::Cancelled.into(),
            _ => {}
        }
        if never_ran {
            return Outcome::NotConnected.into();
        }
        // Served in part or past the limit is no answer; what was written may have run.
        if e.is::<LengthLimitError>() {
            return Outcome::Error.into();
        }
        self.release(errand.backend);
        Outcome::Reset.into()
    }

    /// Asks a backend whether it is there.
    pub async fn probe(
        &self,
        backend: BackendId,
        address: SocketAddr,
        path: &'static str,
        bars: impl Fn() -> Option<Outcome>,
    ) -> (Finish, Option<Conn>) {
        let until = Instant::now() + PROBE_LIMIT;
        let mut conn = match self.connection(backend, address, until, bars).await {
            Ok(conn) => conn,
            Err(outcome) => return (outcome.into(), None),
        };
        let call = Call {
            method: Method::GET,
            target: Uri::from_static(path),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            upload: None,
        };
        let left = until.saturating_duration_since(Instant::now());
        let request = call.request(address, left);
        match tokio::time::timeout(left, conn.exchange(request, BODY_LIMIT)).await {
            Err(_) => {
                self.release(backend);
                (Outcome::TimedOut.into(), None)
            }
            Ok(Err(_)) => {
                self.release(backend);
                (Outcome::Reset.into(), None)
            }
            Ok(Ok(answer)) => {
                let text = String::from_utf8_lossy(answer.body()).into_owned();
                let mut end = finish(answer);
                end.load = wire::load_report(&text);
                (end, Some(conn))
            }
        }
    }
}

/// The beginning of an answer: all of it, or enough to know that there is more.
enum First<B = ()> {
    Whole(Bytes),
    Long { first: Bytes, rest: B },
}

impl First {
    fn with(self, rest: Incoming) -> First<Incoming> {
        match self {
            First::Whole(body) => First::Whole(body),
            First::Long { first, rest: () } => First::Long { first, rest },
        }
    }
}

impl Conn {
    /// Reads until the answer is over or known to be long.
    /// One of unknown length is held until `until` for that.
    async fn first(&mut self, body: &mut Incoming, until: Instant) -> Result<First, BoxError> {
        let announced = body.size_hint().lower() > BODY_LIMIT as u64;
        let told = body.size_hint().exact().is_some();
        let mut first = BytesMut::new();
        loop {
            let piece = if told || first.is_empty() {
                self.piece(body).await?
            } else {
                match tokio::time::timeout_at(until.into(), self.piece(body)).await {
                    Ok(piece) => piece?,
                    Err(_) => return Ok(First::Long { first: first.freeze(), rest: () }),
                }
            };
            match piece {
                None => return Ok(First::Whole(first.freeze())),
                Some(piece) if announced => return Ok(First::Long { first: piece, rest: () }),
                Some(piece) => first.extend_from_slice(&piece),
            }
            if first.len() > BODY_LIMIT {
                return Ok(First::Long { first: first.freeze(), rest: () });
            }
        }
    }

    /// Passes the rest of an answer on, each piece once the one before was taken.
    async fn pass_on(&mut self, mut body: Incoming, pieces: mpsc::Sender<Piece>) -> Outcome {
        loop {
            let piece = tokio::select! {
                piece = tokio::time::timeout(SILENCE, self.piece(&mut body)) => piece,
                () = pieces.closed() => return Outcome::Cancelled,
            };
            let (next, outcome) = match piece {
                Err(_) => return Outcome::TimedOut,
                Ok(Err(_)) => return Outcome::Reset,
                Ok(Ok(Some(data))) => (Piece::Data(data), None),
                Ok(Ok(None)) => (Piece::End, Some(Outcome::Done)),
            };
            match (pieces.send(next).await, outcome) {
                (_, Some(outcome)) => return outcome,
                (Err(_), None) => return Outcome::Cancelled,
                (Ok(()), None) => {}
            }
        }
    }
}

impl Call {
    fn request(&self, address: SocketAddr, left: Duration) -> Request<Outgoing> {
        let mut request = Request::new(match &self.upload {
            None => Outgoing::whole(self.body.clone()),
            Some(upload) => Outgoing::long(self.body.clone(), upload.clone()),
        });
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        *request.headers_mut() = self.headers.clone();
        let headers = request.headers_mut();
        if !headers.contains_key(HOST)
            && let Ok(host) = HeaderValue::from_str(&address.to_string())
        {
            headers.insert(HOST, host);
        }
        let left = u64::try_from(left.as_micros().div_ceil(1000)).unwrap_or(u64::MAX);
        headers.insert(EXPIRES, HeaderValue::from(left));
        request
    }
}

fn load_of(head: &Parts) -> Load {
    let report = head.headers.get(LOAD).and_then(|v| v.to_str().ok());
    report.map(wire::load_report).unwrap_or_default()
}

/// What a backend's whole answer says.
fn finish(answer: Response<Bytes>) -> Finish {
    let (head, body) = answer.into_parts();
    let header = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
    let load = load_of(&head);
    let unseen = header(NEVER_RAN) == Some("1");
    let outcome = match head.status {
        StatusCode::OK => Outcome::Done,
        // Of the request alone, whichever backend is asked. Other 4xx may be this backend's own view (404), or
        // of this moment (408, 429).
        StatusCode::BAD_REQUEST
        | StatusCode::PAYLOAD_TOO_LARGE
        | StatusCode::URI_TOO_LONG
        | StatusCode::UNSUPPORTED_MEDIA_TYPE
        | StatusCode::UNPROCESSABLE_ENTITY
        | StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE => Outcome::Rejected,
        // The only proof that a backend gives; any other status may have run.
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unseen => Outcome::Full,
        _ => Outcome::Error,
    };
    let content_type = head.headers.get(CONTENT_TYPE).cloned();
    let reply = (outcome == Outcome::Done).then_some(Reply { body: ReplyBody::Whole(body), content_type });
    let rejected = (outcome == Outcome::Rejected).then_some(head.status);
    Finish { outcome, reply, load, rejected, took: None }
}
