//! Relays an event stream from a replica to the caller, and resumes it at another replica if the connection breaks.

use std::time::Duration;

use coord::relay_buffer::Eviction;
use coord::roster::Record;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Frame;
use platform::headers;
use tokio::time::Instant;

use super::call::{OpenResponse, PendingRequest, ReplicaSlot};
use super::caller_stream::{self, CallerLoss, CallerStream};
use super::now;
use super::quarantine::{self, Attempt};
use super::response::{BodyError, CallerResponse};
use super::sse::Splitter;
use super::upstream::Framing;
use crate::{event, metric};

/// Bounds the time to read data that has already been received, after the deadline: some iterations of the event loop.
const RECEIVED_DATA_TIMEOUT: Duration = Duration::from_millis(5);
/// Bounds the time for which data received before the deadline is relayed after it: much longer than a complete
/// response takes.
const LATE_RELAY_TIMEOUT: Duration = Duration::from_millis(100);

/// Time without reading from a replica after which the loss of its connection is attributed to the caller, since
/// replicas close connections whose data stays unread.
const MIN_BLAMELESS_PAUSE: Duration = Duration::from_secs(1);

/// Reason why the stream from one replica ended.
enum StreamEnd {
    /// The replica completed the stream.
    Complete,
    /// The connection to the replica broke, with this error.
    Interrupted(String),
    /// The caller closed its connection or was evicted.
    CallerLost(CallerLoss),
    /// The deadline of the request passed.
    DeadlineExceeded,
}

