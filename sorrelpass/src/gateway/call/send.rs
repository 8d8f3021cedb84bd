//! One attempt to send a request to a replica, and the classification of its response.

use std::time::Duration;

use coord::invariant;
use coord::name::Name;
use coord::roster::Record;
use hyper::StatusCode;
use platform::headers;

use super::super::quarantine::Attempt;
use super::super::replica_picker::{ERROR_RESPONSE_WEIGHT, NO_RESPONSE_WEIGHT, REFUSAL_WEIGHT};
use super::super::upstream::{self, SendError};
use super::super::{backoff, draining, limits};
use super::target::{ReplicaSlot, Target};
use super::{OpenResponse, PendingRequest};
use crate::http::is_final;
use crate::{event, metric, util};

/// Outcome of an attempt.
pub(super) enum Outcome {
    /// The replica opened a response that can be forwarded.
    Opened(Box<OpenResponse>),
    /// The replica proved that it did not execute the request. Contains the retry delay that the replica asked for.
    NotExecuted(Option<Duration>),
    /// The replica may have executed the request, and no usable response arrived.
    ResponseLost,
    /// The connection failed, so the replica never received the request.
    NotSent,
    /// The request was not sent because no header can carry what replicas have to be told with it.
    Unsendable,
    /// The request was not sent because its deadline has passed.
    DeadlinePassed,
    /// The request was not sent because the replica no longer accepts new requests.
    ReplicaClosed,
    /// The request was not sent, or was aborted, because it is condemned.
    Condemned,
    /// The engines were unresponsive for longer than expected. Contains the next target, whose retry has been charged
    /// to the budget.
    Unresponsive(Box<Target>),
}

impl PendingRequest {
    /// Makes one attempt at one replica.
    pub(super) async fn send(&mut self, target: Target, last_event_id: Option<u64>) -> Outcome {
        // Every attempt passes this check, after all waits.
        if self.is_condemned() {
            return Outcome::Condemned;
        }
        // Timers do not run while a VM is suspended, so the deadline is checked again here.
        if self.time_left().is_zero() {
            return Outcome::DeadlinePassed;
        }
        if self.gateway.available_replica(&target.record.id).is_none() {
            event!("not-sent", request = %self.request_head.id, peer = %target.record.id);
            return Outcome::ReplicaClosed;
        }
        let Target { record, helpers, slot } = target;
        metric::record_send_time(&record.failure_domain, util::wall_clock());
        self.tried_replicas.push(record.id.clone());
        let head = self.upstream_head(&record, helpers, last_event_id);
        event!("send", request = %self.request_head.id, peer = %record.id, helpers = head.helpers.len(), number = self.attempts + 1, left_ms = head.time_left.as_millis(),
            after_event = last_event_id.map_or(-1, |event| event as i64));
        let can_run = self.possible_executions == 0 || self.route.is_retryable();
        invariant!(can_run, "a request that may run once is not sent again after it may have run");
        // Counted before the send, since the replica may have executed the request if the deadline passes during the
        // send.
        self.attempts += 1;
        self.possible_executions += 1;
        let has_slow_callers = self.gateway.settings.has_contention;
        let attempt = Attempt::begin(&self.gateway, &self.request_head.id, &self.identity, &record, self.has_engines());
        let result = tokio::select! {
            // A response that has arrived takes precedence over the reasons to give up the attempt.
            biased;
            result = upstream::send(&record, &self.upstream_request, &head, has_slow_callers) => result,
            next = self.fallback_target(&slot) => return Outcome::Unresponsive(Box::new(next)),
            // If the attempt is aborted before the replica starts the request, the replica does not crash.
            () = self.gateway.quarantine.wait_until_condemned(&self.identity) => {
                attempt.close();
                return Outcome::Condemned;
            }
        };
        match result {
            Ok((response, connection)) => {
                self.classify(OpenResponse { record, response, connection, slot, attempt }).await
            }
            Err(SendError::ConnectionLost(error)) => {
                self.record_failure(&record.id, NO_RESPONSE_WEIGHT);
                event!("lost", request = %self.request_head.id, work = %self.identity.work, peer = %record.id, error = %error);
                attempt.report_lost().await;
                Outcome::ResponseLost
            }
            Err(SendError::NotBuilt(error)) => {
                attempt.close();
                self.revoke_attempt();
                event!("unsendable", request = %self.request_head.id, error = %error);
                Outcome::Unsendable
            }
            Err(SendError::NotConnected(error)) => {
                attempt.close();
                self.revoke_attempt();
                self.failed_connections += 1;
                self.record_failure(&record.id, NO_RESPONSE_WEIGHT);
                event!("connect-failed", request = %self.request_head.id, peer = %record.id, error = %error);
                Outcome::NotSent
            }
        }
    }

    /// Takes back the count of an attempt that reached no replica.
    fn revoke_attempt(&mut self) {
        self.attempts -= 1;
        self.possible_executions -= 1;
    }

