//! Answers that have neither a length nor chunks and end with their connection, and answers that have both.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use serde_json::json;
use standin::platform::{Behavior, KEY, NetworkFault, Outcome, RequestSpec, Site, Spec};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Number of streams that each test sends.
const STREAMS: usize = 10;

async fn start_site(name: &str) -> Site {
    let site = Site::start(Spec { has_proxies: true, ..Spec::small(name) }).await.expect("the site starts");
    site.proxies.replicas.iter().for_each(|proxy| proxy.set_unframed());
    site
}

async fn send_prompt(site: &Site, id: &str) -> Outcome {
    let prompt = RequestSpec::new("POST", "/prompt/1", id, KEY)
        .with_header("token-usage", "500,400")
        .with_header("deadline-ms", "2500");
    site.send(0, &prompt).await
}

fn stream(id: &str, events: u64) -> String {
    (1..=events).map(|event| format!("id: {event}\ndata: piece {event} of {id}\n\n")).collect()
}

/// Makes the engine that gets the next stream, and only that one, break it off inside the event after `events`.
fn break_next(site: &Site, events: u64) {
    site.engines.iter().for_each(|engine| {
        engine.clear_behaviors();
        engine.queue_behaviors([Behavior::AbortAfter(events)]);
    });
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unframed_stream_that_ends_inside_an_event_is_never_complete_for_its_caller() {
    let site = start_site("unframed-once").await;
    site.configure(&[KEY], |config| config["routes"][0]["stream_resume"] = json!(false));
    tokio::time::sleep(Duration::from_millis(300)).await;
    for number in 0..STREAMS {
        let id = format!("b{number}");
        break_next(&site, 3);
        let outcome = send_prompt(&site, &id).await;
        assert_eq!((outcome.status, outcome.is_complete), (200, false), "{outcome:?}");
        assert_eq!(outcome.body, stream(&id, 3), "the half event is withheld");
        assert_eq!(site.engines.iter().map(|engine| engine.run_count(&id)).sum::<usize>(), 1);
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unframed_stream_that_ends_inside_an_event_goes_on_at_another_engine() {
    let site = start_site("unframed-resume").await;
    let mut resumed = 0;
    for number in 0..STREAMS {
        let id = format!("r{number}");
        // The second engine of a stream breaks it off too, unless its behavior was used up before.
        if number % 2 == 0 {
            break_next(&site, 3);
        }
        let outcome = send_prompt(&site, &id).await;
        assert!(!outcome.is_complete || outcome.body == stream(&id, 8), "{outcome:?}");
        assert!(stream(&id, 8).starts_with(&outcome.body), "no event is missing, doubled or partial: {outcome:?}");
        let runs: usize = site.engines.iter().map(|engine| engine.run_count(&id)).sum();
        resumed += usize::from(outcome.is_complete && runs == 2);
    }
    assert!(resumed > 0, "no stream was resumed to its end");
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unframed_stream_that_ends_before_its_first_event_is_never_complete_for_its_caller() {
    let site = start_site("unframed-empty").await;
    site.engines.iter().for_each(|engine| engine.queue_behaviors([Behavior::DropResponse; STREAMS * 2]));
    for number in 0..STREAMS {
        let outcome = send_prompt(&site, &format!("e{number}")).await;
        assert!(!outcome.is_complete || outcome.status >= 500, "{outcome:?}");
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_whole_unframed_stream_is_complete_and_runs_once() {
    let site = start_site("unframed-whole").await;
    for number in 0..STREAMS {
        let id = format!("w{number}");
        let outcome = send_prompt(&site, &id).await;
        assert_eq!((outcome.is_complete, &outcome.body), (true, &stream(&id, 8)), "{outcome:?}");
        assert_eq!(site.engines.iter().map(|engine| engine.run_count(&id)).sum::<usize>(), 1);
    }
    site.close().expect("no invariant was breached");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unframed_stream_whose_connection_is_reset_is_never_complete_for_its_caller() {
    let site = start_site("unframed-reset").await;
    site.configure(&[KEY], |config| config["routes"][0]["stream_resume"] = json!(false));
    tokio::time::sleep(Duration::from_millis(300)).await;
    for number in 0..STREAMS {
        let id = format!("x{number}");
        let reset = async {
            // A stream takes 160 ms.
            tokio::time::sleep(Duration::from_millis(70)).await;
            site.proxies.replicas.iter().for_each(|proxy| proxy.set_fault(NetworkFault::Reset));
            tokio::time::sleep(Duration::from_millis(40)).await;
            site.proxies.replicas.iter().for_each(|proxy| proxy.set_fault(NetworkFault::None));
        };
        let (outcome, ()) = tokio::join!(send_prompt(&site, &id), reset);
        assert!(!outcome.is_complete || outcome.body == stream(&id, 8), "{outcome:?}");
        assert!(stream(&id, 8).starts_with(&outcome.body), "{outcome:?}");
    }
    site.close().expect("no invariant was breached");
}

/// Body in chunks of the answers that have a length too.
const CHUNKED_BODY: &str = "the whole answer";

/// Serves one request: answers with [`CHUNKED_BODY`] in one chunk, and with `length` beside it.
async fn answer_with_both(mut stream: TcpStream, length: usize) -> std::io::Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let id = head.lines().find_map(|line| line.strip_prefix("request-id: ")).unwrap_or_default();
    let answer = format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-seal: s\r\ntransfer-encoding: chunked\r\n\
         content-length: {length}\r\n\r\n{:x}\r\n{CHUNKED_BODY}\r\n0\r\n\r\n",
        CHUNKED_BODY.len()
    );
    stream.write_all(answer.as_bytes()).await
}

/// Starts a replica whose answers have a length beside their chunks; returns its address.
async fn start_replica_with_both(length: Arc<AtomicUsize>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket").to_string();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_with_both(stream, length.load(Ordering::Relaxed)));
        }
    });
    address
}

/// Guards against an answer that is sent on under a length that is not its body's: what is left of it reached the caller
/// as the answer to its next request, or the caller waited for more.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_whose_length_contradicts_its_chunks_is_not_sent_on() {
    let site = Site::start(Spec { plain_replicas: 1, ..Spec::small("framed-twice") }).await.expect("the site starts");
    let length = Arc::new(AtomicUsize::new(CHUNKED_BODY.len()));
    let replica = &site.plain_replicas[0];
    let address = start_replica_with_both(length.clone()).await;
    let record = replica.store_record("ledger", "ready").replace(&replica.address, &address);
    site.store.put("keyed.servers", "plain-0", "");
    site.store.put("keyed.servers", "plain-both", record);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let lookup = |id: &str| RequestSpec::new("GET", "/look/1", id, KEY).with_header("deadline-ms", "1000");
    let outcome = site.send(0, &lookup("agrees")).await;
    assert_eq!((outcome.status, &*outcome.body), (200, CHUNKED_BODY), "{outcome:?}");
    for wrong in [CHUNKED_BODY.len() - 4, CHUNKED_BODY.len() + 4] {
        length.store(wrong, Ordering::Relaxed);
        let outcome = site.send(0, &lookup(&format!("wrong-{wrong}"))).await;
        assert_eq!((outcome.status, outcome.is_complete), (502, true), "length {wrong}: {outcome:?}");
    }
    site.close().expect("no invariant was breached");
}
