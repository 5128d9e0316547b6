//! Calls to discovery that are out: the current one, those that were made beside it since it may hang, and those that were
//! replaced while their answers may be under way.
//!
//! What discovery has written counts as notified, whether or not the node still waits for it. A replaced call is therefore
//! not closed at once: its answer is read for [`LATE_ANSWER_MS`] more. Nor is its connection then closed both ways in one
//! moment, which would lose what is written in it: the node ends its sending first, and reads on for [`LAST_READ`].

use crate::body::Outgoing;
use crate::listing::{Listing, Seen, read};
use crate::rules;
use crate::socket::{Descriptors, Socket};
use crate::upstream::HttpConnection;
use bytes::Bytes;
use daleturn::control::list_sync::{LATE_ANSWER_MS, ListCall, ListRequest};
use http_body_util::LengthLimitError;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::error::Error;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;

/// The whole list may be a great deal larger than a request.
pub const LIST_LIMIT: usize = 32 * 1024 * 1024;
/// Replaced calls that are read at once; of more the oldest is closed. Each holds a descriptor.
const MOST_REPLACED: usize = 3;
/// The same of calls that were made beside a current one. They follow each other within 125 ms at most, so that an agent that
/// takes half a second is heard.
const MOST_BESIDE: usize = 8;

/// So long a call is read after the node has ended its sending on it: what was written before discovery saw that arrives.
const LAST_READ: Duration = Duration::from_millis(300);

/// An answer of more bytes than a list may have.
#[derive(Debug, thiserror::Error)]
#[error("longer than {LIST_LIMIT} bytes")]
pub struct TooLong;

/// What became of a call.
pub enum Progress {
    /// Its time is over. Its answer may still come.
    GivenUp(ListCall),
    /// It is over.
    Ended(Box<Ended>),
}

/// A call that is over.
pub struct Ended {
    /// Which one.
    pub call: ListCall,
    /// The list that its answer was compared with.
    pub compared: Option<Seen>,
    /// What came of it.
    pub answer: Result<Listing, Box<dyn Error>>,
    at: SocketAddr,
    conn: Option<HttpConnection>,
}

/// How much a call is wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// It is waited for.
    Wanted,
    /// It was replaced. Its answer is read for a while.
    Replaced,
    /// It makes room for others: it ends with what was written until now.
    Ending,
}

/// A call that is out. Once this is dropped, it ends with what was written until now.
struct Outstanding {
    call: ListCall,
    stage: watch::Sender<Stage>,
}

/// What calls are made with.
pub struct Resources {
    /// Names of zones.
    pub rules: Rc<rules::Current>,
    /// The count of sockets.
    pub descriptors: Rc<Descriptors>,
    /// The long list that is known.
    pub seen: Cell<Option<Seen>>,
}

/// All calls that are out.
pub struct Calls {
    at: SocketAddr,
    resources: Rc<Resources>,
    current: Option<Outstanding>,
    beside: VecDeque<Outstanding>,
    replaced: VecDeque<Outstanding>,
    /// Calls that were made beside the current one.
    tries: u32,
    conn: Option<HttpConnection>,
    progress: mpsc::UnboundedSender<Progress>,
}

impl Calls {
    /// None is out yet. What becomes of calls is told to `progress`.
    pub fn new(
        at: SocketAddr,
        resources: Rc<Resources>,
        progress: mpsc::UnboundedSender<Progress>,
    ) -> Calls {
        let (beside, replaced) = Default::default();
        Calls { at, resources, current: None, beside, replaced, tries: 0, conn: None, progress }
    }

    /// Calls go there from now on; the current one is replaced.
    pub fn move_to(&mut self, at: SocketAddr) {
        self.replace();
        (self.at, self.conn) = (at, None);
    }

    /// Makes the current call.
    pub fn begin(&mut self, call: ListCall) {
        self.replace();
        let conn = self.conn.take();
        self.current = Some(self.make(call, conn));
        self.tries = 0;
    }

    /// Makes a call beside the current one, on a connection of its own.
    pub fn begin_beside(&mut self, call: ListCall) {
        if self.beside.len() >= MOST_BESIDE {
            self.beside.pop_front();
        }
        let made = self.make(call, None);
        self.beside.push_back(made);
        self.tries += 1;
    }

    fn make(&self, call: ListCall, conn: Option<HttpConnection>) -> Outstanding {
        let (stage, staged) = watch::channel(Stage::Wanted);
        let made = make(self.at, call, conn, self.resources.clone(), staged, self.progress.clone());
        spawn_local(made);
        Outstanding { call, stage }
    }

    /// The current call.
    pub fn current(&self) -> Option<ListCall> {
        self.current.as_ref().map(|current| current.call)
    }

    /// Calls that were made beside the current one.
    pub fn tries(&self) -> u32 {
        self.tries
    }

    /// The call was made beside another.
    pub fn is_beside(&self, call: &ListCall) -> bool {
        self.beside.iter().any(|beside| beside.call.number() == call.number())
    }

    /// Calls that are out.
    pub fn count(&self) -> usize {
        usize::from(self.current.is_some()) + self.beside.len() + self.replaced.len()
    }

