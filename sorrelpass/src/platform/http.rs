//! Clients of the platform's HTTP/JSON interface.

use std::cell::Cell;
use std::time::Duration;

use bytes::Bytes;
use coord::membership::Vm;
use coord::time::Moment;
use eyre::{Result, eyre};
use serde::Deserialize;
use serde_json::json;
use serde_json::value::RawValue;

use super::{Batch, BoxFuture, Listing, Log, Record, VmList};
use crate::http::{self, Client};
use crate::plugin::{LogPlugin, VmListPlugin};
use crate::util;

/// Timeout of a call to the platform, without the time that a read waits for records.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a read after one that timed out: the same call again would end no sooner.
const SLOW_READ_TIMEOUT: Duration = Duration::from_secs(4);

inventory::submit! { LogPlugin { name: "http", build: |address| Box::new(HttpLog::new(address)) } }
inventory::submit! { VmListPlugin { name: "http", build: |address| Box::new(HttpVmList::new(address)) } }

/// Client of the log over HTTP.
pub struct HttpLog {
    address: String,
    client: Client,
    /// Whether reads have the longer timeout, until one is answered within the shorter one.
    is_slow: Cell<bool>,
}

/// Client of the VM list over HTTP.
pub struct HttpVmList {
    address: String,
    client: Client,
}

#[derive(Deserialize)]
struct AppendResponse {
    offset: u64,
}

#[derive(Deserialize)]
struct ReadResponse {
    entries: Vec<ReadRecord>,
    oldest: u64,
    end: u64,
}

#[derive(Deserialize)]
struct ReadRecord {
    offset: u64,
    at_ms: u64,
    payload: Box<RawValue>,
}

impl HttpLog {
    fn new(address: &str) -> Self {
        Self { address: address.to_owned(), client: http::client_h1(), is_slow: Cell::new(false) }
    }

    async fn append_record(&self, stream: &str, payload: Bytes) -> Result<u64> {
        let payload: Box<RawValue> = serde_json::from_slice(&payload)?;
        let body = json!({ "payload": payload });
        let path = format!("/streams/{stream}");
        let call = http::exchange_json(&self.client, &self.address, "POST", &path, Some(&body));
        let response: AppendResponse = with_timeout(&self.address, CALL_TIMEOUT, call).await?;
        Ok(response.offset)
    }

    async fn read_records(&self, stream: &str, offset: u64, wait_ms: u64) -> Result<Batch> {
        let path = format!("/streams/{stream}?from={offset}&wait_ms={wait_ms}");
        let call = http::exchange_json(&self.client, &self.address, "GET", &path, None);
        let wait = Duration::from_millis(wait_ms);
        let timeout = if self.is_slow.get() { SLOW_READ_TIMEOUT } else { CALL_TIMEOUT };
        let sent_at = util::now();
        let outcome = with_timeout(&self.address, wait + timeout, call).await;
        self.is_slow.set(util::now().since(sent_at) >= wait + CALL_TIMEOUT);
        let response: ReadResponse = outcome?;
        let records = response.entries.into_iter().map(|record| Record {
            offset: record.offset,
            appended_at: Moment::from_millis(record.at_ms),
            payload: Bytes::copy_from_slice(record.payload.get().as_bytes()),
        });
        Ok(Batch { records: records.collect(), oldest: response.oldest, end: response.end })
    }
}

impl Log for HttpLog {
    fn append<'a>(&'a self, stream: &'a str, payload: Bytes) -> BoxFuture<'a, u64> {
        Box::pin(self.append_record(stream, payload))
    }

    fn read<'a>(&'a self, stream: &'a str, offset: u64, wait_ms: u64) -> BoxFuture<'a, Batch> {
        Box::pin(self.read_records(stream, offset, wait_ms))
    }
}

impl HttpVmList {
    fn new(address: &str) -> Self {
        Self { address: address.to_owned(), client: http::client_h1() }
    }

    async fn read_list(&self) -> Result<Listing> {
        let call = http::exchange_json(&self.client, &self.address, "GET", "/vms", None);
        let items: Vec<Box<RawValue>> = with_timeout(&self.address, CALL_TIMEOUT, call).await?;
        let vms: Vec<Vm> = items.iter().filter_map(|item| serde_json::from_str(item.get()).ok()).collect();
        Ok(Listing { unreadable_items: items.len() - vms.len(), vms })
    }
}

impl VmList for HttpVmList {
    fn list(&self) -> BoxFuture<'_, Listing> {
        Box::pin(self.read_list())
    }
}

/// Awaits `call` for at most `timeout`.
async fn with_timeout<T>(peer: &str, timeout: Duration, call: impl Future<Output = Result<T>>) -> Result<T> {
    match tokio::time::timeout(timeout, call).await {
        Ok(result) => result,
        Err(_) => Err(eyre!("step=platform peer={peer}: no response within {} ms", timeout.as_millis())),
    }
}
