//! Fingerprints of requests, by which repeated requests for the same work are recognized.

use coord::name::Name;
use coord::quarantine::Fingerprint;

use super::attempt::Outgoing;

/// Computes the fingerprint of a request from its host, method, path with query, body and workspace.
///
/// The fingerprint excludes what differs between two attempts at the same work: the caller's request id, the
/// deadline, and the id of the event after which a stream is resumed.
pub fn fingerprint(host: &str, outgoing: &Outgoing, workspace: Option<&Name>) -> Fingerprint {
    let path = outgoing.uri.path_and_query().map_or("", |path| path.as_str());
    let parts = [host.as_bytes(), outgoing.method.as_str().as_bytes(), path.as_bytes(), &outgoing.body];
    // A public request omits the workspace part: an empty part would equal a workspace with an empty name.
    Fingerprint::of(parts.into_iter().chain(workspace.map(|name| name.as_bytes())))
}
