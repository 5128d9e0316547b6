//! Client side of the node: accepts connections, reads requests and dispatches them.

use crate::active_settings::{ActiveSettings, CurrentSettings};
use crate::body::{MAX_BODY_BYTES, StreamedResponse, Upload, discard_body};
use crate::body_arrival::BodyArrival;
use crate::client_connection::{BusyGuard, ClientConnection, STUCK_TIMEOUT, discard_in_background};
use crate::client_response::{
    ClientBody, body_timeout_response, buffered_response, closing_response, text_response,
    with_content_type,
};
use crate::driver::{Answer, Driver};
use crate::log::log_event;
use crate::socket::{DescriptorSlot, Descriptors, Socket};
use crate::transfer_slots::TransferSlot;
use crate::upstream::{
    BackendBody, BackendResponse, EXPIRES_HEADER, ForwardedRequest, MAX_BUFFER_BYTES,
    MAX_BUFFERED_BODY_BYTES, Upstream,
};
use bytes::{Bytes, BytesMut};
use daleturn::interface::{Effect, Request as BalancerRequest, RequestId};
use daleturn::wire::stable_hash;
use http_body_util::{BodyExt, Either};
use hyper::body::{Body, Incoming};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, HeaderValue, TE, TRAILER, TRANSFER_ENCODING,
    UPGRADE,
};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// Safety margin between the balancer's deadline and the client's. The client counts from its send and this
/// node from the arrival, so the margin covers both network directions and this event loop.
const DEADLINE_MARGIN: Duration = Duration::from_millis(4);
/// Part of the margin within which the node itself fails a request that the balancer has not finished.
const FINAL_MARGIN: Duration = Duration::from_millis(1);
/// Retry delay sent to clients when the node has reached its limit of open requests or transfer slots.
const FULL_RETRY_AFTER_MS: f64 = 1000.0;
/// Upper limit for the wait that a client may announce.
const MAX_CLIENT_WAIT: Duration = Duration::from_secs(600);
/// Time after which a connection is closed if the next request header is not complete, idle or not.
const HEADER_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval of the checks for overdue clients, without and with an open request.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
const BUSY_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time after a connection's last response for the client to read it and to close its end.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time that a long body waits for a transfer slot before its request is refused.
const SLOT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Send buffer of the operating system for a streamed response. With a larger one, a slow client would look
/// like a stalled one.
const SEND_BUFFER_BYTES: usize = 256 * 1024;
/// Interval at which a node that is quiescing or stopping closes idle connections.
const CLOSE_IDLE_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum accept time after the stop signal. New connections arrive for up to 0.4 s after it; the rest is
/// margin. After this time, accepting ends when none has arrived for `ACCEPT_QUIET_TIME`.
const MIN_ACCEPT_TIME: Duration = Duration::from_millis(700);
const ACCEPT_QUIET_TIME: Duration = Duration::from_millis(150);
/// Maximum accept time after the stop signal. Requests accepted later would still be unanswered at SIGKILL.
const MAX_ACCEPT_TIME: Duration = Duration::from_millis(1500);

/// Maximum time for accepting the connections in the backlog during a handover while the system is out of
/// descriptors.
const BACKLOG_TIMEOUT: Duration = Duration::from_millis(1000);
const STARTING: &str = "this process is starting";
const STOPPING: &str = "this process is stopping";

/// Hop-by-hop headers, and headers that this node generates itself.
const UNFORWARDED_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    HeaderName::from_static("keep-alive"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Registration of a client connection. Dropping it removes the connection however its task ends; otherwise
/// its descriptor would leak.
struct ClientRegistration {
    server: Rc<Server>,
    number: u64,
}

impl Drop for ClientRegistration {
    fn drop(&mut self) {
        let client = self.server.clients.borrow_mut().remove(&self.number);
        drop(client);
        self.server.closed.notify_one();
    }
}

/// Operating mode of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// Does not accept clients yet.
    Starting,
    Serving,
    /// Sends clients away until resumed.
    Quiesced,
    /// Stopping for good since this instant.
    Stopping(Instant),
    /// Stopping for good while another process of this node serves the clients.
    HandedOver,
    /// Out of time: new requests are refused at once, because they would be lost with the process.
    Ended,
}

