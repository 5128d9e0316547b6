//! Connections to backends, and the attempts and probes sent on them. Each connection carries one request
//! at a time.
//!
//! Bodies of up to [`MAX_BUFFERED_BODY_BYTES`] bytes are buffered completely in both directions. Longer
//! ones are streamed with backpressure: nothing is read from one side before the other side has space, and
//! each streamed body occupies a transfer slot.

use crate::body::{Piece, RequestBody, Upload};
use crate::memory_budget::{MemoryBudget, MemoryCharge, Purpose};
use crate::socket::{DescriptorSlot, Descriptors, ReclaimFn, Socket};
use crate::transfer_progress::TransferProgress;
use crate::transfer_slots::TransferSlots;
use bytes::{Bytes, BytesMut};
use daleturn::interface::{BackendId, Load, Outcome};
use daleturn::wire;
use http_body_util::{BodyExt, Limited};
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
use std::rc::{Rc, Weak};
use std::task::Poll;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Maximum size of a body that is buffered completely; longer ones are streamed.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// Maximum size of a connection's buffer. With many streamed transfers, these buffers dominate memory use.
pub const MAX_BUFFER_BYTES: usize = 32 * 1024;
/// Maximum time to buffer a response of unknown length before it is streamed; half of the attempt's timeout
/// if that is shorter. The first bytes of a long response are timed, and a short one that takes longer than
/// this is late anyway.
const MAX_BUFFERING: Duration = Duration::from_millis(250);
/// Time without data after which a streamed response counts as broken off.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Header that tells a backend how long this node will wait, in milliseconds.
pub const EXPIRES_HEADER: &str = "x-expires-in-ms";
/// Header by which a backend states that it did not process the request.
const NEVER_RAN_HEADER: &str = "x-never-ran";
/// Header with a load report.
const LOAD_HEADER: &str = "endpoint-load-metrics";
/// Fraction of the backend's idle timeout after which this node closes an idle connection. A request that
/// crosses the backend's close may have been processed, so a non-idempotent request would be lost.
const IDLE_FRACTION: f64 = 0.7;
/// Time that a connection should be idle before reuse. A duplicate response may arrive some milliseconds
/// late: on an idle connection it is noticed, on one that is reused at once it would be taken for the
/// response to the next request.
const MIN_IDLE_BEFORE_REUSE: Duration = Duration::from_millis(20);
/// Interval of the checks whether a backend still takes a streamed request.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Send buffer of the operating system for a streamed request. With a larger one, a backend that reads slowly
/// would look like one that has stopped.
const UPLOAD_SEND_BUFFER_BYTES: usize = 256 * 1024;
/// Maximum size of the body of a probe's response, which is a load report at most.
const MAX_PROBE_BODY_BYTES: usize = 16 * 1024;
/// Memory reserved for a response of unknown length that may be buffered: its buffer doubles as it grows.
const UNKNOWN_LENGTH_BYTES: usize = 2 * MAX_BUFFERED_BODY_BYTES;
/// Time after which a probe, including its connect, counts as timed out.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// A client's request, to be forwarded unchanged.
pub struct ForwardedRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Complete body, or the first part of a streamed one.
    pub body: Bytes,
    /// Remainder of a streamed body.
    pub upload: Option<Rc<Upload>>,
    /// Memory of the head and of the buffered body, held until the last attempt ends.
    pub _memory: Option<MemoryCharge>,
}

/// Body of a backend's response.
#[derive(Debug)]
pub enum BackendBody {
    /// Complete body.
    Complete(Bytes),
    /// Streamed body. It was truncated unless the last piece is [`Piece::End`].
    Streamed {
        /// Announced length in bytes, if any.
        length: Option<u64>,
        /// Pieces of the body as they arrive.
        pieces: mpsc::Receiver<Piece>,
    },
}

/// Response of a backend with status 200.
#[derive(Debug)]
pub struct BackendResponse {
    /// Response body.
    pub body: BackendBody,
    /// Value of the `Content-Type` header, if any.
    pub content_type: Option<HeaderValue>,
    /// Memory of a buffered body.
    pub memory: Option<MemoryCharge>,
}

