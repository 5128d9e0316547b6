//! One TCP socket that counts what goes through it, and the count of all of them against the limit.

use crate::framing::Framing;
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

/// Descriptors kept for all that is not counted: standard streams, the poller, the listener, UDP, and a
/// connection just accepted.
pub const UNCOUNTED: usize = 24;

/// Of one that goes on sending behind an open request, or after its last answer, so much is read at a time ...
const MOST_UNREAD: usize = 4 * 1024 * 1024;
const UNREAD_PIECE: usize = 16 * 1024;
/// ... and so much is kept.
const AHEAD: usize = 32 * 1024;

/// Closes something idle. True: a descriptor was freed at once; false: none was, or it will be soon.
type Reclaim = Box<dyn Fn() -> bool>;

/// One count over the sockets of clients, backends and discovery.
pub struct Descriptors {
    used: Cell<usize>,
    limit: Cell<usize>,
    freed: Notify,
    reclaim: RefCell<Vec<Reclaim>>,
}

impl Descriptors {
    /// For a process that may hold `sockets` descriptors.
    pub fn new(sockets: usize) -> Rc<Descriptors> {
        Rc::new(Descriptors {
            used: Cell::new(0),
            limit: Cell::new(sockets.saturating_sub(UNCOUNTED).max(8)),
            freed: Notify::new(),
            reclaim: RefCell::new(Vec::new()),
        })
    }

    /// Adds a way to get a descriptor back; ways are tried in the order they were added.
    pub fn on_pressure(&self, reclaim: Reclaim) {
        self.reclaim.borrow_mut().push(reclaim);
    }

    /// Frees what can be freed, for when the system itself has run out.
    pub fn relieve(&self) -> bool {
        self.reclaim.borrow().iter().any(|r| r())
    }

    /// How many are in use.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// How many may be.
    pub fn limit(&self) -> usize {
        self.limit.get()
    }

    /// Sets how many may be; what is over that and can be closed is closed.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
        for _ in limit..self.used.get() {
            if !self.relieve() {
                break;
            }
        }
        self.freed.notify_one();
    }

    /// Waits for a place: under pressure something idle is closed for it.
    pub async fn take(self: &Rc<Self>) -> Slot {
        self.take_below(|limit| limit).await
    }

    /// The same for a new client, to whom the last eighth is closed: an attempt for one that is there is
    /// better than one client more.
    pub async fn take_for_client(self: &Rc<Self>) -> Slot {
        self.take_below(|limit| limit - limit / 8).await
    }

    async fn take_below(self: &Rc<Self>, part: impl Fn(usize) -> usize) -> Slot {
        loop {
            if self.used.get() < part(self.limit.get()) {
                self.used.set(self.used.get() + 1);
                return Slot(self.clone());
            }
            if !self.relieve() {
                // The wait is bounded: what was asked to close may have turned busy meanwhile.
                let _ = tokio::time::timeout(Duration::from_millis(10), self.freed.notified()).await;
            }
        }
    }
}

/// A place in the count, given back when dropped.
pub struct Slot(Rc<Descriptors>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.used.set(self.0.used.get().saturating_sub(1));
        self.0.freed.notify_one();
    }
}

struct Inner {
    stream: TcpStream,
    read: Cell<u64>,
    written: Cell<u64>,
    /// It has to end by a reset.
    cut: Cell<bool>,
    /// Read, and not taken yet.
    ahead: RefCell<BytesMut>,
    flooded: Cell<bool>,
    /// Of a client: requests come in, and what frames them is looked at.
    framing: Option<RefCell<Framing>>,
    _slot: Slot,
}

/// A counted socket. Clones are the same socket; it closes with the last of them.
#[derive(Clone)]
pub struct Socket(Rc<Inner>);

