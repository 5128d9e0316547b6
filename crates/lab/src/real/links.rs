//! Links between parties: each pair has an address of its own, and what passes there can be stopped in either
//! direction, slowed, refused, or met with silence.

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

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;

/// Locks, whatever became of whoever held it before: the state is plain data.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// A link between a node and another party.
pub struct Link {
    link_state: Mutex<LinkState>,
    /// Rises when what is open must break.
    broken: AtomicU64,
    parked: Mutex<Vec<Waker>>,
    /// What the other end says comes twice.
    twice: AtomicBool,
}

impl Default for Link {
    fn default() -> Link {
        Link {
            link_state: Mutex::new(LinkState::OPEN),
            broken: AtomicU64::new(0),
            parked: Mutex::new(Vec::new()),
            twice: AtomicBool::new(false),
        }
    }
}

impl Link {
    /// What passes now.
    pub fn link_state(&self) -> LinkState {
        *lock(&self.link_state)
    }

    /// From now on this passes.
    pub fn set(&self, link_state: LinkState) {
        *lock(&self.link_state) = link_state;
        self.wake();
    }

    /// From now on what the other end says comes twice, or once again.
    pub fn double(&self, twice: bool) {
        self.twice.store(twice, Ordering::SeqCst);
    }

    /// Breaks what is open.
    pub fn reset(&self) {
        self.broken.fetch_add(1, Ordering::SeqCst);
        self.wake();
    }

    fn wake(&self) {
        let parked = std::mem::take(&mut *lock(&self.parked));
        parked.into_iter().for_each(Waker::wake);
    }

    fn park(&self, waker: &Waker) {
        let mut parked = lock(&self.parked);
        if !parked.iter().any(|w| w.will_wake(waker)) {
            parked.push(waker.clone());
        }
    }
}

/// Which end of a link a stream is read at: at the node's, or at the other party's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// What is read comes from the node.
    Party,
    /// What is read goes to the node's client: the lab plays the client, the node is the other end.
    Client,
}

/// A stream that a link lets pass or holds up.
pub struct Gated {
    stream: TcpStream,
    link: Arc<Link>,
    end: End,
    broken: u64,
}

impl Gated {
    /// Over a link.
    pub fn new(stream: TcpStream, link: Arc<Link>, end: End) -> Gated {
        let _ = stream.set_nodelay(true);
        let broken = link.broken.load(Ordering::SeqCst);
        Gated { stream, link, end, broken }
    }

