//! Reads and checks the requests of clients, within the memory that there is for them.

use crate::active_settings::{ActiveSettings, CurrentSettings};
use crate::body::{MAX_BODY_BYTES, Upload, discard_body};
use crate::body_arrival::BodyArrival;
use crate::client_connection::{ClientConnection, STUCK_TIMEOUT, discard_in_background};
use crate::client_response::{
    ClientBody, FULL_RETRY_AFTER_MS, body_timeout_response, buffered_response, closing_response,
    text_response,
};
use crate::driver::{Answer, Driver};
use crate::memory_budget::{MemoryBudget, MemoryCharge, Purpose};
use crate::transfer_slots::TransferSlot;
use crate::upstream::{
    EXPIRES_HEADER, ForwardedRequest, MAX_BUFFERED_BODY_BYTES, Upstream, head_text_bytes,
};
use bytes::{Bytes, BytesMut};
use daleturn::interface::{Effect, Request as BalancerRequest, RequestId};
use daleturn::wire::stable_hash;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::request::Parts;
use hyper::{Method, Response, StatusCode, Uri};
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Upper limit for the wait that a client may announce.
const MAX_CLIENT_WAIT: Duration = Duration::from_secs(600);
/// Time that a body waits for memory or a transfer slot before its request is refused.
const BODY_WAIT: Duration = Duration::from_millis(1000);
/// Memory of an open request besides its texts: the rest of its read buffer, tasks, timers and records.
const REQUEST_BYTES: usize = 12 * 1024;
/// Memory of a header field besides its text, in the request and in the copy for an attempt.
const HEADER_FIELD_BYTES: usize = 2 * 160;
/// Maximum memory of the head of a small request, and maximum size of its body.
const MAX_SMALL_HEAD_BYTES: usize = REQUEST_BYTES + 16 * 1024;
const MAX_SMALL_BODY_BYTES: usize = 4 * 1024;
/// Memory of the first part of a long body, or of a body of unknown length: its buffer doubles as it grows.
const LONG_START_BYTES: usize = 2 * MAX_BUFFERED_BODY_BYTES;

