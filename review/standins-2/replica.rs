//! Stand-in for a plain replica: runs a bounded number of requests, queues a few more, and records what it ran.

use std::io::BufReader;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// Requests that a replica runs at once, and those that wait for a slot.
const SLOTS: u32 = 6;
const QUEUE: u32 = 24;

/// A request that a replica ran.
#[derive(Clone)]
pub struct Run {
    /// Id of the request.
    pub id: String,
    /// Time at which the work began.
    pub at: Instant,
}

/// Replica of the service `stall-ledger`.
pub struct Replica {
    /// Id of this lifetime.
    pub id: String,
    /// Address on which it listens.
    pub address: String,
    /// Time that a request takes.
    work: Duration,
    /// Length of an answer, in bytes.
    answer_bytes: usize,
    /// Numbers of running and of waiting requests.
    load: Mutex<(u32, u32)>,
    freed: Condvar,
    runs: Mutex<Vec<Run>>,
}

impl Replica {
    /// Starts a replica on a free loopback port.
    pub fn start(id: &str, work: Duration, answer_bytes: usize) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
        let replica = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("address").to_string(),
            work,
            answer_bytes,
            load: Mutex::default(),
            freed: Condvar::new(),
            runs: Mutex::default(),
        });
        let server = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let replica = server.clone();
                thread::spawn(move || replica.serve(stream));
            }
        });
        replica
    }

    /// Returns the record that the replica keeps in the store.
    pub fn record(&self, sequence: u64) -> String {
        format!(
            "{{\"service\":\"stall-ledger\",\"address\":\"{}\",\"zone\":\"nyabugogo\",\"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence}}}",
            self.address
        )
    }

    /// Returns what the replica ran so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            if http::read_body(&mut reader, &head).is_err() || self.answer(&mut writer, &head).is_err() {
                return;
            }
        }
    }

    fn answer(&self, writer: &mut TcpStream, head: &http::Head) -> std::io::Result<()> {
        let replica_id = format!("Replica-Id: {}", self.id);
        if head.words[1] == "/health" {
            return http::write_answer(writer, "200 OK", &[replica_id], b"");
        }
        let expected = head.header("expect-replica");
        if !expected.is_empty() && expected != self.id {
            return http::write_answer(writer, "421 Misdirected Request", &[replica_id], b"");
        }
        let id = head.header("request-id").to_owned();
        let answered_id = format!("Request-Id: {id}");
        let deadline = head.header("deadline-ms").parse().unwrap_or(30_000);
        if !self.take_slot(Instant::now() + Duration::from_millis(deadline)) {
            let headers = [answered_id, "Not-Executed: 1".to_owned()];
            return http::write_answer(writer, "503 Service Unavailable", &headers, b"");
        }
        self.runs.lock().unwrap().push(Run {
            id: id.clone(),
            at: Instant::now(),
        });
        thread::sleep(self.work);
        let load = self.free_slot();
        let seal = format!("Response-Seal: {}.{id}", self.id);
        let headers = [answered_id, seal, format!("Replica-Load: {},{},{SLOTS}", load.0, load.1)];
        http::write_answer(writer, "200 OK", &headers, &vec![b'x'; self.answer_bytes])
    }

    /// Waits for a slot. Returns whether the request may run: the queue had room and the time has not passed.
    fn take_slot(&self, deadline: Instant) -> bool {
        let mut load = self.load.lock().unwrap();
        if load.0 >= SLOTS && load.1 >= QUEUE {
            return false;
        }
        load.1 += 1;
        while load.0 >= SLOTS {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                load.1 -= 1;
                return false;
            }
            load = self.freed.wait_timeout(load, left).unwrap().0;
        }
        load.1 -= 1;
        load.0 += 1;
        true
    }

    fn free_slot(&self) -> (u32, u32) {
        let mut load = self.load.lock().unwrap();
        load.0 -= 1;
        self.freed.notify_one();
        *load
    }
}
