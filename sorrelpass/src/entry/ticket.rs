//! Encoding of tickets: a prefix, then a MAC and the payload in hexadecimal.

use std::time::Duration;

use coord::claim::Binding;
use coord::name::Name;
use coord::ticket::Ticket;
use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::secret::Secret;
use crate::{util, wire};

/// Prefix that distinguishes tickets from other idempotency keys.
const PREFIX: &str = "st_";
/// Length of the MAC, in bytes.
const MAC_BYTES: usize = 32;
/// Longest lifetime of a ticket.
pub const MOST_LIFE: Duration = Duration::from_secs(3_600);

/// Reason why a ticket is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The ticket was not issued by this system, or was altered.
    Forged,
    /// The ticket belongs to another workspace.
    OtherWorkspace,
    /// The lifetime of the ticket has ended.
    Expired,
}

fn mac(secret: &Secret, payload: &[u8]) -> Hmac<Sha256> {
    let mut mac = match Hmac::<Sha256>::new_from_slice(secret.bytes()) {
        Ok(mac) => mac,
        Err(_) => unreachable!("HMAC takes keys of any length"),
    };
    mac.update(payload);
    mac
}

/// Returns whether an idempotency key has the prefix of a ticket.
pub fn is_ticket(key: &str) -> bool {
    key.starts_with(PREFIX)
}

/// Issues a ticket that is valid for `lifetime`, at most [`MAX_LIFETIME`].
pub fn mint(secret: &Secret, workspace: &Name, binding: Binding, life: Duration) -> String {
    let expires = util::wall() + life.min(MOST_LIFE);
    let ticket = Ticket { workspace: workspace.clone(), binding, number: rand::random(), expires };
    let payload = wire::encode(&ticket);
    let code = mac(secret, &payload).finalize().into_bytes();
    format!("{PREFIX}{}{}", hex(&code), hex(&payload))
}

/// Decodes a ticket and verifies its MAC, workspace and lifetime.
pub fn open(secret: &Secret, workspace: &Name, key: &str) -> Result<Ticket, Fault> {
    let bytes = key.strip_prefix(PREFIX).and_then(unhex).ok_or(Fault::Forged)?;
    let (code, payload) = bytes.split_at_checked(MAC_BYTES).ok_or(Fault::Forged)?;
    mac(secret, payload).verify_slice(code).map_err(|_| Fault::Forged)?;
    let ticket: Ticket = wire::decode(payload).map_err(|_| Fault::Forged)?;
    if ticket.workspace != *workspace {
        return Err(Fault::OtherWorkspace);
    }
    if !ticket.is_live(util::wall()) {
        return Err(Fault::Expired);
    }
    Ok(ticket)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    let digits: Option<Vec<u8>> = text.chars().map(|digit| digit.to_digit(16).map(|digit| digit as u8)).collect();
    let digits = digits.filter(|digits| digits.len().is_multiple_of(2))?;
    Some(digits.chunks_exact(2).map(|pair| pair[0] << 4 | pair[1]).collect())
}
