//! Shows the quarantined requests, or lifts the quarantine of one.
//!
//! Usage: sorrelpass quarantine --store IP:PORT [--lift WORK]
//!
//! The platform's store has a record for each request during which replicas terminated. Prints one line per record: the
//! fingerprint of the request (`work=`, as in the entries' log lines), whether it is condemned (entries no longer send
//! it) or only suspect, and the runs that terminated. A record for a part that several prompts share begins with `part=`
//! instead. --lift removes the record of a fingerprint; entries read the change and send such requests again within two
//! seconds. Lifting a fingerprint without a record is an error.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use coord::quarantine::{Cause, Fingerprint};
use eyre::{Result, eyre};
use platform::store::{Client, KeyedRecord, QUARANTINE_TOPIC};

use crate::gateway::quarantine::record;
use crate::util;

/// Timeout of a call to the store, which normally answers within a few milliseconds.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Command-line arguments of `quarantine`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(args))]
pub struct Args {
    /// Address of the platform's store
    #[bpaf(argument("IP:PORT"))]
    store: SocketAddr,
    /// Fingerprint of the requests to send again
    #[bpaf(argument("WORK"))]
    lift: Option<Fingerprint>,
}

/// Lifts the quarantine of the given fingerprint or, without one, prints all records.
pub fn run(args: &Args) -> Result<()> {
    util::with_runtime(async {
        let mut client = Client::new(args.store);
        let records = client.read_compacted(QUARANTINE_TOPIC, STORE_TIMEOUT).await?.records;
        match args.lift {
            Some(fingerprint) => lift(&mut client, &records, fingerprint).await?,
            None => records.iter().for_each(print_record),
        }
        client.close();
        Ok(())
    })
}

/// Removes the record of a fingerprint from the store.
async fn lift(client: &mut Client, records: &[KeyedRecord], fingerprint: Fingerprint) -> Result<()> {
    let keys = [Cause::Request(fingerprint), Cause::Part(fingerprint)].map(record::key);
    let Some(record) = records.iter().find(|record| keys.iter().any(|key| **key == *record.key)) else {
        return Err(eyre!("step=lift work={fingerprint}: the store has no record of this fingerprint"));
    };
    client.put(QUARANTINE_TOPIC, &record.key, &[], STORE_TIMEOUT).await?;
    println!("work={fingerprint} lifted");
    Ok(())
}

fn print_record(record: &KeyedRecord) {
    let (cause, record) = match record::decode(record) {
        Ok((cause, Some(record))) => (cause, record),
        Ok((_, None)) => return,
        Err(error) => return println!("{error:#}"),
    };
    let runs: Vec<&str> = record.ends.iter().map(|end| &*end.run).collect();
    match cause {
        Cause::Request(work) => println!("work={work} {}", status(record.condemned, &runs)),
        Cause::Part(part) => println!("part={part} {}", status(record.condemned, &runs)),
    }
}

/// Returns the second part of a line: whether requests are no longer sent, and the runs that terminated.
fn status(is_condemned: bool, runs: &[&str]) -> String {
    let standing = if is_condemned { "condemned" } else { "suspect" };
    format!("standing={standing} ends={}", runs.join(","))
}
