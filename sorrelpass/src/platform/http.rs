//! Clients that speak the platform's HTTP/JSON form.

use std::time::Duration;

use bytes::Bytes;
use coord::membership::Vm;
use coord::time::Moment;
use eyre::{Result, eyre};
use serde::Deserialize;
use serde_json::json;
use serde_json::value::RawValue;

use super::{Batch, Entry, Log, Pending, VmList};
use crate::http::{self, Caller};
use crate::plugin::{LogPlugin, VmListPlugin};

/// An answer of the platform that takes longer is given up.
const TIMEOUT: Duration = Duration::from_secs(2);

inventory::submit! { LogPlugin { name: "http", make: |address| Box::new(HttpLog::new(address)) } }
inventory::submit! { VmListPlugin { name: "http", make: |address| Box::new(HttpVmList::new(address)) } }

/// The log over HTTP.
pub struct HttpLog {
    address: String,
    caller: Caller,
}

/// The VM list over HTTP.
pub struct HttpVmList {
    address: String,
    caller: Caller,
}

#[derive(Deserialize)]
struct Appended {
    offset: u64,
}

#[derive(Deserialize)]
struct Read {
    entries: Vec<ReadEntry>,
    oldest: u64,
    end: u64,
}

#[derive(Deserialize)]
struct ReadEntry {
    offset: u64,
    at_ms: u64,
    payload: Box<RawValue>,
}

impl HttpLog {
    fn new(address: &str) -> Self {
        Self { address: address.to_owned(), caller: http::caller_h1() }
    }

    async fn append_record(&self, stream: &str, payload: Bytes) -> Result<u64> {
        let payload: Box<RawValue> = serde_json::from_slice(&payload)?;
        let body = json!({ "payload": payload });
        let path = format!("/streams/{stream}");
        let call = http::exchange_json(&self.caller, &self.address, "POST", &path, Some(&body));
        let appended: Appended = timed(&self.address, TIMEOUT, call).await?;
        Ok(appended.offset)
    }

    async fn read_records(&self, stream: &str, offset: u64, wait_ms: u64) -> Result<Batch> {
        let path = format!("/streams/{stream}?from={offset}&wait_ms={wait_ms}");
        let call = http::exchange_json(&self.caller, &self.address, "GET", &path, None);
        let read: Read = timed(&self.address, TIMEOUT + Duration::from_millis(wait_ms), call).await?;
        let entries = read.entries.into_iter().map(|entry| Entry {
            offset: entry.offset,
            at: Moment::from_millis(entry.at_ms),
            payload: Bytes::copy_from_slice(entry.payload.get().as_bytes()),
        });
        Ok(Batch { entries: entries.collect(), oldest: read.oldest, end: read.end })
    }
}

impl Log for HttpLog {
    fn append<'a>(&'a self, stream: &'a str, payload: Bytes) -> Pending<'a, u64> {
        Box::pin(self.append_record(stream, payload))
    }

    fn read<'a>(&'a self, stream: &'a str, offset: u64, wait_ms: u64) -> Pending<'a, Batch> {
        Box::pin(self.read_records(stream, offset, wait_ms))
    }
}

impl HttpVmList {
    fn new(address: &str) -> Self {
        Self { address: address.to_owned(), caller: http::caller_h1() }
    }
}

impl VmList for HttpVmList {
    fn list(&self) -> Pending<'_, Vec<Vm>> {
        let call = http::exchange_json(&self.caller, &self.address, "GET", "/vms", None);
        Box::pin(timed(&self.address, TIMEOUT, call))
    }
}

async fn timed<T>(peer: &str, limit: Duration, call: impl Future<Output = Result<T>>) -> Result<T> {
    match tokio::time::timeout(limit, call).await {
        Ok(result) => result,
        Err(_) => Err(eyre!("step=platform peer={peer}: no answer within {} ms", limit.as_millis())),
    }
}
