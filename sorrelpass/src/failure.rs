//! Failure responses to callers and operators.

use std::time::Duration;

use axum::http::{HeaderName, HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use coord::name::ExecutionStatus;
use serde_json::{Value, json};

use crate::util;

/// Header of a failure response that says whether the request ran.
pub const RAN: HeaderName = HeaderName::from_static("x-sorrelpass-ran");

/// Failure of a request that got no complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// HTTP status code of the response.
    pub status: StatusCode,
    /// Stable machine-readable error code.
    pub code: &'static str,
    /// Human-readable description.
    pub message: String,
    /// Whether the request ran.
    pub ran: ExecutionStatus,
    /// Time after which the caller may retry; `None` if a retry does not help.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// Creates a failure of a request that did not run.
    pub fn new(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self { status, code, message: message.into(), ran: ExecutionStatus::No, retry_after: None }
    }

    /// Creates a failure with status 400, for a request that is invalid.
    pub fn bad_request(code: &'static str, message: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, code, message)
    }

    /// Creates a failure with status 503, for a temporary lack of a resource; the caller may retry after `wait`.
    pub fn unavailable(code: &'static str, message: impl Into<String>, wait: Duration) -> Self {
        Self::new(StatusCode::SERVICE_UNAVAILABLE, code, message).with_retry_after(wait)
    }

    /// Sets the time after which the caller may retry.
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Sets whether the request ran.
    pub fn with_ran(mut self, ran: ExecutionStatus) -> Self {
        self.ran = ran;
        self
    }

    /// Returns the JSON body of the response.
    pub fn body(&self) -> Value {
        json!({
            "error": { "code": self.code, "message": self.message, "type": self.error_type() },
            "ran": self.ran,
            "retry_after_ms": self.retry_after.map(util::millis_ceil),
        })
    }

    /// Returns the `type` of the error, which follows from the status.
    fn error_type(&self) -> &'static str {
        match self.status {
            StatusCode::UNAUTHORIZED => "authentication_error",
            StatusCode::FORBIDDEN => "permission_error",
            StatusCode::NOT_FOUND => "not_found_error",
            StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
            StatusCode::GATEWAY_TIMEOUT => "timeout_error",
            status if status.is_client_error() => "invalid_request_error",
            _ => "server_error",
        }
    }
}

impl IntoResponse for Failure {
    fn into_response(self) -> Response {
        let mut response = (self.status, axum::Json(self.body())).into_response();
        let headers = response.headers_mut();
        headers.insert(RAN, HeaderValue::from_static(self.ran.as_str()));
        if let Some(wait) = self.retry_after {
            let seconds = util::millis_ceil(wait).div_ceil(1_000);
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
