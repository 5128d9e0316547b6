//! TCP sockets that count their traffic, and the limit on the number of descriptors in use.

use crate::framing::Framing;
use crate::log::log_event;
use bytes::BytesMut;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io::{self, ErrorKind, IoSlice};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Descriptors reserved for everything that is not counted: standard streams, the poller, the listener,
/// UDP, and a connection just accepted.
pub const UNCOUNTED_DESCRIPTORS: usize = 24;

/// Limits for a client that keeps sending behind an open request or after its last response: the bytes read
/// at once or discarded, and the size of one read.
const MAX_DISCARDED_BYTES: usize = 4 * 1024 * 1024;
const READ_BYTES: usize = 16 * 1024;
/// Maximum number of bytes kept of what a client sends behind an open request: enough for a request or two.
const MAX_READ_AHEAD_BYTES: usize = 32 * 1024;

/// Closes something idle. Returns true if a descriptor was freed at once; false if none was, or if one will
/// be freed soon.
type ReclaimFn = Box<dyn Fn() -> bool>;

/// Counts the descriptors of client, backend and discovery sockets against a limit.
pub struct Descriptors {
    used: Cell<usize>,
    limit: Cell<usize>,
    freed: Notify,
    reclaim: RefCell<Vec<ReclaimFn>>,
}

impl Descriptors {
    /// Creates the counter of a process that may hold `sockets` descriptors in total.
    pub fn new(sockets: usize) -> Rc<Descriptors> {
        Rc::new(Descriptors {
            used: Cell::new(0),
            limit: Cell::new(sockets.saturating_sub(UNCOUNTED_DESCRIPTORS).max(8)),
            freed: Notify::new(),
            reclaim: RefCell::new(Vec::new()),
        })
    }

    /// Adds a way to free a descriptor. Ways are tried in the order in which they were added.
    pub fn on_pressure(&self, reclaim: ReclaimFn) {
        self.reclaim.borrow_mut().push(reclaim);
    }

    /// Frees a descriptor if possible; also called when the operating system is out of descriptors.
    pub fn reclaim_one(&self) -> bool {
        self.reclaim.borrow().iter().any(|r| r())
    }

    /// Returns the number of descriptors in use.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Returns the limit.
    pub fn limit(&self) -> usize {
        self.limit.get()
    }

    /// Sets the limit. Idle connections in excess of it are closed.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
        for _ in limit..self.used.get() {
            if !self.reclaim_one() {
                break;
            }
        }
        self.freed.notify_one();
    }

    /// Waits for a free descriptor, closing something idle if the limit is reached.
    pub async fn take(self: &Rc<Self>) -> DescriptorSlot {
        self.take_below(|limit| limit).await
    }

    /// Waits for a free descriptor for a new client. The last eighth is not available to new clients: an
    /// attempt for an existing client takes precedence.
    pub async fn take_for_client(self: &Rc<Self>) -> DescriptorSlot {
        self.take_below(|limit| limit - limit / 8).await
    }

    /// Waits until fewer descriptors are in use than `part` of the limit.
    async fn take_below(self: &Rc<Self>, part: impl Fn(usize) -> usize) -> DescriptorSlot {
        loop {
            if self.used.get() < part(self.limit.get()) {
                self.used.set(self.used.get() + 1);
                return DescriptorSlot(self.clone());
            }
            if !self.reclaim_one() {
                // The wait is bounded because what was asked to close may have become busy meanwhile.
                let _ = tokio::time::timeout(Duration::from_millis(10), self.freed.notified()).await;
            }
        }
    }
}

/// One counted descriptor, returned when dropped.
pub struct DescriptorSlot(Rc<Descriptors>);

impl Drop for DescriptorSlot {
    fn drop(&mut self) {
        self.0.used.set(self.0.used.get().saturating_sub(1));
        self.0.freed.notify_one();
    }
}

/// State shared by the clones of a socket.
struct Inner {
    stream: TcpStream,
    read: Cell<u64>,
    written: Cell<u64>,
    /// True from the time when a response is passed to the connection until all of it is written.
    is_flush_due: Cell<bool>,
    /// True if the socket must be closed with a reset.
    must_reset: Cell<bool>,
    /// Data that was read ahead and not consumed yet.
    ahead: RefCell<BytesMut>,
    has_dropped_data: Cell<bool>,
    /// Set for client sockets, whose requests are checked for conflicting framing.
    framing: Option<RefCell<Framing>>,
    _slot: DescriptorSlot,
}

