//! One attempt to send a request to a replica, and the classification of its response.

use std::time::Duration;

use coord::invariant;
use coord::name::Name;
use coord::quarantine::Weight;
use coord::roster::Record;
use hyper::StatusCode;
use platform::dialect;

use super::super::attempt::{self, Failed};
use super::super::place::{ERROR_ANSWER, NO_ANSWER, REFUSAL};
use super::super::{leaving, limits, now, rests};
use super::target::{Place, Target};
use super::{Job, Opened};
use crate::{event, metric, util};

/// Outcome of an attempt.
pub(super) enum Sent {
    /// The replica opened a response that can be forwarded.
    Opened(Box<Opened>),
    /// The replica proved that it did not execute the request. Contains the retry delay that the replica asked for.
    NotRun(Option<Duration>),
    /// The replica may have executed the request, and no usable response arrived.
    Lost,
    /// The connection failed, so the replica never received the request.
    Unsent,
    /// The request was not sent because its deadline has passed.
    Late,
    /// The request was not sent because the replica no longer accepts new requests.
    Barred,
    /// The request was not sent, or was aborted, because it is condemned.
    Condemned,
    /// The engines were unresponsive for longer than expected. Contains the next target, whose retry has been charged
    /// to the budget.
    Silent(Box<Target>),
}

impl Job {
    /// Makes one attempt at one replica.
    pub(super) async fn send(&mut self, target: Target, after_event: Option<u64>) -> Sent {
        // Every attempt passes this check, after all waits.
        if self.is_condemned() {
            return Sent::Condemned;
        }
        // Timers do not run while a VM is suspended, so the deadline is checked again here.
        if self.left().is_zero() {
            return Sent::Late;
        }
        if self.gateway.open_replica(&target.record.id).is_none() {
            event!("not-sent", request = %self.call.id, peer = %target.record.id);
            return Sent::Barred;
        }
        let Target { record, helpers, place } = target;
        metric::sent(&record.failure_domain, util::wall());
        let begun = now();
        self.tried.push(record.id.clone());
        let head = self.head(&record, helpers, after_event);
        event!("send", request = %self.call.id, peer = %record.id, helpers = head.helpers.len(), number = self.sends + 1, left_ms = head.left.as_millis(),
            after_event = after_event.map_or(-1, |event| event as i64));
        let may_run = self.runs == 0 || self.route.repeatable();
        invariant!(may_run, "a request that may run once is not sent again after it may have run");
        let first = self.sends == 0;
        // Counted before the send, since the replica may have executed the request if the deadline passes during the
        // send.
        self.sends += 1;
        self.runs += 1;
        let sent = tokio::select! {
            // A response that has arrived counts, even if the attempt is given up at the same time.
            biased;
            sent = attempt::send(&record, &self.outgoing, &head) => sent,
            next = self.elsewhere(&place) => return Sent::Silent(Box::new(next)),
            // If the attempt is aborted before the replica starts the request, the replica does not crash.
            () = self.gateway.quarantine.condemned(self.work) => return Sent::Condemned,
        };
        if first && !matches!(sent, Err(Failed::Unsent(_))) {
            self.gateway.note_first(&self.service);
        }
        match sent {
            Ok((response, connection)) => self.judge(Opened { record, response, connection, place, sent: begun }),
            Err(Failed::Lost(error)) => {
                self.blame(&record.id, NO_ANSWER);
                event!("lost", request = %self.call.id, work = %self.work, peer = %record.id, error = %error);
                // An engine opens its response when it starts the prompt, so before that the prompt may only have been
                // queued. A plain replica may run a request for a long time before it responds.
                let weight = if self.has_engines() { Weight::Faint } else { Weight::Strong };
                self.connection_lost(&record, begun, weight).await;
                Sent::Lost
            }
            Err(Failed::Unsent(error)) => {
                self.sends -= 1;
                self.runs -= 1;
                self.unreached += 1;
                self.blame(&record.id, NO_ANSWER);
                event!("unreached", request = %self.call.id, peer = %record.id, error = %error);
                Sent::Unsent
            }
        }
    }

