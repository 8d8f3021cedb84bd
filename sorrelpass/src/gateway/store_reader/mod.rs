//! Reads the configuration and the replicas' records from the store.
//!
//! A follower gets both from its leader (see [`super::store_view`]), and reads the store itself only when the
//! leader's data are too old.

pub mod configuration;
pub mod replicas;

use std::time::Duration;

use coord::time::Moment;

use super::state::Gateway;
use crate::config::Bounds;

/// Share of the `revoke` bound for which the store holds a long poll of the configuration if nothing changes. When
/// the poll is answered, the verification is as old as the poll, and it must stay valid until the next poll is
/// answered.
const LONG_POLL_REVOKE_SHARE: f64 = 0.15;
/// Share of the bound within which a configuration must be in force for which the store holds a long poll. Twice this
/// time plus the interval between two requests for changes stays below [`MAX_AGE_APPLY_SHARE`], so that the follower
/// of a leader that reaches the store never reads the configuration itself.
const LONG_POLL_APPLY_SHARE: f64 = 0.22;
/// Share of the `revoke` bound after which a follower reads the configuration itself: three times the duration of a
/// long poll, since a verification is up to two long polls old before the next one arrives.
const MAX_AGE_REVOKE_SHARE: f64 = 3.0 * LONG_POLL_REVOKE_SHARE;
/// Share of the bound within which a configuration must be in force, after which a follower reads the configuration
/// itself. The remainder covers the read, the clock drift and the network delay. This read is needed because a leader
/// that is cut off from the store may still be connected to its followers.
const MAX_AGE_APPLY_SHARE: f64 = 0.6;
/// Number of reads of the replicas' records within the `drain` bound, after which a draining replica must get no
/// requests.
const REPLICA_READS_PER_DRAIN_BOUND: u32 = 4;
/// Share of the `drain` bound after which a follower reads the replicas' records itself.
const MAX_AGE_DRAIN_SHARE: f64 = 0.5;

/// Returns how long the store holds a long poll of the configuration.
fn long_poll_timeout(bounds: &Bounds) -> Duration {
    bounds.revoke.mul_f64(LONG_POLL_REVOKE_SHARE).min(bounds.propagation().mul_f64(LONG_POLL_APPLY_SHARE))
}

/// Returns the age at which a leader's configuration is too old, so that its follower reads the store.
fn max_configuration_age(bounds: &Bounds) -> Duration {
    bounds.revoke.mul_f64(MAX_AGE_REVOKE_SHARE).min(bounds.propagation().mul_f64(MAX_AGE_APPLY_SHARE))
}

/// Returns the age at which a leader's replica records are too old, so that its follower reads the store.
fn max_replicas_age(bounds: &Bounds) -> Duration {
    bounds.drain.mul_f64(MAX_AGE_DRAIN_SHARE)
}

/// Returns the interval between two reads of the replicas' records.
pub fn replicas_read_interval(bounds: &Bounds) -> Duration {
    bounds.drain / REPLICA_READS_PER_DRAIN_BOUND
}

/// Returns whether this entry's copy of the store is so old that a follower would read the store itself.
pub fn is_store_view_stale(gateway: &Gateway) -> bool {
    let max_age = max_configuration_age(&gateway.bounds());
    !are_replicas_fresh(gateway) || !gateway.store_view.configuration.is_verified_within(max_age)
}

/// Returns whether the copy of the replicas' records was verified recently, by a read here or at another entry.
pub fn are_replicas_fresh(gateway: &Gateway) -> bool {
    gateway.store_view.replicas.is_verified_within(max_replicas_age(&gateway.bounds()))
}

/// Waits until this entry must read the replicas' records itself: no other entry reads them for this one, or the copy
/// is too old. Before the first copy, waits until `first_read_by` at most.
pub async fn wait_until_replica_read_due(gateway: &Gateway, first_read_by: Moment) {
    let max_age = max_replicas_age(&gateway.bounds());
    gateway
        .store_view
        .wait_until_read_due(&gateway.store_view.replicas, max_age, first_read_by, || gateway.has_reader())
        .await;
}
