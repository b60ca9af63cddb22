//! Confirmation of commits by the reports of a majority.
//!
//! A commit at (T, offset) is confirmed when a majority of the members has
//! reported promised term T and a log at term T that reaches the offset. Every
//! later promotion at a higher term preserves the commit, because the majority
//! that grants the term shares a member with the confirming majority.

use std::collections::BTreeSet;
use std::ops::Bound;
use std::time::Instant;

use slotmap::{SecondaryMap, SlotMap};
use state::keys::MemberKey;
use state::log::{LogPosition, Term};
use state::member::{majority, MemberReport, MemberRole};

slotmap::new_key_type! {
    /// Key of a pending commit.
    pub struct CommitKey;
}

/// Outcome of a pending commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// A majority holds the commit at its term.
    Confirmed {
        /// A replica whose applied position has reached the commit, if any.
        replica: Option<MemberKey>,
    },
    /// The deadline passed, or a majority promised a higher term. The commit may
    /// or may not survive.
    Unknown,
}

/// A commit that is no longer pending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResolvedCommit {
    /// The key that [`ConfirmTracker::add`] returned.
    pub key: CommitKey,
    /// Position of the commit.
    pub position: LogPosition,
    /// Whether it was confirmed.
    pub outcome: CommitOutcome,
}

#[derive(Clone, Copy, Debug)]
struct PendingCommit {
    position: LogPosition,
    deadline: Instant,
}

/// Progress that a member has reported at its highest promised term.
#[derive(Clone, Copy, Debug, Default)]
struct MemberProgress {
    promised: Term,
    /// Highest reported log position at term `promised`; the default position
    /// until the first one is reported.
    reached: LogPosition,
    applied: LogPosition,
    is_primary: bool,
}

/// Tracks the pending commits of one group.
///
/// # Invariants
///
/// `by_position` and `by_deadline` hold exactly the keys of `pending`.
/// A resolved commit is removed at once, so the cost of a report depends only on
/// the number of members and of commits that the report resolves.
#[derive(Clone, Debug)]
pub struct ConfirmTracker {
    progress: SecondaryMap<MemberKey, MemberProgress>,
    pending: SlotMap<CommitKey, PendingCommit>,
    by_position: BTreeSet<(LogPosition, CommitKey)>,
    by_deadline: BTreeSet<(Instant, CommitKey)>,
    /// Buffer for sorting the members' positions without allocating.
    scratch: Vec<LogPosition>,
}

impl ConfirmTracker {
    /// Creates a tracker for a group with these members. A change of the members
    /// requires a new tracker.
    pub fn new(members: impl IntoIterator<Item = MemberKey>) -> Self {
        let mut progress = SecondaryMap::new();
        for member in members {
            progress.insert(member, MemberProgress::default());
        }
        assert!(
            !progress.is_empty(),
            "a group must have at least one member"
        );
        Self {
            scratch: Vec::with_capacity(progress.len()),
            progress,
            pending: SlotMap::with_key(),
            by_position: BTreeSet::new(),
            by_deadline: BTreeSet::new(),
        }
    }

    /// Adds a commit.
    ///
    /// `position` must have been read after the commit on the same connection,
    /// and the same read must have shown the role primary and the term at which
    /// the connection was checked out. A term has only one primary, so this read
    /// counts as the primary's report.
    pub fn add(&mut self, position: LogPosition, deadline: Instant) -> CommitKey {
        assert!(
            position.offset > 0,
            "the offset of a commit must be above zero"
        );
        let key = self.pending.insert(PendingCommit { position, deadline });
        self.by_position.insert((position, key));
        self.by_deadline.insert((deadline, key));
        let primary = self
            .progress
            .values_mut()
            .find(|progress| progress.is_primary && progress.promised == position.term);
        if let Some(progress) = primary {
            progress.reached = progress.reached.max(position);
        }
        key
    }

    /// Removes a commit whose caller has disconnected. Unknown keys are ignored.
    pub fn cancel(&mut self, key: CommitKey) {
        self.remove(key);
    }

