//! Responses that the node gives its clients.

use crate::body::StreamedResponse;
use crate::client_connection::BusyGuard;
use crate::driver::Answer;
use crate::upstream::{BackendBody, BackendResponse};
use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// Retry delay sent to clients when the node has reached its limit of open requests, memory or transfer slots.
pub const FULL_RETRY_AFTER_MS: f64 = 1000.0;

/// Body of a response to a client.
pub type ClientBody = Either<Full<Bytes>, StreamedResponse<BusyGuard>>;

/// Returns a response with a text body.
pub fn text_response(status: StatusCode, text: &'static str) -> Response<ClientBody> {
    let mut response = Response::new(Either::Left(Full::new(Bytes::from_static(text.as_bytes()))));
    *response.status_mut() = status;
    response
}

/// Returns a response that closes the connection, because the rest of the client's data cannot be parsed or
/// is unwanted.
pub fn closing_response(status: StatusCode, text: &'static str) -> Response<ClientBody> {
    let mut response = text_response(status, text);
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Returns the response to a client that writes its body too slowly or not at all.
pub fn body_timeout_response() -> Response<ClientBody> {
    closing_response(StatusCode::REQUEST_TIMEOUT, "the body did not come in time\n")
}

/// Adds a `Content-Type` header, if there is one, to a response.
pub fn with_content_type(
    mut response: Response<ClientBody>,
    content_type: Option<HeaderValue>,
) -> Response<ClientBody> {
    if let Some(content_type) = content_type {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    response
}

/// Converts an answer with a complete body to a response for the client.
pub fn buffered_response(answer: Answer) -> Response<ClientBody> {
    match answer {
        Answer::Served(BackendResponse { body: BackendBody::Complete(body), content_type, .. }) => {
            with_content_type(Response::new(Either::Left(Full::new(body))), content_type)
        }
        Answer::Refused { retry_after_ms } => {
            let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "try again later\n");
            if retry_after_ms > 0.0
                && let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", retry_after_ms / 1000.0))
            {
                response.headers_mut().insert(RETRY_AFTER, seconds);
            }
            response
        }
        Answer::Rejected(status) => text_response(status, "a backend finds the request wrong\n"),
        Answer::Failed | Answer::Served(_) => text_response(StatusCode::BAD_GATEWAY, "failed\n"),
    }
}
