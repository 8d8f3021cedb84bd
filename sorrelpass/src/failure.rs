//! Failures as callers and operators see them.

use std::time::Duration;

use axum::http::{HeaderName, HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use coord::name::Ran;
use serde_json::{Value, json};

use crate::util;

/// Header that says whether a failed request ran.
pub const RAN: HeaderName = HeaderName::from_static("x-sorrelpass-ran");

/// A request that came to no whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// HTTP status.
    pub status: StatusCode,
    /// Stable code for programs.
    pub code: &'static str,
    /// What happened, for people.
    pub message: String,
    /// Whether it ran.
    pub ran: Ran,
    /// When to come back, if coming back may help.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// A failure of a request that did not run.
    pub fn new(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self { status, code, message: message.into(), ran: Ran::No, retry_after: None }
    }

    /// The caller's own fault.
    pub fn bad_request(code: &'static str, message: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, code, message)
    }

    /// The system is short of something; come back after `wait`.
    pub fn busy(code: &'static str, message: impl Into<String>, wait: Duration) -> Self {
        Self::new(StatusCode::SERVICE_UNAVAILABLE, code, message).after(wait)
    }

    /// Says when to come back.
    pub fn after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Says whether it ran.
    pub fn ran(mut self, ran: Ran) -> Self {
        self.ran = ran;
        self
    }

    /// The failure's JSON body.
    pub fn body(&self) -> Value {
        json!({
            "error": { "code": self.code, "message": self.message, "type": self.kind() },
            "ran": self.ran,
            "retry_after_ms": self.retry_after.map(util::millis_up),
        })
    }

    fn kind(&self) -> &'static str {
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
            let seconds = util::millis_up(wait).div_ceil(1_000);
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
