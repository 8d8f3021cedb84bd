//! Fingerprints of requests, by which repeated requests for the same work are recognized.

use std::rc::Rc;

use coord::name::Name;
use coord::quarantine::{Fingerprint, SharedPart};

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

/// Prefix of the input of a part's fingerprint, which keeps it apart from the fingerprints of whole requests.
const PART_CONTEXT: &[u8] = b"shared part";

/// Computes the fingerprints of a prompt's shared parts. The same part of prompts to another service has another one.
pub fn compute_parts(service: &Name, ids: &[Name]) -> Rc<[SharedPart]> {
    let fingerprint = |id: &Name| Fingerprint::of([PART_CONTEXT, service.as_bytes(), id.as_bytes()]);
    let numbered = ids.iter().zip(0..);
    numbered.map(|(id, depth)| SharedPart { fingerprint: fingerprint(id), depth }).collect()
}
