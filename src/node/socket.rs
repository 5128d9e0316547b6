//! TCP sockets that count their traffic, and the limit on the number of descriptors in use.

use crate::framing::Framing;
use crate::log::log_event;
use crate::memory_budget::{CONNECTION_BYTES, MemoryBudget, MemoryCharge};
use bytes::{BufMut, BytesMut};
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

/// Minimum number of counted descriptors, however small the limits are.
const MIN_DESCRIPTORS: usize = 8;
/// Limits for a client that keeps sending behind an open request or after its last response: the bytes read
/// at once or discarded, and the size of one read.
const MAX_DISCARDED_BYTES: usize = 4 * 1024 * 1024;
const READ_BYTES: usize = 16 * 1024;
/// Maximum number of bytes kept of what a client sends behind an open request: enough for a request or two.
const MAX_READ_AHEAD_BYTES: usize = 32 * 1024;
/// Size of the buffers that the memory of a connection includes.
const SMALL_BUFFER_BYTES: usize = 8 * 1024;
/// Size of one read while memory is tight; less than what makes the HTTP library use larger buffers.
const TIGHT_READ_BYTES: usize = 4 * 1024;

/// Closes something idle. Returns true if its descriptor and memory were freed at once; false if none were,
/// or if some will be freed soon.
pub type ReclaimFn = Box<dyn Fn() -> bool>;

/// Counts the descriptors of client, backend and discovery sockets against a limit.
pub struct Descriptors {
    used: Cell<usize>,
    limit: Cell<usize>,
    freed: Notify,
    reclaim: RefCell<Vec<ReclaimFn>>,
    memory: Rc<MemoryBudget>,
}

impl Descriptors {
    /// Creates the counter of a process that may hold `sockets` descriptors in total. The limit is lower if
    /// the memory does not suffice for as many connections.
    pub fn new(sockets: usize, memory: Rc<MemoryBudget>) -> Rc<Descriptors> {
        let limit = sockets.saturating_sub(UNCOUNTED_DESCRIPTORS).min(memory.max_connections());
        Rc::new(Descriptors {
            used: Cell::new(0),
            limit: Cell::new(limit.max(MIN_DESCRIPTORS)),
            freed: Notify::new(),
            reclaim: RefCell::new(Vec::new()),
            memory,
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
            let limit = self.limit.get().min(self.memory.max_connections()).max(MIN_DESCRIPTORS);
            if self.used.get() < part(limit) {
                self.used.set(self.used.get() + 1);
                return DescriptorSlot {
                    descriptors: self.clone(),
                    memory: self.memory.charge(CONNECTION_BYTES),
                };
            }
            if !self.reclaim_one() {
                // The wait is bounded because what was asked to close may have become busy meanwhile.
                let _ = tokio::time::timeout(Duration::from_millis(10), self.freed.notified()).await;
            }
        }
    }
}

/// One counted descriptor and the memory of its connection, returned when dropped.
pub struct DescriptorSlot {
    descriptors: Rc<Descriptors>,
    memory: MemoryCharge,
}

impl Drop for DescriptorSlot {
    fn drop(&mut self) {
        let descriptors = &self.descriptors;
        descriptors.used.set(descriptors.used.get().saturating_sub(1));
        descriptors.freed.notify_one();
    }
}

/// Size of the HTTP connection's read buffer, as its reads show it.
#[derive(Clone, Copy, Debug, Default)]
struct ReadBufferSize {
    /// Size of the buffer, with the part that was consumed already.
    allocated: usize,
    /// Space that the next read finds unless the buffer changes.
    space: usize,
}

impl ReadBufferSize {
    /// A read is offered `space` bytes, behind `kept` bytes of an incomplete head.
    fn offered(self, space: usize, kept: usize) -> ReadBufferSize {
        let is_same = space == self.space;
        ReadBufferSize { allocated: if is_same { self.allocated } else { space + kept }, space }
    }

