//! Stand-in for the platform's store: keyed topics with one partition, read from an offset or as the newest of each key.

use std::collections::{BTreeMap, HashMap};
use std::io::BufReader;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// Time for an answer, as on the deployment's sheet.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Bytes that reads transfer in a second (`read_mb_per_s` of the site).
const READ_BYTES_PER_S: f64 = 80e6;
/// Default of `max_kb` in a read of the log, as on the protocol's page.
const DEFAULT_MAX_KB: usize = 1_024;
/// Bounds of a page of newest records.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

/// Records of a topic, with their keys; an empty value removes the key.
type Records = Vec<(String, Vec<u8>)>;

/// Store with its listener.
pub struct Store {
    /// Address on which it listens.
    pub address: String,
    topics: Mutex<HashMap<String, Records>>,
    changed: Condvar,
    /// Whether the system's calls are turned away with 429.
    pub turns_away: AtomicBool,
}

impl Store {
    /// Starts a store on a free loopback port.
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("address").to_string(),
            topics: Mutex::default(),
            changed: Condvar::new(),
            turns_away: AtomicBool::new(false),
        });
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Appends a record as the operator or a replica does. Returns the time of the acknowledgement.
    pub fn put(&self, topic: &str, key: &str, value: &str) -> Instant {
        let mut topics = self.topics.lock().unwrap();
        topics.entry(topic.to_owned()).or_default().push((key.to_owned(), value.as_bytes().to_vec()));
        drop(topics);
        self.changed.notify_all();
        Instant::now()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            let Ok(body) = http::read_body(&mut reader, &head) else { return };
            let (path, query) = head.words[1].split_once('?').unwrap_or((&head.words[1], ""));
            let query: HashMap<&str, &str> = query.split('&').filter_map(|pair| pair.split_once('=')).collect();
            let (status, answer) = self.answer(path, &query, &body);
            thread::sleep(ANSWER_TIME + Duration::from_secs_f64(answer.len() as f64 / READ_BYTES_PER_S));
            if http::write_answer(&mut writer, status, &[], &answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, path: &str, query: &HashMap<&str, &str>, body: &[u8]) -> (&'static str, Vec<u8>) {
        const TURNED_AWAY: (&str, Vec<u8>) = ("429 Too Many Requests", Vec::new());
        if self.turns_away.load(Ordering::SeqCst) {
            return TURNED_AWAY;
        }
        let topic = query.get("topic").copied().unwrap_or_default();
        let answer = match path {
            "/log-read" => self.read(topic, query),
            "/log-newest" => self.newest(topic, query.get("after_rev").copied()),
            "/log-append" if topic == "keyed.servers" => ("403 Forbidden", Vec::new()),
            "/log-append" => self.append(topic, body),
            _ => ("404 Not Found", Vec::new()),
        };
        // A long poll that was waiting is turned away too.
        if self.turns_away.load(Ordering::SeqCst) { TURNED_AWAY } else { answer }
    }

    /// Reads records from an offset on, at most `max_kb` of them. Waits for the first one for `wait_ms`.
    fn read(&self, topic: &str, query: &HashMap<&str, &str>) -> (&'static str, Vec<u8>) {
        let number = |name: &str| query.get(name).and_then(|raw| raw.parse::<usize>().ok());
        let from = number("from").unwrap_or(0);
        let max_bytes = number("max_kb").unwrap_or(DEFAULT_MAX_KB) * 1_024;
        let deadline = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0) as u64);
        let mut topics = self.topics.lock().unwrap();
        loop {
            let end = topics.get(topic).map_or(0, Vec::len);
            if from > end {
                return ("410 Gone", b"{\"first\":0}".to_vec());
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if from < end || left.is_zero() {
                break;
            }
            topics = self.changed.wait_timeout(topics, left.min(Duration::from_millis(50))).unwrap().0;
        }
        let empty = Records::new();
        let records = topics.get(topic).unwrap_or(&empty);
        let mut answer = (records.len() as u64).to_be_bytes().to_vec();
        answer.extend(0u64.to_be_bytes());
        let mut bytes = 0;
        for (index, (key, value)) in records[from..].iter().enumerate() {
            let length = 1 + key.len() + value.len();
            bytes += 4 + length;
            if index > 0 && bytes > max_bytes {
                break;
            }
            answer.extend((length as u32).to_be_bytes());
            answer.push(key.len() as u8);
            answer.extend(key.as_bytes());
            answer.extend(value);
        }
        ("200 OK", answer)
    }

    /// Reads a page of the newest record of each key, behind the key `after`.
    fn newest(&self, topic: &str, after: Option<&str>) -> (&'static str, Vec<u8>) {
        let topics = self.topics.lock().unwrap();
        let empty = Records::new();
        let records = topics.get(topic).unwrap_or(&empty);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key.as_str(), (offset, value));
        }
        newest.retain(|_, (_, value)| !value.is_empty());
        let mut items: Vec<String> = Vec::new();
        let (mut bytes, mut more) = (0, false);
        for (key, (offset, value)) in newest.into_iter().filter(|(key, _)| after.is_none_or(|after| *key > after)) {
            bytes += value.len();
            if items.len() == PAGE_ITEMS || (!items.is_empty() && bytes > PAGE_BYTES) {
                more = true;
                break;
            }
            items.push(format!("{{\"tls_key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value)));
        }
        let page = format!("{{\"items\":[{}],\"more\":{more},\"end\":{}}}", items.join(","), records.len());
        ("200 OK", page.into_bytes())
    }

    fn append(&self, topic: &str, mut body: &[u8]) -> (&'static str, Vec<u8>) {
        let mut added = Records::new();
        while body.len() >= 5 {
            let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
            let Some(record) = body.get(4..4 + length) else { return ("400 Bad Request", Vec::new()) };
            let key_end = 1 + usize::from(record[0]);
            added.push((String::from_utf8_lossy(&record[1..key_end]).into_owned(), record[key_end..].to_vec()));
            body = &body[4 + length..];
        }
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        let offset = records.len();
        records.extend(added);
        let answer = format!("{{\"offset\":{offset},\"end\":{}}}", records.len());
        drop(topics);
        self.changed.notify_all();
        ("200 OK", answer.into_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().enumerate().fold(0u32, |group, (i, byte)| group | u32::from(*byte) << (16 - 8 * i));
        for i in 0..4 {
            let is_digit = i <= chunk.len();
            text.push(if is_digit { DIGITS[(group >> (18 - 6 * i) & 63) as usize] as char } else { '=' });
        }
    }
    text
}
