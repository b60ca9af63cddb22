//! Checks the invariants of the simulation: accepted writes are never lost, each
//! term has at most one primary, sessions read their own writes, and measured ages
//! are upper limits.

use std::collections::{BTreeMap, HashSet};
use std::time::{Duration, Instant};

use state::log::{LogPosition, Term};

use super::member::{Entry, Log, Member};
use super::{Result, Violation, ViolationKind};

#[derive(Clone, Copy, Debug)]
pub struct AcceptedWrite {
    pub write: u64,
    pub position: LogPosition,
    pub at: Instant,
}

/// A read that was answered, with the data that it saw.
pub struct ObservedRead<'a> {
    pub log: &'a Log,
    pub visible: usize,
    /// Instant of the routing decision, at which `measured_age` was measured.
    pub routed_at: Instant,
    pub measured_age: Option<Duration>,
    /// Writes that were reported to the session as accepted before the read.
    pub required: &'a [AcceptedWrite],
    pub context: &'static str,
}

#[derive(Default)]
pub struct InvariantChecker {
    pub accepted: Vec<AcceptedWrite>,
    accepted_ids: HashSet<u64>,
    primaries: BTreeMap<Term, usize>,
}

fn holds(log: &[Entry], write: &AcceptedWrite) -> bool {
    let index = write.position.offset as usize - 1;
    log.get(index)
        .is_some_and(|entry| entry.write == write.write && entry.term == write.position.term)
}

impl InvariantChecker {
    pub fn promotions(&self) -> usize {
        self.primaries.len()
    }

    /// Records an accepted write and checks that every log of a higher term holds
    /// it.
    pub fn accept(&mut self, write: AcceptedWrite, members: &[Member]) -> Result {
        self.accepted_ids.insert(write.write);
        self.accepted.push(write);
        for member in members {
            let newer = member
                .log
                .last()
                .is_some_and(|last| last.term > write.position.term);
            if newer && !holds(&member.log, &write) {
                return Err(Violation::new(
                    ViolationKind::AcceptedWriteLost,
                    format!("member {} of a newer term lacks {write:?}", member.index),
                ));
            }
        }
        Ok(())
    }

    pub fn check_promotion(&mut self, index: usize, term: Term, log: &Log) -> Result {
        if let Some(other) = self.primaries.insert(term, index) {
            return Err(Violation::new(
                ViolationKind::TwoPrimaries,
                format!("members {other} and {index} at term {term}"),
            ));
        }
        // A promotion may be delayed past the promotion at the next term. Its
        // primary is superseded from the start and needs no writes of newer terms.
        let mut older = self
            .accepted
            .iter()
            .filter(|write| write.position.term < term);
        match older.find(|write| !holds(log, write)) {
            None => Ok(()),
            Some(write) => Err(Violation::new(
                ViolationKind::AcceptedWriteLost,
                format!("member {index}, promoted at {term}, lacks {write:?}"),
            )),
        }
    }

    pub fn check_dropped(&self, entries: &[Entry]) -> Result {
        let lost = entries
            .iter()
            .find(|entry| self.accepted_ids.contains(&entry.write));
        match lost {
            None => Ok(()),
            Some(entry) => Err(Violation::new(
                ViolationKind::AcceptedWriteLost,
                format!("dropped {entry:?}"),
            )),
        }
    }

    pub fn check_read(&self, read: &ObservedRead<'_>) -> Result {
        let seen = &read.log[..read.visible];
        if let Some(write) = read.required.iter().find(|write| !holds(seen, write)) {
            return Err(Violation::new(
                ViolationKind::OwnWriteUnseen,
                format!(
                    "{}: read up to {} lacks {write:?}",
                    read.context, read.visible
                ),
            ));
        }
        let Some(measured) = read.measured_age else {
            return Ok(());
        };
        let oldest = read.routed_at - measured;
        let missing = self
            .accepted
            .iter()
            .filter(|write| write.at < oldest)
            .find(|write| !holds(seen, write));
        match missing {
            None => Ok(()),
            Some(write) => Err(Violation::new(
                ViolationKind::AgeTooLow,
                format!("measured age {measured:?}, but the read lacks {write:?}"),
            )),
        }
    }

    /// Checks at the end of a run that every log holds every accepted write.
    pub fn check_end(&self, members: &[Member]) -> Result {
        for member in members {
            if let Some(write) = self
                .accepted
                .iter()
                .find(|write| !holds(&member.log, write))
            {
                return Err(Violation::new(
                    ViolationKind::AcceptedWriteLost,
                    format!("member {} lacks {write:?} at the end", member.index),
                ));
            }
        }
        Ok(())
    }
}
