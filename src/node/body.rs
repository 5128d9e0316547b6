//! Streaming of long request and response bodies.

use crate::body_arrival::BodyArrival;
use crate::transfer_slots::TransferSlot;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::sync::{Notify, mpsc};

/// Base timeout for reading a body, from its header or, for a connection's first request, from the accept.
pub const BODY_BASE_TIMEOUT: Duration = Duration::from_millis(2800);
/// Each byte received extends the timeout at this rate: half of the minimum rate required of clients.
const BODY_BYTES_PER_S: u64 = 32_000;
/// Maximum time for which a streamed body may wait for its client, however much the client has written.
const MAX_CLIENT_PAUSE: Duration = Duration::from_secs(15);
/// Interval of the checks for clients that have stopped.
const CLIENT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum size of a request body in bytes.
pub const MAX_BODY_BYTES: u64 = 32 * 1024 * 1024;

/// Returns the time in which a client has to write this many bytes of a body.
pub fn body_transfer_time(bytes: u64) -> Duration {
    Duration::from_millis(bytes * 1000 / BODY_BYTES_PER_S)
}

/// Returns the time left to a client that had `left`, was waited for and then wrote `bytes` bytes.
fn extend_client_time(left: Duration, waited: Duration, bytes: usize) -> Duration {
    (left.saturating_sub(waited) + body_transfer_time(bytes as u64)).min(MAX_CLIENT_PAUSE)
}

/// Piece of a streamed response.
#[derive(Debug)]
pub enum Piece {
    /// More data.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// Error of a truncated body.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The sender aborted the body.
    #[error("the body broke off")]
    Aborted,
    /// The body exceeds the size limit.
    #[error("the body is too long")]
    TooLong,
}

/// Part of a streamed request that has not been forwarded yet, and the progress of forwarding.
pub struct Upload {
    /// `None` while an attempt is sending it, and once it is used up.
    rest: RefCell<Option<Incoming>>,
    /// Notified when an attempt ends that was sending the rest.
    rest_returned: Notify,
    length: Option<u64>,
    /// True once part of the body has been forwarded and dropped; no other attempt can send it again.
    is_spent: Cell<bool>,
    is_aborted: Cell<bool>,
    is_too_long: Cell<bool>,
    finished: Cell<Option<Instant>>,
    arrival: BodyArrival,
    /// Since when an attempt waits for the client to write more; `None` while it waits for nothing, or for
    /// the backend.
    client_awaited_since: Cell<Option<Instant>>,
    /// Time for which the client may still be waited for.
    client_time: Cell<Duration>,
    _slot: TransferSlot,
}

impl Upload {
    /// Wraps the rest of a body whose first `first` bytes have been read.
    pub fn new(rest: Incoming, first: usize, arrival: BodyArrival, slot: TransferSlot) -> Rc<Upload> {
        let length = rest.size_hint().exact().map(|left| left + first as u64);
        Rc::new(Upload {
            rest: RefCell::new(Some(rest)),
            rest_returned: Notify::new(),
            length,
            is_spent: Cell::new(false),
            is_aborted: Cell::new(false),
            is_too_long: Cell::new(false),
            finished: Cell::new(None),
            arrival,
            client_awaited_since: Cell::new(None),
            client_time: Cell::new(BODY_BASE_TIMEOUT + body_transfer_time(first as u64)),
            _slot: slot,
        })
    }

    /// True once part of the body has been forwarded and is no longer buffered.
    pub fn is_spent(&self) -> bool {
        self.is_spent.get()
    }

    /// True if the client aborted the body.
    pub fn is_aborted(&self) -> bool {
        self.is_aborted.get()
    }

    /// True if the body exceeded the size limit.
    pub fn is_too_long(&self) -> bool {
        self.is_too_long.get()
    }

    /// Returns the arrival of the body at this machine, from which the request is timed.
    pub fn arrival(&self) -> &BodyArrival {
        &self.arrival
    }

    /// Returns when the last byte was forwarded, if it was.
    pub fn finished_at(&self) -> Option<Instant> {
        self.finished.get()
    }

    fn finish(&self) {
        self.finished.set(Some(Instant::now()));
        self.arrival.complete();
    }

    /// True while an attempt waits for the client to write more.
    pub fn awaits_client(&self) -> bool {
        self.client_awaited_since.get().is_some()
    }

    /// Completes once the client has used up its time for writing the body. Only the time counts for which it
    /// is waited for, and what it writes extends it.
    pub async fn client_stopped(&self) {
        let is_over = |since: Instant| since.elapsed() > self.client_time.get();
        while !self.client_awaited_since.get().is_some_and(is_over) {
            tokio::time::sleep(CLIENT_CHECK_INTERVAL).await;
        }
    }

    /// Records that an attempt has to wait for the client.
    fn await_client(&self) {
        let since = self.client_awaited_since.get().unwrap_or_else(Instant::now);
        self.client_awaited_since.set(Some(since));
    }

    /// Records that the client has written more, or that nothing is expected of it any more.
    fn client_wrote(&self, bytes: usize) {
        let waited = self.client_awaited_since.take().map_or(Duration::ZERO, |since| since.elapsed());
        self.client_time.set(extend_client_time(self.client_time.get(), waited, bytes));
    }

    /// Takes the part that has not been read.
    fn take_rest(&self) -> Option<Incoming> {
        self.rest.borrow_mut().take()
    }