    /// Whether reading, or writing, may go on; else whoever asks is woken once that may have changed.
    fn pass(&self, cx: &Context<'_>, reading: bool) -> Poll<io::Result<()>> {
        if self.link.broken.load(Ordering::SeqCst) != self.broken {
            let _ = socket2::SockRef::from(&self.stream).set_linger(Some(std::time::Duration::ZERO));
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let open = || {
            let link_state = self.link.link_state();
            if (self.end == End::Party) == reading { link_state.outbound } else { link_state.inbound }
        };
        if open() {
            return Poll::Ready(Ok(()));
        }
        self.link.park(cx.waker());
        // It may have opened in between.
        if open() { Poll::Ready(Ok(())) } else { Poll::Pending }
    }
}

impl AsyncRead for Gated {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        std::task::ready!(self.pass(cx, true))?;
        // Woken by a break, too, though nothing comes from the socket.
        self.link.park(cx.waker());
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Gated {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        std::task::ready!(self.pass(cx, false))?;
        if self.link.twice.load(Ordering::SeqCst) {
            // Answers are small: the second one is lost where the socket has no room for it.
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

/// An address of this process's own in 127.0.0.0/8: no other lab on this machine is likely to have it, and ports
/// are the system's to give.
pub fn own_ip(n: u32) -> Ipv4Addr {
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

/// What a connection meets at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Door {
    /// It is accepted.
    Open,
    /// It is refused.
    Shut,
    /// It never comes up.
    Silent,
}

/// A listener that holds its queue full, so that the system drops whoever else would connect.
struct Stuffed {
    _listener: StdListener,
    _queue: Vec<Socket>,
}

impl Stuffed {
    fn new(at: SocketAddr) -> io::Result<Stuffed> {
        let listener = bind(at, 0)?;
        let mut queue = Vec::new();
        for _ in 0..3 {
            let socket = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
            socket.set_nonblocking(true)?;
            // The first is queued; what comes after it waits for ever.
            let _ = socket.connect(&at.into());
            queue.push(socket);
        }
        Ok(Stuffed { _listener: listener, _queue: queue })
    }
}

/// An address with a door.
pub struct Gate {
    /// Where.
    pub address: SocketAddr,
    door: watch::Sender<Door>,
}

impl Gate {
    /// Opens one on a free port; each connection is handed to `accepted`.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub fn open(ip: Ipv4Addr, accepted: impl Fn(TcpStream) + Send + 'static) -> io::Result<Gate> {
        let first = bind((ip, 0).into(), BACKLOG)?;
        let address = first.local_addr()?;
        let (door, mut doors) = watch::channel(Door::Open);
        tokio::spawn(async move {
            let mut listener = TcpListener::from_std(first).ok();
            let mut _stuffed = None;
            loop {
                let accept = async {
                    match &listener {
                        Some(listener) => listener.accept().await,
                        None => std::future::pending().await,
                    }
                };
                tokio::select! {
                    changed = doors.changed() => {
                        if changed.is_err() {
                            return;
                        }
                        let door = *doors.borrow_and_update();
                        (listener, _stuffed) = (None, None);
                        match door {
                            Door::Open => {
                                listener = bind(address, BACKLOG).and_then(TcpListener::from_std).ok();
                            }
                            Door::Shut => {}
                            Door::Silent => _stuffed = Stuffed::new(address).ok(),
                        }
                    }
                    Ok((stream, _)) = accept => accepted(stream),
                }
            }
        });
        Ok(Gate { address, door })
    }

    /// From now on connections meet this.
    pub fn set(&self, door: Door) {
        self.door.send_if_modified(|now| std::mem::replace(now, door) != door);
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

    async fn door(gate: &Gate, door: Door, wanted: Result<(), &'static str>) {
        gate.set(door);
        for _ in 0..100 {
            if connect(gate.address).await.map(drop) == wanted {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!("{door:?} never met with {wanted:?}");
    }

    #[tokio::test]
    async fn a_door_opens_refuses_and_stays_silent_by_turns() {
        let gate = Gate::open(own_ip(1), drop).unwrap();
        for _ in 0..2 {
            door(&gate, Door::Open, Ok(())).await;
            door(&gate, Door::Shut, Err("refused")).await;
            door(&gate, Door::Silent, Err("silent")).await;
        }
    }

    #[tokio::test]
    async fn a_link_stops_one_way_or_the_other_and_breaks_what_is_open() {
        let listener = TcpListener::bind((own_ip(2), 0)).await.unwrap();
        let mut node = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let link = Arc::new(Link::default());
        let mut party = Gated::new(listener.accept().await.unwrap().0, link.clone(), End::Party);
        let mut byte = [0];
        let soon = Duration::from_millis(100);
        node.write_all(b"a").await.unwrap();
        party.read_exact(&mut byte).await.unwrap();
        link.set(LinkState { outbound: false, ..LinkState::OPEN });
        node.write_all(b"b").await.unwrap();
        assert!(tokio::time::timeout(soon, party.read_exact(&mut byte)).await.is_err());
        party.write_all(b"c").await.unwrap();
        node.read_exact(&mut byte).await.unwrap();
        link.set(LinkState { inbound: false, ..LinkState::OPEN });
        party.read_exact(&mut byte).await.unwrap();
        assert_eq!(&byte, b"b", "what was on its way comes through");
        assert!(tokio::time::timeout(soon, party.write_all(b"d")).await.is_err());
        link.set(LinkState::OPEN);
        let broken = tokio::spawn(async move { party.read_exact(&mut [0]).await.map(drop) });
        tokio::time::sleep(Duration::from_millis(10)).await;
        link.reset();
        assert!(broken.await.unwrap().is_err());
        assert!(node.read(&mut byte).await.is_err(), "the node sees a reset");
    }
}
