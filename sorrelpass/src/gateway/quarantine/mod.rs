//! What this entry knows of work under which replicas end, and passing that on.
//!
//! Evidence is gathered where a connection to a replica ends ([`evidence`]). Every entry has a register of its own, and
//! hears from the others by way of the one that plans for all. What must outlast a loss of all entries stands in the
//! store ([`record`], [`store`]).

mod evidence;
pub mod record;
pub mod store;
mod told;

use std::cell::RefCell;
use std::collections::HashMap;

use coord::end::Ends;
use coord::quarantine::{News, Register, Standing, Work};
use tokio::sync::{Notify, watch};

pub use self::evidence::Lost;
use self::record::Entry;
pub use self::told::Told;
use super::link::{Order, Report};
use super::state::Gateway;
use super::topic::Topic;
use crate::{event, metric, util, warn_event};

/// News in one message: some 75 bytes each, so a message stays below 32 KB.
const NEWS_A_MESSAGE: usize = 400;

/// Who told this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Nobody: it saw it itself, or read it in the store.
    Own,
    /// The entry that plans for this one.
    Leader,
    /// An entry that this one plans for.
    Follower,
}

/// The quarantine as this entry knows it.
pub struct Quarantine {
    register: RefCell<Register>,
    /// How far its topic of the store is known.
    topic: Topic,
    /// What stands in the store, as far as is known.
    stored: RefCell<HashMap<Work, Entry>>,
    /// Ends of replicas that this entry has seen or heard of.
    ends: RefCell<Ends>,
    /// Told when something may have to be written.
    unwritten: Notify,
    /// Changes with each verdict.
    verdicts: watch::Sender<u64>,
}

impl Quarantine {
    /// Nothing known.
    pub fn new() -> Self {
        Self {
            register: RefCell::default(),
            topic: Topic::default(),
            stored: RefCell::default(),
            ends: RefCell::new(Ends::new(util::incarnation())),
            unwritten: Notify::new(),
            verdicts: watch::Sender::default(),
        }
    }

    /// Whether work is sent no more.
    pub fn is_condemned(&self, work: Work) -> bool {
        self.register.borrow().standing(work) == Standing::Condemned
    }

    /// Has prompts placed by what is known now. All suspects are told: a verdict also clears others, without news of them.
    fn report(&self, gateway: &Gateway) {
        let register = self.register.borrow();
        let suspects: Vec<Work> = register.suspects().map(|(work, _)| work).collect();
        metric::quarantine(suspects.len(), register.condemned().count());
        gateway.desk.set_suspects(suspects);
    }

    /// Whether anything is known against work.
    fn knows(&self, work: Work) -> bool {
        let register = self.register.borrow();
        register.standing(work) != Standing::Clear || register.evidence(work).next().is_some()
    }

    /// Waits until work is condemned.
    pub async fn condemned(&self, work: Work) {
        // Fails only if the sender is gone, which lives as long as this.
        let _ = self.verdicts.subscribe().wait_for(|_| self.is_condemned(work)).await;
    }

    /// Has what must last be looked at: who writes it may have changed.
    pub fn wake(&self) {
        self.unwritten.notify_one();
    }

    /// All that another entry should know, in messages.
    pub fn messages(&self) -> Vec<Vec<Told>> {
        self.register.borrow().all().chunks(NEWS_A_MESSAGE).map(|news| self.tell(news)).collect()
    }

    /// News as they are passed on now.
    fn tell(&self, news: &[News]) -> Vec<Told> {
        let ends = self.ends.borrow();
        news.iter().map(|news| Told::of(news.clone(), &ends)).collect()
    }
}

/// Takes in what another entry tells.
pub fn receive(gateway: &Gateway, told: Vec<Told>, source: Source) {
    let mut ends = gateway.quarantine.ends.borrow_mut();
    let news = told.into_iter().map(|told| told.news(&mut ends)).collect();
    drop(ends);
    evidence::forget_unknown(gateway);
    hear(gateway, news, source);
}

/// Takes news in, and passes on what others should hear.
fn hear(gateway: &Gateway, news: Vec<News>, source: Source) {
    let quarantine = &gateway.quarantine;
    if source == Source::Own && gateway.desk.has_leader() {
        gateway.desk.report(Report::Quarantine(quarantine.tell(&news)));
    }
    let mut told = Vec::new();
    for item in news {
        told.extend(quarantine.register.borrow_mut().hear(item));
    }
    if told.is_empty() {
        return;
    }
    told.iter().for_each(|news| note(gateway, news));
    quarantine.report(gateway);
    if source != Source::Leader {
        gateway.desk.tell_all(&Order::Quarantine(quarantine.tell(&told)));
    }
    quarantine.wake();
}

/// Notes that work came to a whole answer of success.
pub fn cleared(gateway: &Gateway, work: Work) {
    if gateway.quarantine.knows(work) {
        hear(gateway, vec![News::Cleared(work)], Source::Own);
    }
}

/// Logs one change.
fn note(gateway: &Gateway, news: &News) {
    let work = news.work();
    let quarantine = &gateway.quarantine;
    match news {
        News::Ended { run, weight, .. } => {
            let ends = quarantine.register.borrow().evidence(work).count();
            event!("suspect", work = %work, run = %run, weight = ?weight, ends);
        }
        News::Cleared(_) => event!("suspect-cleared", work = %work),
        News::Condemned(_) => {
            warn_event!("condemned", work = %work);
            metric::condemned();
            quarantine.verdicts.send_modify(|verdicts| *verdicts += 1);
        }
        News::Lifted(_) => event!("quarantine-lifted", work = %work),
    }
}
