//! The client side: connections, what they ask, and the answers they get.

use crate::body::{Download, LONGEST_BODY, Upload, drain};
use crate::driver::{Answer, Driver};
use crate::log::log_event;
use crate::rules::{Current, Rules};
use crate::socket::{Descriptors, Slot, Socket};
use crate::upstream::{
    BackendBody, BackendResponse, EXPIRES_HEADER, ForwardedRequest, MAX_BUFFER_BYTES,
    MAX_BUFFERED_BODY_BYTES, Upstream,
};
use bytes::{Bytes, BytesMut};
use daleturn::interface::{Effect, Request as Asked, RequestId};
use daleturn::wire::stable_hash;
use http_body_util::{BodyExt, Either, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, EXPECT, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
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

/// The client counts from its send, this node from the arrival: time for the way here, the answer's way
/// back, and this loop. The decisions end a request so long before the client gives up.
const MARGIN: Duration = Duration::from_millis(4);
/// And so long before, the node ends what the decisions have not.
const LAST_MARGIN: Duration = Duration::from_millis(1);
/// When to come back to a node that holds as many requests as it may.
const FULL_RETRY_AFTER_MS: f64 = 1000.0;
/// A client's wait beyond this is not believed.
const LONGEST_WAIT: Duration = Duration::from_secs(600);
/// A connection whose next head takes longer is closed, idle or not.
const HEAD_LIMIT: Duration = Duration::from_secs(60);
/// Time for a connection's first head to be read, from when it came: a peer that says nothing, or not enough, is
/// closed or told so within three seconds.
const FIRST_HEAD: Duration = Duration::from_millis(2500);
/// How often a connection is looked at for that, and while a request is open on it.
const LOOK: Duration = Duration::from_millis(250);
const LOOK_BUSY: Duration = Duration::from_millis(100);
/// Time after the last answer of a connection for its client to read it and to end the connection, too.
const LINGER: Duration = Duration::from_millis(500);
/// Time for a body of which nothing comes, from the head or, on a connection's first request, from when it came.
const BODY_TIME: Duration = Duration::from_millis(2800);
/// And the time that each byte of it is good for besides: half the pace that clients are allowed.
const BODY_PACE: u64 = 32_000;
/// Time for a long body that nobody wants to be read to its end, so that its client is there for the answer.
const DRAIN_TIME: Duration = Duration::from_millis(4500);
/// How long a long body waits for a place before it is refused.
const PLACE_WAIT: Duration = Duration::from_millis(1000);
/// A long transfer that moves no more than this in so long has stalled for good.
const STALL: Duration = Duration::from_secs(15);
const STALL_BYTES: u64 = 16 * 1024;
/// What the system may hold of a long answer: with more, a slow client would look like one that stalls.
const SEND_BUFFER: usize = 256 * 1024;
/// A connection this young has its first request under way.
const FRESH: Duration = Duration::from_millis(500);
/// Under pressure, a client that has not gone on with a request for so long is in the others' way.
const STUCK: Duration = Duration::from_millis(1000);
/// How often a node that sends clients away looks for idle ones.
const CLOSE_EVERY: Duration = Duration::from_millis(20);
/// After the notice to stop: new connections come for up to 0.4 s, and a margin; then until none has come
/// for a moment.
const ACCEPT_ON: Duration = Duration::from_millis(700);
const QUIET: Duration = Duration::from_millis(150);
/// But so long at most: SIGKILL would find unanswered what is taken later.
const ACCEPT_END: Duration = Duration::from_millis(1500);

/// Time to take who has connected already when another process takes over, should the system be out of
/// descriptors.
const LEAVE_TIME: Duration = Duration::from_millis(1000);
const STARTING: &str = "this process is starting";
const STOPPING: &str = "this process is stopping";

/// Headers that concern one connection only, or that are made anew.
const OWN_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    HeaderName::from_static("keep-alive"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// One client connection.
struct Client {
    socket: Socket,
    since: Instant,
    /// Has had a request answered.
    asked: Cell<bool>,
    busy: Cell<bool>,
    /// The request that is open on it was read to its end.
    whole: Cell<bool>,
    idle_since: Cell<Instant>,
    /// Bytes read when it last turned idle.
    read: Cell<u64>,
    /// When it was first looked at with a request begun and not read whole.
    stuck_since: Cell<Option<Instant>>,
    /// Carries a long body, which had moved so far at that time.
    moved: Cell<Option<(u64, Instant)>>,
    close: Notify,
}

impl Client {
    /// Nothing asked, nothing being read, nothing waiting to be read. Who has just connected is about to ask.
    fn idle(&self) -> bool {
        let fresh = self.socket.read() == 0 && self.idle_since.get().elapsed() < FRESH;
        !fresh && !self.busy.get() && self.socket.read() == self.read.get() && self.socket.quiet()
    }

    /// Has begun a request so long ago and not gone on with it.
    fn stuck(&self, limit: Duration) -> bool {
        if self.busy.get() || self.socket.read() == self.read.get() {
            return false;
        }
        let seen = self.stuck_since.get().unwrap_or_else(Instant::now);
        self.stuck_since.set(Some(seen));
        seen.elapsed() > limit
    }

    /// Whoever has gone is not there for the answer, whatever of theirs is still to be read.
    fn left(&self) -> bool {
        if self.whole.get() {
            self.socket.read_ahead();
        }
        self.busy.get() && self.socket.left()
    }

    /// Owes a request, or the rest of one, for longer than anybody waits for it.
    fn overdue(&self) -> bool {
        let silent = !self.asked.get() && !self.busy.get() && self.since.elapsed() > FIRST_HEAD;
        silent || self.stuck(FIRST_HEAD) || self.stalled()
    }

    /// Carries a long body that does not move any more.
    fn stalled(&self) -> bool {
        let Some((before, at)) = self.moved.get() else { return false };
        let now = self.socket.read() + self.socket.written();
        if now >= before + STALL_BYTES {
            self.moved.set(Some((now, Instant::now())));
            return false;
        }
        at.elapsed() > STALL
    }

    /// From here on it carries a long body.
    fn carries_long(&self) {
        self.moved.set(Some((0, Instant::now())));
    }

    /// When the body of a request whose head came at `arrived` must be there, if so much of it is.
    fn body_until(&self, arrived: Instant, read: u64) -> Instant {
        let from = if self.asked.get() { arrived } else { self.since };
        from + BODY_TIME + Duration::from_millis(read * 1000 / BODY_PACE)
    }
}

/// Marks a connection as busy for as long as a request is on it.
struct Busy(Rc<Client>);

impl Busy {
    fn new(client: Rc<Client>) -> Busy {
        client.busy.set(true);
        client.stuck_since.set(None);
        Busy(client)
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.set(false);
        self.0.whole.set(false);
        self.0.moved.set(None);
        self.0.asked.set(true);
        self.0.idle_since.set(Instant::now());
        self.0.read.set(self.0.socket.read());
    }
}

/// A client's place among those connected: given up however its task ends, or its descriptor would stay.
struct Listed {
    server: Rc<Server>,
    number: u64,
}

impl Drop for Listed {
    fn drop(&mut self) {
        let client = self.server.clients.borrow_mut().remove(&self.number);
        drop(client);
        self.server.closed.notify_one();
    }
}

/// What the node is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// Takes no clients yet.
    Starting,
    Serving,
    /// Sends clients away, until told otherwise.
    Quiesced,
    /// Since then, for good.
    Stopping(Instant),
    /// The same, where another process of this node takes the clients.
    Succeeded,
    /// Out of time: what still comes is refused at once, or it would be lost with the process.
    Over,
}

/// The client side of the node.
pub struct Server {
    driver: Rc<Driver>,
    upstream: Rc<Upstream>,
    rules: Rc<Current>,
    descriptors: Rc<Descriptors>,
    clients: RefCell<BTreeMap<u64, Rc<Client>>>,
    next: Cell<u64>,
    mode: Cell<Mode>,
    stop: Notify,
    closed: Notify,
}

impl Server {
    /// A server with no clients yet.
    pub fn new(
        driver: Rc<Driver>,
        upstream: Rc<Upstream>,
        rules: Rc<Current>,
        descriptors: Rc<Descriptors>,
    ) -> Rc<Server> {
        let server = Rc::new(Server {
            driver,
            upstream,
            rules,
            descriptors: descriptors.clone(),
            clients: RefCell::default(),
            next: Cell::new(0),
            mode: Cell::new(Mode::Starting),
            stop: Notify::new(),
            closed: Notify::new(),
        });
        let weak = Rc::downgrade(&server);
        descriptors.on_pressure(Box::new(move || {
            if let Some(server) = weak.upgrade() {
                server.close_longest_idle();
            }
            // It closes when its task has its turn, not at once.
            false
        }));
        server
    }

    /// Makes room: of what may be closed, the one that has asked for nothing the longest.
    fn close_longest_idle(&self) {
        let clients = self.clients.borrow();
        let mut order: Vec<&Rc<Client>> = clients.values().filter(|c| !c.busy.get()).collect();
        order.sort_by_key(|c| c.idle_since.get());
        if let Some(client) = order.into_iter().find(|c| c.idle() || c.stuck(STUCK)) {
            client.close.notify_one();
        }
    }

    fn close_idle(&self) {
        for client in self.clients.borrow().values().filter(|c| c.idle()) {
            client.close.notify_one();
        }
    }

    /// Takes connections until told to stop, and then for as long as they still come.
    pub async fn accept(self: &Rc<Self>, listener: TcpListener) {
        let mut last = Instant::now();
        if self.mode.get() == Mode::Starting {
            self.mode.set(Mode::Serving);
        }
        loop {
            if self.mode.get() == Mode::Succeeded {
                return self.leave(listener).await;
            }
            let quiet_at =
                self.stopping().map(|at| (at + ACCEPT_ON).max(last + QUIET).min(at + ACCEPT_END));
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
                    // Under pressure this waits for a place: others wait in the backlog and are taken then.
                    let slot = self.descriptors.take_for_client().await;
                    self.serve(stream, slot);
                }
                Err(e) => {
                    // Out of descriptors, or a client that has gone already: neither may end the node or
                    // keep it busy.
                    log_event!(WARN, "clients", reason = e.to_string().as_str(), "clients.accept_failed");
                    self.descriptors.relieve();
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            }
        }
    }

    /// Takes who has connected already and gives the address up: who connects next meets the other process.
    async fn leave(self: &Rc<Self>, listener: TcpListener) {
        let Ok(listener) = listener.into_std() else { return };
        let end = Instant::now() + LEAVE_TIME;
        loop {
            // Closed as soon as nobody waits, with no pause between: who comes in between is reset.
            match listener.accept().and_then(|(s, _)| s.set_nonblocking(true).map(|()| s)) {
                Ok(stream) => {
                    let slot = self.descriptors.take_for_client().await;
                    if let Ok(stream) = TcpStream::from_std(stream) {
                        self.serve(stream, slot);
                    }
                }
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return,
                Err(_) if Instant::now() < end => {
                    self.descriptors.relieve();
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                Err(_) => return,
            }
        }
    }

    /// Answers what is there with a farewell and closes what carries nothing; returns when no client is
    /// left, or at `end`.
    pub async fn wind_down(self: &Rc<Self>, end: Instant) {
        while Instant::now() < end && !self.clients.borrow().is_empty() {
            self.close_idle();
            let _ = tokio::time::timeout(CLOSE_EVERY, self.closed.notified()).await;
        }
    }

    /// From now on every answer closes its connection, until the process ends. With a successor, another
    /// process of this node, the front must not hear of it.
    pub fn stop(&self, successor: bool) {
        self.mode.set(if successor { Mode::Succeeded } else { Mode::Stopping(Instant::now()) });
        self.stop.notify_one();
    }

    /// From now on nothing that comes is taken, and what is open has failed: better than lost.
    pub fn end(&self) {
        self.mode.set(Mode::Over);
        self.driver.fail_all();
    }

    fn stopping(&self) -> Option<Instant> {
        match self.mode.get() {
            Mode::Stopping(since) => Some(since),
            Mode::Starting | Mode::Serving | Mode::Quiesced | Mode::Succeeded | Mode::Over => None,
        }
    }

    /// Clients that are connected.
    pub fn clients(&self) -> usize {
        self.clients.borrow().len()
    }

    /// What it is about, in a word.
    pub fn mode(&self) -> &'static str {
        match self.mode.get() {
            Mode::Starting => "starting",
            Mode::Serving => "serving",
            Mode::Quiesced => "quiesced",
            Mode::Stopping(_) | Mode::Succeeded | Mode::Over => "stopping",
        }
    }

    /// Whether clients are taken, in words.
    pub fn health(&self) -> Result<&'static str, &'static str> {
        match self.mode.get() {
            Mode::Serving => Ok("serving"),
            Mode::Quiesced => Ok("quiesced, serves who still comes"),
            Mode::Starting => Err(STARTING),
            Mode::Stopping(_) | Mode::Succeeded | Mode::Over => Err(STOPPING),
        }
    }

    /// Sends clients away: `/up` says no, every answer closes its connection, idle ones are closed.
    pub fn quiesce(self: &Rc<Self>) -> Result<String, &'static str> {
        match self.mode.get() {
            Mode::Starting => return Err(STARTING),
            Mode::Stopping(_) | Mode::Succeeded | Mode::Over => return Err(STOPPING),
            Mode::Quiesced => {}
            Mode::Serving => {
                self.mode.set(Mode::Quiesced);
                let server = self.clone();
                spawn_local(async move {
                    while server.mode.get() == Mode::Quiesced {
                        server.close_idle();
                        tokio::time::sleep(CLOSE_EVERY).await;
                    }
                });
            }
        }
        Ok(format!("quiesced, {} connections of clients are open", self.clients.borrow().len()))
    }

    /// Ends that: `/up` says yes again.
    pub fn resume(&self) -> Result<String, &'static str> {
        match self.mode.get() {
            Mode::Starting => return Err(STARTING),
            Mode::Stopping(_) | Mode::Succeeded | Mode::Over => return Err(STOPPING),
            Mode::Quiesced => self.mode.set(Mode::Serving),
            Mode::Serving => {}
        }
        Ok("serving".to_owned())
    }

    fn serve(self: &Rc<Self>, stream: TcpStream, slot: Slot) {
        let socket = Socket::of_client(stream, slot);
        let client = Rc::new(Client {
            socket: socket.clone(),
            since: Instant::now(),
            asked: Cell::new(false),
            busy: Cell::new(false),
            whole: Cell::new(false),
            idle_since: Cell::new(Instant::now()),
            read: Cell::new(0),
            stuck_since: Cell::new(None),
            moved: Cell::new(None),
            close: Notify::new(),
        });
        let number = self.next.get();
        self.next.set(number + 1);
        self.clients.borrow_mut().insert(number, client.clone());
        let listed = Listed { server: self.clone(), number };
        spawn_local(async move { listed.server.converse(&client, socket).await });
    }

    async fn converse(self: &Rc<Self>, client: &Rc<Client>, socket: Socket) {
        let service = service_fn(|request| {
            let busy = Busy::new(client.clone());
            async move { Ok::<_, Infallible>(self.respond(busy, request).await) }
        });
        let mut connection = pin!(
            http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_LIMIT)
                .max_buf_size(MAX_BUFFER_BYTES)
                .serve_connection(TokioIo::new(socket), service)
        );
        let mut resting = false;
        loop {
            let look = if client.busy.get() { LOOK_BUSY } else { LOOK };
            tokio::select! {
                // Errors are the client's: gone, or not speaking the protocol and told so.
                _ = connection.as_mut() => break,
                () = tokio::time::sleep(look) => {
                    if client.overdue() || client.left() {
                        return;
                    }
                }
                () = client.close.notified() => {
                    // Looked at again: a request may have come since.
                    if client.stuck(STUCK) || client.idle() && client.socket.read() == 0 {
                        return;
                    }
                    if client.idle() {
                        resting = true;
                        connection.as_mut().graceful_shutdown();
                    }
                }
            }
        }
        // No answer is under way on one that rested, and its client asks again elsewhere.
        if !resting {
            let wanted = async {
                client.close.notified().await;
                while !client.socket.quiet() {
                    client.close.notified().await;
                }
            };
            tokio::select! {
                _ = tokio::time::timeout(LINGER, client.socket.farewell()) => {}
                // Its place is wanted, and nothing is unread.
                () = wanted => {}
            }
        }
    }

    async fn respond(&self, busy: Busy, request: Request<Incoming>) -> Response<Sent> {
        let client = busy.0.clone();
        let arrived = Instant::now();
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        let mut response = if client.socket.conflict() {
            // Whoever stands before this node may read another request out of it: what follows is read by nobody.
            farewell(StatusCode::BAD_REQUEST, "the body is framed twice\n")
        } else if path == "/api" || path.starts_with("/api/") {
            match self.read(&client, arrived, head, body).await {
                Ok(reading) => self.ask(busy, reading).await,
                Err(refused) => refused,
            }
        } else if path != "/up" {
            turn_away(&client, arrived, body, StatusCode::NOT_FOUND, "no such path\n").await
        } else if matches!(head.method, Method::GET | Method::HEAD) {
            // With a successor, a no would take both processes away from the front.
            let here = matches!(self.mode.get(), Mode::Serving | Mode::Succeeded);
            let ready = here && self.driver.has_backend_up() && !self.driver.is_isolated();
            plain(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "")
        } else {
            turn_away(&client, arrived, body, StatusCode::METHOD_NOT_ALLOWED, "").await
        };
        if self.mode.get() != Mode::Serving || client.socket.flooded() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    async fn ask(
        &self,
        busy: Busy,
        Reading { asked, rules, forwarded, arrived, wait }: Reading,
    ) -> Response<Sent> {
        let upload = forwarded.upload.clone();
        match upload {
            Some(_) => busy.0.carries_long(),
            None => busy.0.whole.set(true),
        }
        let full = self.driver.open_requests() >= rules.settings.open_cap as usize;
        let answer = if full || self.mode.get() == Mode::Over {
            self.driver.count_early_refusal(rules.names.class_name(asked.class));
            Answer::Refused { retry_after_ms: FULL_RETRY_AFTER_MS }
        } else {
            let margin = MARGIN - LAST_MARGIN;
            let wait = wait.saturating_sub(LAST_MARGIN);
            let pending = self.driver.submit(asked, rules, forwarded, arrived, wait, margin);
            let sent = async {
                if let Some(upload) = &upload {
                    upload.finished().await;
                    // From here on the backend is waited for, and nothing moves.
                    busy.0.moved.set(None);
                }
                std::future::pending().await
            };
            tokio::select! {
                answer = pending.wait() => answer,
                never = sent => never,
            }
        };
        // What is still to come of a request that is over must be read, or its client may not see the answer.
        if let Some(rest) = upload.and_then(|u| u.take_rest()) {
            spawn_local(drain(rest, DRAIN_TIME));
        }
        match answer {
            Answer::Served(BackendResponse {
                body: BackendBody::Streamed { length, pieces },
                content_type,
            }) => {
                busy.0.carries_long();
                busy.0.socket.limit_send_buffer(SEND_BUFFER);
                let client = busy.0.clone();
                let on_cut = Box::new(move || client.socket.reset_on_close());
                let body = Download::new(length, pieces, on_cut, busy);
                typed(Response::new(Either::Right(body)), content_type)
            }
            answer => whole(answer),
        }
    }

    /// Reads and checks a request. What is wrong with it is answered here; no backend hears of it.
    async fn read(
        &self,
        client: &Client,
        arrived: Instant,
        head: Parts,
        body: Incoming,
    ) -> Result<Reading, Response<Sent>> {
        let header = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
        if header("x-trace-id").is_none_or(str::is_empty) {
            let text = "X-Trace-Id is missing\n";
            return Err(turn_away(client, arrived, body, StatusCode::BAD_REQUEST, text).await);
        }
        let rules = self.rules.get();
        let class = rules.names.class(header("x-qos").unwrap_or_default());
        let known = rules.settings.classes.get(class);
        let keyed = head.headers.contains_key("idempotency-key");
        // The class tells how often the request may run; a method that says otherwise is a mistake, and
        // taking it for either could run something twice.
        let agrees = match known.map(|c| c.effect) {
            Some(Effect::Safe) => head.method == Method::GET,
            Some(Effect::Keyed(_)) => head.method == Method::POST && keyed,
            Some(Effect::Unsafe) => head.method == Method::POST && !keyed,
            None => matches!(head.method, Method::GET | Method::POST),
        };
        if !agrees {
            let text = "method and Idempotency-Key do not agree with the class\n";
            return Err(turn_away(client, arrived, body, StatusCode::BAD_REQUEST, text).await);
        }
        let shortest =
            || rules.settings.classes.iter().map(|c| c.deadline_ms).fold(f64::INFINITY, f64::min);
        let class_wait = known.map_or_else(shortest, |c| c.deadline_ms);
        let wait = header(EXPIRES_HEADER)
            .and_then(|v| v.trim().parse::<u64>().ok())
            .map_or(Duration::from_secs_f64(class_wait.clamp(0.0, 6e5) / 1000.0), Duration::from_millis)
            .min(LONGEST_WAIT);
        let (body, upload) = match collect(client, arrived, body).await {
            Collected::Whole(body) => (body, None),
            Collected::Long(first, rest) => match self.upstream.transfer_slots.take(PLACE_WAIT).await {
                Some(place) => {
                    let length = first.len();
                    (first, Some(Upload::new(rest, length, place)))
                }
                None => {
                    self.driver.count_early_refusal(rules.names.class_name(class));
                    spawn_local(drain(rest, DRAIN_TIME));
                    return Err(whole(Answer::Refused { retry_after_ms: FULL_RETRY_AFTER_MS }));
                }
            },
            Collected::TooLong(rest) => {
                spawn_local(drain(rest, DRAIN_TIME));
                return Err(farewell(StatusCode::PAYLOAD_TOO_LARGE, "the body is over 32 MB\n"));
            }
            Collected::Cut => return Err(farewell(StatusCode::BAD_REQUEST, "the body cannot be read\n")),
            Collected::Late => {
                return Err(farewell(StatusCode::REQUEST_TIMEOUT, "the body did not come in time\n"));
            }
        };
        // Its time runs from its last byte; that of a long one is yet to come.
        let arrived = Instant::now();
        let effort = header("x-size-hint").and_then(|v| v.trim().parse::<f64>().ok());
        let asked = Asked {
            id: RequestId(0),
            class,
            tenant: header("x-customer").and_then(|t| rules.names.tenant(t)),
            key: header("x-object").map(stable_hash),
            deadline_ms: 0.0,
            effort_ms: effort.filter(|e| e.is_finite()).map(|us| us / 1000.0),
            retry: header("x-second-try") == Some("1"),
        };
        let target =
            head.uri.path_and_query().map_or_else(|| Uri::from_static("/"), |p| Uri::from(p.clone()));
        let forwarded =
            ForwardedRequest { method: head.method, target, headers: onward(head.headers), body, upload };
        Ok(Reading { asked, rules, forwarded, arrived, wait })
    }
}

