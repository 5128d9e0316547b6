//! Bodies that are passed on while they come, and the pieces they come in.

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

/// Bodies of requests hold at most this much.
pub const LONGEST_BODY: u64 = 32 * 1024 * 1024;

/// Part of a long answer.
#[derive(Debug)]
pub enum Piece {
    /// More of it.
    Data(Bytes),
    /// It was whole.
    End,
}

/// Why a body ends before its end.
#[derive(Debug, Error)]
pub enum Cut {
    /// Its sender broke off.
    #[error("the body broke off")]
    Broken,
    /// It is over the limit.
    #[error("the body is too long")]
    TooLong,
}

/// What of a long request has not been sent on yet, and how that goes.
pub struct Upload {
    /// None while an attempt has it, and once it is used up.
    rest: RefCell<Option<Incoming>>,
    length: Option<u64>,
    /// Some of it is gone: no other attempt can send it again.
    spent: Cell<bool>,
    cut: Cell<bool>,
    too_long: Cell<bool>,
    finished: Cell<Option<Instant>>,
    told: Notify,
    _slot: TransferSlot,
}

impl Upload {
    /// The rest of a body of which `first` bytes are there.
    pub fn new(rest: Incoming, first: usize, slot: TransferSlot) -> Rc<Upload> {
        let length = rest.size_hint().exact().map(|left| left + first as u64);
        Rc::new(Upload {
            rest: RefCell::new(Some(rest)),
            length,
            spent: Cell::new(false),
            cut: Cell::new(false),
            too_long: Cell::new(false),
            finished: Cell::new(None),
            told: Notify::new(),
            _slot: slot,
        })
    }

    /// Part of it was sent on and is not held any more.
    pub fn spent(&self) -> bool {
        self.spent.get()
    }

    /// The client broke off.
    pub fn cut(&self) -> bool {
        self.cut.get()
    }

    /// It proved to be over the limit.
    pub fn too_long(&self) -> bool {
        self.too_long.get()
    }

    /// When its last byte was sent on.
    pub fn finished_at(&self) -> Option<Instant> {
        self.finished.get()
    }

    fn finish(&self) {
        self.finished.set(Some(Instant::now()));
        self.told.notify_waiters();
    }

    /// Waits for that.
    pub async fn finished(&self) -> Instant {
        loop {
            let told = self.told.notified();
            if let Some(at) = self.finished.get() {
                return at;
            }
            told.await;
        }
    }

    /// What nobody has read.
    pub fn take_rest(&self) -> Option<Incoming> {
        self.rest.borrow_mut().take()
    }
}

/// A request's body on its way to a backend.
pub struct Outgoing {
    first: Option<Bytes>,
    sent: u64,
    upload: Option<Rc<Upload>>,
    rest: Option<Incoming>,
}

impl Outgoing {
    /// One that is here whole.
    pub fn whole(body: Bytes) -> Outgoing {
        Outgoing { first: Some(body).filter(|b| !b.is_empty()), sent: 0, upload: None, rest: None }
    }

    /// One whose first part is here.
    pub fn long(first: Bytes, upload: Rc<Upload>) -> Outgoing {
        Outgoing { first: Some(first), sent: 0, upload: Some(upload), rest: None }
    }
}

impl Outgoing {
    /// Where the length is known, nobody asks for what comes after the last byte.
    fn note_end(&self) {
        if let Some(upload) = &self.upload
            && upload.length == Some(self.sent)
        {
            upload.finish();
        }
    }
}

impl Drop for Outgoing {
    fn drop(&mut self) {
        if let (Some(upload), Some(rest)) = (&self.upload, self.rest.take()) {
            // The client may still be sending: somebody must read that.
            upload.rest.replace(Some(rest));
        }
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
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
        let Some(rest) = &mut self.rest else { return Poll::Ready(Some(Err(Cut::Broken))) };
        loop {
            match ready!(Pin::new(&mut *rest).poll_frame(cx)) {
                None => {
                    upload.finish();
                    return Poll::Ready(None);
                }
                Some(Err(_)) => {
                    upload.cut.set(true);
                    return Poll::Ready(Some(Err(Cut::Broken)));
                }
                Some(Ok(frame)) => {
                    // Trailers end here: they are free to be left out.
                    let Ok(data) = frame.into_data() else { continue };
                    upload.spent.set(true);
                    self.sent += data.len() as u64;
                    if self.sent > LONGEST_BODY {
                        upload.too_long.set(true);
                        return Poll::Ready(Some(Err(Cut::TooLong)));
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

/// A long answer on its way to a client; `held` is dropped with it.
pub struct Download<H> {
    left: Option<u64>,
    pieces: mpsc::Receiver<Piece>,
    over: bool,
    /// Called when it was cut: the client must be able to tell.
    on_cut: Box<dyn Fn()>,
    _held: H,
}

impl<H> Download<H> {
    /// An answer of that length, if it was told.
    pub fn new(
        length: Option<u64>,
        pieces: mpsc::Receiver<Piece>,
        on_cut: Box<dyn Fn()>,
        held: H,
    ) -> Download<H> {
        Download { left: length, pieces, over: false, on_cut, _held: held }
    }
}

impl<H: Unpin> Body for Download<H> {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        if self.over {
            return Poll::Ready(None);
        }
        match ready!(self.pieces.poll_recv(cx)) {
            Some(Piece::Data(data)) => {
                self.left = self.left.map(|left| left.saturating_sub(data.len() as u64));
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Some(Piece::End) => {
                self.over = true;
                Poll::Ready(None)
            }
            None => {
                (self.on_cut)();
                Poll::Ready(Some(Err(Cut::Broken)))
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.left.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// Reads on without keeping anything, so that a client is done sending when it reads its answer.
pub async fn drain(mut body: Incoming, time: Duration) {
    let read = async { while let Some(Ok(_)) = body.frame().await {} };
    let _ = tokio::time::timeout(time, read).await;
}