/// Starts relaying a stream. Returns the response with the head of the replica's response and a body that carries the
/// events as they arrive.
pub fn stream_response(request: PendingRequest, opened: OpenResponse) -> CallerResponse {
    let mut headers = headers::end_to_end(opened.response.headers());
    // A resumed stream may have another length; the chunked encoding marks its end.
    headers.remove(hyper::header::CONTENT_LENGTH);
    let status = opened.response.status();
    let (caller, body) = if request.gateway.settings.has_contention {
        request.gateway.relay_buffers.open()
    } else {
        caller_stream::open_channel()
    };
    let relay = Relay {
        request,
        caller,
        splitter: Splitter::default(),
        last_event_id: None,
        event_count: 0,
        awaits_first_event: true,
        framing: Framing::of(opened.response.headers()),
        longest_pause: Duration::ZERO,
        is_continuation: false,
    };
    tokio::task::spawn_local(relay.run(opened));
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Stream that is relayed to a caller from one replica, or from several in turn.
struct Relay {
    request: PendingRequest,
    /// Stream to the caller.
    caller: Box<dyn CallerStream>,
    splitter: Splitter,
    /// Id of the last event that was relayed.
    last_event_id: Option<u64>,
    /// Number of events that were relayed.
    event_count: u64,
    /// Whether the current replica has sent no event yet.
    awaits_first_event: bool,
    /// Framing of the current replica's response.
    framing: Framing,
    /// Longest time for which the current replica was not read because its caller read slowly.
    longest_pause: Duration,
    /// Whether the current stream goes on after an event that the caller has, so that it may be empty.
    is_continuation: bool,
}

impl Relay {
    /// Relays the stream to its end, from each replica that resumes it.
    async fn run(mut self, mut opened: OpenResponse) {
        loop {
            let end = self.relay_from(&mut opened).await;
            let OpenResponse { record, connection, slot, attempt, .. } = opened;
            connection.close();
            // A resumed stream gets a new slot: the planner must not count the current one beside it.
            drop(slot);
            match self.handle_end(end, &record, attempt).await {
                Some(next) => opened = next,
                None => break,
            }
        }
        // The request stays active until its caller has all data, so that a shutdown waits for it.
        if let Err(CallerLoss::Evicted(eviction)) = self.caller.wait_until_read().await {
            self.abort_evicted(eviction);
        }
    }

    /// Relays the stream of one replica until it ends.
    async fn relay_from(&mut self, opened: &mut OpenResponse) -> StreamEnd {
        self.awaits_first_event = true;
        self.framing = Framing::of(opened.response.headers());
        self.longest_pause = Duration::ZERO;
        self.is_continuation = self.last_event_id.or(self.request.request_head.last_event_id).is_some();
        let deadline = Instant::now() + self.request.time_left();
        let mut late_since = None;
        loop {
            if Instant::now() >= deadline && late_since.get_or_insert_with(Instant::now).elapsed() > LATE_RELAY_TIMEOUT
            {
                return StreamEnd::DeadlineExceeded;
            }
            if !self.caller.has_room()
                && let Err(end) = self.pause(deadline).await
            {
                return end;
            }
            let frame = tokio::select! {
                biased;
                frame = opened.response.body_mut().frame() => frame,
                loss = self.caller.wait_for_loss() => return StreamEnd::CallerLost(loss),
                // Data received before the deadline is still relayed: after a suspension of the process, the data and
                // the expired deadline are seen at the same time.
                () = tokio::time::sleep_until(deadline) => {
                    match tokio::time::timeout(RECEIVED_DATA_TIMEOUT, opened.response.body_mut().frame()).await {
                        Ok(frame) => frame,
                        Err(_) => return StreamEnd::DeadlineExceeded,
                    }
                }
            };
            let data = match frame {
                None => return self.handle_end_of_body().await,
                Some(Err(error)) => return StreamEnd::Interrupted(error.to_string()),
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            opened.attempt.record_data();
            self.splitter.push(&data);
            // A caller that reads nothing holds its replica no longer than any other request.
            let late_deadline = deadline.max(Instant::now()) + LATE_RELAY_TIMEOUT;
            match tokio::time::timeout_at(late_deadline, self.relay_events(&opened.slot, &opened.attempt)).await {
                Ok(Ok(())) => {}
                Ok(Err(loss)) => return StreamEnd::CallerLost(loss),
                Err(_) => return StreamEnd::DeadlineExceeded,
            }
            if self.splitter.is_overlong() {
                return StreamEnd::Interrupted("the stream sent too many bytes without an event".to_owned());
            }
        }
    }

    /// Waits until there is room for more data of the replica. Returns the end of the stream if it comes first.
    async fn pause(&mut self, deadline: Instant) -> Result<(), StreamEnd> {
        let paused_at = Instant::now();
        tokio::select! {
            () = self.caller.wait_for_room() => {}
            loss = self.caller.wait_for_loss() => return Err(StreamEnd::CallerLost(loss)),
            () = tokio::time::sleep_until(deadline) => return Err(StreamEnd::DeadlineExceeded),
        }
        self.longest_pause = self.longest_pause.max(paused_at.elapsed());
        Ok(())
    }

    /// Relays the complete events that have arrived.
    async fn relay_events(&mut self, slot: &ReplicaSlot, attempt: &Attempt) -> Result<(), CallerLoss> {
        while let Some(event) = self.splitter.next() {
            if self.event_count == 0 {
                let after = now().since(self.request.started);
                event!("first-event", request = %self.request.request_head.id, after_ms = after.as_millis());
                metric::record_first_event(&self.request.route.name, after);
            }
            if self.awaits_first_event {
                self.awaits_first_event = false;
                slot.report_first_event();
                attempt.record_event();
                quarantine::record_answer(&self.request.gateway, &self.request.identity.parts);
            }
            self.event_count += 1;
            self.last_event_id = event.id.or(self.last_event_id);
            self.caller.send(Ok(Frame::data(event.bytes))).await?;
        }
        Ok(())
    }

    /// Handles the end of a response body that ended without an error. It does not prove that the stream is complete: the
    /// connection of a replica that crashes closes as that of one that is done.
    async fn handle_end_of_body(&mut self) -> StreamEnd {
        if self.splitter.is_inside_event() {
            return StreamEnd::Interrupted("the stream ended inside an event".to_owned());
        }
        // A prompt has at least one event, so a connection that closed before it has lost the stream.
        if self.framing == Framing::Close && self.awaits_first_event && !self.is_continuation {
            return StreamEnd::Interrupted("the connection closed before the first event".to_owned());
        }
        self.relay_remainder().await
    }

    /// Relays the bytes after the last event of a completed stream.
    async fn relay_remainder(&mut self) -> StreamEnd {
        let remainder = self.splitter.take_remainder();
        if remainder.is_empty() {
            return StreamEnd::Complete;
        }
        match self.caller.send(Ok(Frame::data(remainder))).await {
            Ok(()) => StreamEnd::Complete,
            Err(loss) => StreamEnd::CallerLost(loss),
        }
    }

    /// Logs the end of one replica's stream. Returns the stream that resumes it at another replica, if there is one.
    async fn handle_end(&mut self, end: StreamEnd, record: &Record, attempt: Attempt) -> Option<OpenResponse> {
        let peer = &*record.id;
        let id = self.request.request_head.id.clone();
        let after_ms = now().since(self.request.started).as_millis();
        let attempt = match self.longest_pause < MIN_BLAMELESS_PAUSE {
            true => Some(attempt),
            // While this entry did not read, the replica could not show life.
            false => {
                attempt.close();
                None
            }
        };
        match end {
            StreamEnd::Complete => {
                event!("done", request = %id, peer, events = self.event_count, framing = self.framing.as_str(), after_ms);
                metric::record_request("ok");
                if let Some(attempt) = attempt {
                    attempt.close();
                }
                // A stream that resumes behind its last event completes without any work on the request.
                if !self.awaits_first_event {
                    quarantine::record_completion(&self.request.gateway, &self.request.identity);
                }
                None
            }
            StreamEnd::CallerLost(CallerLoss::Evicted(_)) => {
                metric::record_request("slow_caller");
                None
            }
            StreamEnd::CallerLost(CallerLoss::Gone) => {
                event!("caller-gone", request = %id, peer, events = self.event_count, after_ms);
                metric::record_request("caller_gone");
                None
            }
            StreamEnd::DeadlineExceeded => {
                event!("give-up", request = %id, peer, code = "deadline", events = self.event_count, after_ms);
                self.abort("deadline").await
            }
            StreamEnd::Interrupted(error) => {
                event!("broke", request = %id, work = %self.request.identity.work, peer, events = self.event_count, framing = self.framing.as_str(), silent = self.awaits_first_event, paused_ms = self.longest_pause.as_millis(), after_ms, error = %error);
                if let Some(attempt) = attempt {
                    self.request.gateway.admission.record_failure(&self.request.service, peer);
                    attempt.report_lost().await;
                }
                self.resume().await
            }
        }
    }

    /// Resumes an interrupted stream at another replica. Aborts it if that is not allowed or fails.
    async fn resume(&mut self) -> Option<OpenResponse> {
        self.splitter.clear();
        if !self.request.may_resume() {
            return self.abort("broken").await;
        }
        let last_event_id = self.last_event_id.or(self.request.request_head.last_event_id);
        let time_left = self.request.time_left();
        let opened = tokio::select! {
            opened = tokio::time::timeout(time_left, self.request.open_response(last_event_id)) => opened,
            _ = self.caller.wait_for_loss() => return None,
        };
        match opened {
            Ok(Ok(opened)) if opened.response.status().is_success() => Some(opened),
            _ => self.abort("broken").await,
        }
    }

    /// Aborts the stream by closing the caller's connection, so that the caller does not take it for a complete stream.
    async fn abort(&mut self, code: &'static str) -> Option<OpenResponse> {
        event!("give-up", request = %self.request.request_head.id, code, ran = "partial", events = self.event_count);
        metric::record_request(code);
        let end = self.caller.send(Err(BodyError));
        // A send fails only if the caller is lost. It waits for a caller that reads nothing.
        if tokio::time::timeout(RECEIVED_DATA_TIMEOUT, end).await.is_err() {
            self.request.abort_connection();
        }
        None
    }

    /// Closes the connection of a caller whose buffered data was discarded.
    fn abort_evicted(&self, eviction: Eviction) {
        event!("give-up", request = %self.request.request_head.id, code = "slow_caller", reason = "unread data fills the buffers of all callers",
            events = self.event_count, unread_bytes = eviction.bytes, unread_ms = eviction.unread_for.as_millis());
        metric::record_evicted_caller();
        self.request.abort_connection();
    }
}
