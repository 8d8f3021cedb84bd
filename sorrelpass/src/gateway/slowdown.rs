//! Queries engines for their slowdown factor while this entry leads.
//!
//! An engine reports the factor as `pace`: how many times as long as nominal its work takes at present.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use coord::name::Name;
use futures_util::{StreamExt, stream};
use platform::slowdown::Client;

use super::state::Gateway;

/// Interval at which a leader checks which engines to query: a sixth of the target latency of a short prompt.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which a follower checks whether it leads now. Each check wakes the process, and an entry may have only
/// 0.09 of a core.
const FOLLOWER_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Bounds the number of engines that are queried concurrently.
const MAX_CONCURRENT_QUERIES: usize = 16;
/// Bounds the time for an engine's response, which normally takes a few milliseconds.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);

/// Query to one engine.
struct Query {
    service: Name,
    engine: Name,
    client: Client,
}

/// Queries the engines that are due, until the process ends.
pub async fn run(gateway: Rc<Gateway>) {
    // Open connections by engine name.
    let mut clients: HashMap<Name, Client> = HashMap::new();
    loop {
        tokio::time::sleep(if gateway.admission.has_leader() {
            FOLLOWER_CHECK_INTERVAL
        } else {
            LEADER_CHECK_INTERVAL
        })
        .await;
        let due = gateway.admission.engines_to_poll().into_iter();
        let queries: Vec<Query> = due.filter_map(|due| prepare_query(&gateway, &mut clients, due)).collect();
        if queries.is_empty() {
            continue;
        }
        let answered =
            stream::iter(queries).map(|query| send_query(&gateway, query)).buffer_unordered(MAX_CONCURRENT_QUERIES);
        clients.extend(answered.filter_map(std::future::ready).collect::<Vec<_>>().await);
        clients.retain(|engine, _| gateway.roster.borrow().get(engine).is_some());
    }
}

/// Prepares the query to an engine. Returns `None` if the engine is gone, or asked this entry to back off.
fn prepare_query(
    gateway: &Gateway,
    clients: &mut HashMap<Name, Client>,
    (service, engine): (Name, Name),
) -> Option<Query> {
    if gateway.backoffs.is_backing_off(&engine) {
        return None;
    }
    let address = gateway.roster.borrow().get(&engine)?.record.address.clone();
    let client = clients.remove(&engine).unwrap_or_else(|| Client::new(address));
    Some(Query { service, engine, client })
}

/// Queries one engine and records its slowdown factor. Returns the connection to the engine if it answered.
async fn send_query(gateway: &Gateway, query: Query) -> Option<(Name, Client)> {
    let Query { service, engine, mut client } = query;
    match client.read(RESPONSE_TIMEOUT).await {
        Ok(slowdown) => {
            gateway.admission.record_slowdown(&service, &engine, slowdown);
            Some((engine, client))
        }
        Err(error) => {
            // A fault of the engine shows in the requests that it gets, so this error is logged at debug level only.
            tracing::debug!(step = "pace", peer = &*engine, error = %format!("{error:#}"));
            client.close();
            None
        }
    }
}
