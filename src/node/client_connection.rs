//! State of a client connection, and when it may be closed.

use crate::body::{BODY_BASE_TIMEOUT, body_transfer_time};
use crate::socket::Socket;
use crate::transfer_progress::TransferProgress;
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// Time from the accept until a connection's first request header must be complete. A silent or slow client
/// is closed or answered within three seconds.
const FIRST_HEADER_TIMEOUT: Duration = Duration::from_millis(2500);
/// A connection younger than this is assumed to have its first request in transit.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(500);
/// A client that was answered less than this ago may have its next request in transit.
const NEXT_REQUEST_GRACE: Duration = Duration::from_millis(50);
/// Under descriptor pressure, a client that has paused within a request for this long may be closed.
pub const STUCK_TIMEOUT: Duration = Duration::from_millis(1000);

/// State of a client connection.
pub struct ClientConnection {
    /// Socket of the connection.
    pub socket: Socket,
    accepted_at: Instant,
    /// True once a request on this connection has been answered.
    has_responded: Cell<bool>,
    is_busy: Cell<bool>,
    /// True if the open request has been read completely.
    is_request_complete: Cell<bool>,
    idle_since: Cell<Instant>,
    /// Number of bytes read when the connection last became idle.
    read_at_idle: Cell<u64>,
    /// When the connection was first seen with a partially read request header.
    stuck_since: Cell<Option<Instant>>,
    /// Progress of the latest response, if there is one.
    response_progress: Cell<Option<TransferProgress>>,
    /// True while the rest of an answered request is read and discarded.
    is_discarding: Cell<bool>,
    /// Notified when the connection should close, unless a request has come meanwhile.
    pub close: Notify,
    /// Notified when a request begins.
    pub became_busy: Notify,
}

impl ClientConnection {
    /// Starts the state of a connection that has just been accepted.
    pub fn new(socket: Socket) -> ClientConnection {
        let now = Instant::now();
        ClientConnection {
            socket,
            accepted_at: now,
            has_responded: Cell::new(false),
            is_busy: Cell::new(false),
            is_request_complete: Cell::new(false),
            idle_since: Cell::new(now),
            read_at_idle: Cell::new(0),
            stuck_since: Cell::new(None),
            response_progress: Cell::new(None),
            is_discarding: Cell::new(false),
            close: Notify::new(),
            became_busy: Notify::new(),
        }
    }

    /// True while a request is open on this connection.
    pub fn is_busy(&self) -> bool {
        self.is_busy.get()
    }

    /// Records that the open request has been read completely, so that what follows it may be read ahead.
    pub fn set_request_complete(&self) {
        self.is_request_complete.set(true);
    }

    /// True if the connection may be closed to free its descriptor: nothing is open on it or likely to be on
    /// its way, or its client has paused within a request.
    pub fn is_reclaimable(&self) -> bool {
        let has_rested = self.idle_since.get().elapsed() >= NEXT_REQUEST_GRACE;
        has_rested && self.is_idle() || self.is_stuck(STUCK_TIMEOUT)
    }

    /// Returns the time since which no request is open, while there is none.
    pub fn idle_since(&self) -> Instant {
        self.idle_since.get()
    }

    /// True if no request is open or being read and no data is pending. A new connection is not idle, since
    /// its first request is expected.
    pub fn is_idle(&self) -> bool {
        let fresh = self.socket.bytes_read() == 0 && self.idle_since.get().elapsed() < NEW_CONNECTION_GRACE;
        !fresh
            && !self.is_busy.get()
            && !self.socket.is_flush_due()
            && self.socket.bytes_read() == self.read_at_idle.get()
            && self.socket.is_quiet()
    }

    /// True if a partial request header was first noticed longer than `limit` ago. The first call notices
    /// it.
    pub fn is_stuck(&self, limit: Duration) -> bool {
        if self.is_busy.get() || self.socket.bytes_read() == self.read_at_idle.get() {
            return false;
        }
        let seen = self.stuck_since.get().unwrap_or_else(Instant::now);
        self.stuck_since.set(Some(seen));
        seen.elapsed() > limit && !self.may_have_written()
    }

