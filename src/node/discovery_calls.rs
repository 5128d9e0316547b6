//! Open calls to discovery: the current one, those made in parallel because it may hang, and replaced ones
//! whose responses may be in transit.
//!
//! Whatever discovery has written counts as reported, whether or not the node still waits for it. A
//! replaced call is therefore not closed at once: its response is read for another [`LATE_ANSWER_MS`].
//! Closing both directions of its connection at once would lose data in transit, so the node shuts down its
//! sending side first and reads on for [`FINAL_READ_TIMEOUT`].

use crate::active_settings;
use crate::body::RequestBody;
use crate::list_parser::{KnownList, ParsedList, parse_response};
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

/// Maximum size of a list in bytes; lists are much larger than requests.
pub const MAX_LIST_BYTES: usize = 32 * 1024 * 1024;
/// Maximum number of replaced calls that are still read; the oldest is closed beyond that. Each holds a
/// descriptor.
const MAX_REPLACED: usize = 3;
/// Maximum number of open parallel calls. They follow each other within 125 ms at most, so a discovery
/// agent that takes half a second to respond is still heard.
const MAX_PARALLEL: usize = 8;

/// Time for which a call is read after its sending side was shut down; data written before discovery
/// noticed that arrives within it.
const FINAL_READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Error of a response that exceeds the size limit of a list.
#[derive(Debug, thiserror::Error)]
#[error("longer than {MAX_LIST_BYTES} bytes")]
pub struct ListTooLong;

/// Progress of a call.
pub enum Progress {
    /// The call timed out. Its response may still arrive.
    TimedOut(ListCall),
    /// The call has ended.
    Ended(Box<CallEnded>),
}

/// A call that has ended.
pub struct CallEnded {
    /// The call.
    pub call: ListCall,
    /// Known list that the response was compared with.
    pub compared: Option<KnownList>,
    /// Parsed response, or why there is none.
    pub result: Result<ParsedList, Box<dyn Error>>,
    /// Address of discovery that was called.
    pub at: SocketAddr,
    conn: Option<HttpConnection>,
}

/// How long a call is still read. Stages only advance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// Its response is awaited.
    Wanted,
    /// It was replaced; its response is read for a limited time.
    Replaced,
    /// It makes room for other calls: only what has already been written is read.
    Ending,
}

/// An open call. Dropping this value moves the call to [`Stage::Ending`].
struct OpenCall {
    call: ListCall,
    stage: watch::Sender<Stage>,
}

/// Shared context of all calls.
pub struct CallContext {
    /// Current settings, for the zone names.
    pub current_settings: Rc<active_settings::CurrentSettings>,
    /// Limit of open sockets.
    pub descriptors: Rc<Descriptors>,
    /// The known long list.
    pub known_list: Cell<Option<KnownList>>,
}

/// All open calls.
pub struct Calls {
    at: SocketAddr,
    context: Rc<CallContext>,
    current: Option<OpenCall>,
    parallel: VecDeque<OpenCall>,
    replaced: VecDeque<OpenCall>,
    /// Number of parallel calls made since the current call began.
    tries: u32,
    conn: Option<HttpConnection>,
    progress: mpsc::UnboundedSender<Progress>,
}

impl Calls {
    /// Creates the set without open calls. Progress of calls is reported on `progress`.
    pub fn new(
        at: SocketAddr,
        context: Rc<CallContext>,
        progress: mpsc::UnboundedSender<Progress>,
    ) -> Calls {
        let (parallel, replaced) = Default::default();
        Calls { at, context, current: None, parallel, replaced, tries: 0, conn: None, progress }
    }

    /// Returns the address that is called.
    pub fn address(&self) -> SocketAddr {
        self.at
    }

    /// Sends further calls to another address; the current call is replaced.
    pub fn change_address(&mut self, at: SocketAddr) {
        self.replace();
        (self.at, self.conn) = (at, None);
    }

    /// Makes a new current call.
    pub fn begin(&mut self, call: ListCall) {
        self.replace();
        let conn = self.conn.take();
        self.current = Some(self.start(call, conn));
        self.tries = 0;
    }

    /// Makes a call in parallel to the current one, on a connection of its own.
    pub fn begin_parallel(&mut self, call: ListCall) {
        if self.parallel.len() >= MAX_PARALLEL {
            self.parallel.pop_front();
        }
        let open_call = self.start(call, None);
        self.parallel.push_back(open_call);
        self.tries += 1;
    }

    /// Starts the task of a call.
    fn start(&self, call: ListCall, conn: Option<HttpConnection>) -> OpenCall {
        let (stage, stage_receiver) = watch::channel(Stage::Wanted);
        let task =
            run_call(self.at, call, conn, self.context.clone(), stage_receiver, self.progress.clone());
        spawn_local(task);
        OpenCall { call, stage }
    }

    /// Returns the current call.
    pub fn current(&self) -> Option<ListCall> {
        self.current.as_ref().map(|current| current.call)
    }

    /// Returns the number of parallel calls made since the current call began.
    pub fn tries(&self) -> u32 {
        self.tries
    }

    /// True if the call is an open parallel call.
    pub fn is_parallel_call(&self, call: &ListCall) -> bool {
        self.parallel.iter().any(|parallel| parallel.call.number() == call.number())
    }

    /// Returns the number of open calls.
    pub fn count(&self) -> usize {
        usize::from(self.current.is_some()) + self.parallel.len() + self.replaced.len()
    }