    /// Returns another target if the current engines are unresponsive, the retry budget of the service allows another
    /// attempt, and other engines are free. Otherwise, and if the request may not be sent again, the future never
    /// completes. Meanwhile a response of the current engines is still accepted, so that a false alarm costs nothing
    /// while other engines are busy.
    async fn elsewhere(&self, place: &Place) -> Target {
        let silent_after = match place.silent_after() {
            Some(silent_after) if self.may_repeat() => silent_after,
            _ => return std::future::pending().await,
        };
        tokio::time::sleep(silent_after).await;
        if !self.take_retry() {
            return std::future::pending().await;
        }
        event!("silent", request = %self.call.id, peer = self.tried.last().map_or("", |id| id), after_ms = silent_after.as_millis());
        place.silent();
        match self.target().await {
            Ok(target) => target,
            Err(_) => std::future::pending().await,
        }
    }

    /// Returns the values that this attempt adds to the caller's headers.
    fn head(&self, record: &Record, helpers: Vec<dialect::Helper>, after_event: Option<u64>) -> dialect::Send {
        dialect::Send {
            replica: record.id.clone(),
            left: self.left(),
            workspace: self.workspace.as_ref().map(|workspace| workspace.name.clone()),
            helpers,
            after_event,
            priority: None,
        }
    }

    /// Classifies a response head, and applies what it reports about the replica.
    fn judge(&mut self, opened: Opened) -> Sent {
        let answer = dialect::answer(opened.response.status(), opened.response.headers(), &self.call.id);
        let record = &opened.record;
        limits::said(&self.gateway, record, &answer, opened.sent);
        leaving::said(&self.gateway, record, &answer);
        rests::said(&self.gateway, record, &answer);
        if let Some(load) = answer.load {
            self.gateway.placer.borrow_mut().told(&record.id, load);
        }
        if answer.not_run {
            return self.refused(record, &answer);
        }
        let (usable, error) = (is_usable(&answer), answer.status.is_server_error());
        match (usable, error) {
            (false, _) => self.blame(&record.id, NO_ANSWER),
            (true, true) => self.blame(&record.id, ERROR_ANSWER),
            (true, false) => self.gateway.placer.borrow_mut().succeeded(&record.id),
        }
        if !usable || (error && self.may_repeat()) {
            event!("lost", request = %self.call.id, peer = %record.id, status = answer.status.as_u16(), ours = answer.ours, sealed = answer.sealed);
            return Sent::Lost;
        }
        Sent::Opened(Box::new(opened))
    }

    /// Records that a replica failed the request. For a plain replica, `share` is the part of the failure that is
    /// attributed to it.
    pub(super) fn blame(&self, replica: &Name, share: f64) {
        if self.has_engines() {
            self.gateway.desk.failed(&self.service, replica);
        } else {
            self.gateway.placer.borrow_mut().failed(replica, share);
        }
    }

    /// Handles a replica's proof that it did not execute the request, and records the failure of the responsible
    /// replica.
    fn refused(&mut self, record: &Record, answer: &dialect::Answer) -> Sent {
        let rest = answer.rest().unwrap_or_default();
        event!("not-run", request = %self.call.id, peer = %record.id, status = answer.status.as_u16(), at_fault = answer.at_fault.as_deref().unwrap_or(""),
            rest_ms = rest.as_millis());
        self.runs -= 1;
        let at_fault = self.at_fault(record, answer);
        self.blame(&at_fault, REFUSAL);
        if answer.displaced && at_fault == record.id {
            self.gateway.displaced(&record.id);
        }
        Sent::NotRun(answer.retry_after)
    }

    /// Returns the replica that is responsible for a refusal: the replica that the response names, or else the one that
    /// responded.
    fn at_fault(&self, record: &Record, answer: &dialect::Answer) -> Name {
        let roster = self.gateway.roster.borrow();
        let named = answer.at_fault.as_ref().and_then(|address| {
            let of_address = |record: &&Record| record.address == *address || record.id == *address;
            roster.living(&self.service).map(|replica| &replica.record).find(of_address)
        });
        named.unwrap_or(record).id.clone()
    }
}

/// Returns whether a response can be forwarded: it belongs to this request, it has a seal if it reports success, and
/// its status does not promise without proof that the request was not executed.
fn is_usable(answer: &dialect::Answer) -> bool {
    let vouched = answer.sealed || !answer.status.is_success();
    answer.ours && vouched && !promises_not_run(answer.status)
}

/// Returns whether callers understand the status as a promise that the request was not executed. Such a status is
/// forwarded only with proof.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