/// Result of an attempt or a probe.
pub struct AttemptResult {
    /// Outcome for the balancer.
    pub outcome: Outcome,
    /// Response of a successful attempt.
    pub response: Option<BackendResponse>,
    /// Load report from the response; empty if there was none.
    pub load: Load,
    /// Status with which a backend rejected the request itself.
    pub rejected: Option<StatusCode>,
    /// For a streamed body, time from the last byte of the request to the first bytes of the response.
    pub took: Option<Duration>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> AttemptResult {
        AttemptResult { outcome, response: None, load: Load::default(), rejected: None, took: None }
    }
}

/// Reason for which this node gave up a response.
#[derive(Debug, Error)]
enum ResponseError {
    /// The response has two framings.
    #[error("the answer is framed twice")]
    FramedTwice,
    /// The body of a response that is not forwarded is too long.
    #[error("the body of an error is too long")]
    TooLong,
    /// The memory for the response did not become free in time.
    #[error("no memory for the answer")]
    OutOfMemory,
}

type BoxError = Box<dyn std::error::Error + Send + Sync>;
type PolledConnection = Pin<Box<Connection<TokioIo<Socket>, RequestBody>>>;

/// HTTP/1 connection that is polled only during an exchange: no task runs for an idle connection, and
/// dropping it closes the socket at once.
pub struct HttpConnection {
    sender: SendRequest<RequestBody>,
    connection: Option<PolledConnection>,
    socket: Socket,
}

impl HttpConnection {
    /// Opens a connection. The caller limits the time.
    pub async fn open(
        address: SocketAddr,
        slot: DescriptorSlot,
    ) -> Result<HttpConnection, Box<dyn std::error::Error>> {
        let socket = Socket::new(TcpStream::connect(address).await?, slot);
        let builder = http1::Builder::new().max_buf_size(MAX_BUFFER_BYTES).to_owned();
        let (sender, connection) = builder.handshake(TokioIo::new(socket.clone())).await?;
        Ok(HttpConnection { sender, connection: Some(Box::pin(connection)), socket })
    }

