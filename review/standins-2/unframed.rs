//! Case 4: a model replica is killed while it writes streams that end with their connection. Its kernel ends these
//! connections as those of streams that are done. A stream that lacks pieces must not look complete to its client.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Request;
use crate::engine::{EVENTS, SLOTS};
use crate::http;
use crate::site::{self, Record, Site};

/// Number of model replicas; one of them is a share of 0.167.
const ENGINES: usize = 6;
/// Number of clients, each with one stream at a time.
const CLIENTS: usize = 24;
/// Time for which clients send.
const DURATION: Duration = Duration::from_secs(12);
/// Time from the first streams to the crash, when streams are in their midst.
const CRASH_AFTER: Duration = Duration::from_millis(4_500);
/// Time for which the replica is down; it starts again with another id.
const DOWN: Duration = Duration::from_millis(4_500);
/// Interval between two liveness reports; an entry goes after three of silence.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time limit of a request.
const DEADLINE_MS: u64 = 10_000;

/// Model replica with its process.
struct Engine {
    id: String,
    address: String,
    process: Child,
    is_down: Arc<AtomicBool>,
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.is_down.store(true, Ordering::SeqCst);
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Stream that a client got.
struct Got {
    id: String,
    status: u16,
    events: Vec<u64>,
    is_complete: bool,
    sent: Instant,
    ended: Instant,
}

/// Runs the case. Returns the exit status.
pub fn run(has_trouble: bool, record: &mut Record) -> i32 {
    let Some(site) = Site::start("unframed", Duration::from_millis(60), 800, &[]) else {
        record.line("the entry did not become ready");
        return 2;
    };
    let runs: Arc<Mutex<Vec<(String, String)>>> = Arc::default();
    let mut engines: Vec<Engine> =
        (0..ENGINES).filter_map(|number| start_engine(&format!("i-e{number}0c5d77"), &runs)).collect();
    for engine in &engines {
        keep_beating(&site, engine);
    }
    thread::sleep(Duration::from_secs(1));
    let begun = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let address = site.entry.address.clone();
            thread::spawn(move || client(number, &address, begun + DURATION))
        })
        .collect();
    let seconds = |at: Instant| at.duration_since(site.started).as_secs_f64();
    thread::sleep(CRASH_AFTER);
    let mut killed = String::new();
    let busiest = busiest_engine(&runs.lock().unwrap());
    if has_trouble && let Some(engine) = engines.iter_mut().find(|engine| Some(&engine.id) == busiest.as_ref()) {
        engine.is_down.store(true, Ordering::SeqCst);
        let _ = engine.process.kill();
        killed = engine.id.clone();
        record.line(&format!("model replica {killed} killed at {:.3} s", seconds(Instant::now())));
        thread::sleep(DOWN);
        if let Some(engine) = start_engine("i-e90c5d77", &runs) {
            keep_beating(&site, &engine);
            engines.push(engine);
        }
    }
    let got: Vec<Got> = clients.into_iter().flat_map(|client| client.join().expect("client")).collect();
    let runs = runs.lock().unwrap();
    let mut by_request: HashMap<&str, Vec<&str>> = HashMap::new();
    for (request, run) in runs.iter() {
        by_request.entry(request).or_default().push(run);
    }
    let (mut whole, mut broken_off, mut broken) = (0, 0, 0);
    for got in &got {
        let ran = by_request.get(got.id.as_str()).map_or("-".to_owned(), |runs| runs.join(", "));
        let is_ordered = got.events.iter().copied().eq(1..=got.events.len() as u64);
        let is_whole = is_ordered && got.events.len() as u64 == EVENTS;
        let line = format!(
            "sent {:.3} id {} run on [{ran}] status {} pieces {} of {EVENTS} complete {} at {:.3} s",
            seconds(got.sent),
            got.id,
            got.status,
            got.events.len(),
            got.is_complete,
            seconds(got.ended)
        );
        record.detail(&line);
        if got.status != 200 {
            continue;
        }
        if !is_ordered || (got.is_complete && !is_whole) {
            broken += 1;
            record.line(&format!("BROKEN: {line}"));
        } else if got.is_complete {
            whole += 1;
        } else {
            broken_off += 1;
        }
    }
    record.line(&format!("streams: {} sent, {whole} whole, {broken_off} visibly broken off, {broken} wrong", got.len()));
    if whole == 0 || engines.len() < ENGINES || (has_trouble && killed.is_empty()) {
        return 2;
    }
    i32::from(broken > 0)
}

