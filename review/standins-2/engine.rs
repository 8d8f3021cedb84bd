//! Stand-in for a model replica, as a process of its own. Its streams have neither a length nor chunks: they end with
//! their connection. It prints its address, and then a line for each run.

use std::io::{BufReader, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

use crate::http;

/// Requests that a replica runs at once.
pub const SLOTS: u32 = 16;
/// Events of a whole stream, and the time between two.
pub const EVENTS: u64 = 35;
const GAP: Duration = Duration::from_millis(80);
/// Time until the first event.
const FIRST: Duration = Duration::from_millis(40);

/// Serves as the replica `id` until the process is killed.
pub fn run(id: &str) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
    println!("{}", listener.local_addr().expect("address"));
    let (id, running) = (Arc::<str>::from(id), Arc::new(AtomicU32::new(0)));
    for stream in listener.incoming().flatten() {
        let (id, running) = (id.clone(), running.clone());
        thread::spawn(move || {
            let _ = stream.set_nodelay(true);
            let Ok(mut writer) = stream.try_clone() else { return };
            let mut reader = BufReader::new(stream);
            while let Ok(Some(head)) = http::read_head(&mut reader) {
                if http::read_body(&mut reader, &head).is_err() {
                    return;
                }
                if answer(&mut writer, &head, &id, &running).is_ok_and(|keeps| keeps) {
                    continue;
                }
                let _ = writer.shutdown(Shutdown::Both);
                return;
            }
        });
    }
}

/// Answers a request. Returns whether the connection stays open.
fn answer(writer: &mut TcpStream, head: &http::Head, id: &str, running: &AtomicU32) -> std::io::Result<bool> {
    let replica_id = format!("Replica-Id: {id}");
    let json = "Content-Type: application/json".to_owned();
    let count = running.load(Ordering::SeqCst);
    match head.words[1].as_str() {
        "/health" => {
            http::write_answer(writer, "200 OK", &[replica_id, format!("Replica-Load: {count},0,{SLOTS}")], b"")?;
            return Ok(true);
        }
        "/report" => {
            let report = format!(
                "{{\"stage\":\"dual\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"load\":false,\"sequence\":0,\"waiting\":0,\"running\":{count},\"kv_used\":0,\"kv_total\":450000,\"handles\":0,\"pace\":1.0}}"
            );
            http::write_answer(writer, "200 OK", &[json], report.as_bytes())?;
            return Ok(true);
        }
        "/order" => {
            http::write_answer(writer, "200 OK", &[json], b"{\"free\":450000}")?;
            return Ok(true);
        }
        _ => {}
    }
    let expected = head.header("expect-replica");
    if !expected.is_empty() && expected != id {
        http::write_answer(writer, "421 Misdirected Request", &[replica_id], b"")?;
        return Ok(true);
    }
    let request = head.header("request-id");
    if count >= SLOTS {
        let headers = [format!("Request-Id: {request}"), "Not-Executed: 1".to_owned()];
        http::write_answer(writer, "503 Service Unavailable", &headers, b"")?;
        return Ok(true);
    }
    running.fetch_add(1, Ordering::SeqCst);
    let outcome = write_stream(writer, request, id, head.header("last-event-id").parse().unwrap_or(0));
    running.fetch_sub(1, Ordering::SeqCst);
    outcome.map(|()| false)
}

/// Writes the events behind the event `after`, each with one call.
fn write_stream(writer: &mut TcpStream, request: &str, id: &str, after: u64) -> std::io::Result<()> {
    println!("run {request} after {after}");
    thread::sleep(FIRST);
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {request}\r\nResponse-Seal: {id}.{request}\r\nConnection: close\r\n\r\n"
    );
    writer.write_all(head.as_bytes())?;
    for event in after + 1..=EVENTS {
        writer.write_all(format!("id: {event}\ndata: piece {event:02} of {request} with forty-six tokens\n\n").as_bytes())?;
        thread::sleep(GAP);
    }
    Ok(())
}