impl Socket {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream, slot: Slot) -> Socket {
        Socket::with(stream, slot, None)
    }

    /// The same for one on which requests come in.
    pub fn of_client(stream: TcpStream, slot: Slot) -> Socket {
        Socket::with(stream, slot, Some(RefCell::new(Framing::new())))
    }

    fn with(stream: TcpStream, slot: Slot, framing: Option<RefCell<Framing>>) -> Socket {
        // Without this small answers wait for acknowledgements; a socket that refuses it still works.
        let _ = stream.set_nodelay(true);
        let (read, written, cut, ahead, flooded) = Default::default();
        Socket(Rc::new(Inner { stream, read, written, cut, ahead, flooded, framing, _slot: slot }))
    }

    /// Bytes read so far.
    pub fn read(&self) -> u64 {
        self.0.read.get()
    }

    /// A request came in that frames its body twice.
    pub fn has_conflict(&self) -> bool {
        self.0.framing.as_ref().is_some_and(|f| f.borrow().has_conflict())
    }

    /// Bytes written so far.
    pub fn written(&self) -> u64 {
        self.0.written.get()
    }

    /// Limits what the system holds of what is written. One that refuses still works.
    pub fn limit_send_buffer(&self, bytes: usize) {
        let _ = socket2::SockRef::from(&self.0.stream).set_send_buffer_size(bytes);
    }

    /// Whoever reads from it will not take the close for a regular end.
    pub fn reset_on_close(&self) {
        self.0.cut.set(true);
        let _ = socket2::SockRef::from(&self.0.stream).set_linger(Some(Duration::ZERO));
    }

    /// The other side has ended its sending or broken off, as far as the poller has heard: also behind bytes that
    /// nobody has read yet.
    pub fn left(&self) -> bool {
        let mut ready = pin!(self.0.stream.ready(Interest::READABLE));
        match ready.as_mut().poll(&mut Context::from_waker(Waker::noop())) {
            Poll::Ready(Ok(ready)) => ready.is_read_closed(),
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        }
    }

    /// Reads what has come behind a request that is open, so that its client's end is noticed behind that: what fits
    /// is kept for later. Of more than a request or two the rest is dropped, and nothing that follows can be made
    /// sense of.
    pub fn read_ahead(&self) {
        let mut ahead = self.0.ahead.borrow_mut();
        for _ in 0..MOST_UNREAD / UNREAD_PIECE {
            let space = AHEAD.saturating_sub(ahead.len()).min(UNREAD_PIECE);
            let mut piece = [0; UNREAD_PIECE];
            let into = if space > 0 { &mut piece[..space] } else { &mut piece[..] };
            match self.0.stream.try_read(into) {
                Ok(n) if n > 0 && space > 0 => ahead.extend_from_slice(&into[..n]),
                Ok(n) if n > 0 => self.0.flooded.set(true),
                Ok(_) | Err(_) => return,
            }
        }
    }

    /// Part of what came was dropped: after the answer that is due it has to be closed.
    pub fn flooded(&self) -> bool {
        self.0.flooded.get()
    }

    /// Ends the sending. What the other side writes can still be read.
    pub fn end_sending(&self) {
        // One that is broken has nothing to end.
        let _ = socket2::SockRef::from(&self.0.stream).shutdown(std::net::Shutdown::Write);
    }

    /// Ends the sending, and reads on without keeping anything until the other side has ended its own: a close over
    /// unread bytes resets, and the answer under way would be lost. The caller bounds the time.
    pub async fn farewell(&self) {
        if self.0.cut.get() {
            return;
        }
        self.end_sending();
        let mut left = MOST_UNREAD;
        while left > 0 && self.0.stream.readable().await.is_ok() {
            match self.drop_piece() {
                Ok(0) => return,
                Ok(n) => left = left.saturating_sub(n),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }

    /// Apart, so that no connection's task holds room for what nobody wants.
    fn drop_piece(&self) -> io::Result<usize> {
        self.0.stream.try_read(&mut [0; UNREAD_PIECE])
    }

    /// Asks the system, not the poller: nothing to read and no end in sight.
    pub fn quiet(&self) -> bool {
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
            self.taken(&buf.filled()[before..]);
            return Poll::Ready(Ok(()));
        }
        if self.0.flooded.get() {
            // Something is missing here. It will be closed.
            return Poll::Pending;
        }
        loop {
            ready!(self.0.stream.poll_read_ready(cx))?;
            match self.0.stream.try_read(buf.initialize_unfilled()) {
                Ok(n) => {
                    buf.advance(n);
                    self.taken(&buf.filled()[before..]);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl Socket {
    fn taken(&self, bytes: &[u8]) {
        if let Some(framing) = &self.0.framing {
            framing.borrow_mut().process(bytes);
        }
        self.0.read.set(self.0.read.get() + bytes.len() as u64);
    }

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
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&self.0.stream).shutdown(std::net::Shutdown::Write))
    }
}
