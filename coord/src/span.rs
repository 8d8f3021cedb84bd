//! Spans: parts of a prompt that exceeds one engine, each held under a lease.
//!
//! A gang takes its spans in one global order, that of the endpoints' names, and
//! waits for the next only while it holds those before it; so no two gangs can
//! wait for each other. A lease that is not renewed lapses, and its memory is
//! freed once the engine has confirmed it.

use std::collections::HashMap;
use std::time::Duration;

use crate::name::Attempt;
use crate::time::Moment;

/// One span.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// Its KV memory, in tokens.
    pub tokens: u64,
    /// When its lease lapses unless renewed.
    pub until: Moment,
    /// Since when it is being prefilled, and what that should take.
    pub filling: Option<(Moment, Duration)>,
}

/// The spans held and wanted at one endpoint.
#[derive(Debug, Default)]
pub struct Spans {
    held: HashMap<Attempt, Span>,
    /// The one span for which memory is being collected.
    wanted: Option<(Attempt, Span)>,
    /// Lapsed spans that the engine has yet to free.
    freeing: HashMap<Attempt, u64>,
}

impl Spans {
    /// Whether `span` may be collected for: it is the one wanted, or none is.
    pub fn want(&mut self, span: Attempt, tokens: u64, until: Moment, now: Moment) -> bool {
        if self.wanted.is_some_and(|(_, wanted)| wanted.until <= now) {
            self.wanted = None;
        }
        match &mut self.wanted {
            Some((holder, wanted)) if *holder == span => wanted.until = until,
            Some(_) => return false,
            None => self.wanted = Some((span, Span { tokens, until, filling: None })),
        }
        true
    }

    /// Notes that `span` now holds its memory.
    pub fn hold(&mut self, span: Attempt, tokens: u64, until: Moment) {
        if self.is_wanted(span) {
            self.wanted = None;
        }
        self.held.insert(span, Span { tokens, until, filling: None });
    }

    /// The span, if it is held.
    pub fn get_mut(&mut self, span: Attempt) -> Option<&mut Span> {
        self.held.get_mut(&span)
    }

    /// Whether the span is held.
    pub fn is_held(&self, span: Attempt) -> bool {
        self.held.contains_key(&span)
    }

    /// Memory that is being collected for a span, in tokens.
    pub fn wanted_tokens(&self, now: Moment) -> u64 {
        self.wanted.filter(|(_, wanted)| wanted.until > now).map_or(0, |(_, wanted)| wanted.tokens)
    }

    /// Whether memory is being collected for this span.
    pub fn is_wanted(&self, span: Attempt) -> bool {
        self.wanted.is_some_and(|(holder, _)| holder == span)
    }

    /// Tokens of held spans that are not being prefilled now.
    pub fn unfilled_tokens(&self) -> u64 {
        self.held.values().filter(|span| span.filling.is_none()).map(|span| span.tokens).sum()
    }

    /// Prefill of spans still to be done on the engine.
    pub fn prefill_left(&self, now: Moment) -> Duration {
        let filling = self.held.values().filter_map(|span| span.filling);
        filling.map(|(since, cost)| cost.saturating_sub(now.since(since))).sum()
    }

    /// Gives up a span: nothing is collected for it, and if it was held it is now to be freed.
    pub fn give_up(&mut self, span: Attempt) -> bool {
        if self.is_wanted(span) {
            self.wanted = None;
        }
        match self.held.remove(&span) {
            Some(held) => self.freeing.insert(span, held.tokens).is_none(),
            None => false,
        }
    }

    /// Spans whose lease has lapsed.
    pub fn lapsed(&self, now: Moment) -> Vec<Attempt> {
        self.held.iter().filter(|(_, span)| span.until <= now).map(|(name, _)| *name).collect()
    }

    /// Notes that the engine has freed a span; whether it was waited for.
    pub fn freed(&mut self, span: Attempt) -> bool {
        self.freeing.remove(&span).is_some()
    }

    /// Whether no span is held or being freed.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty() && self.freeing.is_empty()
    }

    /// Tokens held by spans, those being freed among them.
    pub fn tokens(&self) -> u64 {
        self.held.values().map(|span| span.tokens).sum::<u64>() + self.freeing.values().sum::<u64>()
    }
}
