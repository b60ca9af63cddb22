//! Chooses the entry host of a data centre that reads the store for the others.
//!
//! The live host with the lowest name reads the store, and the other hosts ask
//! it for its readings. Hosts may disagree on which hosts are live. Therefore a
//! host that is asked reads the store itself; a second reader only costs
//! additional calls.

use std::time::{Duration, Instant};

/// Time for which a reader that did not answer is not asked again.
const FAILED_PAUSE: Duration = Duration::from_secs(3);
/// Time for which a host goes on reading the store after another host asked it.
const READ_AFTER_REQUEST: Duration = Duration::from_secs(2);

/// A live entry host of the same data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReaderHost<A> {
    /// Name, unique among the entry hosts.
    pub name: String,
    /// Address at which the host answers questions for readings.
    pub address: A,
}

/// One host's choice of the reader.
#[derive(Clone, Debug)]
pub struct ReaderChoice<A> {
    own_name: String,
    /// The other live hosts, in order of their names.
    others: Vec<ReaderHost<A>>,
    failed: Option<(String, Instant)>,
    asked_at: Option<Instant>,
}

impl<A: Clone> ReaderChoice<A> {
    /// Creates the choice of a host that knows no other host yet.
    pub fn new(own_name: &str) -> Self {
        Self {
            own_name: own_name.to_owned(),
            others: Vec::new(),
            failed: None,
            asked_at: None,
        }
    }

    /// Replaces the list of live hosts of the data centre. This host may be among
    /// them and is left out.
    pub fn set_hosts(&mut self, mut hosts: Vec<ReaderHost<A>>) {
        hosts.retain(|host| host.name != self.own_name);
        hosts.sort_by(|left, right| left.name.cmp(&right.name));
        self.others = hosts;
    }

    /// Records that another host asked this one for readings.
    pub fn record_asked(&mut self, now: Instant) {
        self.asked_at = Some(now);
    }

    /// Records that a reader did not answer.
    pub fn record_failure(&mut self, name: &str, now: Instant) {
        self.failed = Some((name.to_owned(), now));
    }

    /// Returns the host to ask, or `None` if this host has to read the store.
    pub fn reader(&self, now: Instant) -> Option<&ReaderHost<A>> {
        let is_asked = self
            .asked_at
            .is_some_and(|at| now.saturating_duration_since(at) < READ_AFTER_REQUEST);
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