/// Serves the clients of the node.
pub struct Server {
    driver: Rc<Driver>,
    upstream: Rc<Upstream>,
    current_settings: Rc<CurrentSettings>,
    descriptors: Rc<Descriptors>,
    clients: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    next_client_number: Cell<u64>,
    mode: Cell<Mode>,
    stop: Notify,
    /// Notified when the mode becomes [`Mode::Ended`].
    ended: Notify,
    closed: Notify,
}

impl Server {
    /// Creates a server without clients.
    pub fn new(
        driver: Rc<Driver>,
        upstream: Rc<Upstream>,
        current_settings: Rc<CurrentSettings>,
        descriptors: Rc<Descriptors>,
    ) -> Rc<Server> {
        let server = Rc::new(Server {
            driver,
            upstream,
            current_settings,
            descriptors: descriptors.clone(),
            clients: RefCell::default(),
            next_client_number: Cell::new(0),
            mode: Cell::new(Mode::Starting),
            stop: Notify::new(),
            ended: Notify::new(),
            closed: Notify::new(),
        });
        let weak = Rc::downgrade(&server);
        descriptors.on_pressure(Box::new(move || {
            if let Some(server) = weak.upgrade() {
                server.close_longest_idle();
            }
            // The connection's task closes it later, so no descriptor is free yet.
            false
        }));
        server
    }

    /// Frees a descriptor: closes the connection that has gone longest without a request, among those that
    /// may be closed.
    fn close_longest_idle(&self) {
        let clients = self.clients.borrow();
        let mut order: Vec<&Rc<ClientConnection>> = clients.values().filter(|c| !c.is_busy()).collect();
        order.sort_by_key(|c| c.idle_since());
        if let Some(client) = order.into_iter().find(|c| c.is_reclaimable()) {
            client.close.notify_one();
        }
    }

    /// Asks all idle connections to close.
    fn close_idle(&self) {
        for client in self.clients.borrow().values().filter(|c| c.is_idle()) {
            client.close.notify_one();
        }
    }

    /// Accepts connections until told to stop, and then for as long as new ones keep arriving.
    pub async fn accept(self: &Rc<Self>, listener: TcpListener) {
        let mut last = Instant::now();
        if self.mode.get() == Mode::Starting {
            self.mode.set(Mode::Serving);
        }
        loop {
            if self.mode.get() == Mode::HandedOver {
                return self.drain_backlog(listener).await;
            }
            let quiet_at = self
                .stopping()
                .map(|at| (at + MIN_ACCEPT_TIME).max(last + ACCEPT_QUIET_TIME).min(at + MAX_ACCEPT_TIME));
            let quiet = async {
                match quiet_at {
                    Some(at) => tokio::time::sleep_until(at.into()).await,
                    None => std::future::pending().await,
                }
            };
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = quiet => return,
                () = self.stop.notified() => continue,
            };
            match accepted {
                Ok((stream, _)) => {
                    last = Instant::now();
                    // Under descriptor pressure this waits for a free slot; new connections wait in the
                    // backlog meanwhile.
                    let slot = self.descriptors.take_for_client().await;
                    self.add_client(stream, slot);
                }
                Err(e) => {
                    // Out of descriptors, or the client has already disconnected. Neither may end the
                    // accept loop or make it spin.
                    log_event!(WARN, "clients", reason = e.to_string().as_str(), "clients.accept_failed");
                    self.descriptors.reclaim_one();
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            }
        }
    }

