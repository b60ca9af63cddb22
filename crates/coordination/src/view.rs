//! What a daemon knows of a database group at one instant.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use slotmap::SlotMap;
use state::keys::MemberKey;
use state::log::{LogPosition, Term};
use state::member::{majority, MemberReport, MemberRole};

/// Result of one majority round.
///
/// # Invariants
///
/// `position` is at or above every write that was accepted before `asked_at`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupWatermark {
    /// Instant at which the round's first question was sent.
    pub asked_at: Instant,
    /// Highest position that any reply of the majority shows.
    pub position: LogPosition,
}

/// One member as the daemon last saw it.
#[derive(Clone, Debug)]
pub struct MemberView {
    /// Name of the backend server.
    pub name: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Name of the region of its data centre.
    pub region: String,
    /// Address for statements.
    pub address: SocketAddr,
    /// Address for member control.
    pub control_address: SocketAddr,
    /// Statements that it executes at the same time.
    pub slots: u64,
    /// Connections that it accepts from all entry hosts together.
    pub connection_limit: u64,
    /// Whether it is leaving: it gets no new work.
    pub leaving: bool,
    /// Whether the last control call was answered.
    pub reachable: bool,
    /// Newest report.
    pub report: Option<MemberReport>,
    /// Instant at which the newest report's question was sent.
    pub reported_at: Option<Instant>,
}

/// A group as the daemon last saw it.
#[derive(Clone, Debug)]
pub struct GroupView {
    /// Name of the group.
    pub name: String,
    /// Members.
    pub members: SlotMap<MemberKey, MemberView>,
    /// Newest watermarks, oldest first, that serve as freshness anchors.
    ///
    /// # Invariants
    ///
    /// `asked_at` rises strictly; `position` never falls.
    pub anchors: Vec<GroupWatermark>,
}

impl GroupView {
    /// Returns the highest term that any member's newest report shows.
    pub fn highest_term(&self) -> Term {
        self.members
            .values()
            .filter_map(|member| member.report)
            .map(|report| report.promised_term)
            .max()
            .unwrap_or_default()
    }

    /// Returns the primary of the highest known term, whether or not it is
    /// reachable.
    pub fn primary(&self) -> Option<MemberKey> {
        let term = self.highest_term();
        self.members
            .iter()
            .find(|(_, member)| {
                member.report.is_some_and(|report| {
                    report.role == MemberRole::Primary && report.promised_term == term
                })
            })
            .map(|(key, _)| key)
    }

    /// Returns how many members make a majority.
    pub fn majority(&self) -> usize {
        majority(self.members.len())
    }

    /// Returns an upper limit of the age of the data that reads at `applied`
    /// see, or `None` when no anchor shows one.
    pub fn age_of(&self, applied: LogPosition, now: Instant) -> Option<Duration> {
        self.anchors
            .iter()
            .rev()
            .find(|anchor| applied.reaches(anchor.position))
            .map(|anchor| now.saturating_duration_since(anchor.asked_at))
    }
}