    /// True if the client may have written the rest of its request: a process that was held up notices that
    /// the time is over before it reads what came meanwhile.
    fn may_have_written(&self) -> bool {
        !self.is_discarding.get() && !self.socket.is_quiet()
    }

    /// True if the client has disconnected while its request was open. Data behind the request is read
    /// ahead, since the end of the stream is only visible behind it.
    pub fn has_left(&self) -> bool {
        if self.is_request_complete.get() {
            self.socket.read_ahead();
        }
        self.is_busy.get() && self.socket.is_peer_closed()
    }

    /// True if the client has not sent a request or the rest of its head, or has not taken enough of a
    /// response, within its time limit.
    pub fn is_overdue(&self) -> bool {
        let silent = !self.has_responded.get()
            && !self.is_busy.get()
            && self.accepted_at.elapsed() > FIRST_HEADER_TIMEOUT
            && !self.may_have_written();
        silent || !self.is_discarding.get() && self.is_stuck(FIRST_HEADER_TIMEOUT) || self.is_stalled()
    }

    /// True while a response is being written that has begun.
    pub fn is_responding(&self) -> bool {
        let is_streaming = self.is_busy.get() && self.response_progress.get().is_some();
        is_streaming || self.socket.is_flush_due()
    }

    /// True if the response that is being written makes no progress.
    fn is_stalled(&self) -> bool {
        if !self.is_responding() {
            return false;
        }
        let Some(mut progress) = self.response_progress.get() else { return false };
        let has_stalled = progress.has_stalled(self.socket.bytes_written());
        self.response_progress.set(Some(progress));
        has_stalled
    }

    /// Starts the time in which the client has to take more of a response.
    pub fn start_response(&self) {
        self.response_progress.set(Some(TransferProgress::new(self.socket.bytes_written())));
    }

    /// Returns the deadline for the rest of a body of which `read` bytes have arrived, for a header that
    /// arrived at `arrived`.
    pub fn body_deadline(&self, arrived: Instant, read: u64) -> Instant {
        let from = if self.has_responded.get() { arrived } else { self.accepted_at };
        from + BODY_BASE_TIMEOUT + body_transfer_time(read)
    }
}

/// Marks a connection as busy while a request is open on it.
pub struct BusyGuard(pub Rc<ClientConnection>);

impl BusyGuard {
    /// Marks the connection until the guard is dropped.
    pub fn new(client: Rc<ClientConnection>) -> BusyGuard {
        client.is_busy.set(true);
        client.stuck_since.set(None);
        client.response_progress.set(None);
        client.became_busy.notify_one();
        BusyGuard(client)
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.is_busy.set(false);
        self.0.is_request_complete.set(false);
        // What remains of the response is written from here on.
        if self.0.response_progress.get().is_none() {
            self.0.start_response();
        }
        self.0.socket.expect_flush();
        self.0.has_responded.set(true);
        self.0.idle_since.set(Instant::now());
        self.0.read_at_idle.set(self.0.socket.bytes_read());
    }
}

/// Marks a connection while the rest of an answered request is discarded: what its client writes meanwhile is
/// not a slow head.
struct DiscardGuard(Rc<ClientConnection>);

impl DiscardGuard {
    fn new(client: Rc<ClientConnection>) -> DiscardGuard {
        client.is_discarding.set(true);
        DiscardGuard(client)
    }
}

impl Drop for DiscardGuard {
    fn drop(&mut self) {
        let client = &self.0;
        client.is_discarding.set(false);
        client.stuck_since.set(None);
        if !client.is_busy.get() && client.socket.is_between_requests() {
            client.read_at_idle.set(client.socket.bytes_read());
        }
    }
}

/// Discards the rest of an answered request in the background.
pub fn discard_in_background(
    client: &Rc<ClientConnection>,
    discarding: impl Future<Output = ()> + 'static,
) {
    let guard = DiscardGuard::new(client.clone());
    spawn_local(async move {
        discarding.await;
        drop(guard);
    });
}