struct Reading {
    asked: Asked,
    /// Those that its class is from.
    rules: Rc<Rules>,
    forwarded: ForwardedRequest,
    arrived: Instant,
    wait: Duration,
}

/// The body of an answer to a client.
type Sent = Either<Full<Bytes>, Download<Busy>>;

/// A request's body as far as it is needed before the request is decided on.
enum Collected {
    Whole(Bytes),
    /// Its first part, which is more than is kept whole, and the rest.
    Long(Bytes, Incoming),
    /// Announced to be over the limit.
    TooLong(Incoming),
    /// The client broke off.
    Cut,
    /// It did not keep pace.
    Late,
}

async fn collect(client: &Client, arrived: Instant, mut body: Incoming) -> Collected {
    if body.size_hint().lower() > LONGEST_BODY {
        return Collected::TooLong(body);
    }
    let mut kept = BytesMut::new();
    loop {
        let until = client.body_until(arrived, kept.len() as u64);
        let frame = match tokio::time::timeout_at(until.into(), body.frame()).await {
            Err(_) => return Collected::Late,
            Ok(None) => return Collected::Whole(kept.freeze()),
            Ok(Some(Err(_))) => return Collected::Cut,
            Ok(Some(Ok(frame))) => frame,
        };
        if let Ok(data) = frame.into_data() {
            kept.extend_from_slice(&data);
        }
        if kept.len() > MAX_BUFFERED_BODY_BYTES {
            return Collected::Long(kept.freeze(), body);
        }
    }
}

