//! Emulated links between nodes and other parties. Each pair has an address of its own, on which traffic
//! can be stopped in either direction, delayed, refused or left without a response.

use crate::plan::LinkState;
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener as StdListener};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Length of the queue of connections waiting to be accepted.
const BACKLOG: i32 = 1024;

/// Locks a mutex even if a thread panicked while holding it: the data is valid at any time.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// A link between a node and another party.
pub struct Link {
    link_state: Mutex<LinkState>,
    /// Incremented to reset all open connections.
    resets: AtomicU64,
    wakers: Mutex<Vec<Waker>>,
    /// True if everything that the other party sends is sent twice.
    duplicate: AtomicBool,
}

impl Default for Link {
    fn default() -> Link {
        Link {
            link_state: Mutex::new(LinkState::OPEN),
            resets: AtomicU64::new(0),
            wakers: Mutex::new(Vec::new()),
            duplicate: AtomicBool::new(false),
        }
    }
}

impl Link {
    /// Returns what the link lets through.
    pub fn link_state(&self) -> LinkState {
        *lock(&self.link_state)
    }

    /// Sets what the link lets through.
    pub fn set(&self, link_state: LinkState) {
        *lock(&self.link_state) = link_state;
        self.wake();
    }

    /// Sets whether what the other party sends is sent twice.
    pub fn set_duplicate(&self, duplicate: bool) {
        self.duplicate.store(duplicate, Ordering::SeqCst);
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.resets.fetch_add(1, Ordering::SeqCst);
        self.wake();
    }

    /// Wakes all registered tasks.
    fn wake(&self) {
        let wakers = std::mem::take(&mut *lock(&self.wakers));
        wakers.into_iter().for_each(Waker::wake);
    }

    /// Registers a task to be woken when the link changes or its connections are reset.
    fn register(&self, waker: &Waker) {
        let mut wakers = lock(&self.wakers);
        if !wakers.iter().any(|w| w.will_wake(waker)) {
            wakers.push(waker.clone());
        }
    }
}

/// The end of a link at which the lab reads a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// At the party that nodes connect to: data read comes from the node.
    Party,
    /// At a client of the node, which the lab emulates: data read comes from the node's listening side.
    Client,
}

/// A stream that a link can block or reset.
pub struct LinkStream {
    stream: TcpStream,
    link: Arc<Link>,
    end: StreamEnd,
    /// Value of [`Link::resets`] when the stream was opened.
    resets: u64,
}

impl LinkStream {
    /// Wraps a stream of a link.
    pub fn new(stream: TcpStream, link: Arc<Link>, end: StreamEnd) -> LinkStream {
        let _ = stream.set_nodelay(true);
        let resets = link.resets.load(Ordering::SeqCst);
        LinkStream { stream, link, end, resets }
    }

    /// Returns ready if reading or writing is possible now; otherwise the task is woken when the link
    /// changes.
    fn poll_link(&self, cx: &Context<'_>, reading: bool) -> Poll<io::Result<()>> {
        if self.link.resets.load(Ordering::SeqCst) != self.resets {
            let _ = socket2::SockRef::from(&self.stream).set_linger(Some(std::time::Duration::ZERO));
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let open = || {
            let link_state = self.link.link_state();
            if (self.end == StreamEnd::Party) == reading { link_state.outbound } else { link_state.inbound }
        };
        if open() {
            return Poll::Ready(Ok(()));
        }
        self.link.register(cx.waker());
        // The link may have changed in between.
        if open() { Poll::Ready(Ok(())) } else { Poll::Pending }
    }
}

impl AsyncRead for LinkStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        std::task::ready!(self.poll_link(cx, true))?;
        // Registers the task to be woken by a reset as well, even if no data arrives.
        self.link.register(cx.waker());
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for LinkStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        std::task::ready!(self.poll_link(cx, false))?;
        if self.link.duplicate.load(Ordering::SeqCst) {
            // Answers are small. If the socket buffer has no room for the second copy, it is lost.
            let both = [buf, buf].concat();
            let written = std::task::ready!(Pin::new(&mut self.stream).poll_write(cx, &both))?;
            return Poll::Ready(Ok(written.min(buf.len())));
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Returns a loopback address in 127.0.0.0/8 for use by this process. Other lab processes are unlikely to
/// use the same one, and the system assigns the ports.
pub fn loopback_ip(n: u32) -> Ipv4Addr {
    let pid = std::process::id();
    Ipv4Addr::new(127, 32 + (pid % 200) as u8, (pid / 200 % 250) as u8, (n % 250 + 1) as u8)
}

fn bind(at: SocketAddr, backlog: i32) -> io::Result<StdListener> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&at.into())?;
    socket.listen(backlog)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// How an address treats new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptMode {
    /// Connections are accepted.
    Accept,
    /// Connections are refused.
    Refuse,
    /// Connection attempts get no response.
    Silent,
}