    /// Accepts the connections that are already in the backlog and closes the listener. New connections go
    /// to the other process.
    async fn drain_backlog(self: &Rc<Self>, listener: TcpListener) {
        let Ok(listener) = listener.into_std() else { return };
        let end = Instant::now() + BACKLOG_TIMEOUT;
        loop {
            // Close the listener as soon as the backlog is empty, without an await in between: connections
            // that arrive in between are reset.
            match listener.accept().and_then(|(s, _)| s.set_nonblocking(true).map(|()| s)) {
                Ok(stream) => {
                    let slot = self.descriptors.take_for_client().await;
                    if let Ok(stream) = TcpStream::from_std(stream) {
                        self.add_client(stream, slot);
                    }
                }
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return,
                Err(_) if Instant::now() < end => {
                    self.descriptors.reclaim_one();
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                Err(_) => return,
            }
        }
    }

    /// Answers the open requests with `Connection: close` and closes idle connections. Returns when no
    /// client is left, or at `end`.
    pub async fn close_clients(self: &Rc<Self>, end: Instant) {
        while Instant::now() < end && !self.clients.borrow().is_empty() {
            self.close_idle();
            let _ = tokio::time::timeout(CLOSE_IDLE_INTERVAL, self.closed.notified()).await;
        }
    }

    /// Waits until every response that has begun is written, or until `end`.
    pub async fn finish_responses(&self, end: Instant) {
        let is_responding = || self.clients.borrow().values().any(|c| c.is_responding());
        while Instant::now() < end && is_responding() {
            self.close_idle();
            let _ = tokio::time::timeout(CLOSE_IDLE_INTERVAL, self.closed.notified()).await;
        }
    }

    /// Stops serving: from now on every response closes its connection. With `successor`, another process
    /// of this node keeps serving, so `/up` must stay positive.
    pub fn stop(&self, successor: bool) {
        self.mode.set(if successor { Mode::HandedOver } else { Mode::Stopping(Instant::now()) });
        self.stop.notify_one();
    }

    /// Refuses all new requests and fails the open ones; unanswered, they would be lost.
    pub fn fail_remaining(&self) {
        self.mode.set(Mode::Ended);
        self.ended.notify_waiters();
        self.driver.fail_all();
    }

    /// Returns when the node began to stop, unless another process has taken over.
    fn stopping(&self) -> Option<Instant> {
        match self.mode.get() {
            Mode::Stopping(since) => Some(since),
            Mode::Starting | Mode::Serving | Mode::Quiesced | Mode::HandedOver | Mode::Ended => None,
        }
    }

    /// Returns the number of connected clients.
    pub fn client_count(&self) -> usize {
        self.clients.borrow().len()
    }

    /// Returns the name of the operating mode.
    pub fn mode(&self) -> &'static str {
        match self.mode.get() {
            Mode::Starting => "starting",
            Mode::Serving => "serving",
            Mode::Quiesced => "quiesced",
            Mode::Stopping(_) | Mode::HandedOver | Mode::Ended => "stopping",
        }
    }

    /// Returns whether clients are served, as text for operators.
    pub fn health(&self) -> Result<&'static str, &'static str> {
        match self.mode.get() {
            Mode::Serving => Ok("serving"),
            Mode::Quiesced => Ok("quiesced, serves who still comes"),
            Mode::Starting => Err(STARTING),
            Mode::Stopping(_) | Mode::HandedOver | Mode::Ended => Err(STOPPING),
        }
    }