/// Answers a request that is wrong, once its body is read: a socket closed with unread bytes resets, and the
/// answer under way would be lost.
async fn turn_away(
    client: &Client,
    arrived: Instant,
    body: Incoming,
    status: StatusCode,
    text: &'static str,
) -> Response<Sent> {
    match collect(client, arrived, body).await {
        Collected::Whole(_) => plain(status, text),
        Collected::Long(_, rest) | Collected::TooLong(rest) => {
            spawn_local(drain(rest, DRAIN_TIME));
            farewell(status, text)
        }
        Collected::Cut | Collected::Late => farewell(StatusCode::BAD_REQUEST, text),
    }
}

/// The headers that go on to a backend.
fn onward(mut headers: HeaderMap) -> HeaderMap {
    for name in OWN_HEADERS {
        headers.remove(name);
    }
    headers
}

fn plain(status: StatusCode, text: &'static str) -> Response<Sent> {
    let mut response = Response::new(Either::Left(Full::new(Bytes::from_static(text.as_bytes()))));
    *response.status_mut() = status;
    response
}

/// An answer after which the rest of what the client sends cannot be made sense of, or is not wanted.
fn farewell(status: StatusCode, text: &'static str) -> Response<Sent> {
    let mut response = plain(status, text);
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

fn typed(mut response: Response<Sent>, content_type: Option<HeaderValue>) -> Response<Sent> {
    if let Some(content_type) = content_type {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    response
}

/// An answer that is here whole, as the client sees it.
fn whole(answer: Answer) -> Response<Sent> {
    match answer {
        Answer::Served(BackendResponse { body: BackendBody::Complete(body), content_type }) => {
            typed(Response::new(Either::Left(Full::new(body))), content_type)
        }
        Answer::Refused { retry_after_ms } => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "try again later\n");
            if retry_after_ms > 0.0
                && let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", retry_after_ms / 1000.0))
            {
                response.headers_mut().insert(RETRY_AFTER, seconds);
            }
            response
        }
        Answer::Rejected(status) => plain(status, "a backend finds the request wrong\n"),
        Answer::Failed | Answer::Served(_) => plain(StatusCode::BAD_GATEWAY, "failed\n"),
    }
}