/// A listener with a full accept queue, which makes the system drop further connection attempts.
struct FullBacklog {
    _listener: StdListener,
    _queue: Vec<Socket>,
}

impl FullBacklog {
    fn new(at: SocketAddr) -> io::Result<FullBacklog> {
        let listener = bind(at, 0)?;
        let mut queue = Vec::new();
        for _ in 0..3 {
            let socket = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
            socket.set_nonblocking(true)?;
            // The first connection fills the queue; the others stay pending.
            let _ = socket.connect(&at.into());
            queue.push(socket);
        }
        Ok(FullBacklog { _listener: listener, _queue: queue })
    }
}

/// A listener whose treatment of new connections can be changed.
pub struct FaultyListener {
    /// The address on which it listens.
    pub address: SocketAddr,
    mode: watch::Sender<AcceptMode>,
}

impl FaultyListener {
    /// Opens a listener on a free port; `accepted` is called with each connection.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
    pub fn open(ip: Ipv4Addr, accepted: impl Fn(TcpStream) + Send + 'static) -> io::Result<FaultyListener> {
        let first = bind((ip, 0).into(), BACKLOG)?;
        let address = first.local_addr()?;
        let (mode, mut modes) = watch::channel(AcceptMode::Accept);
        tokio::spawn(async move {
            let mut listener = TcpListener::from_std(first).ok();
            let mut _full_backlog = None;
            loop {
                let accept = async {
                    match &listener {
                        Some(listener) => listener.accept().await,
                        None => std::future::pending().await,
                    }
                };
                tokio::select! {
                    changed = modes.changed() => {
                        if changed.is_err() {
                            return;
                        }
                        let mode = *modes.borrow_and_update();
                        (listener, _full_backlog) = (None, None);
                        match mode {
                            AcceptMode::Accept => {
                                listener = bind(address, BACKLOG).and_then(TcpListener::from_std).ok();
                            }
                            AcceptMode::Refuse => {}
                            AcceptMode::Silent => _full_backlog = FullBacklog::new(address).ok(),
                        }
                    }
                    Ok((stream, _)) = accept => accepted(stream),
                }
            }
        });
        Ok(FaultyListener { address, mode })
    }

    /// Sets how new connections are treated.
    pub fn set(&self, mode: AcceptMode) {
        self.mode.send_if_modified(|current| std::mem::replace(current, mode) != mode);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};

    async fn connect(at: SocketAddr) -> Result<TcpStream, &'static str> {
        match tokio::time::timeout(Duration::from_millis(300), TcpStream::connect(at)).await {
            Ok(Ok(stream)) => Ok(stream),
            Ok(Err(_)) => Err("refused"),
            Err(_) => Err("silent"),
        }
    }

    async fn expect_mode(listener: &FaultyListener, mode: AcceptMode, wanted: Result<(), &'static str>) {
        listener.set(mode);
        for _ in 0..100 {
            if connect(listener.address).await.map(drop) == wanted {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!("{mode:?} never resulted in {wanted:?}");
    }

    #[tokio::test]
    async fn a_listener_accepts_refuses_and_stays_silent_in_turn() {
        let listener = FaultyListener::open(loopback_ip(1), drop).unwrap();
        for _ in 0..2 {
            expect_mode(&listener, AcceptMode::Accept, Ok(())).await;
            expect_mode(&listener, AcceptMode::Refuse, Err("refused")).await;
            expect_mode(&listener, AcceptMode::Silent, Err("silent")).await;
        }
    }

    #[tokio::test]
    async fn a_link_blocks_each_direction_and_resets_open_connections() {
        let listener = TcpListener::bind((loopback_ip(2), 0)).await.unwrap();
        let mut node = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let link = Arc::new(Link::default());
        let mut party = LinkStream::new(listener.accept().await.unwrap().0, link.clone(), StreamEnd::Party);
        let mut byte = [0];
        let short_time = Duration::from_millis(100);
        node.write_all(b"a").await.unwrap();
        party.read_exact(&mut byte).await.unwrap();
        link.set(LinkState { outbound: false, ..LinkState::OPEN });
        node.write_all(b"b").await.unwrap();
        assert!(tokio::time::timeout(short_time, party.read_exact(&mut byte)).await.is_err());
        party.write_all(b"c").await.unwrap();
        node.read_exact(&mut byte).await.unwrap();
        link.set(LinkState { inbound: false, ..LinkState::OPEN });
        party.read_exact(&mut byte).await.unwrap();
        assert_eq!(&byte, b"b", "data sent while the link was blocked arrives later");
        assert!(tokio::time::timeout(short_time, party.write_all(b"d")).await.is_err());
        link.set(LinkState::OPEN);
        let broken = tokio::spawn(async move { party.read_exact(&mut [0]).await.map(drop) });
        tokio::time::sleep(Duration::from_millis(10)).await;
        link.reset();
        assert!(broken.await.unwrap().is_err());
        assert!(node.read(&mut byte).await.is_err(), "the node sees a reset");
    }
}
