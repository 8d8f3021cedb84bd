//! Which requests are the same work.

use coord::name::Name;
use coord::quarantine::Work;

use super::attempt::Outgoing;

/// Keeps these fingerprints apart from any other use of the hash.
const CONTEXT: &str = "sorrelpass gateway work fingerprint 1";

/// Fingerprint of what a request asks for: host, method, path with query, workspace and body.
///
/// What differs between two tries of the same work is left out: the caller's id, its deadline, the event after which a
/// stream goes on. Each part goes in behind its length, so that no two requests run together.
pub fn fingerprint(host: &str, outgoing: &Outgoing, workspace: Option<&Name>) -> Work {
    let path = outgoing.uri.path_and_query().map_or("", |path| path.as_str());
    let mut hasher = blake3::Hasher::new_derive_key(CONTEXT);
    for part in [host, outgoing.method.as_str(), path] {
        add(&mut hasher, part.as_bytes());
    }
    add(&mut hasher, &outgoing.body);
    if let Some(workspace) = workspace {
        add(&mut hasher, workspace.as_bytes());
    }
    let mut work = Work([0; 16]);
    work.0.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    work
}

fn add(hasher: &mut blake3::Hasher, part: &[u8]) {
    hasher.update(&(part.len() as u64).to_le_bytes());
    hasher.update(part);
}
