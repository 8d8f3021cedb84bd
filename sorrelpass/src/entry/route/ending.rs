//! How a request ends that came to no whole answer.

use std::time::Duration;

use axum::http::StatusCode;
use coord::claim::Binding;
use coord::name::Ran;

use crate::failure::Failure;

/// When to come back after a failure that tells nothing.
pub const PLAIN_RETRY: Duration = Duration::from_millis(500);
/// Step of a failure on the caller's side.
pub const CALLER: &str = "caller";
/// Code of a call whose outcome may still be learned.
pub const LOST: &str = "upstream_lost";
/// Code of a call whose outcome can no longer be learned.
pub const UNKNOWN: &str = "outcome_unknown";

impl Failure {
    /// Gives the failure another code.
    pub fn code(mut self, code: &'static str) -> Self {
        self.code = code;
        self
    }
}

/// An attempt that may have run was lost.
pub fn lost(ran: Ran, message: impl Into<String>) -> Failure {
    Failure::new(StatusCode::BAD_GATEWAY, LOST, message).ran(ran).after(PLAIN_RETRY)
}

/// The run that a key is bound to is gone.
pub fn outcome_unknown(binding: &Binding) -> Failure {
    let message = format!("the call is bound to {} run {}, which is gone", binding.endpoint, binding.incarnation);
    Failure::new(StatusCode::BAD_GATEWAY, UNKNOWN, message).ran(Ran::Unknown)
}

/// The endpoint refused the call itself.
pub fn rejected(status: u16, message: String) -> Failure {
    let code = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let code = if code.is_client_error() { code } else { StatusCode::BAD_GATEWAY };
    Failure::new(code, "endpoint_rejected", message)
}

/// A thread of this process has stopped.
pub fn stopping(error: eyre::Report) -> Failure {
    Failure::busy("stopping", error.to_string(), PLAIN_RETRY)
}
