//! Probes of a replica whose connection was lost, and what they prove.
//!
//! A process that ends closes its connections and its listener one after the other, so one probe may come too early. A
//! proxy in front of it may go on taking connections, so its port alone proves nothing.

use crate::quarantine::Proof;

/// Number of probes after which the replica is looked at no more.
const MAX_PROBES: usize = 4;

/// Result of one check of whether the process behind an address still runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The process answers.
    Serving,
    /// Connections are accepted; nothing else was asked, or the answer did not arrive in time although it may have to wait
    /// for the process's other work.
    Listening,
    /// Connections are accepted, and what follows is no answer of a process that serves: a close, a reset, silence, the
    /// answer of a proxy, or bytes that are no response.
    Mute,
    /// The host refuses the connection because no process listens on the port.
    Ended,
    /// The attempt was not answered in time: network partition, host without power, or full accept queue.
    Unknown,
}

impl ProbeResult {
    /// Returns the name that log lines use.
    pub const fn as_str(self) -> &'static str {
        match self {
            ProbeResult::Serving => "serving",
            ProbeResult::Listening => "listening",
            ProbeResult::Mute => "mute",
            ProbeResult::Ended => "ended",
            ProbeResult::Unknown => "unknown",
        }
    }
}

/// Returns whether a replica is probed again after these results, and if so, whether its process is asked. `None` tells that
/// the results are final.
pub fn next_probe(results: &[ProbeResult]) -> Option<bool> {
    match results.last() {
        None => Some(true),
        Some(ProbeResult::Ended | ProbeResult::Unknown) => None,
        _ if results.len() >= MAX_PROBES => None,
        // One answer shows that the process serves; after that only its port tells that it ends.
        Some(last) => Some(*last == ProbeResult::Mute),
    }
}

/// Returns what the probes after a lost connection prove. A replica of which something else takes connections, or that
/// resets many of them, has to leave all probes without an answer to count as terminated.
pub fn proof_of_lost(results: &[ProbeResult]) -> Proof {
    let has_ended = results.contains(&ProbeResult::Ended);
    let is_mute = results.len() >= MAX_PROBES && results.iter().all(|result| *result == ProbeResult::Mute);
    if has_ended || is_mute { Proof::Proven } else { Proof::Presumed }
}

/// Returns what one probe proves of a replica that was silent until a request was given up, or `None` if it is busy.
pub fn proof_of_silent(result: ProbeResult) -> Option<Proof> {
    match result {
        ProbeResult::Serving => None,
        ProbeResult::Mute | ProbeResult::Ended => Some(Proof::Proven),
        ProbeResult::Unknown | ProbeResult::Listening => Some(Proof::Presumed),
    }
}
