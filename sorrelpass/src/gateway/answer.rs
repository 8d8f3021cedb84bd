//! Answers to callers: their body, and the ones that are our own.

use axum::response::IntoResponse;
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::Response;
use hyper::header::{CONNECTION, HeaderValue};
use platform::dialect;

use crate::failure::Failure;

/// An answer's body broke off; the connection to the caller ends with it.
#[derive(Clone, Copy, Debug)]
pub struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for Broken {}

/// A body that we send to a caller.
pub type Body = UnsyncBoxBody<Bytes, Broken>;

/// An answer to a caller.
pub type Answer = Response<Body>;

/// A body of known bytes.
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// The answer that tells a caller of a failure.
pub fn failure(failure: Failure, id: &str) -> Answer {
    let retry_after = failure.retry_after;
    let mut response = failure.into_response().map(|body| body.map_err(|_| Broken).boxed_unsync());
    dialect::own_answer(response.headers_mut(), id, retry_after);
    response
}

/// Tells the caller not to use the connection again.
pub fn close_after(answer: &mut Answer) {
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}