    /// Polls `wanted` together with the connection's own I/O.
    async fn drive<F: Future>(connection: &mut Option<PolledConnection>, wanted: F) -> F::Output {
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

    /// Sends a request and reads the head of the response.
    async fn send_request(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, hyper::Error> {
        let sent = self.sender.send_request(request);
        HttpConnection::drive(&mut self.connection, sent).await
    }

    /// Reads the rest of a response body, up to `limit` bytes.
    async fn read_body(&mut self, body: Incoming, limit: usize) -> Result<Bytes, BoxError> {
        let body =
            HttpConnection::drive(&mut self.connection, Limited::<Incoming>::new(body, limit).collect());
        let body = body.await?.to_bytes();
        self.poll_to_idle().await;
        Ok(body)
    }

    /// Reads the next piece of a response body; `None` at its end.
    async fn next_chunk(&mut self, body: &mut Incoming) -> Result<Option<Bytes>, hyper::Error> {
        loop {
            let Some(frame) = HttpConnection::drive(&mut self.connection, body.frame()).await else {
                self.poll_to_idle().await;
                return Ok(None);
            };
            // Frames without data are trailers, which may be dropped.
            if let Ok(data) = frame?.into_data() {
                return Ok(Some(data));
            }
        }
    }

    /// Sends a request and reads the complete response.
    pub async fn exchange(
        &mut self,
        request: Request<RequestBody>,
        limit: usize,
    ) -> Result<Response<Bytes>, BoxError> {
        let (head, body) = self.send_request(request).await?.into_parts();
        let body = self.read_body(body, limit).await?;
        Ok(Response::from_parts(head, body))
    }

    async fn poll_to_idle(&mut self) {
        // One more poll lets the connection notice the end of the response and get ready for the next
        // request.
        poll_fn(|cx| {
            if self.connection.as_mut().is_some_and(|c| c.as_mut().poll(cx).is_ready()) {
                self.connection = None;
            }
            Poll::Ready(())
        })
        .await;
    }

    /// Returns the socket of this connection.
    pub fn socket(&self) -> Socket {
        self.socket.clone()
    }

    /// True if both ends are open and no unread data is pending; unread data would be an unsolicited
    /// response or the close.
    pub fn is_reusable(&self) -> bool {
        self.connection.is_some() && !self.sender.is_closed() && self.socket.is_quiet()
    }
}

/// Connection without a request.
struct Idle {
    conn: HttpConnection,
    since: Instant,
}

/// An attempt to send: the request, its destination and its timeout.
pub struct AttemptSpec {
    /// Backend to send to.
    pub backend: BackendId,
    /// Address of the backend.
    pub address: SocketAddr,
    /// Request to send.
    pub forwarded: Rc<ForwardedRequest>,
    /// Timeout of the attempt, from its start or, for a streamed request, from the arrival of its last byte.
    pub timeout: Duration,
}

impl AttemptSpec {
    /// Returns the instant at which connecting has to be given up.
    fn connect_deadline(&self, started_at: Instant) -> Instant {
        started_at + self.timeout
    }

    /// Completes when the timeout for the response expires.
    async fn response_timeout(&self, started_at: Instant) {
        match &self.forwarded.upload {
            Some(upload) => upload.arrival().passed(self.timeout, started_at).await,
            None => tokio::time::sleep_until((started_at + self.timeout).into()).await,
        }
    }
}

/// Completes once the backend on `socket` no longer takes a streamed request that the node has more of.
async fn backend_stopped(upload: &Upload, socket: &Socket) {
    let mut progress = TransferProgress::new(socket.bytes_written());
    loop {
        tokio::time::sleep(STALL_CHECK_INTERVAL).await;
        if upload.awaits_client() || upload.finished_at().is_some() {
            progress = TransferProgress::new(socket.bytes_written());
        } else if progress.has_stalled(socket.bytes_written()) {
            return;
        }
    }
}

/// Pool of connections to backends.
pub struct Upstream {
    idle: RefCell<HashMap<BackendId, Vec<Idle>>>,
    descriptors: Rc<Descriptors>,
    connect_timeout: Cell<Duration>,
    idle_timeout: Cell<Duration>,
    /// Slots for streamed transfers.
    pub transfer_slots: Rc<TransferSlots>,
    /// Account of the memory that clients and backends make this process hold.
    pub memory: Rc<MemoryBudget>,
}

/// True if the process or the system is out of file descriptors (EMFILE, ENFILE).
fn out_of_descriptors(e: &io::Error) -> bool {
    matches!(e.raw_os_error(), Some(23 | 24))
}

fn duration_from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64((ms.clamp(0.0, 86_400_000.0)) / 1000.0)
}

impl Upstream {
    /// Creates an empty pool.
    pub fn new(
        descriptors: Rc<Descriptors>,
        memory: Rc<MemoryBudget>,
        connect_timeout_ms: f64,
        conn_idle_ms: f64,
    ) -> Rc<Upstream> {
        let upstream = Rc::new(Upstream {
            idle: RefCell::default(),
            descriptors: descriptors.clone(),
            connect_timeout: Cell::new(duration_from_ms(connect_timeout_ms)),
            idle_timeout: Cell::new(duration_from_ms(conn_idle_ms * IDLE_FRACTION)),
            transfer_slots: TransferSlots::new(memory.clone()),
            memory: memory.clone(),
        });
        let reclaim = |upstream: Weak<Upstream>| -> ReclaimFn {
            Box::new(move || upstream.upgrade().is_some_and(|u| u.close_oldest_idle()))
        };
        descriptors.on_pressure(reclaim(Rc::downgrade(&upstream)));
        memory.on_pressure(reclaim(Rc::downgrade(&upstream)));
        upstream
    }

    /// Applies the timeouts of new settings.
    pub fn apply_timeouts(&self, connect_timeout_ms: f64, conn_idle_ms: f64) {
        self.connect_timeout.set(duration_from_ms(connect_timeout_ms));
        self.idle_timeout.set(duration_from_ms(conn_idle_ms * IDLE_FRACTION));
    }

