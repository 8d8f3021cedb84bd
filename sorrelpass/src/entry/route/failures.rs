//! Failures of requests that got no complete answer.

use std::time::Duration;

use axum::http::StatusCode;
use coord::claim::Binding;
use coord::name::ExecutionStatus;

use crate::failure::Failure;

/// `Retry-After` for failures that do not determine a better one.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Step of an attempt that failed because of the caller.
pub const CALLER_STEP: &str = "caller";
/// Error code of a call whose outcome can still be determined.
pub const LOST_CODE: &str = "upstream_lost";
/// Error code of a call whose outcome can no longer be determined.
pub const UNKNOWN_CODE: &str = "outcome_unknown";

impl Failure {
    /// Replaces the error code.
    pub fn with_code(mut self, code: &'static str) -> Self {
        self.code = code;
        self
    }
}

/// Returns the failure of a request whose attempt was lost and may have run.
pub fn attempt_lost(ran: ExecutionStatus, message: impl Into<String>) -> Failure {
    Failure::new(StatusCode::BAD_GATEWAY, LOST_CODE, message).with_ran(ran).with_retry_after(DEFAULT_RETRY_AFTER)
}

/// Returns the failure of a request whose key is bound to a sidecar incarnation that is gone.
pub fn outcome_unknown(binding: &Binding) -> Failure {
    let message = format!("the call is bound to {} run {}, which is gone", binding.endpoint, binding.incarnation);
    Failure::new(StatusCode::BAD_GATEWAY, UNKNOWN_CODE, message).with_ran(ExecutionStatus::Unknown)
}

/// Returns the failure of a request that the endpoint refused.
pub fn rejected_by_endpoint(status: u16, message: String) -> Failure {
    let response_status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let response_status = if response_status.is_client_error() { response_status } else { StatusCode::BAD_GATEWAY };
    Failure::new(response_status, "endpoint_rejected", message)
}

/// Returns the failure of a request that found the event loop stopped.
pub fn entry_stopping(error: eyre::Report) -> Failure {
    Failure::unavailable("stopping", error.to_string(), DEFAULT_RETRY_AFTER)
}
