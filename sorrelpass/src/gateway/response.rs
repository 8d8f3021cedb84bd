//! Responses to callers: their body type, and the error responses that this process generates itself.

use axum::response::IntoResponse;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Response;
use hyper::header::{CONNECTION, HeaderValue};
use platform::headers;

use crate::failure::Failure;

/// Reports that a response body ended early. hyper then closes the caller's connection, so that the caller does not
/// take the partial body for a complete one.
#[derive(Clone, Copy, Debug)]
pub struct BodyError;

impl std::fmt::Display for BodyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("response body ended early")
    }
}

impl std::error::Error for BodyError {}

/// Body of a response to a caller, either buffered or streamed.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// HTTP response to a caller.
pub type CallerResponse = Response<Body>;

/// Builds the error response for `failure`. The response carries the caller's request id and, if the failure has one,
/// the `retry-after` header.
pub fn error_response(failure: Failure, id: &str) -> CallerResponse {
    let retry_after = failure.retry_after;
    let mut response = failure.into_response().map(|body| body.map_err(|_| BodyError).boxed_unsync());
    headers::set_response_headers(response.headers_mut(), id, retry_after);
    response
}

/// Sets `connection: close`, so that the caller does not reuse the connection.
pub fn close_after(response: &mut CallerResponse) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}
