//! Which requests are the same work.

use coord::name::Name;
use coord::quarantine::Work;

use super::attempt::Outgoing;

/// Fingerprint of what a request asks for: host, method, path with query, body and workspace.
///
/// What differs between two tries of the same work is left out: the caller's id, its deadline, the event after which a
/// stream goes on.
pub fn fingerprint(host: &str, outgoing: &Outgoing, workspace: Option<&Name>) -> Work {
    let path = outgoing.uri.path_and_query().map_or("", |path| path.as_str());
    let parts = [host.as_bytes(), outgoing.method.as_str().as_bytes(), path.as_bytes(), &outgoing.body];
    // A public request has no workspace, which is not one without a name.
    Work::of(parts.into_iter().chain(workspace.map(|name| name.as_bytes())))
}