    /// Records a member's report and returns the commits that it resolves.
    /// Late, reordered and repeated reports are allowed.
    pub fn report(&mut self, member: MemberKey, report: &MemberReport) -> Vec<ResolvedCommit> {
        debug_assert!(report.is_consistent());
        if !self.record_progress(member, report) {
            return Vec::new();
        }
        let mut resolved = self.resolve_superseded();
        self.resolve_confirmed(&mut resolved);
        debug_assert!(self.is_consistent());
        resolved
    }

    /// Resolves added commits whose position a majority had already reported,
    /// and commits whose deadline has passed. Must be called after each
    /// [`Self::add`] and at [`Self::next_deadline`].
    pub fn advance(&mut self, now: Instant) -> Vec<ResolvedCommit> {
        let mut resolved = self.resolve_superseded();
        self.resolve_confirmed(&mut resolved);
        while let Some(&(deadline, key)) = self.by_deadline.first() {
            if deadline > now {
                break;
            }
            resolved.extend(self.resolve(key, CommitOutcome::Unknown));
        }
        resolved
    }

    /// Returns the earliest deadline, at which [`Self::advance`] must be called.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.by_deadline.first().map(|&(deadline, _)| deadline)
    }

    /// Returns the position to await at a member: the lowest pending position
    /// that the member has not reported yet. The report that ends the wait
    /// usually covers later commits as well.
    pub fn next_await(&self, member: MemberKey) -> Option<LogPosition> {
        let progress = self.progress.get(member)?;
        let lowest = progress.reached.max(LogPosition {
            term: progress.promised,
            offset: 0,
        });
        // The null key sorts after all other keys, so the range starts behind
        // every commit at `lowest`.
        let above = Bound::Excluded((lowest, CommitKey::default()));
        self.by_position
            .range((above, Bound::Unbounded))
            .next()
            .map(|&(position, _)| position)
    }

    /// Returns the number of pending commits.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Updates the member's progress. Returns false for an unknown member or a
    /// report of a term below the member's highest one.
    ///
    /// When a member moves to a higher term, its progress at the lower term is
    /// discarded. This may turn a commit that could be confirmed into an unknown
    /// one, but never the reverse.
    fn record_progress(&mut self, member: MemberKey, report: &MemberReport) -> bool {
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
        // Not the maximum: a restarted member may have applied less than before.
        progress.applied = report.applied;
        progress.is_primary |= report.role == MemberRole::Primary;
        true
    }

    /// Resolves as unknown the commits of terms below the term that a majority
    /// has promised.
    fn resolve_superseded(&mut self) -> Vec<ResolvedCommit> {
        let mut resolved = Vec::new();
        let promised = self.quorum_term();
        while let Some(&(position, key)) = self.by_position.first() {
            if position.term >= promised {
                break;
            }
            resolved.extend(self.resolve(key, CommitOutcome::Unknown));
        }
        resolved
    }

    /// Resolves the confirmed commits of the lowest pending term. No higher term
    /// has confirmed commits: a majority at that term would have superseded the
    /// lower one.
    fn resolve_confirmed(&mut self, resolved: &mut Vec<ResolvedCommit>) {
        let Some(&(lowest, _)) = self.by_position.first() else {
            return;
        };
        let Some(quorum) = self.quorum_position(lowest.term) else {
            return;
        };
        while let Some(&(position, key)) = self.by_position.first() {
            if position > quorum {
                break;
            }
            let replica = self.find_applied_replica(position);
            resolved.extend(self.resolve(key, CommitOutcome::Confirmed { replica }));
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

    fn find_applied_replica(&self, position: LogPosition) -> Option<MemberKey> {
        self.progress
            .iter()
            .filter(|(_, progress)| !progress.is_primary && progress.promised == position.term)
            .filter(|(_, progress)| progress.applied.reaches(position))
            .map(|(member, _)| member)
            .next()
    }

    fn resolve(&mut self, key: CommitKey, outcome: CommitOutcome) -> Option<ResolvedCommit> {
        let commit = self.remove(key)?;
        if let CommitOutcome::Confirmed { .. } = outcome {
            debug_assert!(self.is_confirmed(commit.position));
        }
        Some(ResolvedCommit {
            key,
            position: commit.position,
            outcome,
        })
    }

    fn remove(&mut self, key: CommitKey) -> Option<PendingCommit> {
        let commit = self.pending.remove(key)?;
        self.by_position.remove(&(commit.position, key));
        self.by_deadline.remove(&(commit.deadline, key));
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
