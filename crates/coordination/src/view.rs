//! Snapshot of a database group as one daemon observes it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use slotmap::SlotMap;
use state::keys::MemberKey;
use state::log::{LogPosition, Term};
use state::member::{majority, MemberReport, MemberRole};

/// Upper limit of the accepted writes of a group, obtained by one majority round.
///
/// # Invariants
///
/// `position` is at or above every write that was accepted before `asked_at`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupWatermark {
    /// Instant at which the round's first question was sent.
    pub asked_at: Instant,
    /// Highest log position in the replies of the majority.
    pub position: LogPosition,
}

/// State of one member as last observed by the daemon.
#[derive(Clone, Debug)]
pub struct MemberView {
    /// Name of the backend server.
    pub name: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Name of the region of its data centre.
    pub region: String,
    /// Address that accepts statements.
    pub address: SocketAddr,
    /// Address of the member control service.
    pub control_address: SocketAddr,
    /// Number of statements that it executes concurrently.
    pub slots: u64,
    /// Number of connections that it accepts from all entry hosts together.
    pub connection_limit: u64,
    /// Whether it is leaving and receives no new work.
    pub leaving: bool,
    /// Whether the last control call was answered.
    pub reachable: bool,
    /// Newest report, if any was received.
    pub report: Option<MemberReport>,
    /// Instant at which the call that returned `report` was sent.
    pub reported_at: Option<Instant>,
}

/// State of a group as last observed by the daemon.
#[derive(Clone, Debug)]
pub struct GroupView {
    /// Name of the group.
    pub name: String,
    /// Members of the group.
    pub members: SlotMap<MemberKey, MemberView>,
    /// Watermarks, oldest first, from which the age of a member's data is derived.
    ///
    /// # Invariants
    ///
    /// `asked_at` rises strictly; `position` never falls.
    pub watermarks: Vec<GroupWatermark>,
}

impl GroupView {
    /// Returns the highest term that the members' newest reports show.
    pub fn highest_term(&self) -> Term {
        self.members
            .values()
            .filter_map(|member| member.report)
            .map(|report| report.promised_term)
            .max()
            .unwrap_or_default()
    }

    /// Returns the primary of the highest known term, whether or not it is
    /// reachable. Returns `None` if no member reports to be primary at that term.
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
    /// see, or `None` when `applied` reaches no watermark.
    pub fn age_of(&self, applied: LogPosition, now: Instant) -> Option<Duration> {
        self.watermarks
            .iter()
            .rev()
            .find(|watermark| applied.reaches(watermark.position))
            .map(|watermark| now.saturating_duration_since(watermark.asked_at))
    }
}
