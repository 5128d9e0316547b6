//! Calls to discovery that are out: the current one, and those that were replaced while their answers may be under way.
//!
//! What discovery has written counts as notified, whether or not the node still waits for it. A replaced call is therefore
//! not closed at once: its answer is read for [`LATE_ANSWER_MS`] more.

use crate::body::Outgoing;
use crate::listing::{Listing, Seen, read};
use crate::rules;
use crate::socket::Descriptors;
use crate::upstream::Conn;
use bytes::Bytes;
use daleturn::control::asking::{Ask, Call, LATE_ANSWER_MS};
use http_body_util::LengthLimitError;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use std::cell::Cell;
use std::collections::VecDeque;
use std::error::Error;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{AbortHandle, spawn_local};

/// The whole list may be a great deal larger than a request.
pub const LIST_LIMIT: usize = 32 * 1024 * 1024;
/// Replaced calls that are read at once; of more the oldest is closed. Each holds a descriptor.
const MOST_REPLACED: usize = 3;

/// An answer of more bytes than a list may have.
#[derive(Debug, thiserror::Error)]
#[error("longer than {LIST_LIMIT} bytes")]
pub struct TooLong;

/// What became of a call.
pub enum Progress {
    /// Its time is over. Its answer may still come.
    GivenUp {
        /// Which one.
        call: Call,
        /// Short tries beside it that failed.
        tries: u32,
    },
    /// It is over.
    Ended(Box<Ended>),
}

/// A call that is over.
pub struct Ended {
    /// Which one.
    pub call: Call,
    /// Short tries beside it that failed.
    pub tries: u32,
    /// One of them was answered while it hung.
    pub overtaken: bool,
    /// The list that its answer was compared with.
    pub compared: Option<Seen>,
    /// What came of it.
    pub answer: Result<Listing, Box<dyn Error>>,
    at: SocketAddr,
    conn: Option<Conn>,
}

/// A call that is out. Dropping it closes its connection.
struct Outstanding {
    call: Call,
    /// Dropped once the call is replaced.
    wanted: Option<oneshot::Sender<()>>,
    task: AbortHandle,
}

impl Drop for Outstanding {
    fn drop(&mut self) {
        self.task.abort();
    }
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
    replaced: VecDeque<Outstanding>,
    conn: Option<Conn>,
    progress: mpsc::UnboundedSender<Progress>,
}

impl Calls {
    /// None is out yet. What becomes of calls is told to `progress`.
    pub fn new(
        at: SocketAddr,
        resources: Rc<Resources>,
        progress: mpsc::UnboundedSender<Progress>,
    ) -> Calls {
        Calls { at, resources, current: None, replaced: VecDeque::new(), conn: None, progress }
    }

    /// Calls go there from now on; the current one is replaced.
    pub fn move_to(&mut self, at: SocketAddr) {
        self.replace();
        (self.at, self.conn) = (at, None);
    }

    /// Makes the current call.
    pub fn begin(&mut self, call: Call) {
        self.replace();
        let (wanted, replaced) = oneshot::channel();
        let progress = self.progress.clone();
        let made = make(self.at, call, self.conn.take(), self.resources.clone(), replaced, progress);
        let task = spawn_local(made).abort_handle();
        self.current = Some(Outstanding { call, wanted: Some(wanted), task });
    }

    /// Some call is waited for.
    pub fn waiting(&self) -> bool {
        self.current.is_some()
    }

    /// Calls that are out.
    pub fn count(&self) -> usize {
        usize::from(self.current.is_some()) + self.replaced.len()
    }

    /// The current call is not waited for any more, but its answer is read if it is under way.
    pub fn replace(&mut self) {
        let Some(mut call) = self.current.take() else { return };
        call.wanted = None;
        if self.replaced.len() >= MOST_REPLACED {
            self.replaced.pop_front();
        }
        self.replaced.push_back(call);
    }

    /// The current call is replaced, unless it asks for the whole list.
    pub fn replace_watch(&mut self) {
        if self.current.as_ref().is_some_and(|current| current.call.ask != Ask::Whole) {
            self.replace();
        }
    }

    /// Notes that a call's time is over. True: it was the current one.
    pub fn given_up(&mut self, call: &Call) -> bool {
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
        self.replaced.retain(|replaced| replaced.call.number() != ended.call.number());
        if ended.at == self.at && self.conn.is_none() {
            self.conn = ended.conn.take();
        }
        current
    }