    /// Closes the idle connections to a backend.
    ///
    /// Besides on the balancer's request, this is done when a backend breaks a connection or does not
    /// answer a probe: the backend may have been unreachable, in which case its old connections are reset
    /// as soon as something is sent on them, and a non-idempotent request would be lost.
    pub fn close_idle(&self, backend: BackendId) {
        let closed = self.idle.borrow_mut().remove(&backend);
        drop(closed);
    }

    /// Returns the number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Closes the connection that has been idle longest. Returns false if there is none.
    fn close_oldest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.values_mut().filter(|v| !v.is_empty()).min_by_key(|v| v.first().map(|i| i.since));
        let closed = oldest.map(|v| v.remove(0));
        closed.is_some()
    }

    /// Closes connections that have been idle for too long or that the backend has closed.
    pub fn close_expired(&self) {
        for list in self.idle.borrow_mut().values_mut() {
            list.retain(|i| i.since.elapsed() < self.idle_timeout.get() && i.conn.is_reusable());
        }
    }

    /// Takes an idle connection to a backend that can be reused, if there is one.
    fn take_idle(&self, backend: BackendId) -> Option<HttpConnection> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&backend)?;
        loop {
            // Take the most recent connection that was idle for long enough, so that the others age and are
            // closed; otherwise the one that has been idle longest.
            let index = list.iter().rposition(|i| i.since.elapsed() >= MIN_IDLE_BEFORE_REUSE).unwrap_or(0);
            if list.is_empty() {
                return None;
            }
            let Idle { conn, since } = list.remove(index);
            // Check again: the periodic check may be late, and the backend may have closed the connection
            // since.
            if since.elapsed() < self.idle_timeout.get() && conn.is_reusable() {
                return Some(conn);
            }
        }
    }

    /// Returns a connection to the pool after an exchange if it can carry another one.
    pub fn keep_connection(&self, backend: BackendId, conn: HttpConnection) {
        if !conn.socket.is_too_large() && conn.is_reusable() && conn.sender.is_ready() {
            let idle = Idle { conn, since: Instant::now() };
            self.idle.borrow_mut().entry(backend).or_default().push(idle);
        }
    }

    /// Returns a connection on which a request can be sent immediately, or the outcome of an attempt that
    /// cannot be sent. Waits until `until` at most. `before_send` is called here only, after every wait;
    /// all requests are sent on connections from this function.
    ///
    /// If this node itself is out of descriptors the outcome is `Skipped`. `NotConnected` would count
    /// against the backends and mark all of them as dead.
    async fn acquire(
        &self,
        backend: BackendId,
        address: SocketAddr,
        until: Instant,
        before_send: impl Fn() -> Option<Outcome>,
    ) -> Result<HttpConnection, Outcome> {
        let conn = match self.take_idle(backend) {
            Some(conn) => conn,
            None => self.connect(address, until).await?,
        };
        before_send().map_or(Ok(conn), Err)
    }

    /// Opens a connection within the connect timeout, and by `until` at the latest.
    async fn connect(&self, address: SocketAddr, until: Instant) -> Result<HttpConnection, Outcome> {
        let limit = || self.connect_timeout.get().min(until.saturating_duration_since(Instant::now()));
        let slot = tokio::time::timeout(limit(), self.descriptors.take()).await;
        let slot = slot.map_err(|_| Outcome::Skipped)?;
        match tokio::time::timeout(limit(), HttpConnection::open(address, slot)).await {
            Ok(Ok(conn)) => Ok(conn),
            Ok(Err(e)) if e.downcast_ref::<io::Error>().is_some_and(out_of_descriptors) => {
                Err(Outcome::Skipped)
            }
            _ => Err(Outcome::NotConnected),
        }
    }

    /// Sends one attempt and waits for its end. `before_send` is called right before the first byte is sent
    /// and returns the outcome if the attempt must not be sent. A long response is passed to `started` with
    /// its first bytes and streamed from there. Returns the result, and the connection if it can be reused.
    pub async fn attempt(
        self: &Rc<Self>,
        spec: &AttemptSpec,
        before_send: impl Fn() -> Option<Outcome>,
        started: impl FnOnce(BackendResponse, Duration),
    ) -> (AttemptResult, Option<HttpConnection>) {
        let started_at = Instant::now();
        let until = spec.connect_deadline(started_at);
        let mut conn = match self.acquire(spec.backend, spec.address, until, before_send).await {
            Ok(conn) => conn,
            Err(outcome) => return (outcome.into(), None),
        };
        let written = conn.socket.bytes_written();
        let remaining = until.saturating_duration_since(Instant::now());
        let request = spec.forwarded.to_http(spec.address, remaining);
        conn.socket.note_written_head(head_text_bytes(request.headers()));
        // The backend cannot have processed the request before its last byte, if streamed, or before its
        // first byte otherwise.
        let never_ran = |conn: &HttpConnection| match &spec.forwarded.upload {
            Some(upload) => upload.finished_at().is_none(),
            None => conn.socket.bytes_written() == written,
        };
        let mut timeout = pin!(spec.response_timeout(started_at));
        let socket = conn.socket();
        let backend_stopped = async {
            match &spec.forwarded.upload {
                Some(upload) => {
                    socket.limit_send_buffer(UPLOAD_SEND_BUFFER_BYTES);
                    backend_stopped(upload, &socket).await;
                }
                None => std::future::pending().await,
            }
        };
        let exchange = async {
            let (head, mut body) = conn.send_request(request).await?.into_parts();
            if head.headers.contains_key(TRANSFER_ENCODING) && head.headers.contains_key(CONTENT_LENGTH) {
                return Err(ResponseError::FramedTwice.into());
            }
            let from = spec.forwarded.upload.as_ref().and_then(|u| u.finished_at()).unwrap_or(started_at);
            let is_forwarded = head.status == StatusCode::OK;
            let stream_at = is_forwarded.then(|| from + (spec.timeout / 2).min(MAX_BUFFERING));
            let first = conn.read_start(&mut body, from + spec.timeout, stream_at).await?;
            if !is_forwarded && matches!(first, ResponseStart::Streamed { .. }) {
                return Err(ResponseError::TooLong.into());
            }
            Ok::<_, BoxError>((head, first.with(body)))
        };
        let http_response = tokio::select! {
            biased;
            http_response = exchange => http_response,
            () = timeout.as_mut() => {
                let outcome = if never_ran(&conn) { Outcome::NotConnected } else { Outcome::TimedOut };
                return (outcome.into(), None);
            }
            // It does not have the last byte, so it cannot have processed the request.
            () = backend_stopped => return (Outcome::NotConnected.into(), None),
        };
        let took = spec.forwarded.upload.as_ref().and_then(|u| u.finished_at()).map(|at| at.elapsed());
        let (head, first) = match http_response {
            Ok(http_response) => http_response,
            Err(e) => return (self.failure_result(spec, never_ran(&conn), &e), None),
        };
        match first {
            ResponseStart::Complete { body, memory } => {
                let mut result = parse_response(Response::from_parts(head, body));
                if let Some(response) = &mut result.response {
                    response.memory = memory;
                }
                (AttemptResult { took, ..result }, Some(conn))
            }
            ResponseStart::Streamed { first, rest, memory } => {
                // The attempt's timeout also limits the wait for a transfer slot.
                let slot = match &spec.forwarded.upload {
                    Some(_) => None,
                    None => tokio::select! {
                        slot = self.transfer_slots.take(spec.timeout) => slot,
                        () = timeout.as_mut() => None,
                    },
                };
                if slot.is_none() && spec.forwarded.upload.is_none() {
                    // No slot is free: a limit of this node, which does not count against the backend.
                    return (Outcome::Cancelled.into(), None);
                }
                // The memory of the transfer covers the first part.
                drop(memory);
                let took = took.unwrap_or_else(|| started_at.elapsed());
                let (pieces, receiver) = mpsc::channel(1);
                let length = rest.size_hint().exact().map(|left| left + first.len() as u64);
                let body = BackendBody::Streamed { length, pieces: receiver };
                let content_type = head.headers.get(CONTENT_TYPE).cloned();
                // Cannot fail: the channel is new and empty.
                let _ = pieces.try_send(Piece::Data(first));
                started(BackendResponse { body, content_type, memory: None }, took);
                let outcome = conn.forward_body(rest, pieces).await;
                drop(slot);
                let is_complete = outcome == Outcome::Done;
                let load = load_of(&head);
                (AttemptResult { took: Some(took), load, ..outcome.into() }, is_complete.then_some(conn))
            }
        }
    }

    /// Returns the result of an attempt that failed with an error.
    fn failure_result(&self, spec: &AttemptSpec, never_ran: bool, e: &BoxError) -> AttemptResult {
        match &spec.forwarded.upload {
            Some(upload) if upload.is_too_long() => {
                let rejected = Some(StatusCode::PAYLOAD_TOO_LARGE);
                return AttemptResult { rejected, ..Outcome::Rejected.into() };
            }
            // The client aborted the upload, which does not count against the backend.
            Some(upload) if upload.is_aborted() => return Outcome::Cancelled.into(),
            _ => {}
        }
        if never_ran {
            return Outcome::NotConnected.into();
        }
        match e.downcast_ref() {
            // A partial or oversized response cannot be used, but the request may have been processed.
            Some(ResponseError::TooLong) => return Outcome::Error.into(),
            // A limit of this node, which does not count against the backend.
            Some(ResponseError::OutOfMemory) => return Outcome::Cancelled.into(),
            Some(ResponseError::FramedTwice) | None => {}
        }
        self.close_idle(spec.backend);
        Outcome::Reset.into()
    }

    /// Sends a health probe to a backend.
    pub async fn probe(
        &self,
        backend: BackendId,
        address: SocketAddr,
        path: &'static str,
        before_send: impl Fn() -> Option<Outcome>,
    ) -> (AttemptResult, Option<HttpConnection>) {
        let until = Instant::now() + PROBE_TIMEOUT;
        let mut conn = match self.acquire(backend, address, until, before_send).await {
            Ok(conn) => conn,
            Err(outcome) => return (outcome.into(), None),
        };
        let forwarded = ForwardedRequest {
            method: Method::GET,
            target: Uri::from_static(path),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            upload: None,
            _memory: None,
        };
        let remaining = until.saturating_duration_since(Instant::now());
        let request = forwarded.to_http(address, remaining);
        match tokio::time::timeout(remaining, conn.exchange(request, MAX_PROBE_BODY_BYTES)).await {
            Err(_) => {
                self.close_idle(backend);
                (Outcome::TimedOut.into(), None)
            }
            Ok(Err(_)) => {
                self.close_idle(backend);
                (Outcome::Reset.into(), None)
            }
            Ok(Ok(http_response)) => {
                let text = String::from_utf8_lossy(http_response.body()).into_owned();
                let mut end = parse_response(http_response);
                end.load = wire::load_report(&text);
                (end, Some(conn))
            }
        }
    }
}

