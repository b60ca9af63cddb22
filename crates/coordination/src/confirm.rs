//! Confirmation of commits by the reports of a majority.
//!
//! A commit at (T, offset) is confirmed when a majority of the members has
//! reported promised term T and a log at term T that reaches the offset. From
//! then on every promotion at a higher term keeps it, because the majority that
//! grants the term shares a member with the confirming one.

use std::collections::BTreeSet;
use std::time::Instant;

use slotmap::{SecondaryMap, SlotMap};
use state::keys::MemberKey;
use state::log::{LogPosition, Term};
use state::member::{majority, MemberReport, MemberRole};

slotmap::new_key_type! {
    /// Key of a pending commit.
    pub struct ConfirmTicket;
}

/// What became of a pending commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfirmVerdict {
    /// A majority holds the commit at its term.
    Confirmed {
        /// A replica whose applied position has reached the commit.
        replica: Option<MemberKey>,
    },
    /// The deadline passed, or a majority promised a higher term.
    Unknown,
}

/// A pending commit that got its verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettledCommit {
    /// The key that [`ConfirmTracker::add`] returned.
    pub ticket: ConfirmTicket,
    /// Position of the commit.
    pub position: LogPosition,
    /// The verdict.
    pub verdict: ConfirmVerdict,
}

#[derive(Clone, Copy, Debug)]
struct PendingCommit {
    position: LogPosition,
    deadline: Instant,
}

/// What a member has reported at its highest promised term.
#[derive(Clone, Copy, Debug, Default)]
struct MemberProgress {
    promised: Term,
    /// Highest log position at term `promised`; the term's start before one.
    reached: LogPosition,
    applied: LogPosition,
    is_primary: bool,
}

/// Pending commits of one group.
///
/// # Invariants
///
/// `by_position` and `by_deadline` hold exactly the tickets of `pending`.
/// A settled commit is removed at once, so the cost of a report depends on the
/// number of members and of commits that this report settles only.
#[derive(Clone, Debug)]
pub struct ConfirmTracker {
    progress: SecondaryMap<MemberKey, MemberProgress>,
    pending: SlotMap<ConfirmTicket, PendingCommit>,
    by_position: BTreeSet<(LogPosition, ConfirmTicket)>,
    by_deadline: BTreeSet<(Instant, ConfirmTicket)>,
    /// Workspace for ordering the members' positions without allocating.
    scratch: Vec<LogPosition>,
}

impl ConfirmTracker {
    /// Creates a tracker for a group with these members. When the members of a
    /// group change, a new tracker replaces this one.
    pub fn new(members: impl IntoIterator<Item = MemberKey>) -> Self {
        let mut progress = SecondaryMap::new();
        for member in members {
            progress.insert(member, MemberProgress::default());
        }
        assert!(!progress.is_empty(), "a group has at least one member");
        Self {
            scratch: Vec::with_capacity(progress.len()),
            progress,
            pending: SlotMap::with_key(),
            by_position: BTreeSet::new(),
            by_deadline: BTreeSet::new(),
        }
    }

    /// Adds a commit. `position` must have been read behind the commit on the
    /// same connection, with the role primary and the term at which the
    /// connection was checked out.
    ///
    /// That reading counts as the primary's report, since a term has only one
    /// primary.
    pub fn add(&mut self, position: LogPosition, deadline: Instant) -> ConfirmTicket {
        assert!(position.offset > 0, "a commit has an offset");
        let ticket = self.pending.insert(PendingCommit { position, deadline });
        self.by_position.insert((position, ticket));
        self.by_deadline.insert((deadline, ticket));
        let primary = self
            .progress
            .values_mut()
            .find(|progress| progress.is_primary && progress.promised == position.term);
        if let Some(progress) = primary {
            progress.reached = progress.reached.max(position);
        }
        ticket
    }

    /// Removes a commit whose caller has gone. Unknown tickets are ignored.
    pub fn forget(&mut self, ticket: ConfirmTicket) {
        self.remove(ticket);
    }

    /// Enters a member's report and returns the commits that it settles.
    /// Late, reordered and repeated reports are harmless.
    pub fn report(&mut self, member: MemberKey, report: &MemberReport) -> Vec<SettledCommit> {
        debug_assert!(report.is_consistent());
        if !self.note(member, report) {
            return Vec::new();
        }
        let mut settled = self.settle_superseded();
        self.settle_confirmed(&mut settled);
        debug_assert!(self.is_consistent());
        settled
    }

    /// Settles what [`Self::add`] completed (the members had reported the
    /// position before) and what has passed its deadline. To be called after
    /// each `add` and when [`Self::next_deadline`] is due.
    pub fn advance(&mut self, now: Instant) -> Vec<SettledCommit> {
        let mut settled = self.settle_superseded();
        self.settle_confirmed(&mut settled);
        while let Some(&(deadline, ticket)) = self.by_deadline.first() {
            if deadline > now {
                break;
            }
            settled.extend(self.settle(ticket, ConfirmVerdict::Unknown));
        }
        settled
    }

