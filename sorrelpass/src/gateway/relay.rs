//! Relays an event stream from a replica to the caller, and resumes it at another replica if the connection breaks.

use std::time::Duration;

use bytes::Bytes;
use coord::quarantine::Weight;
use coord::roster::Record;
use coord::time::Moment;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use platform::headers;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::call::{OpenResponse, PendingRequest, ReplicaSlot};
use super::response::{BodyError, CallerResponse};
use super::sse::Splitter;
use super::{now, quarantine};
use crate::{event, metric};

/// Bounds the number of events that wait for a caller that reads slowly. A full channel stops reading from the replica.
const CALLER_CHANNEL_CAPACITY: usize = 16;

/// Bounds the time to read data that has already been received, after the deadline: some iterations of the event loop.
const RECEIVED_DATA_TIMEOUT: Duration = Duration::from_millis(5);
/// Bounds the time for which data received before the deadline is relayed after it: much longer than a complete
/// response takes.
const LATE_RELAY_TIMEOUT: Duration = Duration::from_millis(100);

/// Frame of the response body to the caller. An error closes the caller's connection.
type BodyFrame = Result<Frame<Bytes>, BodyError>;

/// Reason why the stream from one replica ended.
enum StreamEnd {
    /// The replica completed the stream.
    Complete,
    /// The connection to the replica broke, with this error.
    Interrupted(String),
    /// The caller closed its connection.
    CallerGone,
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
    let (caller, receiver) = mpsc::channel::<BodyFrame>(CALLER_CHANNEL_CAPACITY);
    let relay = Relay {
        request,
        caller,
        splitter: Splitter::default(),
        last_event_id: None,
        event_count: 0,
        awaits_first_event: true,
    };
    tokio::task::spawn_local(relay.run(opened));
    let body = stream::unfold(receiver, |mut receiver| async { Some((receiver.recv().await?, receiver)) });
    let mut response = Response::new(StreamBody::new(body).boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Stream that is relayed to a caller from one replica, or from several in turn.
struct Relay {
    request: PendingRequest,
    /// Channel of frames for the caller.
    caller: mpsc::Sender<BodyFrame>,
    splitter: Splitter,
    /// Id of the last event that was relayed.
    last_event_id: Option<u64>,
    /// Number of events that were relayed.
    event_count: u64,
    /// Whether the current replica has sent no event yet.
    awaits_first_event: bool,
}

impl Relay {
    /// Relays the stream to its end, from each replica that resumes it.
    async fn run(mut self, mut opened: OpenResponse) {
        loop {
            let end = self.relay_from(&mut opened).await;
            let OpenResponse { record, connection, slot, sent_at, .. } = opened;
            connection.close();
            // A resumed stream gets a new slot: the planner must not count the current one beside it.
            drop(slot);
            match self.handle_end(end, &record, sent_at).await {
                Some(next) => opened = next,
                None => break,
            }
        }
    }

    /// Relays the stream of one replica until it ends.
    async fn relay_from(&mut self, opened: &mut OpenResponse) -> StreamEnd {
        self.awaits_first_event = true;
        let deadline = Instant::now() + self.request.time_left();
        let mut late_since = None;
        loop {
            if Instant::now() >= deadline && late_since.get_or_insert_with(Instant::now).elapsed() > LATE_RELAY_TIMEOUT
            {
                return StreamEnd::DeadlineExceeded;
            }
            let frame = tokio::select! {
                biased;
                frame = opened.response.body_mut().frame() => frame,
                () = self.caller.closed() => return StreamEnd::CallerGone,
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
                None => return self.relay_remainder().await,
                Some(Err(error)) => return StreamEnd::Interrupted(error.to_string()),
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            self.splitter.push(&data);
            if !self.relay_events(&opened.slot).await {
                return StreamEnd::CallerGone;
            }
        }
    }

    /// Relays the complete events that have arrived. Returns whether the caller is still connected.
    async fn relay_events(&mut self, slot: &ReplicaSlot) -> bool {
        while let Some(event) = self.splitter.next() {
            if self.event_count == 0 {
                let after = now().since(self.request.started);
                event!("first-event", request = %self.request.request_head.id, after_ms = after.as_millis());
                metric::record_first_event(&self.request.route.name, after);
            }
            if self.awaits_first_event {
                self.awaits_first_event = false;
                slot.report_first_event();
            }
            self.event_count += 1;
            self.last_event_id = event.id.or(self.last_event_id);
            if self.caller.send(Ok(Frame::data(event.bytes))).await.is_err() {
                return false;
            }
        }
        true
    }

    /// Relays the bytes after the last event of a completed stream.
    async fn relay_remainder(&mut self) -> StreamEnd {
        let remainder = self.splitter.take_remainder();
        if !remainder.is_empty() && self.caller.send(Ok(Frame::data(remainder))).await.is_err() {
            return StreamEnd::CallerGone;
        }
        StreamEnd::Complete
    }

    /// Logs the end of one replica's stream. Returns the stream that resumes it at another replica, if there is one.
    async fn handle_end(&mut self, end: StreamEnd, record: &Record, sent_at: Moment) -> Option<OpenResponse> {
        let peer = &*record.id;
        let id = self.request.request_head.id.clone();
        let after_ms = now().since(self.request.started).as_millis();
        match end {
            StreamEnd::Complete => {
                event!("done", request = %id, peer, events = self.event_count, after_ms);
                metric::record_request("ok");
                quarantine::record_success(&self.request.gateway, self.request.fingerprint);
                None
            }
            StreamEnd::CallerGone => {
                event!("caller-gone", request = %id, peer, events = self.event_count, after_ms);
                metric::record_request("caller_gone");
                None
            }
            StreamEnd::DeadlineExceeded => {
                event!("give-up", request = %id, peer, code = "deadline", events = self.event_count, after_ms);
                self.abort("deadline").await
            }
            StreamEnd::Interrupted(error) => {
                event!("broke", request = %id, work = %self.request.fingerprint, peer, events = self.event_count, silent = self.awaits_first_event, after_ms, error = %error);
                self.request.gateway.admission.record_failure(&self.request.service, peer);
                let weight = if self.awaits_first_event { Weight::Strong } else { Weight::Faint };
                self.request.report_lost_connection(record, sent_at, weight).await;
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
            () = self.caller.closed() => return None,
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
        // Fails only if the caller has closed its connection.
        let _ = self.caller.send(Err(BodyError)).await;
        None
    }
}