/// Start of a response body: either all of it, or enough to know that it is long.
enum ResponseStart<B = ()> {
    Complete { body: Bytes, memory: Option<MemoryCharge> },
    Streamed { first: Bytes, rest: B, memory: Option<MemoryCharge> },
}

impl ResponseStart {
    fn with(self, rest: Incoming) -> ResponseStart<Incoming> {
        match self {
            ResponseStart::Complete { body, memory } => ResponseStart::Complete { body, memory },
            ResponseStart::Streamed { first, memory, .. } => {
                ResponseStart::Streamed { first, rest, memory }
            }
        }
    }
}

impl HttpConnection {
    /// Reads until the body is complete or known to be long. A body of unknown length counts as long after
    /// `stream_at`, if that is given. Memory for buffering is reserved first, until `memory_until` at most.
    async fn read_start(
        &mut self,
        body: &mut Incoming,
        memory_until: Instant,
        stream_at: Option<Instant>,
    ) -> Result<ResponseStart, BoxError> {
        let length = body.size_hint().exact().map(|length| usize::try_from(length).unwrap_or(usize::MAX));
        if length.is_some_and(|length| length > MAX_BUFFERED_BODY_BYTES) {
            let first = self.next_chunk(body).await?.unwrap_or_default();
            return Ok(ResponseStart::Streamed { first, rest: (), memory: None });
        }
        let memory = self.reserve_response(length.unwrap_or(UNKNOWN_LENGTH_BYTES), memory_until).await?;
        let mut first = BytesMut::with_capacity(length.unwrap_or(0));
        let is_complete = loop {
            let next = self.next_chunk(body);
            let chunk = match stream_at.filter(|_| length.is_none() && !first.is_empty()) {
                None => next.await?,
                Some(stream_at) => match tokio::time::timeout_at(stream_at.into(), next).await {
                    Ok(chunk) => chunk?,
                    Err(_) => break false,
                },
            };
            let Some(chunk) = chunk else { break true };
            first.extend_from_slice(&chunk);
            if first.len() > MAX_BUFFERED_BODY_BYTES {
                break false;
            }
        };
        if let Some(memory) = &memory {
            memory.resize(first.capacity());
        }
        let first = first.freeze();
        Ok(match is_complete {
            true => ResponseStart::Complete { body: first, memory },
            false => ResponseStart::Streamed { first, rest: (), memory },
        })
    }