    /// A read has filled `bytes` bytes.
    fn filled(self, bytes: usize) -> ReadBufferSize {
        ReadBufferSize { space: self.space.saturating_sub(bytes), ..self }
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
    /// Read buffer of the HTTP connection.
    read_buffer: Cell<ReadBufferSize>,
    /// Largest head that was written; the HTTP connection keeps the buffer.
    written_head: Cell<usize>,
    /// Memory of responses that are being written.
    unwritten: RefCell<Vec<MemoryCharge>>,
    /// Notified when a head needs more memory than there is.
    out_of_memory: Notify,
    slot: DescriptorSlot,
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
        Socket(Rc::new(Inner {
            stream,
            read: Cell::default(),
            written: Cell::default(),
            is_flush_due: Cell::default(),
            must_reset: Cell::default(),
            ahead: RefCell::default(),
            has_dropped_data: Cell::default(),
            framing,
            read_buffer: Cell::default(),
            written_head: Cell::default(),
            unwritten: RefCell::default(),
            out_of_memory: Notify::new(),
            slot,
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

    /// Keeps the memory of a response on the account until it is written.
    pub fn hold_until_flushed(&self, memory: MemoryCharge) {
        self.0.unwritten.borrow_mut().push(memory);
    }

    /// Returns the account of the memory of this connection.
    pub fn memory(&self) -> &Rc<MemoryBudget> {
        self.0.slot.memory.budget()
    }

    /// True if the connection should be closed for the sake of its buffers.
    pub fn is_too_large(&self) -> bool {
        self.memory().is_exhausted() && self.grown_bytes() > 0
    }

    /// Returns the size of the connection's buffers beyond the smallest ones.
    fn grown_bytes(&self) -> usize {
        let head = self.0.framing.as_ref().map_or(0, |f| f.borrow().head_bytes());
        let beyond_small = |bytes: usize| bytes.saturating_sub(SMALL_BUFFER_BYTES);
        beyond_small(self.0.read_buffer.get().allocated.max(head))
            + beyond_small(self.0.written_head.get())
            + self.0.ahead.borrow().len()
    }

    /// Updates the charge for the memory of this connection.
    fn update_charge(&self) {
        self.0.slot.memory.resize(CONNECTION_BYTES + self.grown_bytes());
    }

    /// Completes when a request head needs more memory than there is; nothing more is read then.
    pub async fn out_of_memory(&self) {
        self.0.out_of_memory.notified().await;
    }

    /// True if the request head that is being read must not grow.
    fn is_head_refused(&self) -> bool {
        let Some(framing) = &self.0.framing else { return false };
        framing.borrow().head_bytes() >= TIGHT_READ_BYTES && self.memory().is_exhausted()
    }

    /// Writes a short message at once, as far as the system takes it, past the HTTP connection.
    pub fn write_now(&self, bytes: &[u8]) {
        // Fails only on a connection that is already broken.
        let _ = self.0.stream.try_write(bytes);
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
        self.read_ahead_pieces();
        self.update_charge();
    }

    fn read_ahead_pieces(&self) {
        let mut ahead = self.0.ahead.borrow_mut();
        let max = if self.memory().is_exhausted() { ahead.len() } else { MAX_READ_AHEAD_BYTES };
        for _ in 0..MAX_DISCARDED_BYTES / READ_BYTES {
            let space = max.saturating_sub(ahead.len()).min(READ_BYTES);
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
        let head = self.0.framing.as_ref().map_or(0, |f| f.borrow().head_bytes());
        self.0.read_buffer.set(self.0.read_buffer.get().offered(buf.remaining(), head));
        let mut ahead = self.0.ahead.borrow_mut();
        if !ahead.is_empty() {
            let n = ahead.len().min(buf.remaining());
            buf.put_slice(&ahead.split_to(n));
            if ahead.is_empty() {
                *ahead = BytesMut::new();
            }
            drop(ahead);
            self.record_read(&buf.filled()[before..]);
            return Poll::Ready(Ok(()));
        }
        drop(ahead);
        self.update_charge();
        if self.is_head_refused() {
            self.0.out_of_memory.notify_one();
            return Poll::Pending;
        }
        if self.0.has_dropped_data.get() {
            // Received data was dropped, so the connection cannot continue; it will be closed.
            return Poll::Pending;
        }
        loop {
            ready!(self.0.stream.poll_read_ready(cx))?;
            let limit = if self.memory().is_tight() { TIGHT_READ_BYTES } else { usize::MAX };
            match self.0.stream.try_read_buf(&mut (&mut *buf).limit(limit)) {
                Ok(_) => {
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
        self.0.read_buffer.set(self.0.read_buffer.get().filled(bytes.len()));
        self.update_charge();
    }

    /// Records that a head of this size is written, for which the HTTP connection keeps its buffer.
    pub fn note_written_head(&self, bytes: usize) {
        self.0.written_head.set(self.0.written_head.get().max(bytes));
        self.update_charge();
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
        drop(self.0.unwritten.take());
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&self.0.stream).shutdown(std::net::Shutdown::Write))
    }
}
