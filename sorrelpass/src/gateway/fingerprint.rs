//! Fingerprints of requests, by which repeated requests for the same work are recognized.

use coord::name::Name;
use coord::quarantine::Fingerprint;

use super::upstream::UpstreamRequest;

/// Computes the fingerprint of a request from its host, method, path with query, body and workspace.
///
/// The fingerprint excludes what differs between two attempts at the same work: the caller's request id, the
/// deadline, and the id of the event after which a stream is resumed.
pub fn compute(host: &str, upstream_request: &UpstreamRequest, workspace: Option<&Name>) -> Fingerprint {
    let path = upstream_request.uri.path_and_query().map_or("", |path| path.as_str());
    let parts = [host.as_bytes(), upstream_request.method.as_str().as_bytes(), path.as_bytes(), &upstream_request.body];
    // A public request omits the workspace part: an empty part would equal a workspace with an empty name.
    Fingerprint::of(parts.into_iter().chain(workspace.map(|name| name.as_bytes())))
}