    /// Reads and discards what was not forwarded, once no attempt sends it any more.
    pub async fn discard_rest(self: Rc<Upload>) {
        let rest = loop {
            if self.finished.get().is_some() {
                return;
            }
            match self.take_rest() {
                Some(rest) => break rest,
                None => self.rest_returned.notified().await,
            }
        };
        // The transfer slot is not needed for this.
        drop(self);
        discard_body(rest).await;
    }
}

/// Request body on its way to a backend.
pub struct RequestBody {
    first: Option<Bytes>,
    sent: u64,
    upload: Option<Rc<Upload>>,
    rest: Option<Incoming>,
}

impl RequestBody {
    /// Creates a body from a complete buffer.
    pub fn complete(body: Bytes) -> RequestBody {
        RequestBody { first: Some(body).filter(|b| !b.is_empty()), sent: 0, upload: None, rest: None }
    }

    /// Creates a body from its first part and an upload with the rest.
    pub fn streamed(first: Bytes, upload: Rc<Upload>) -> RequestBody {
        RequestBody { first: Some(first), sent: 0, upload: Some(upload), rest: None }
    }
}

impl RequestBody {
    /// Notes the end of a body of known length, because such a body is not polled again after its last
    /// byte.
    fn note_end(&self) {
        if let Some(upload) = &self.upload
            && upload.length == Some(self.sent)
        {
            upload.finish();
        }
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        if let (Some(upload), Some(rest)) = (&self.upload, self.rest.take()) {
            // The client may still be sending, so the rest has to be read.
            upload.rest.replace(Some(rest));
            upload.client_wrote(0);
            upload.rest_returned.notify_one();
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(first) = self.first.take() {
            self.sent += first.len() as u64;
            self.note_end();
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let Some(upload) = self.upload.clone() else { return Poll::Ready(None) };
        if upload.finished.get().is_some() {
            return Poll::Ready(None);
        }
        if self.rest.is_none() {
            self.rest = upload.take_rest();
        }
        let Some(rest) = &mut self.rest else { return Poll::Ready(Some(Err(BodyError::Aborted))) };
        loop {
            let polled = Pin::new(&mut *rest).poll_frame(cx);
            match &polled {
                Poll::Pending => upload.await_client(),
                Poll::Ready(Some(Ok(frame))) => upload.client_wrote(frame.data_ref().map_or(0, Bytes::len)),
                Poll::Ready(_) => upload.client_wrote(0),
            }
            match ready!(polled) {
                None => {
                    upload.finish();
                    return Poll::Ready(None);
                }
                Some(Err(_)) => {
                    upload.is_aborted.set(true);
                    return Poll::Ready(Some(Err(BodyError::Aborted)));
                }
                Some(Ok(frame)) => {
                    // Trailers are not forwarded, which HTTP permits.
                    let Ok(data) = frame.into_data() else { continue };
                    upload.is_spent.set(true);
                    self.sent += data.len() as u64;
                    if self.sent > MAX_BODY_BYTES {
                        upload.is_too_long.set(true);
                        return Poll::Ready(Some(Err(BodyError::TooLong)));
                    }
                    self.note_end();
                    return Poll::Ready(Some(Ok(Frame::data(data))));
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.upload.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        match (&self.upload, &self.first) {
            (None, first) => SizeHint::with_exact(first.as_ref().map_or(0, Bytes::len) as u64),
            (Some(upload), _) => upload
                .length
                .and_then(|length| length.checked_sub(self.sent))
                .map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

/// Streamed response on its way to a client; `held` is dropped with it.
pub struct StreamedResponse<H> {
    remaining: Option<u64>,
    pieces: mpsc::Receiver<Piece>,
    is_finished: bool,
    /// Called when the client has taken everything so far and the backend has not given more.
    on_waiting: Box<dyn Fn()>,
    /// Called if the body is truncated, so that the client can be made to notice.
    on_truncated: Box<dyn Fn()>,
    _held: H,
}

impl<H> StreamedResponse<H> {
    /// Creates a response body of this length, if known.
    pub fn new(
        length: Option<u64>,
        pieces: mpsc::Receiver<Piece>,
        on_waiting: Box<dyn Fn()>,
        on_truncated: Box<dyn Fn()>,
        held: H,
    ) -> StreamedResponse<H> {
        StreamedResponse {
            remaining: length,
            pieces,
            is_finished: false,
            on_waiting,
            on_truncated,
            _held: held,
        }
    }
}

impl<H: Unpin> Body for StreamedResponse<H> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.is_finished {
            return Poll::Ready(None);
        }
        let polled = self.pieces.poll_recv(cx);
        if polled.is_pending() {
            (self.on_waiting)();
        }
        match ready!(polled) {
            Some(Piece::Data(data)) => {
                self.remaining = self.remaining.map(|left| left.saturating_sub(data.len() as u64));
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Some(Piece::End) => {
                self.is_finished = true;
                Poll::Ready(None)
            }
            None => {
                (self.on_truncated)();
                Poll::Ready(Some(Err(BodyError::Aborted)))
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.remaining.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// Reads and discards the rest of an unwanted body, so that the client finishes sending and reads its response.
/// The client has as much time as for a body that is wanted.
pub async fn discard_body(mut body: Incoming) {
    let (mut left, mut discarded) = (BODY_BASE_TIMEOUT, 0);
    while discarded <= MAX_BODY_BYTES {
        let asked_at = Instant::now();
        let Ok(Some(Ok(frame))) = tokio::time::timeout(left, body.frame()).await else { return };
        let bytes = frame.data_ref().map_or(0, Bytes::len);
        left = extend_client_time(left, asked_at.elapsed(), bytes);
        discarded += bytes as u64;
    }
}