    /// Returns another target if the current engines are unresponsive, the retry budget of the service allows another
    /// attempt, and other engines are free. Otherwise, and if the request may not be sent again, the future never
    /// completes. Meanwhile a response of the current engines is still accepted, so that a false alarm costs nothing
    /// while other engines are busy.
    async fn fallback_target(&self, slot: &ReplicaSlot) -> Target {
        let timeout = match slot.unresponsive_after() {
            Some(timeout) if self.can_retry() => timeout,
            _ => return std::future::pending().await,
        };
        tokio::time::sleep(timeout).await;
        if !self.try_retry() {
            return std::future::pending().await;
        }
        event!("engines-unresponsive", request = %self.request_head.id, peer = self.tried_replicas.last().map_or("", |id| id), after_ms = timeout.as_millis());
        slot.report_unresponsive();
        match self.choose_target().await {
            Ok(target) => target,
            Err(_) => std::future::pending().await,
        }
    }

    /// Returns the values that this attempt adds to the caller's headers.
    fn upstream_head(
        &self,
        record: &Record,
        helpers: Vec<headers::Helper>,
        last_event_id: Option<u64>,
    ) -> headers::UpstreamHead {
        headers::UpstreamHead {
            replica: record.id.clone(),
            time_left: self.time_left(),
            workspace: self.workspace.as_ref().map(|workspace| workspace.name.clone()),
            helpers,
            last_event_id,
            priority: None,
        }
    }

    /// Classifies a response head, and applies what it reports about the replica.
    async fn classify(&mut self, opened: OpenResponse) -> Outcome {
        let response =
            headers::decode_response(opened.response.status(), opened.response.headers(), &self.request_head.id);
        let record = &opened.record;
        if response.matches_request {
            opened.attempt.record_head();
        }
        limits::observe_response(&self.gateway, record, &response, opened.attempt.sent_at());
        draining::observe_response(&self.gateway, record, &response);
        backoff::observe_response(&self.gateway, record, &response);
        if let Some(load) = response.load {
            self.gateway.replica_picker.borrow_mut().record_load(&record.id, load);
        }
        if response.proves_not_executed() {
            let outcome = self.handle_refusal(record, &response);
            opened.attempt.close();
            return outcome;
        }
        let (is_usable, is_error) = (is_usable(&response), response.status.is_server_error());
        match (is_usable, is_error) {
            (false, _) => self.record_failure(&record.id, NO_RESPONSE_WEIGHT),
            (true, true) => self.record_failure(&record.id, ERROR_RESPONSE_WEIGHT),
            (true, false) => self.gateway.replica_picker.borrow_mut().record_success(&record.id),
        }
        if is_usable && !(is_error && self.can_retry()) {
            return Outcome::Opened(Box::new(opened));
        }
        event!("lost", request = %self.request_head.id, work = %self.identity.work, peer = %record.id, status = response.status.as_u16(), matches_request = response.matches_request, sealed = response.is_sealed);
        let OpenResponse { connection, slot, attempt, .. } = opened;
        connection.close();
        drop(slot);
        if response.matches_request {
            attempt.close();
        } else {
            // What answered is not the process that has the request.
            attempt.report_lost().await;
        }
        Outcome::ResponseLost
    }

    /// Records that a replica failed the request. For a plain replica, `fault_share` is the part of the failure that is
    /// attributed to it.
    pub(super) fn record_failure(&self, replica: &Name, fault_share: f64) {
        if self.has_engines() {
            self.gateway.admission.record_failure(&self.service, replica);
        } else {
            self.gateway.replica_picker.borrow_mut().record_failure(replica, fault_share);
        }
    }

    /// Handles a replica's proof that it did not execute the request, and records the failure of the responsible
    /// replica.
    fn handle_refusal(&mut self, record: &Record, response: &headers::ResponseHead) -> Outcome {
        let backoff = response.backoff().unwrap_or_default();
        event!("not-run", request = %self.request_head.id, peer = %record.id, status = response.status.as_u16(), responsible = response.responsible_address.as_deref().unwrap_or(""),
            backoff_ms = backoff.as_millis());
        self.possible_executions -= 1;
        let responsible = self.responsible_replica(record, response);
        self.record_failure(&responsible, REFUSAL_WEIGHT);
        self.gateway.replica_picker.borrow_mut().record_refusal(&responsible);
        if response.is_misdirected && responsible == record.id {
            self.gateway.remove_displaced(&record.id);
        }
        Outcome::NotExecuted(response.retry_after)
    }

    /// Returns the replica that is responsible for a refusal: the replica that the response names, or else the one that
    /// responded.
    fn responsible_replica(&self, record: &Record, response: &headers::ResponseHead) -> Name {
        let roster = self.gateway.roster.borrow();
        let named_replica = response.responsible_address.as_ref().and_then(|address| {
            let has_address = |record: &&Record| record.address == *address || record.id == *address;
            roster.alive(&self.service).map(|replica| &replica.record).find(has_address)
        });
        named_replica.unwrap_or(record).id.clone()
    }
}

/// Returns whether a response can be forwarded: it belongs to this request, its status is that of a response, it has a
/// seal if it reports success, and its status does not promise without proof that the request was not executed.
fn is_usable(response: &headers::ResponseHead) -> bool {
    let has_required_seal = response.is_sealed || !response.status.is_success();
    response.matches_request
        && is_final(response.status)
        && has_required_seal
        && !promises_not_executed(response.status)
}

/// Returns whether callers understand the status as a promise that the request was not executed. Such a status is
/// forwarded only with proof.
fn promises_not_executed(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