    /// Reserves memory for a response; `None` if it needs none.
    async fn reserve_response(
        &self,
        bytes: usize,
        until: Instant,
    ) -> Result<Option<MemoryCharge>, ResponseError> {
        if bytes == 0 {
            return Ok(None);
        }
        let memory = self.socket.memory().clone().reserve(Purpose::Response, bytes, until).await;
        memory.map(Some).ok_or(ResponseError::OutOfMemory)
    }

    /// Forwards the rest of a response, each piece after the previous one was taken.
    async fn forward_body(&mut self, mut body: Incoming, pieces: mpsc::Sender<Piece>) -> Outcome {
        loop {
            let chunk = tokio::select! {
                chunk = tokio::time::timeout(BODY_IDLE_TIMEOUT, self.next_chunk(&mut body)) => chunk,
                () = pieces.closed() => return Outcome::Cancelled,
            };
            let (next, outcome) = match chunk {
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

impl ForwardedRequest {
    /// Builds the HTTP request, with the remaining time in its headers.
    fn to_http(&self, address: SocketAddr, remaining: Duration) -> Request<RequestBody> {
        let mut request = Request::new(match &self.upload {
            None => RequestBody::complete(self.body.clone()),
            Some(upload) => RequestBody::streamed(self.body.clone(), upload.clone()),
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
        let remaining = u64::try_from(remaining.as_micros().div_ceil(1000)).unwrap_or(u64::MAX);
        headers.insert(EXPIRES_HEADER, HeaderValue::from(remaining));
        request
    }
}

/// Returns the length of the names and values of headers.
pub fn head_text_bytes(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum()
}

/// Parses the load report in the headers of a response.
fn load_of(head: &Parts) -> Load {
    let report = head.headers.get(LOAD_HEADER).and_then(|v| v.to_str().ok());
    report.map(wire::load_report).unwrap_or_default()
}

/// Converts a complete backend response to a result.
fn parse_response(http_response: Response<Bytes>) -> AttemptResult {
    let (head, body) = http_response.into_parts();
    let header = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
    let load = load_of(&head);
    let never_ran = header(NEVER_RAN_HEADER) == Some("1");
    let outcome = match head.status {
        StatusCode::OK => Outcome::Done,
        // These statuses concern the request alone, whichever backend receives it. Other 4xx statuses may
        // be specific to this backend (404) or to this moment (408, 429).
        StatusCode::BAD_REQUEST
        | StatusCode::PAYLOAD_TOO_LARGE
        | StatusCode::URI_TOO_LONG
        | StatusCode::UNSUPPORTED_MEDIA_TYPE
        | StatusCode::UNPROCESSABLE_ENTITY
        | StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE => Outcome::Rejected,
        // Only this header proves that the request was not processed; with any other status it may have
        // been.
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if never_ran => Outcome::Full,
        _ => Outcome::Error,
    };
    let content_type = head.headers.get(CONTENT_TYPE).cloned();
    let response = (outcome == Outcome::Done).then_some(BackendResponse {
        body: BackendBody::Complete(body),
        content_type,
        memory: None,
    });
    let rejected = (outcome == Outcome::Rejected).then_some(head.status);
    AttemptResult { outcome, response, load, rejected, took: None }
}
