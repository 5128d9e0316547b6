//! Client side of the node: accepts connections, reads requests and dispatches them.

use crate::active_settings::CurrentSettings;
use crate::body::StreamedResponse;
use crate::client_connection::{BusyGuard, ClientConnection, STUCK_TIMEOUT, discard_in_background};
use crate::client_response::{
    ClientBody, FULL_RETRY_AFTER_MS, body_timeout_response, buffered_response, closing_response,
    text_response, with_content_type,
};
use crate::driver::{Answer, Driver};
use crate::log::log_event;
use crate::request_reader::{EndSignal, ParsedRequest, RequestReader, reject};
use crate::socket::{DescriptorSlot, Descriptors, ReclaimFn, Socket};
use crate::upstream::{BackendBody, BackendResponse, MAX_BUFFER_BYTES, Upstream};
use http_body_util::Either;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// Safety margin between the balancer's deadline and the client's. The client counts from its send and this
/// node from the arrival, so the margin covers both network directions and this event loop.
const DEADLINE_MARGIN: Duration = Duration::from_millis(4);
/// Part of the margin within which the node itself fails a request that the balancer has not finished.
const FINAL_MARGIN: Duration = Duration::from_millis(1);
/// Time after which a connection is closed if the next request header is not complete, idle or not.
const HEADER_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval of the checks for overdue clients, without an open request.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of the checks with an open request: nothing is sent for a client more than 0.1 s after it left,
/// and a close behind much unread data is seen by the second check.
const BUSY_CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// Time after a connection's last response for the client to read it and to close its end.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
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
/// Response to a request whose head is too large for the memory that is left.
const REFUSED_HEAD: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1.000\r\n\
    Connection: close\r\nContent-Length: 0\r\n\r\n";
const STARTING: &str = "this process is starting";
const STOPPING: &str = "this process is stopping";

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
    request_reader: RequestReader,
    descriptors: Rc<Descriptors>,
    clients: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    next_client_number: Cell<u64>,
    mode: Cell<Mode>,
    stop: Notify,
    /// Set when the mode becomes [`Mode::Ended`].
    ended: Rc<EndSignal>,
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
        let ended = Rc::new(EndSignal::default());
        let memory = upstream.memory.clone();
        let server = Rc::new(Server {
            driver: driver.clone(),
            request_reader: RequestReader::new(driver, upstream, current_settings, ended.clone()),
            descriptors: descriptors.clone(),
            clients: RefCell::default(),
            next_client_number: Cell::new(0),
            mode: Cell::new(Mode::Starting),
            stop: Notify::new(),
            ended,
            closed: Notify::new(),
        });
        let reclaim = |server: Weak<Server>| -> ReclaimFn {
            Box::new(move || {
                if let Some(server) = server.upgrade() {
                    server.close_longest_idle();
                }
                // The connection's task closes it later, so nothing is free yet.
                false
            })
        };
        descriptors.on_pressure(reclaim(Rc::downgrade(&server)));
        memory.on_pressure(reclaim(Rc::downgrade(&server)));
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
        self.ended.set();
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
            // Boxed, so that a connection holds the state of a request only while there is one.
            Box::pin(async move { Ok::<_, Infallible>(self.respond(busy, request).await) })
        });
        let mut connection = pin!(
            http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_TIMEOUT)
                .max_buf_size(MAX_BUFFER_BYTES)
                .serve_connection(TokioIo::new(socket), service)
        );
        let mut was_idle = false;
        let mut check_at = Instant::now() + CHECK_INTERVAL;
        loop {
            tokio::select! {
                // An error means that the client disconnected, or violated the protocol and was told so.
                _ = connection.as_mut() => break,
                () = tokio::time::sleep_until(check_at.into()) => {
                    if client.is_overdue() || client.has_left() {
                        return;
                    }
                    let interval = if client.is_busy() { BUSY_CHECK_INTERVAL } else { CHECK_INTERVAL };
                    check_at = Instant::now() + interval;
                }
                () = client.became_busy.notified() => {
                    check_at = check_at.min(Instant::now() + BUSY_CHECK_INTERVAL);
                }
                () = client.socket.out_of_memory() => {
                    if client.is_responding() {
                        // The response before this head is still being written.
                        tokio::time::sleep(CLOSE_IDLE_INTERVAL).await;
                        continue;
                    }
                    client.socket.memory().count_refusal();
                    client.socket.write_now(REFUSED_HEAD);
                    break;
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
            match self.request_reader.read(&client, arrived, head, body).await {
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
        let must_close = client.socket.has_dropped_data() || client.socket.is_too_large();
        if self.mode.get() != Mode::Serving || must_close {
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
                memory: _,
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
            mut answer => {
                if let Answer::Served(BackendResponse { memory, .. }) = &mut answer
                    && let Some(memory) = memory.take()
                {
                    busy.0.socket.hold_until_flushed(memory);
                }
                buffered_response(answer)
            }
        }
    }
}
