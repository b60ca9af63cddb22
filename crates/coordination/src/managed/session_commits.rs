//! What a session remembers of its own commits, by group, so that its reads see them.

use std::time::Instant;

use state::log::LogPosition;

/// Groups whose commits one session remembers. A session uses one group at a time, and
/// returns to an earlier one only when its route leads there again.
const GROUPS_MAX: usize = 8;

/// What a read in one group must see because of its session's own commits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CommitBound {
    /// Position of the session's last commit whose position is known.
    pub position: Option<LogPosition>,
    /// Instant up to which commits of the group must be seen in addition, since the session
    /// may have commits there whose position is not known.
    pub covered_until: Option<Instant>,
}

/// The last commit of a session in one group.
#[derive(Clone, Debug)]
struct GroupCommit {
    group: String,
    bound: CommitBound,
    committed_at: Instant,
}

/// The last commits of one session, by group.
///
/// Positions of different groups cannot be compared, so that each counts for its own group
/// only.
///
/// # Invariants
///
/// `commits` has at most [`GROUPS_MAX`] entries, with different groups, in the order of
/// their commits. `forgotten_until` is at or after each commit in a group that has no entry
/// any more.
#[derive(Clone, Debug, Default)]
pub struct SessionCommits {
    commits: Vec<GroupCommit>,
    forgotten_until: Option<Instant>,
}

impl SessionCommits {
    /// Records a commit that was acknowledged at `now`, with the position in its answer.
    pub fn record(&mut self, group: &str, position: Option<LogPosition>, now: Instant) {
        let found = self.commits.iter().position(|commit| commit.group == group);
        let mut commit = match found {
            Some(index) => self.commits.remove(index),
            None => GroupCommit {
                group: group.to_owned(),
                bound: CommitBound::default(),
                committed_at: now,
            },
        };
        commit.committed_at = now;
        commit.bound = match position {
            // It covers the session's earlier commits in the group, too.
            Some(_) => CommitBound {
                position,
                covered_until: None,
            },
            None => CommitBound {
                covered_until: Some(now),
                ..commit.bound
            },
        };
        if self.commits.len() == GROUPS_MAX {
            let forgotten = self.commits.remove(0).committed_at;
            self.forgotten_until = self.forgotten_until.max(Some(forgotten));
        }
        self.commits.push(commit);
    }

    /// Returns what a read in a group must see.
    pub fn bound(&self, group: &str) -> CommitBound {
        let found = self.commits.iter().find(|commit| commit.group == group);
        match found {
            Some(commit) => commit.bound,
            None => CommitBound {
                position: None,
                covered_until: self.forgotten_until,
            },
        }
    }
}