/// How much of a request's body has reached this machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyProgress {
    /// At least one byte is missing.
    Incomplete,
    /// All of it has arrived.
    Complete,
    /// Its end may be among the bytes that were not read yet.
    Unknown {
        /// Number of bytes received on the connection, read or not.
        received: u64,
    },
}

/// TCP socket that counts its traffic. Clones share the socket, which closes with the last of them.
#[derive(Clone)]
pub struct Socket(Rc<Inner>);

impl Socket {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream, slot: DescriptorSlot) -> Socket {
        Socket::with(stream, slot, None)
    }

    /// Wraps a connected stream of a client.
    pub fn for_client(stream: TcpStream, slot: DescriptorSlot) -> Socket {
        Socket::with(stream, slot, Some(RefCell::new(Framing::new())))
    }

    fn with(stream: TcpStream, slot: DescriptorSlot, framing: Option<RefCell<Framing>>) -> Socket {
        // Without this, small responses wait for acknowledgements. A socket that refuses the option still
        // works.
        let _ = stream.set_nodelay(true);
        let (read, written, is_flush_due, must_reset, ahead, has_dropped_data) = Default::default();
        Socket(Rc::new(Inner {
            stream,
            read,
            written,
            is_flush_due,
            must_reset,
            ahead,
            has_dropped_data,
            framing,
            _slot: slot,
        }))
    }

    /// Returns the number of bytes read.
    pub fn bytes_read(&self) -> u64 {
        self.0.read.get()
    }

    /// True if a request with conflicting body framing was received.
    pub fn has_conflict(&self) -> bool {
        self.0.framing.as_ref().is_some_and(|f| f.borrow().has_conflict())
    }

    /// Returns the number of the request that is being read, counted from 0.
    pub fn request_number(&self) -> u64 {
        self.0.framing.as_ref().map_or(0, |f| f.borrow().completed_requests())
    }

    /// True if no part of a request has been read that is not complete.
    pub fn is_between_requests(&self) -> bool {
        self.0.framing.as_ref().is_some_and(|f| f.borrow().is_between_requests())
    }

    /// Returns how much of the body of the request with this number has arrived, including what was not read
    /// yet.
    pub fn body_progress(&self, request_number: u64) -> BodyProgress {
        if self.request_number() > request_number {
            return BodyProgress::Complete;
        }
        // What was read does not contain the end.
        if self.is_quiet() {
            return BodyProgress::Incomplete;
        }
        let missing = self.0.framing.as_ref().and_then(|f| f.borrow().missing_body_bytes());
        match (missing, self.unread_bytes()) {
            (Some(missing), Ok(unread)) if unread >= missing => BodyProgress::Complete,
            (Some(_), Ok(_)) => BodyProgress::Incomplete,
            (None, Ok(unread)) => BodyProgress::Unknown { received: self.bytes_read() + unread },
            (_, Err(e)) => {
                log_event!(WARN, "clients", reason = e.to_string().as_str(), "clients.unread_unknown");
                BodyProgress::Unknown { received: self.bytes_read() }
            }
        }
    }

    /// Returns the number of bytes that were received and not consumed.
    fn unread_bytes(&self) -> io::Result<u64> {
        let queued = rustix::io::ioctl_fionread(&self.0.stream)?;
        Ok(queued + self.0.ahead.borrow().len() as u64)
    }

    /// Returns the number of bytes written.
    pub fn bytes_written(&self) -> u64 {
        self.0.written.get()
    }

    /// Records that the HTTP connection has data to write, which ends with a flush.
    pub fn expect_flush(&self) {
        self.0.is_flush_due.set(true);
    }

    /// True while the HTTP connection may hold data that was not written to the socket.
    pub fn is_flush_due(&self) -> bool {
        self.0.is_flush_due.get()
    }

    /// Limits the send buffer of the operating system. A socket that refuses the option still works.
    pub fn limit_send_buffer(&self, bytes: usize) {
        let _ = socket2::SockRef::from(&self.0.stream).set_send_buffer_size(bytes);
    }

    /// Makes the close a reset, so that the peer does not mistake it for a regular end.
    pub fn reset_on_close(&self) {
        self.0.must_reset.set(true);
        let _ = socket2::SockRef::from(&self.0.stream).set_linger(Some(Duration::ZERO));
    }

    /// True if the peer has ended its sending or broken the connection, as far as the poller knows, even
    /// behind unread data.
    pub fn is_peer_closed(&self) -> bool {
        let mut ready = pin!(self.0.stream.ready(Interest::READABLE));
        match ready.as_mut().poll(&mut Context::from_waker(Waker::noop())) {
            Poll::Ready(Ok(ready)) => ready.is_read_closed(),
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        }
    }

    /// Reads data behind an open request, so that the end of the stream behind it is noticed. Up to
    /// `MAX_READ_AHEAD_BYTES` bytes are kept. The rest is dropped, after which the connection's data cannot
    /// be parsed any more.
    pub fn read_ahead(&self) {
        let mut ahead = self.0.ahead.borrow_mut();
        for _ in 0..MAX_DISCARDED_BYTES / READ_BYTES {
            let space = MAX_READ_AHEAD_BYTES.saturating_sub(ahead.len()).min(READ_BYTES);
            let mut piece = [0; READ_BYTES];
            let into = if space > 0 { &mut piece[..space] } else { &mut piece[..] };
            match self.0.stream.try_read(into) {
                Ok(n) if n > 0 && space > 0 => ahead.extend_from_slice(&into[..n]),
                Ok(n) if n > 0 => self.0.has_dropped_data.set(true),
                Ok(_) | Err(_) => return,
            }
        }
    }

    /// True if received data was dropped; the connection must be closed after the response that is due.
    pub fn has_dropped_data(&self) -> bool {
        self.0.has_dropped_data.get()
    }

    /// Shuts down the sending side. What the peer writes can still be read.
    pub fn end_sending(&self) {
        // Fails only on a connection that is already broken.
        let _ = socket2::SockRef::from(&self.0.stream).shutdown(std::net::Shutdown::Write);
    }

    /// Shuts down the sending side and discards received data until the peer has ended its own sending.
    /// Closing a socket with unread data resets the connection, and the response in transit would be lost.
    /// The caller limits the time.
    pub async fn finish_sending(&self) {
        if self.0.must_reset.get() {
            return;
        }
        self.end_sending();
        let mut remaining = MAX_DISCARDED_BYTES;
        while remaining > 0 && self.0.stream.readable().await.is_ok() {
            match self.discard_piece() {
                Ok(0) => return,
                Ok(n) => remaining = remaining.saturating_sub(n),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }

    /// A separate function, so that the buffer is not part of every connection's future.
    fn discard_piece(&self) -> io::Result<usize> {
        self.0.stream.try_read(&mut [0; READ_BYTES])
    }

    /// True if no data is pending and the peer has not closed. Asks the operating system, because the
    /// poller may lag behind.
    pub fn is_quiet(&self) -> bool {
        if !self.0.ahead.borrow().is_empty() {
            return false;
        }
        let mut byte = [std::mem::MaybeUninit::uninit()];
        let peeked = socket2::SockRef::from(&self.0.stream).peek(&mut byte);
        matches!(peeked, Err(e) if e.kind() == ErrorKind::WouldBlock)
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let mut ahead = self.0.ahead.borrow_mut();
        if !ahead.is_empty() {
            let n = ahead.len().min(buf.remaining());
            buf.put_slice(&ahead.split_to(n));
            self.record_read(&buf.filled()[before..]);
            return Poll::Ready(Ok(()));
        }
        if self.0.has_dropped_data.get() {
            // Received data was dropped, so the connection cannot continue; it will be closed.
            return Poll::Pending;
        }
        loop {
            ready!(self.0.stream.poll_read_ready(cx))?;
            match self.0.stream.try_read(buf.initialize_unfilled()) {
                Ok(n) => {
                    buf.advance(n);
                    self.record_read(&buf.filled()[before..]);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl Socket {
    /// Counts consumed bytes and checks the framing of requests in them.
    fn record_read(&self, bytes: &[u8]) {
        if let Some(framing) = &self.0.framing {
            framing.borrow_mut().process(bytes);
        }
        self.0.read.set(self.0.read.get() + bytes.len() as u64);
    }

    /// Writes once the socket is writable, and counts the bytes written.
    fn poll_counted(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.stream.poll_write_ready(cx))?;
            match write(&self.0.stream) {
                Ok(n) => {
                    self.0.written.set(self.0.written.get() + n as u64);
                    return Poll::Ready(Ok(n));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_counted(cx, |s| s.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_counted(cx, |s| s.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Called once everything that was buffered is written.
        self.0.is_flush_due.set(false);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&self.0.stream).shutdown(std::net::Shutdown::Write))
    }
}