/// Hop-by-hop headers, and headers that this node generates itself.
const UNFORWARDED_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    HeaderName::from_static("keep-alive"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Signal that this process refuses all requests from now on.
#[derive(Default)]
pub struct EndSignal {
    is_set: Cell<bool>,
    notify: Notify,
}

impl EndSignal {
    /// Sets the signal.
    pub fn set(&self) {
        self.is_set.set(true);
        self.notify.notify_waiters();
    }

    /// Completes once the signal is set.
    async fn wait(&self) {
        let notified = self.notify.notified();
        if !self.is_set.get() {
            notified.await;
        }
    }
}

/// Valid request of a client, ready to be submitted.
pub struct ParsedRequest {
    /// The request as the balancer sees it.
    pub request: BalancerRequest,
    /// Settings by which the request's class number was assigned.
    pub active: Rc<ActiveSettings>,
    /// The request as backends get it.
    pub forwarded: ForwardedRequest,
    /// Arrival of the last byte, or of the head of a streamed request.
    pub arrived: Instant,
    /// Time that the client waits.
    pub wait: Duration,
}

/// What the headers of a valid request say.
struct RequestHead {
    active: Rc<ActiveSettings>,
    class: usize,
    wait: Duration,
    /// When the head arrived.
    arrived: Instant,
}

/// Reads the requests of clients.
pub struct RequestReader {
    driver: Rc<Driver>,
    upstream: Rc<Upstream>,
    current_settings: Rc<CurrentSettings>,
    ended: Rc<EndSignal>,
}

impl RequestReader {
    /// Creates a reader. Requests that wait when `ended` is set are refused.
    pub fn new(
        driver: Rc<Driver>,
        upstream: Rc<Upstream>,
        current_settings: Rc<CurrentSettings>,
        ended: Rc<EndSignal>,
    ) -> RequestReader {
        RequestReader { driver, upstream, current_settings, ended }
    }

    /// Reads and validates a request. Invalid requests, and those for which there is no memory, are answered
    /// here and reach no backend.
    pub async fn read(
        &self,
        client: &Rc<ClientConnection>,
        arrived: Instant,
        head: Parts,
        body: Incoming,
    ) -> Result<ParsedRequest, Response<ClientBody>> {
        let checked = match self.check_head(&head, arrived) {
            Ok(checked) => checked,
            Err(text) => return Err(reject(client, arrived, body, StatusCode::BAD_REQUEST, text).await),
        };
        let arrival = BodyArrival::new(client.socket.clone(), client.socket.request_number());
        let needed = MemoryNeed::of(&head, &body);
        let Some(memory) = self.reserve(&arrival, &checked, needed).await else {
            return Err(self.refuse(client, &checked, body));
        };
        let body_read = read_body(client, arrived, body, &self.upstream.memory).await;
        // The deadline counts from the last byte of the request; a streamed one has not ended yet.
        let completed = arrival.completed_at().unwrap_or_else(Instant::now);
        if let BodyRead::Complete(body) = &body_read {
            memory.resize(needed.head_bytes + body.len());
        }
        let (body, upload) = match body_read {
            BodyRead::Complete(body) => (body, None),
            BodyRead::Long(first, rest) => {
                let Some(slot) = self.take_transfer_slot(&arrival, completed, checked.wait).await else {
                    return Err(self.refuse(client, &checked, rest));
                };
                let length = first.len();
                (first, Some(Upload::new(rest, length, arrival, slot)))
            }
            BodyRead::TooLong(rest) => {
                discard_in_background(client, discard_body(rest));
                return Err(closing_response(StatusCode::PAYLOAD_TOO_LARGE, "the body is over 32 MB\n"));
            }
            BodyRead::Aborted => {
                return Err(closing_response(StatusCode::BAD_REQUEST, "the body cannot be read\n"));
            }
            BodyRead::TooSlow => {
                return Err(body_timeout_response());
            }
        };
        let request = balancer_request(&head.headers, &checked);
        let target =
            head.uri.path_and_query().map_or_else(|| Uri::from_static("/"), |p| Uri::from(p.clone()));
        let forwarded = ForwardedRequest {
            method: head.method,
            target,
            headers: forwarded_headers(head.headers),
            body,
            upload,
            _memory: Some(memory),
        };
        let RequestHead { active, wait, .. } = checked;
        Ok(ParsedRequest { request, active, forwarded, arrived: completed, wait })
    }

    /// Checks the headers of a request.
    ///
    /// # Errors
    /// Returns the text of the answer to an invalid request.
    fn check_head(&self, head: &Parts, arrived: Instant) -> Result<RequestHead, &'static str> {
        let header = |name: &str| header_text(&head.headers, name);
        if header("x-trace-id").is_none_or(str::is_empty) {
            return Err("X-Trace-Id is missing\n");
        }
        let active = self.current_settings.get();
        let class = active.names.class(header("x-qos").unwrap_or_default());
        let known = active.settings.classes.get(class);
        let keyed = head.headers.contains_key("idempotency-key");
        // The class determines how often the request may run. If the method contradicts it, either
        // interpretation could run a request twice.
        let agrees = match known.map(|c| c.effect) {
            Some(Effect::Safe) => head.method == Method::GET,
            Some(Effect::Keyed(_)) => head.method == Method::POST && keyed,
            Some(Effect::Unsafe) => head.method == Method::POST && !keyed,
            None => matches!(head.method, Method::GET | Method::POST),
        };
        if !agrees {
            return Err("method and Idempotency-Key do not agree with the class\n");
        }
        let shortest =
            || active.settings.classes.iter().map(|c| c.deadline_ms).fold(f64::INFINITY, f64::min);
        let class_wait = known.map_or_else(shortest, |c| c.deadline_ms);
        let wait = header(EXPIRES_HEADER)
            .and_then(|v| v.trim().parse::<u64>().ok())
            .map_or(Duration::from_secs_f64(class_wait.clamp(0.0, 6e5) / 1000.0), Duration::from_millis)
            .min(MAX_CLIENT_WAIT);
        Ok(RequestHead { active, class, wait, arrived })
    }

    /// Refuses a request that found a limit of this node; its body is read and discarded.
    fn refuse(
        &self,
        client: &Rc<ClientConnection>,
        head: &RequestHead,
        body: Incoming,
    ) -> Response<ClientBody> {
        self.upstream.memory.count_refusal();
        self.driver.count_early_refusal(head.active.names.class_name(head.class));
        if !body.is_end_stream() {
            discard_in_background(client, discard_body(body));
        }
        buffered_response(Answer::Refused { retry_after_ms: FULL_RETRY_AFTER_MS })
    }

    /// Reserves the memory of a request. Only a large one waits for it.
    async fn reserve(
        &self,
        arrival: &BodyArrival,
        head: &RequestHead,
        needed: MemoryNeed,
    ) -> Option<MemoryCharge> {
        let (memory, bytes) = (&self.upstream.memory, needed.head_bytes + needed.body_bytes);
        if needed.is_small() {
            return memory.try_reserve(Purpose::SmallRequest, bytes);
        }
        if let Some(charge) = memory.try_reserve(Purpose::LargeRequest, bytes) {
            return Some(charge);
        }
        let until = Instant::now() + BODY_WAIT;
        let reserved = memory.reserve(Purpose::LargeRequest, bytes, until);
        self.within_time(arrival, head.arrived, head.wait, reserved).await
    }

    /// Waits for a transfer slot.
    async fn take_transfer_slot(
        &self,
        arrival: &BodyArrival,
        arrived: Instant,
        wait: Duration,
    ) -> Option<TransferSlot> {
        let slot = self.upstream.transfer_slots.take(BODY_WAIT);
        self.within_time(arrival, arrived, wait, slot).await
    }

    /// Waits for something that a body needs, until the request's own time is over or this process refuses
    /// all requests.
    async fn within_time<T>(
        &self,
        arrival: &BodyArrival,
        arrived: Instant,
        wait: Duration,
        needed: impl Future<Output = Option<T>>,
    ) -> Option<T> {
        tokio::select! {
            biased;
            () = self.ended.wait() => None,
            needed = needed => needed,
            () = arrival.passed(wait, arrived) => None,
        }
    }
}