    /// Returns the instant at which [`Self::advance`] is due.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.by_deadline.first().map(|&(deadline, _)| deadline)
    }

    /// Returns the position to await at a member: the lowest pending one that
    /// it has not reported yet. The report that ends the wait usually covers
    /// later commits as well.
    pub fn next_await(&self, member: MemberKey) -> Option<LogPosition> {
        let progress = self.progress.get(member)?;
        let lowest = progress.reached.max(LogPosition {
            term: progress.promised,
            offset: 0,
        });
        // The null ticket sorts behind every real one at its position, so the
        // range must not begin at the position that is looked for.
        self.by_position
            .range((lowest, ConfirmTicket::default())..)
            .map(|&(position, _)| position)
            .find(|position| *position > lowest)
    }

    /// Returns the number of pending commits.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Takes over what is new in a report; returns false when nothing is.
    ///
    /// Progress at a lower term is given up when a member moves to a higher
    /// one. That may turn a confirmable commit into an unknown one, never the
    /// reverse.
    fn note(&mut self, member: MemberKey, report: &MemberReport) -> bool {
        let Some(progress) = self.progress.get_mut(member) else {
            return false;
        };
        if report.promised_term < progress.promised {
            return false;
        }
        if report.promised_term > progress.promised {
            *progress = MemberProgress {
                promised: report.promised_term,
                ..MemberProgress::default()
            };
        }
        if report.log.term == report.promised_term {
            progress.reached = progress.reached.max(report.log);
        }
        // Not the maximum: a restarted member may show an older state.
        progress.applied = report.applied;
        progress.is_primary |= report.role == MemberRole::Primary;
        true
    }

    /// Settles the commits of terms below the one that a majority promised.
    fn settle_superseded(&mut self) -> Vec<SettledCommit> {
        let mut settled = Vec::new();
        let promised = self.quorum_term();
        while let Some(&(position, ticket)) = self.by_position.first() {
            if position.term >= promised {
                break;
            }
            settled.extend(self.settle(ticket, ConfirmVerdict::Unknown));
        }
        settled
    }

    /// Settles the confirmed commits of the lowest pending term. A higher term
    /// has none: a majority at that term would have superseded the lower one.
    fn settle_confirmed(&mut self, settled: &mut Vec<SettledCommit>) {
        let Some(&(lowest, _)) = self.by_position.first() else {
            return;
        };
        let Some(quorum) = self.quorum_position(lowest.term) else {
            return;
        };
        while let Some(&(position, ticket)) = self.by_position.first() {
            if position > quorum {
                break;
            }
            let replica = self.find_replica(position);
            settled.extend(self.settle(ticket, ConfirmVerdict::Confirmed { replica }));
        }
    }

    /// Returns the highest term that a majority has promised or exceeded.
    fn quorum_term(&mut self) -> Term {
        self.scratch.clear();
        let promised = self.progress.values().map(|progress| LogPosition {
            term: progress.promised,
            offset: 0,
        });
        self.scratch.extend(promised);
        self.scratch.sort_unstable();
        self.scratch[self.scratch.len() - majority(self.progress.len())].term
    }

    /// Returns the highest position of `term` that a majority has reached.
    fn quorum_position(&mut self, term: Term) -> Option<LogPosition> {
        self.scratch.clear();
        let reached = self.progress.values().map(|progress| progress.reached);
        self.scratch
            .extend(reached.filter(|position| position.term == term));
        self.scratch.sort_unstable();
        let lower = self
            .scratch
            .len()
            .checked_sub(majority(self.progress.len()))?;
        Some(self.scratch[lower])
    }

    fn find_replica(&self, position: LogPosition) -> Option<MemberKey> {
        self.progress
            .iter()
            .filter(|(_, progress)| !progress.is_primary && progress.promised == position.term)
            .filter(|(_, progress)| progress.applied.reaches(position))
            .map(|(member, _)| member)
            .next()
    }

    fn settle(&mut self, ticket: ConfirmTicket, verdict: ConfirmVerdict) -> Option<SettledCommit> {
        let commit = self.remove(ticket)?;
        if let ConfirmVerdict::Confirmed { .. } = verdict {
            debug_assert!(self.is_confirmed(commit.position));
        }
        Some(SettledCommit {
            ticket,
            position: commit.position,
            verdict,
        })
    }

    fn remove(&mut self, ticket: ConfirmTicket) -> Option<PendingCommit> {
        let commit = self.pending.remove(ticket)?;
        self.by_position.remove(&(commit.position, ticket));
        self.by_deadline.remove(&(commit.deadline, ticket));
        Some(commit)
    }

    fn is_confirmed(&self, position: LogPosition) -> bool {
        let reached = |progress: &&MemberProgress| {
            progress.promised == position.term
                && progress.reached.term == position.term
                && progress.reached.reaches(position)
        };
        self.progress.values().filter(reached).count() >= majority(self.progress.len())
    }

    fn is_consistent(&self) -> bool {
        self.pending.len() == self.by_position.len()
            && self.pending.len() == self.by_deadline.len()
            && self
                .progress
                .values()
                .all(|progress| progress.reached.term <= progress.promised)
    }
}