    /// The current call is not waited for any more, but its answer is read if it is under way.
    pub fn replace(&mut self) {
        let Some(call) = self.current.take() else { return };
        call.stage.send_replace(Stage::Replaced);
        if self.replaced.len() >= MOST_REPLACED {
            self.replaced.pop_front();
        }
        self.replaced.push_back(call);
    }

    /// The current call is replaced, unless it asks for the whole list.
    pub fn replace_watch(&mut self) {
        if self.current.as_ref().is_some_and(|current| current.call.request != ListRequest::FullList) {
            self.replace();
        }
    }

    /// Notes that a call's time is over. True: it was the current one.
    pub fn given_up(&mut self, call: &ListCall) -> bool {
        let current = self.is_current(call);
        if current {
            self.replace();
        }
        current
    }

    /// Notes that a call is over, and keeps its connection for the next. True: it was the current one.
    pub fn ended(&mut self, ended: &mut Ended) -> bool {
        let current = self.is_current(&ended.call);
        if current {
            self.current = None;
        }
        for calls in [&mut self.beside, &mut self.replaced] {
            calls.retain(|out| out.call.number() != ended.call.number());
        }
        if ended.at == self.at && self.conn.is_none() {
            self.conn = ended.conn.take();
        }
        current
    }

    fn is_current(&self, call: &ListCall) -> bool {
        self.current.as_ref().is_some_and(|current| current.call.number() == call.number())
    }
}

/// Makes a call and tells what becomes of it.
async fn make(
    at: SocketAddr,
    call: ListCall,
    mut conn: Option<HttpConnection>,
    resources: Rc<Resources>,
    stage: watch::Receiver<Stage>,
    progress: mpsc::UnboundedSender<Progress>,
) {
    let given_up = || {
        // Nobody listens where the node is ending.
        let _ = progress.send(Progress::GivenUp(call));
    };
    let (answer, sending_ended) =
        exchange_in_stages(at, &call, &resources, &mut conn, stage, given_up).await;
    if sending_ended {
        // It can carry no further call.
        conn = None;
    }
    // What it takes to read a long answer is no lateness of discovery's.
    let compared = resources.seen.get();
    let answer = match answer {
        Ok(text) => read(text, &resources.rules, compared).await,
        Err(e) => Err(e),
    };
    let ended = Ended { call, compared, answer, at, conn };
    let _ = progress.send(Progress::Ended(Box::new(ended)));
}

/// One call and its answer, however late it comes: waited for, then read for a while, then to the end of the connection. True:
/// the node has ended its sending there.
async fn exchange_in_stages(
    at: SocketAddr,
    call: &ListCall,
    resources: &Resources,
    conn: &mut Option<HttpConnection>,
    mut stage: watch::Receiver<Stage>,
    given_up: impl FnOnce(),
) -> (Result<Bytes, Box<dyn Error>>, bool) {
    let socket = RefCell::new(None);
    let mut exchange = pin!(exchange(at, call, &resources.descriptors, conn, &socket));
    tokio::select! {
        biased;
        text = exchange.as_mut() => return (text, false),
        () = reached(&mut stage, Stage::Replaced) => {}
        () = tokio::time::sleep(span(call.timeout_ms)) => given_up(),
    }
    tokio::select! {
        biased;
        text = exchange.as_mut() => return (text, false),
        () = reached(&mut stage, Stage::Ending) => {}
        () = tokio::time::sleep(span(LATE_ANSWER_MS)) => {}
    }
    let socket: Option<Socket> = socket.borrow_mut().take();
    let Some(socket) = socket else { return (Err("no connection came up".into()), false) };
    socket.end_sending();
    let text = tokio::time::timeout(LAST_READ, exchange).await;
    (text.unwrap_or_else(|_| Err("deadline has elapsed".into())), true)
}

/// Waits until the call is in that stage, or in a later one.
async fn reached(stage: &mut watch::Receiver<Stage>, wanted: Stage) {
    // Whoever made the call has let go of it where the sender is dropped.
    let _ = stage.wait_for(|stage| *stage >= wanted).await;
}

/// A time of the decisions.
pub fn span(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1000.0)
}

async fn exchange(
    at: SocketAddr,
    call: &ListCall,
    descriptors: &Rc<Descriptors>,
    kept: &mut Option<HttpConnection>,
    socket: &RefCell<Option<Socket>>,
) -> Result<Bytes, Box<dyn Error>> {
    let path = match call.request {
        ListRequest::FullList => "/discovery/hosts".to_owned(),
        ListRequest::Changes { after, wait_ms } => {
            format!("/discovery/hosts?after={after}&wait_ms={wait_ms}")
        }
    };
    let request = Request::get(path).header(HOST, at.to_string()).body(Outgoing::whole(Bytes::new()))?;
    let mut conn = match kept.take().filter(HttpConnection::is_reusable) {
        Some(conn) => conn,
        None => HttpConnection::open(at, descriptors.take().await).await?,
    };
    socket.replace(Some(conn.socket()));
    let answer = conn.exchange(request, LIST_LIMIT).await.map_err(|e| -> Box<dyn Error> {
        if e.is::<LengthLimitError>() { TooLong.into() } else { e.to_string().into() }
    })?;
    if answer.status() != StatusCode::OK {
        return Err(format!("status {}", answer.status()).into());
    }
    *kept = Some(conn);
    Ok(answer.into_body())
}