/// Returns the text of a header, if there is one.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}

/// Memory that a request needs.
#[derive(Clone, Copy)]
struct MemoryNeed {
    /// Memory of the head and of the request's state.
    head_bytes: usize,
    /// Memory of the part of the body that is buffered.
    body_bytes: usize,
}

impl MemoryNeed {
    /// Returns what a request needs.
    fn of(head: &Parts, body: &Incoming) -> MemoryNeed {
        let target = head.uri.path_and_query().map_or(0, |target| target.as_str().len());
        let fields = head_text_bytes(&head.headers) + head.headers.len() * HEADER_FIELD_BYTES;
        let length = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
        let is_buffered = |length: &usize| *length <= MAX_BUFFERED_BODY_BYTES;
        MemoryNeed {
            head_bytes: REQUEST_BYTES + target + fields,
            body_bytes: length.filter(is_buffered).unwrap_or(LONG_START_BYTES),
        }
    }

    fn is_small(self) -> bool {
        self.head_bytes <= MAX_SMALL_HEAD_BYTES && self.body_bytes <= MAX_SMALL_BODY_BYTES
    }
}

/// Converts the headers of a request to what the balancer needs.
fn balancer_request(headers: &HeaderMap, head: &RequestHead) -> BalancerRequest {
    let header = |name: &str| header_text(headers, name);
    let effort = header("x-size-hint").and_then(|v| v.trim().parse::<f64>().ok());
    BalancerRequest {
        id: RequestId(0),
        class: head.class,
        tenant: header("x-customer").and_then(|t| head.active.names.tenant(t)),
        key: header("x-object").map(stable_hash),
        deadline_ms: 0.0,
        effort_ms: effort.filter(|e| e.is_finite()).map(|us| us / 1000.0),
        retry: header("x-second-try") == Some("1"),
    }
}