    /// Sends clients away: `/up` turns negative, every response closes its connection, and idle connections
    /// are closed.
    pub fn quiesce(self: &Rc<Self>) -> Result<String, &'static str> {
        match self.mode.get() {
            Mode::Starting => return Err(STARTING),
            Mode::Stopping(_) | Mode::HandedOver | Mode::Ended => return Err(STOPPING),
            Mode::Quiesced => {}
            Mode::Serving => {
                self.mode.set(Mode::Quiesced);
                let server = self.clone();
                spawn_local(async move {
                    while server.mode.get() == Mode::Quiesced {
                        server.close_idle();
                        tokio::time::sleep(CLOSE_IDLE_INTERVAL).await;
                    }
                });
            }
        }
        Ok(format!("quiesced, {} connections of clients are open", self.clients.borrow().len()))
    }

    /// Ends quiescing: `/up` turns positive again.
    pub fn resume(&self) -> Result<String, &'static str> {
        match self.mode.get() {
            Mode::Starting => return Err(STARTING),
            Mode::Stopping(_) | Mode::HandedOver | Mode::Ended => return Err(STOPPING),
            Mode::Quiesced => self.mode.set(Mode::Serving),
            Mode::Serving => {}
        }
        Ok("serving".to_owned())
    }

    /// Registers an accepted connection and starts its task.
    fn add_client(self: &Rc<Self>, stream: TcpStream, slot: DescriptorSlot) {
        let socket = Socket::for_client(stream, slot);
        let client = Rc::new(ClientConnection::new(socket.clone()));
        let number = self.next_client_number.get();
        self.next_client_number.set(number + 1);
        self.clients.borrow_mut().insert(number, client.clone());
        let registration = ClientRegistration { server: self.clone(), number };
        spawn_local(async move { registration.server.serve_connection(&client, socket).await });
    }

    /// Serves a connection until it ends or has to be closed.
    async fn serve_connection(self: &Rc<Self>, client: &Rc<ClientConnection>, socket: Socket) {
        let service = service_fn(|request| {
            let busy = BusyGuard::new(client.clone());
            async move { Ok::<_, Infallible>(self.respond(busy, request).await) }
        });
        let mut connection = pin!(
            http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_TIMEOUT)
                .max_buf_size(MAX_BUFFER_BYTES)
                .serve_connection(TokioIo::new(socket), service)
        );
        let mut was_idle = false;
        loop {
            let interval = if client.is_busy() { BUSY_CHECK_INTERVAL } else { CHECK_INTERVAL };
            tokio::select! {
                // An error means that the client disconnected, or violated the protocol and was told so.
                _ = connection.as_mut() => break,
                () = tokio::time::sleep(interval) => {
                    if client.is_overdue() || client.has_left() {
                        return;
                    }
                }
                () = client.close.notified() => {
                    // Check again: a request may have arrived since.
                    if client.is_stuck(STUCK_TIMEOUT) || client.is_idle() && client.socket.bytes_read() == 0 {
                        return;
                    }
                    if client.is_idle() {
                        was_idle = true;
                        connection.as_mut().graceful_shutdown();
                    }
                }
            }
        }
        // A connection that was idle has no response in transit, and its client will retry elsewhere.
        if !was_idle {
            let descriptor_needed = async {
                client.close.notified().await;
                while !client.socket.is_quiet() {
                    client.close.notified().await;
                }
            };
            tokio::select! {
                _ = tokio::time::timeout(LINGER_TIMEOUT, client.socket.finish_sending()) => {}
                // Close early: the descriptor is needed and no data is unread.
                () = descriptor_needed => {}
            }
        }
    }

    /// Answers one request, including those to `/up`.
    async fn respond(&self, busy: BusyGuard, request: Request<Incoming>) -> Response<ClientBody> {
        let client = busy.0.clone();
        let arrived = Instant::now();
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        let mut response = if client.socket.has_conflict() {
            // A proxy in front of this node may frame this request differently (request smuggling), so
            // nothing after it is read.
            closing_response(StatusCode::BAD_REQUEST, "the body is framed twice\n")
        } else if path == "/api" || path.starts_with("/api/") {
            match self.read_request(&client, arrived, head, body).await {
                Ok(parsed) => self.dispatch(busy, parsed).await,
                Err(refused) => refused,
            }
        } else if path != "/up" {
            reject(&client, arrived, body, StatusCode::NOT_FOUND, "no such path\n").await
        } else if matches!(head.method, Method::GET | Method::HEAD) {
            // With a successor, a negative answer would take both processes out of service.
            let accepts_clients = matches!(self.mode.get(), Mode::Serving | Mode::HandedOver);
            let ready = accepts_clients && self.driver.has_backend_up() && !self.driver.is_isolated();
            text_response(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "")
        } else {
            reject(&client, arrived, body, StatusCode::METHOD_NOT_ALLOWED, "").await
        };
        if self.mode.get() != Mode::Serving || client.socket.has_dropped_data() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Submits a request to the driver and returns the response for the client.
    async fn dispatch(
        &self,
        busy: BusyGuard,
        ParsedRequest { request, active, forwarded, arrived, wait }: ParsedRequest,
    ) -> Response<ClientBody> {
        let upload = forwarded.upload.clone();
        if upload.is_none() {
            busy.0.set_request_complete();
        }
        let is_full = self.driver.open_requests() >= active.settings.open_cap as usize;
        let answer = if is_full || self.mode.get() == Mode::Ended {
            self.driver.count_early_refusal(active.names.class_name(request.class));
            Answer::Refused { retry_after_ms: FULL_RETRY_AFTER_MS }
        } else {
            let margin = DEADLINE_MARGIN - FINAL_MARGIN;
            let wait = wait.saturating_sub(FINAL_MARGIN);
            let pending = self.driver.submit(request, active, forwarded, arrived, wait, margin);
            let client_stopped = async {
                match &upload {
                    Some(upload) => upload.client_stopped().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                answer = pending.wait() => answer,
                () = client_stopped => return body_timeout_response(),
            }
        };
        // The rest of a finished request's body must be read, or its client may not see the response.
        if let Some(upload) = upload.filter(|u| u.finished_at().is_none()) {
            discard_in_background(&busy.0, upload.discard_rest());
        }
        match answer {
            Answer::Served(BackendResponse {
                body: BackendBody::Streamed { length, pieces },
                content_type,
            }) => {
                busy.0.start_response();
                busy.0.socket.limit_send_buffer(SEND_BUFFER_BYTES);
                let client = busy.0.clone();
                // A slow backend is no slow client: `BODY_IDLE_TIMEOUT` limits its pauses.
                let on_waiting = Box::new(move || client.start_response());
                let client = busy.0.clone();
                let on_truncated = Box::new(move || client.socket.reset_on_close());
                let body = StreamedResponse::new(length, pieces, on_waiting, on_truncated, busy);
                with_content_type(Response::new(Either::Right(body)), content_type)
            }
            answer => buffered_response(answer),
        }
    }

    /// Waits for a transfer slot: for [`SLOT_TIMEOUT`], until the request's own time is over, or until this
    /// process refuses all requests.
    async fn take_transfer_slot(
        &self,
        arrival: &BodyArrival,
        arrived: Instant,
        wait: Duration,
    ) -> Option<TransferSlot> {
        let ended = self.ended.notified();
        if self.mode.get() == Mode::Ended {
            return None;
        }
        tokio::select! {
            biased;
            slot = self.upstream.transfer_slots.take(SLOT_TIMEOUT) => slot,
            () = arrival.passed(wait, arrived) => None,
            () = ended => None,
        }
    }

    /// Reads and validates a request. Invalid requests are answered here and reach no backend.
    async fn read_request(
        &self,
        client: &Rc<ClientConnection>,
        arrived: Instant,
        head: Parts,
        body: Incoming,
    ) -> Result<ParsedRequest, Response<ClientBody>> {
        let header = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
        if header("x-trace-id").is_none_or(str::is_empty) {
            let text = "X-Trace-Id is missing\n";
            return Err(reject(client, arrived, body, StatusCode::BAD_REQUEST, text).await);
        }
        let active = self.current_settings.get();
        let class = active.names.class(header("x-qos").unwrap_or_default());
        let known = active.settings.classes.get(class);
        let keyed = head.headers.contains_key("idempotency-key");
        // The class determines how often the request may run. If the method contradicts it, either
        // interpretation could run a request twice.
        let agrees = match known.map(|c| c.effect) {
            Some(Effect::Safe) => head.method == Method::GET,
            Some(Effect::Keyed(_)) => head.method == Method::POST && keyed,
            Some(Effect::Unsafe) => head.method == Method::POST && !keyed,
            None => matches!(head.method, Method::GET | Method::POST),
        };
        if !agrees {
            let text = "method and Idempotency-Key do not agree with the class\n";
            return Err(reject(client, arrived, body, StatusCode::BAD_REQUEST, text).await);
        }
        let shortest =
            || active.settings.classes.iter().map(|c| c.deadline_ms).fold(f64::INFINITY, f64::min);
        let class_wait = known.map_or_else(shortest, |c| c.deadline_ms);
        let wait = header(EXPIRES_HEADER)
            .and_then(|v| v.trim().parse::<u64>().ok())
            .map_or(Duration::from_secs_f64(class_wait.clamp(0.0, 6e5) / 1000.0), Duration::from_millis)
            .min(MAX_CLIENT_WAIT);
        let request_number = client.socket.request_number();
        let body_read = read_body(client, arrived, body).await;
        // The deadline counts from the last byte of the request; a streamed one has not ended yet.
        let arrived = Instant::now();
        let (body, upload) = match body_read {
            BodyRead::Complete(body) => (body, None),
            BodyRead::Long(first, rest) => {
                let arrival = BodyArrival::new(client.socket.clone(), request_number);
                let Some(slot) = self.take_transfer_slot(&arrival, arrived, wait).await else {
                    self.driver.count_early_refusal(active.names.class_name(class));
                    discard_in_background(client, discard_body(rest));
                    return Err(buffered_response(Answer::Refused { retry_after_ms: FULL_RETRY_AFTER_MS }));
                };
                let length = first.len();
                (first, Some(Upload::new(rest, length, arrival, slot)))
            }
            BodyRead::TooLong(rest) => {
                discard_in_background(client, discard_body(rest));
                return Err(closing_response(StatusCode::PAYLOAD_TOO_LARGE, "the body is over 32 MB\n"));
            }
            BodyRead::Aborted => {
                return Err(closing_response(StatusCode::BAD_REQUEST, "the body cannot be read\n"));
            }
            BodyRead::TooSlow => {
                return Err(body_timeout_response());
            }
        };
        let effort = header("x-size-hint").and_then(|v| v.trim().parse::<f64>().ok());
        let request = BalancerRequest {
            id: RequestId(0),
            class,
            tenant: header("x-customer").and_then(|t| active.names.tenant(t)),
            key: header("x-object").map(stable_hash),
            deadline_ms: 0.0,
            effort_ms: effort.filter(|e| e.is_finite()).map(|us| us / 1000.0),
            retry: header("x-second-try") == Some("1"),
        };
        let target =
            head.uri.path_and_query().map_or_else(|| Uri::from_static("/"), |p| Uri::from(p.clone()));
        let forwarded = ForwardedRequest {
            method: head.method,
            target,
            headers: forwarded_headers(head.headers),
            body,
            upload,
        };
        Ok(ParsedRequest { request, active, forwarded, arrived, wait })
    }
}

/// Valid request of a client, ready to be submitted.
struct ParsedRequest {
    request: BalancerRequest,
    /// Settings by which the request's class number was assigned.
    active: Rc<ActiveSettings>,
    forwarded: ForwardedRequest,
    arrived: Instant,
    wait: Duration,
}

/// Result of reading a request body, as far as needed before the request is submitted.
enum BodyRead {
    Complete(Bytes),
    /// First part of a long body, more than is buffered completely, and the rest of it.
    Long(Bytes, Incoming),
    /// The announced length exceeds the limit.
    TooLong(Incoming),
    /// The client aborted the body.
    Aborted,
    /// The client sent the body too slowly.
    TooSlow,
}

/// Reads a request body up to the limit of complete bodies, within its time limit.
async fn read_body(client: &ClientConnection, arrived: Instant, mut body: Incoming) -> BodyRead {
    if body.size_hint().lower() > MAX_BODY_BYTES {
        return BodyRead::TooLong(body);
    }
    let mut received = BytesMut::new();
    loop {
        let until = client.body_deadline(arrived, received.len() as u64);
        let frame = match tokio::time::timeout_at(until.into(), body.frame()).await {
            Err(_) => return BodyRead::TooSlow,
            Ok(None) => return BodyRead::Complete(received.freeze()),
            Ok(Some(Err(_))) => return BodyRead::Aborted,
            Ok(Some(Ok(frame))) => frame,
        };
        if let Ok(data) = frame.into_data() {
            received.extend_from_slice(&data);
        }
        if received.len() > MAX_BUFFERED_BODY_BYTES {
            return BodyRead::Long(received.freeze(), body);
        }
    }
}

/// Rejects an invalid request after reading its body. Closing a socket with unread data resets the
/// connection, and the response in transit would be lost.
async fn reject(
    client: &Rc<ClientConnection>,
    arrived: Instant,
    body: Incoming,
    status: StatusCode,
    text: &'static str,
) -> Response<ClientBody> {
    match read_body(client, arrived, body).await {
        BodyRead::Complete(_) => text_response(status, text),
        BodyRead::Long(_, rest) | BodyRead::TooLong(rest) => {
            discard_in_background(client, discard_body(rest));
            closing_response(status, text)
        }
        BodyRead::Aborted | BodyRead::TooSlow => closing_response(StatusCode::BAD_REQUEST, text),
    }
}

/// Returns the headers to forward to a backend.
fn forwarded_headers(mut headers: HeaderMap) -> HeaderMap {
    for name in UNFORWARDED_HEADERS {
        headers.remove(name);
    }
    headers
}
