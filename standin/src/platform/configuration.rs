//! Configuration that a site writes to its store: routes, services, limits and tenants.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use super::site::HOST;

/// Builds a configuration with three routes: prompts whose streams can be resumed, calls that run at most once, and
/// calls that can be retried. `keys` are the API keys of its only tenant.
pub fn configuration(version: u64, keys: &[&str]) -> Value {
    let route = |name: &str, kind: &str, service: &str, fields: BTreeMap<&str, Value>| {
        let mut route = json!({
            "name": name, "host": HOST, "path_prefix": format!("/{name}/"), "kind": kind, "timeout_ms": 3000,
            "target_latency_ms": 300, "priority": 1, "service": service, "max_attempts": 2, "public": false,
        });
        for (key, value) in fields {
            route[key] = value;
        }
        route
    };
    let prompt_fields = BTreeMap::from([("stream_resume", json!(true)), ("gap_aim_ms", json!(200))]);
    let unsafe_fields = BTreeMap::from([("max_attempts", json!(1))]);
    json!({
        "version": version,
        "routes": [
            route("prompt", "streaming", "advisor", prompt_fields),
            route("pay", "unsafe", "ledger", unsafe_fields),
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