/// Returns the replica with most of the newest runs, one for each client.
fn busiest_engine(runs: &[(String, String)]) -> Option<String> {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for (_, run) in runs.iter().rev().take(CLIENTS) {
        *counts.entry(run.split(' ').next()?).or_default() += 1;
    }
    counts.into_iter().max_by_key(|(_, count)| *count).map(|(id, _)| id.to_owned())
}

/// Starts a model replica. Its runs are added to `runs`: the request, and the replica with the event to go on from.
fn start_engine(id: &str, runs: &Arc<Mutex<Vec<(String, String)>>>) -> Option<Engine> {
    let program = std::env::current_exe().ok()?;
    let mut process = Command::new(program).args(["engine", id]).stdin(Stdio::null()).stdout(Stdio::piped()).spawn().ok()?;
    let mut lines = BufReader::new(process.stdout.take()?).lines();
    let address = lines.next()?.ok()?;
    let (name, runs) = (id.to_owned(), runs.clone());
    thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            if let [_, request, _, after] = line.split(' ').collect::<Vec<_>>()[..] {
                runs.lock().unwrap().push((request.to_owned(), format!("{name} after {after}")));
            }
        }
    });
    Some(Engine { id: id.to_owned(), address, process, is_down: Arc::default() })
}

/// Writes the replica's record until it is down; the record goes after three reports of silence.
fn keep_beating(site: &Site, engine: &Engine) {
    let (store, id, address, is_down) =
        (site.store.clone(), engine.id.clone(), engine.address.clone(), engine.is_down.clone());
    let record = move |sequence: u64| {
        format!(
            "{{\"service\":\"market-advisor\",\"address\":\"{address}\",\"zone\":\"nyabugogo\",\"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"dual\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":{sequence}}}"
        )
    };
    store.put("keyed.servers", &id, &record(0));
    thread::spawn(move || {
        for sequence in 1.. {
            thread::sleep(HEARTBEAT);
            if is_down.load(Ordering::SeqCst) {
                break;
            }
            store.put("keyed.servers", &id, &record(sequence));
        }
        thread::sleep(HEARTBEAT * 2);
        store.put("keyed.servers", &id, "");
    });
}

/// Sends prompts one after the other until `until`.
fn client(number: usize, address: &str, until: Instant) -> Vec<Got> {
    let mut all = Vec::new();
    thread::sleep(Duration::from_millis(number as u64 * 110));
    for round in 0.. {
        if Instant::now() >= until {
            break;
        }
        let id = format!("57e4{number:04x}{round:08x}");
        let request = Request {
            method: "POST",
            path: format!("/query/{number}"),
            id: id.clone(),
            key: site::key(number % site::TENANTS, 0),
            deadline_ms: DEADLINE_MS,
            body: format!("prompt {id}").into_bytes(),
        };
        let sent = Instant::now();
        let mut got = Got { id, status: 0, events: Vec::new(), is_complete: false, sent, ended: sent };
        let _ = read_stream(address, &request, &mut got);
        got.ended = Instant::now();
        all.push(got);
        thread::sleep(Duration::from_millis(100));
    }
    all
}

/// Sends a prompt and reads its stream, whose end shows in the last chunk.
fn read_stream(address: &str, request: &Request, got: &mut Got) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS + 1_000)))?;
    let prompt = "Model: m\r\nToken-Usage: 4960,1610\r\nPrompt-Prefix: 5c1e07a2:40,";
    let head = request.head().replace("\r\n\r\n", &format!("\r\n{prompt}{}:4920\r\n\r\n", request.id));
    stream.write_all(head.as_bytes())?;
    stream.write_all(&request.body)?;
    let mut reader = BufReader::new(stream);
    let Some(head) = http::read_head(&mut reader)? else { return Ok(()) };
    got.status = head.status();
    if got.status != 200 {
        return http::read_body(&mut reader, &head).map(|_| ());
    }
    let is_chunked = head.header("transfer-encoding").eq_ignore_ascii_case("chunked");
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            // Without chunks, the stream ends with its connection.
            got.is_complete = !is_chunked;
            return Ok(());
        }
        if let Some(event) = line.strip_prefix("id: ") {
            got.events.push(event.trim().parse().unwrap_or(0));
        }
        // A line with nothing but the size 0 is the last chunk; no line of an event looks like it.
        if is_chunked && line.trim() == "0" {
            got.is_complete = true;
            return Ok(());
        }
    }
}
