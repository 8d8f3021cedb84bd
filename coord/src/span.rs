//! Spans: parts of a prompt that is too large for one engine, each held under a lease.
//!
//! The engines that share a prompt form a gang. A gang acquires its spans in the order of the endpoint names, and
//! waits for the next span only while it holds all earlier ones, so two gangs never deadlock. A lease that is not
//! renewed expires, and its memory is released once the engine has confirmed that it is free.

use std::collections::HashMap;
use std::time::Duration;

use crate::name::Attempt;
use crate::time::Moment;

/// Part of a prompt held at one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// Amount of KV memory, in tokens.
    pub tokens: u64,
    /// Expiry time of the lease unless renewed.
    pub until: Moment,
    /// Start time and expected duration of the prefill in progress.
    pub prefill: Option<(Moment, Duration)>,
}

/// Spans held and requested at one endpoint.
#[derive(Debug, Default)]
pub struct Spans {
    held: HashMap<Attempt, Span>,
    /// Requested span for which freed memory is being set aside; at most one at a time.
    requested: Option<(Attempt, Span)>,
    /// Memory of released spans that the engine has not yet confirmed as free, in tokens.
    freeing: HashMap<Attempt, u64>,
}

impl Spans {
    /// Requests memory for `span`, or extends its request until `until`. Returns `false` if memory is being set aside
    /// for another span.
    pub fn request(&mut self, span: Attempt, tokens: u64, until: Moment, now: Moment) -> bool {
        if self.requested.is_some_and(|(_, requested)| requested.until <= now) {
            self.requested = None;
        }
        match &mut self.requested {
            Some((owner, requested)) if *owner == span => requested.until = until,
            Some(_) => return false,
            None => self.requested = Some((span, Span { tokens, until, prefill: None })),
        }
        true
    }

    /// Records that the memory of `span` is allocated.
    pub fn hold(&mut self, span: Attempt, tokens: u64, until: Moment) {
        if self.is_requested(span) {
            self.requested = None;
        }
        self.held.insert(span, Span { tokens, until, prefill: None });
    }

    /// Returns the span if it is held.
    pub fn get_mut(&mut self, span: Attempt) -> Option<&mut Span> {
        self.held.get_mut(&span)
    }

    /// Returns whether the span is held.
    pub fn is_held(&self, span: Attempt) -> bool {
        self.held.contains_key(&span)
    }

    /// Returns the number of tokens being set aside for the requested span.
    pub fn requested_tokens(&self, now: Moment) -> u64 {
        self.requested.filter(|(_, requested)| requested.until > now).map_or(0, |(_, requested)| requested.tokens)
    }

    /// Returns whether memory is being set aside for this span.
    pub fn is_requested(&self, span: Attempt) -> bool {
        self.requested.is_some_and(|(owner, _)| owner == span)
    }

    /// Returns the tokens of held spans that are not being prefilled.
    pub fn idle_tokens(&self) -> u64 {
        self.held.values().filter(|span| span.prefill.is_none()).map(|span| span.tokens).sum()
    }

    /// Returns the remaining time of the prefills in progress.
    pub fn prefill_time_left(&self, now: Moment) -> Duration {
        let filling = self.held.values().filter_map(|span| span.prefill);
        filling.map(|(started, cost)| cost.saturating_sub(now.since(started))).sum()
    }

    /// Releases a span: cancels its request, and if it was held, marks its memory for freeing. Returns whether the
    /// engine now has to free it.
    pub fn release(&mut self, span: Attempt) -> bool {
        if self.is_requested(span) {
            self.requested = None;
        }
        match self.held.remove(&span) {
            Some(held) => self.freeing.insert(span, held.tokens).is_none(),
            None => false,
        }
    }

    /// Returns the spans with expired leases.
    pub fn expired(&self, now: Moment) -> Vec<Attempt> {
        self.held.iter().filter(|(_, span)| span.until <= now).map(|(id, _)| *id).collect()
    }

    /// Records that the engine has freed a span, and returns whether that was outstanding.
    pub fn confirm_freed(&mut self, span: Attempt) -> bool {
        self.freeing.remove(&span).is_some()
    }

    /// Returns whether no span is held or being freed.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty() && self.freeing.is_empty()
    }

    /// Returns the tokens of all spans held or being freed.
    pub fn tokens(&self) -> u64 {
        self.held.values().map(|span| span.tokens).sum::<u64>() + self.freeing.values().sum::<u64>()
    }
}
