//! The configuration that a new site puts in its store.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use super::site::HOST;

/// A configuration of three routes: prompts that may be resumed, calls that may run once, calls that may repeat.
pub fn configuration(version: u64, keys: &[&str]) -> Value {
    let route = |name: &str, kind: &str, service: &str, extra: BTreeMap<&str, Value>| {
        let mut route = json!({
            "name": name, "host": HOST, "path_prefix": format!("/{name}/"), "kind": kind, "timeout_ms": 3000,
            "target_latency_ms": 300, "priority": 1, "service": service, "max_attempts": 2, "public": false,
        });
        for (key, value) in extra {
            route[key] = value;
        }
        route
    };
    let stream = BTreeMap::from([("stream_resume", json!(true)), ("gap_aim_ms", json!(200))]);
    let once = BTreeMap::from([("max_attempts", json!(1))]);
    json!({
        "version": version,
        "routes": [
            route("prompt", "streaming", "advisor", stream),
            route("pay", "unsafe", "ledger", once),
            route("look", "safe", "ledger", BTreeMap::new()),
        ],
        "services": [
            { "name": "advisor", "health_path": "/health", "max_connections": 100, "engine": {
                "slots": 16, "kv_cache_tokens": 450_000, "stride": 46, "step_ms": 0.925, "per_seq_ms": 0.00483,
                "context_per_k": 0.00254, "read_per_s": 256_000.0, "pairs_per_m": 0.0917, "chunk": 2048, "hop_ms": 0.1,
            } },
            { "name": "ledger", "health_path": "/health", "max_connections": 100 },
        ],
        "limits": { "max_header_bytes": 16_384, "max_body_bytes": 65_536, "header_timeout_ms": 3000, "idle_timeout_ms": 1000 },
        "tenants": [{ "name": "workspace-0", "api_keys": keys, "priority": 1 }],
    })
}
