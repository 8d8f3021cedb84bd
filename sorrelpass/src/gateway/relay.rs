//! Passing a stream on as it comes, and going on at another replica when it breaks off.

use std::time::Duration;

use bytes::Bytes;
use coord::quarantine::Weight;
use coord::roster::Record;
use coord::time::Moment;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use platform::dialect;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::answer::{Answer, Broken};
use super::call::{Job, Opened, Place};
use super::stream::Splitter;
use super::{now, quarantine};
use crate::{event, metric};

/// Events that may wait for a caller that reads slowly; then the replica is held up.
const RING: usize = 16;

/// A part of an answer that takes no longer than this was there already: some turns of this process.
const READY: Duration = Duration::from_millis(5);
/// For how long such parts are passed on once the end of the time was seen: far longer than a whole answer takes.
const LAST: Duration = Duration::from_millis(100);

/// A part of the caller's answer; an error breaks its connection.
type Piece = Result<Frame<Bytes>, Broken>;

/// How one replica's part of a stream ended.
enum End {
    /// It was whole.
    Whole,
    /// It broke off.
    Broke(String),
    /// The caller went away.
    CallerGone,
    /// The time allowed is over.
    Late,
}

/// Starts a stream to the caller: the head now, the events as they come.
pub fn start(job: Job, opened: Opened) -> Answer {
    let mut headers = dialect::end_to_end(opened.response.headers());
    // A stream that goes on elsewhere may differ in length; chunks tell its end.
    headers.remove(hyper::header::CONTENT_LENGTH);
    let status = opened.response.status();
    let (pieces, receiver) = mpsc::channel::<Piece>(RING);
    let relay = Relay { job, pieces, splitter: Splitter::default(), last: None, events: 0, fresh: true };
    tokio::task::spawn_local(relay.run(opened));
    let body = stream::unfold(receiver, |mut receiver| async { Some((receiver.recv().await?, receiver)) });
    let mut answer = Response::new(StreamBody::new(body).boxed_unsync());
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

/// A stream on its way from one replica after another to its caller.
struct Relay {
    job: Job,
    /// To the caller.
    pieces: mpsc::Sender<Piece>,
    splitter: Splitter,
    /// Number of the last event passed on.
    last: Option<u64>,
    /// Events passed on.
    events: u64,
    /// Whether the replica at hand has sent no event yet.
    fresh: bool,
}

impl Relay {
    /// Passes the stream on to its end, from each replica that goes on with it.
    async fn run(mut self, mut opened: Opened) {
        loop {
            let end = self.pass(&mut opened).await;
            let Opened { record, connection, place, sent, .. } = opened;
            connection.close();
            // The rest of the stream is placed anew: the planner must not count this part beside it.
            drop(place);
            match self.settle(end, &record, sent).await {
                Some(next) => opened = next,
                None => break,
            }
        }
    }

    /// Passes on what one replica sends.
    async fn pass(&mut self, opened: &mut Opened) -> End {
        self.fresh = true;
        let deadline = Instant::now() + self.job.left();
        let mut late_since = None;
        loop {
            if Instant::now() >= deadline && late_since.get_or_insert_with(Instant::now).elapsed() > LAST {
                return End::Late;
            }
            let frame = tokio::select! {
                biased;
                frame = opened.response.body_mut().frame() => frame,
                () = self.pieces.closed() => return End::CallerGone,
                // What has come by then is passed on: behind a freeze it is found together with the end of its time.
                () = tokio::time::sleep_until(deadline) => {
                    match tokio::time::timeout(READY, opened.response.body_mut().frame()).await {
                        Ok(frame) => frame,
                        Err(_) => return End::Late,
                    }
                }
            };
            let data = match frame {
                None => return self.finish().await,
                Some(Err(error)) => return End::Broke(error.to_string()),
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            self.splitter.push(&data);
            if !self.drain(&opened.place).await {
                return End::CallerGone;
            }
        }
    }

    /// Passes on the whole events that have come; says whether the caller is still there.
    async fn drain(&mut self, place: &Place) -> bool {
        while let Some(event) = self.splitter.next() {
            if self.events == 0 {
                let after = now().since(self.job.started);
                event!("first-event", request = %self.job.call.id, after_ms = after.as_millis());
                metric::first_event(&self.job.route.name, after);
            }
            if self.fresh {
                self.fresh = false;
                place.first_event();
            }
            self.events += 1;
            self.last = event.id.or(self.last);
            if self.pieces.send(Ok(Frame::data(event.bytes))).await.is_err() {
                return false;
            }
        }
        true
    }

    /// Passes on what is left behind the last event of a whole stream.
    async fn finish(&mut self) -> End {
        let rest = self.splitter.rest();
        if !rest.is_empty() && self.pieces.send(Ok(Frame::data(rest))).await.is_err() {
            return End::CallerGone;
        }
        End::Whole
    }

    /// Ends the stream, or opens its rest at another replica.
    async fn settle(&mut self, end: End, record: &Record, sent: Moment) -> Option<Opened> {
        let peer = &*record.id;
        let id = self.job.call.id.clone();
        let after_ms = now().since(self.job.started).as_millis();
        match end {
            End::Whole => {
                event!("done", request = %id, peer, events = self.events, after_ms);
                metric::request("ok");
                quarantine::cleared(&self.job.gateway, self.job.work);
                None
            }
            End::CallerGone => {
                event!("caller-gone", request = %id, peer, events = self.events, after_ms);
                metric::request("caller_gone");
                None
            }
            End::Late => {
                event!("give-up", request = %id, peer, code = "deadline", events = self.events, after_ms);
                self.break_off("deadline").await
            }
            End::Broke(error) => {
                event!("broke", request = %id, work = %self.job.work, peer, events = self.events, silent = self.fresh, after_ms, error = %error);
                self.job.gateway.desk.failed(&self.job.service, peer);
                let weight = if self.fresh { Weight::Strong } else { Weight::Faint };
                self.job.connection_lost(record, sent, weight).await;
                self.resume().await
            }
        }
    }

    /// Opens the rest of a broken stream at another replica, or breaks the stream off.
    async fn resume(&mut self) -> Option<Opened> {
        self.splitter.clear();
        if !self.job.may_resume() {
            return self.break_off("broken").await;
        }
        let after = self.last.or(self.job.call.after_event);
        let left = self.job.left();
        let opened = tokio::select! {
            opened = tokio::time::timeout(left, self.job.open(after)) => opened,
            () = self.pieces.closed() => return None,
        };
        match opened {
            Ok(Ok(opened)) if opened.response.status().is_success() => Some(opened),
            _ => self.break_off("broken").await,
        }
    }

    /// Breaks the caller's connection, so that the stream cannot pass for a whole one.
    async fn break_off(&mut self, code: &'static str) -> Option<Opened> {
        event!("give-up", request = %self.job.call.id, code, ran = "partial", events = self.events);
        metric::request(code);
        // Fails only if the caller is gone.
        let _ = self.pieces.send(Err(Broken)).await;
        None
    }
}