    fn is_current(&self, call: &Call) -> bool {
        self.current.as_ref().is_some_and(|current| current.call.number() == call.number())
    }
}

/// Makes a call and tells what becomes of it.
async fn make(
    at: SocketAddr,
    call: Call,
    mut conn: Option<Conn>,
    resources: Rc<Resources>,
    replaced: oneshot::Receiver<()>,
    progress: mpsc::UnboundedSender<Progress>,
) {
    let tries = Cell::new(0);
    let (answer, other) = {
        let mut exchange = pin!(exchange(at, &call, &resources.descriptors, &mut conn));
        let in_time = tokio::select! {
            biased;
            text = exchange.as_mut() => Some((text.map(Answer::Text), None)),
            (listing, other) = try_beside(at, &call, &resources, &tries) => Some((Ok(Answer::Read(listing)), other)),
            // The sender is dropped, never used.
            _ = replaced => None,
            () = tokio::time::sleep(span(call.limit_ms)) => {
                // Nobody listens where the node is ending.
                let _ = progress.send(Progress::GivenUp { call, tries: tries.get() });
                None
            }
        };
        match in_time {
            Some(answered) => answered,
            None => match tokio::time::timeout(span(LATE_ANSWER_MS), exchange).await {
                Ok(text) => (text.map(Answer::Text), None),
                Err(_) => (Err("deadline has elapsed".into()), None),
            },
        }
    };
    let overtaken = other.is_some();
    let conn = other.or(conn);
    // What it takes to read a long answer is no lateness of discovery's.
    let compared = resources.seen.get();
    let answer = match answer {
        Ok(Answer::Text(text)) => read(text, &resources.rules, compared).await,
        Ok(Answer::Read(listing)) => Ok(listing),
        Err(e) => Err(e),
    };
    let tries = tries.get();
    let ended = Ended { call, tries, overtaken, compared, answer, at, conn };
    let _ = progress.send(Progress::Ended(Box::new(ended)));
}

/// What discovery answered, or what was read of it already.
enum Answer {
    Text(Bytes),
    Read(Listing),
}

/// A time of the decisions.
pub fn span(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1000.0)
}

/// Short tries beside a call that may hang, each on a connection of its own; for ever where the call wants none.
async fn try_beside(
    at: SocketAddr,
    call: &Call,
    resources: &Resources,
    failed: &Cell<u32>,
) -> (Listing, Option<Conn>) {
    let Some(try_ms) = call.try_ms else { return std::future::pending().await };
    // The call itself is the first try.
    tokio::time::sleep(span(try_ms)).await;
    loop {
        // One that fails sooner than its time is not repeated sooner.
        let over = tokio::time::sleep(span(try_ms));
        let mut conn = None;
        let answer = exchange(at, call, &resources.descriptors, &mut conn);
        if let Ok(Ok(text)) = tokio::time::timeout(span(try_ms), answer).await
            && let Ok(listing) = read(text, &resources.rules, resources.seen.get()).await
        {
            return (listing, conn);
        }
        failed.set(failed.get() + 1);
        over.await;
    }
}

async fn exchange(
    at: SocketAddr,
    call: &Call,
    descriptors: &Rc<Descriptors>,
    kept: &mut Option<Conn>,
) -> Result<Bytes, Box<dyn Error>> {
    let path = match call.ask {
        Ask::Whole => "/discovery/hosts".to_owned(),
        Ask::Changes { after, wait_ms } => format!("/discovery/hosts?after={after}&wait_ms={wait_ms}"),
    };
    let request = Request::get(path).header(HOST, at.to_string()).body(Outgoing::whole(Bytes::new()))?;
    let mut conn = match kept.take().filter(Conn::alive) {
        Some(conn) => conn,
        None => Conn::open(at, descriptors.take().await).await?,
    };
    let answer = conn.exchange(request, LIST_LIMIT).await.map_err(|e| -> Box<dyn Error> {
        if e.is::<LengthLimitError>() { TooLong.into() } else { e.to_string().into() }
    })?;
    if answer.status() != StatusCode::OK {
        return Err(format!("status {}", answer.status()).into());
    }
    *kept = Some(conn);
    Ok(answer.into_body())
}
