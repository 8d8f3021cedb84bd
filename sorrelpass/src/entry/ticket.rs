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
const TICKET_PREFIX: &str = "st_";
/// Length of the MAC, in bytes.
const MAC_BYTES: usize = 32;
/// Maximum lifetime of a ticket.
pub const MAX_LIFETIME: Duration = Duration::from_secs(3_600);

/// Reason why a ticket is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TicketError {
    /// The ticket was not issued by this system, or was altered.
    Forged,
    /// The ticket belongs to another workspace.
    OtherWorkspace,
    /// The lifetime of the ticket has ended.
    Expired,
}

fn compute_mac(secret: &Secret, payload: &[u8]) -> Hmac<Sha256> {
    let mut mac = match Hmac::<Sha256>::new_from_slice(secret.bytes()) {
        Ok(mac) => mac,
        Err(_) => unreachable!("HMAC takes keys of any length"),
    };
    mac.update(payload);
    mac
}

/// Returns whether an idempotency key has the prefix of a ticket.
pub fn is_ticket(key: &str) -> bool {
    key.starts_with(TICKET_PREFIX)
}

/// Issues a ticket that is valid for `lifetime`, at most [`MAX_LIFETIME`].
pub fn issue(secret: &Secret, workspace: &Name, binding: Binding, lifetime: Duration) -> String {
    let expires = util::wall_clock() + lifetime.min(MAX_LIFETIME);
    let ticket = Ticket { workspace: workspace.clone(), binding, number: rand::random(), expires };
    let payload = wire::encode(&ticket);
    let tag = compute_mac(secret, &payload).finalize().into_bytes();
    format!("{TICKET_PREFIX}{}{}", encode_hex(&tag), encode_hex(&payload))
}

/// Decodes a ticket and verifies its MAC, workspace and lifetime.
pub fn verify(secret: &Secret, workspace: &Name, key: &str) -> Result<Ticket, TicketError> {
    let bytes = key.strip_prefix(TICKET_PREFIX).and_then(decode_hex).ok_or(TicketError::Forged)?;
    let (tag, payload) = bytes.split_at_checked(MAC_BYTES).ok_or(TicketError::Forged)?;
    compute_mac(secret, payload).verify_slice(tag).map_err(|_| TicketError::Forged)?;
    let ticket: Ticket = wire::decode(payload).map_err(|_| TicketError::Forged)?;
    if ticket.workspace != *workspace {
        return Err(TicketError::OtherWorkspace);
    }
    if !ticket.is_valid(util::wall_clock()) {
        return Err(TicketError::Expired);
    }
    Ok(ticket)
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    let digits: Option<Vec<u8>> = text.chars().map(|digit| digit.to_digit(16).map(|digit| digit as u8)).collect();
    let digits = digits.filter(|digits| digits.len().is_multiple_of(2))?;
    Some(digits.chunks_exact(2).map(|pair| pair[0] << 4 | pair[1]).collect())
}
