//! Which entry host of a data centre reads the store for the others.
//!
//! The live host with the lowest name reads, the others ask it. Hosts may
//! disagree on who lives: whoever is asked reads, so two readers cost calls and
//! nothing else.

use std::time::{Duration, Instant};

/// Time for which a reader that failed is not asked again.
const FAILED_PAUSE: Duration = Duration::from_secs(3);
/// Time for which a host that was asked goes on reading.
const ASKED_FOR: Duration = Duration::from_secs(2);

/// A live entry host of the same data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReaderHost<A> {
    /// Name of the host.
    pub name: String,
    /// How it is asked.
    pub address: A,
}

/// Chooses the reader for one host.
#[derive(Clone, Debug)]
pub struct ReaderChoice<A> {
    own_name: String,
    /// The other live hosts, in order of their names.
    others: Vec<ReaderHost<A>>,
    failed: Option<(String, Instant)>,
    asked_at: Option<Instant>,
}

impl<A: Clone> ReaderChoice<A> {
    /// Starts without others.
    pub fn new(own_name: &str) -> Self {
        Self {
            own_name: own_name.to_owned(),
            others: Vec::new(),
            failed: None,
            asked_at: None,
        }
    }

    /// Enters the live hosts of the data centre; the own one may be among them.
    pub fn set_hosts(&mut self, mut hosts: Vec<ReaderHost<A>>) {
        hosts.retain(|host| host.name != self.own_name);
        hosts.sort_by(|left, right| left.name.cmp(&right.name));
        self.others = hosts;
    }

    /// Enters that another host asked this one.
    pub fn note_asked(&mut self, now: Instant) {
        self.asked_at = Some(now);
    }

    /// Enters that a reader did not answer.
    pub fn note_failure(&mut self, name: &str, now: Instant) {
        self.failed = Some((name.to_owned(), now));
    }

    /// Returns the host to ask, or nothing when this host reads by itself.
    pub fn reader(&self, now: Instant) -> Option<&ReaderHost<A>> {
        let is_asked = self
            .asked_at
            .is_some_and(|at| now.saturating_duration_since(at) < ASKED_FOR);
        if is_asked {
            return None;
        }
        let first = self.others.first()?;
        let failed = self.failed.as_ref().is_some_and(|(name, at)| {
            *name == first.name && now.saturating_duration_since(*at) < FAILED_PAUSE
        });
        (first.name < self.own_name && !failed).then_some(first)
    }
}