/// Result of reading a request body, as far as needed before the request is submitted.
enum BodyRead {
    Complete(Bytes),
    /// First part of a long body, more than is buffered completely, and the rest of it.
    Long(Bytes, Incoming),
    /// The announced length exceeds the limit.
    TooLong(Incoming),
    /// The client aborted the body.
    Aborted,
    /// The client sent the body too slowly.
    TooSlow,
}

/// Reads a request body up to the limit of complete bodies, within its time limit.
async fn read_body(
    client: &ClientConnection,
    arrived: Instant,
    mut body: Incoming,
    memory: &MemoryBudget,
) -> BodyRead {
    if body.size_hint().lower() > MAX_BODY_BYTES {
        return BodyRead::TooLong(body);
    }
    let length = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
    let mut received =
        BytesMut::with_capacity(length.map_or(0, |length| length.min(MAX_BUFFERED_BODY_BYTES)));
    loop {
        let until = client.body_deadline(arrived, received.len() as u64);
        let frame = match next_frame(&mut body, until, memory).await {
            FrameRead::TooSlow => return BodyRead::TooSlow,
            FrameRead::End if received.capacity() == received.len() => {
                return BodyRead::Complete(received.freeze());
            }
            FrameRead::End => return BodyRead::Complete(Bytes::copy_from_slice(&received)),
            FrameRead::Aborted => return BodyRead::Aborted,
            FrameRead::Frame(frame) => frame,
        };
        if let Ok(data) = frame.into_data() {
            received.extend_from_slice(&data);
        }
        if received.len() > MAX_BUFFERED_BODY_BYTES {
            return BodyRead::Long(received.freeze(), body);
        }
    }
}

/// Result of reading one frame of a body.
enum FrameRead {
    Frame(Frame<Bytes>),
    End,
    /// The client aborted the body.
    Aborted,
    /// The client did not write in time.
    TooSlow,
}

/// Reads the next frame of a body until `until`; while others wait for memory, a client may pause for
/// [`STUCK_TIMEOUT`] only.
async fn next_frame(body: &mut Incoming, until: Instant, memory: &MemoryBudget) -> FrameRead {
    let paused_at = Instant::now();
    loop {
        let check_at = Instant::now() + STUCK_TIMEOUT;
        match tokio::time::timeout_at(until.min(check_at).into(), body.frame()).await {
            Ok(None) => return FrameRead::End,
            Ok(Some(Err(_))) => return FrameRead::Aborted,
            Ok(Some(Ok(frame))) => return FrameRead::Frame(frame),
            Err(_) if Instant::now() >= until => return FrameRead::TooSlow,
            Err(_) if paused_at.elapsed() >= STUCK_TIMEOUT && memory.is_contended() => {
                return FrameRead::TooSlow;
            }
            Err(_) => {}
        }
    }
}

/// Rejects an invalid request after reading its body. Closing a socket with unread data resets the
/// connection, and the response in transit would be lost.
pub async fn reject(
    client: &Rc<ClientConnection>,
    arrived: Instant,
    mut body: Incoming,
    status: StatusCode,
    text: &'static str,
) -> Response<ClientBody> {
    let mut discarded = 0;
    while discarded <= MAX_BUFFERED_BODY_BYTES as u64 && body.size_hint().lower() <= MAX_BODY_BYTES {
        let until = client.body_deadline(arrived, discarded);
        match tokio::time::timeout_at(until.into(), body.frame()).await {
            Ok(None) => return text_response(status, text),
            Ok(Some(Ok(frame))) => discarded += frame.data_ref().map_or(0, |data| data.len() as u64),
            Ok(Some(Err(_))) | Err(_) => return closing_response(StatusCode::BAD_REQUEST, text),
        }
    }
    discard_in_background(client, discard_body(body));
    closing_response(status, text)
}

/// Returns the headers to forward to a backend.
fn forwarded_headers(mut headers: HeaderMap) -> HeaderMap {
    for name in UNFORWARDED_HEADERS {
        headers.remove(name);
    }
    headers
}