    /// Replaces the current call: it is no longer awaited, but its response is read if it is in transit.
    pub fn replace(&mut self) {
        let Some(call) = self.current.take() else { return };
        call.stage.send_replace(Stage::Replaced);
        if self.replaced.len() >= MAX_REPLACED {
            self.replaced.pop_front();
        }
        self.replaced.push_back(call);
    }

    /// Replaces the current call unless it asks for the full list.
    pub fn replace_watch(&mut self) {
        if self.current.as_ref().is_some_and(|current| current.call.request != ListRequest::FullList) {
            self.replace();
        }
    }

    /// Handles a timed-out call. Returns true if it was the current one.
    pub fn timed_out(&mut self, call: &ListCall) -> bool {
        let is_current = self.is_current(call);
        if is_current {
            self.replace();
        }
        is_current
    }

    /// Removes a call that has ended and keeps its connection for the next one. Returns true if it was the
    /// current call.
    pub fn ended(&mut self, ended: &mut CallEnded) -> bool {
        let is_current = self.is_current(&ended.call);
        if is_current {
            self.current = None;
        }
        for calls in [&mut self.parallel, &mut self.replaced] {
            calls.retain(|open| open.call.number() != ended.call.number());
        }
        if ended.at == self.at && self.conn.is_none() {
            self.conn = ended.conn.take();
        }
        is_current
    }

    fn is_current(&self, call: &ListCall) -> bool {
        self.current.as_ref().is_some_and(|current| current.call.number() == call.number())
    }
}

/// Makes a call and reports its progress.
async fn run_call(
    at: SocketAddr,
    call: ListCall,
    mut conn: Option<HttpConnection>,
    context: Rc<CallContext>,
    stage: watch::Receiver<Stage>,
    progress: mpsc::UnboundedSender<Progress>,
) {
    let timed_out = || {
        // The receiver is gone while the node is stopping.
        let _ = progress.send(Progress::TimedOut(call));
    };
    let (response, sending_ended) =
        exchange_in_stages(at, &call, &context, &mut conn, stage, timed_out).await;
    if sending_ended {
        // The connection cannot carry another call.
        conn = None;
    }
    // Parsed after the time limits, so that parsing a long response does not count as a delay of discovery.
    let compared = context.known_list.get();
    let result = match response {
        Ok(text) => parse_response(text, &context.current_settings, compared).await,
        Err(e) => Err(e),
    };
    let ended = CallEnded { call, compared, result, at, conn };
    let _ = progress.send(Progress::Ended(Box::new(ended)));
}

/// Makes a call and reads its response, however late: first awaited, then read for a limited time, then to
/// the end of the connection. Returns true as the second value if this node has shut down its sending side.
async fn exchange_in_stages(
    at: SocketAddr,
    call: &ListCall,
    context: &CallContext,
    conn: &mut Option<HttpConnection>,
    mut stage: watch::Receiver<Stage>,
    timed_out: impl FnOnce(),
) -> (Result<Bytes, Box<dyn Error>>, bool) {
    let socket = RefCell::new(None);
    let mut exchange = pin!(exchange(at, call, &context.descriptors, conn, &socket));
    tokio::select! {
        biased;
        text = exchange.as_mut() => return (text, false),
        () = wait_for_stage(&mut stage, Stage::Replaced) => {}
        () = tokio::time::sleep(duration_from_ms(call.timeout_ms)) => timed_out(),
    }
    tokio::select! {
        biased;
        text = exchange.as_mut() => return (text, false),
        () = wait_for_stage(&mut stage, Stage::Ending) => {}
        () = tokio::time::sleep(duration_from_ms(LATE_ANSWER_MS)) => {}
    }
    let socket: Option<Socket> = socket.borrow_mut().take();
    let Some(socket) = socket else { return (Err("no connection came up".into()), false) };
    socket.end_sending();
    let text = tokio::time::timeout(FINAL_READ_TIMEOUT, exchange).await;
    (text.unwrap_or_else(|_| Err("deadline has elapsed".into())), true)
}

/// Waits until the call has reached this stage or a later one.
async fn wait_for_stage(stage: &mut watch::Receiver<Stage>, wanted: Stage) {
    // The sender was dropped, which ends the call.
    let _ = stage.wait_for(|stage| *stage >= wanted).await;
}

/// Converts milliseconds to a duration.
pub fn duration_from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1000.0)
}

/// Makes a call on the pooled connection or a new one, and returns the response body. The connection
/// returns to `pooled` after a complete exchange, and its socket is put into `socket`.
async fn exchange(
    at: SocketAddr,
    call: &ListCall,
    descriptors: &Rc<Descriptors>,
    pooled: &mut Option<HttpConnection>,
    socket: &RefCell<Option<Socket>>,
) -> Result<Bytes, Box<dyn Error>> {
    let path = match call.request {
        ListRequest::FullList => "/discovery/hosts".to_owned(),
        ListRequest::Changes { after, wait_ms } => {
            format!("/discovery/hosts?after={after}&wait_ms={wait_ms}")
        }
    };
    let request =
        Request::get(path).header(HOST, at.to_string()).body(RequestBody::complete(Bytes::new()))?;
    let mut conn = match pooled.take().filter(HttpConnection::is_reusable) {
        Some(conn) => conn,
        None => HttpConnection::open(at, descriptors.take().await).await?,
    };
    socket.replace(Some(conn.socket()));
    let response = conn.exchange(request, MAX_LIST_BYTES).await.map_err(|e| -> Box<dyn Error> {
        if e.is::<LengthLimitError>() { ListTooLong.into() } else { e.to_string().into() }
    })?;
    if response.status() != StatusCode::OK {
        return Err(format!("status {}", response.status()).into());
    }
    *pooled = Some(conn);
    Ok(response.into_body())
}
