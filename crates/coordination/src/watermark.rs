//! Majority rounds that yield watermarks, and the watermark history from which
//! the age of a member's data is derived.
//!
//! # Why a watermark covers every accepted write
//!
//! A write at (T, offset) is accepted only after a majority has reported
//! promised term T and a log at term T that reaches the offset. Any majority
//! that answers a later round shares a member M with that majority, and M
//! answered the round after its confirming report. Between the two, M's log can
//! lose entries only by following a primary of a higher term, and such a primary
//! holds every accepted entry: the majority that granted its term contains a
//! member that had confirmed the entry before the grant, and the member with the
//! highest log of that majority was promoted. The last entry of M's log is
//! therefore at or above (T, offset), and so is the highest last entry of the
//! round.
//!
//! The argument relies only on the terms of log entries. The following replies
//! therefore need no special case:
//!
//! - A superseded primary may report a tail at its old term that was never
//!   accepted. The watermark is then higher than needed. It is still reachable,
//!   because every position of a newer term compares as higher.
//! - During a promotion, no entry of the new term exists yet. No write can be
//!   accepted until one exists, so the highest entry of the old term covers all
//!   accepted writes.
//! - A member that was fenced but not promoted reports a high promised term with
//!   an old log. Only its log counts for the watermark, not its promise.
//! - Once the primary of the highest term has a confirmed entry, a majority
//!   holds an entry of that term. A round then yields a position of that term
//!   even if the other replies come from superseded members.
//!
//! # Why a watermark limits the age of data
//!
//! A member whose applied position reaches the watermark's position holds
//! every write accepted before `asked_at`: at the same term because a term has
//! one primary and therefore one sequence of entries, at a higher term by the
//! argument above. The oldest accepted write that the member may lack was
//! accepted at or after `asked_at`, so the age of its data is at most
//! `now - asked_at`.

use std::time::{Duration, Instant};

use slotmap::SecondaryMap;
use state::keys::MemberKey;
use state::log::LogPosition;
use state::member::{majority, MemberReport};

use crate::view::GroupWatermark;

/// Age up to which watermarks are kept at [`FINE_SPACING`].
const FINE_SPACING_AGE: Duration = Duration::from_secs(10);
/// Spacing of watermarks younger than [`FINE_SPACING_AGE`]. Rounds may run more
/// often than probes, because new sessions request them.
const FINE_SPACING: Duration = Duration::from_millis(100);
/// Divisor that yields the spacing of older watermarks from their age: thinning
/// raises a measured age by at most one eighth.
const COARSE_SPACING_DIVISOR: u32 = 8;
/// Highest age that can be measured. The document allows staleness up to a day.
const MAX_WATERMARK_AGE: Duration = Duration::from_secs(86_400 + 86_400 / 8);
/// Upper limit of the history's length. Any two neighbouring gaps together
/// exceed the spacing, which allows 200 young watermarks and
/// 2 * 8 * ln(9720) = 147 older ones.
const MAX_WATERMARKS: usize = 400;

/// A query to all members of a group that ends with the replies of a majority.
///
/// # Invariants
///
/// Only replies to questions that were sent at or after `asked_at` count.
#[derive(Clone, Debug)]
pub struct WatermarkRound {
    asked_at: Instant,
    members: usize,
    replies: SecondaryMap<MemberKey, LogPosition>,
    finished: bool,
}

impl WatermarkRound {
    /// Starts a round for a group of `members` members.
    pub fn start(asked_at: Instant, members: usize) -> Self {
        assert!(members > 0, "a group must have at least one member");
        Self {
            asked_at,
            members,
            replies: SecondaryMap::new(),
            finished: false,
        }
    }

    /// Returns the instant at which the round started.
    pub fn asked_at(&self) -> Instant {
        self.asked_at
    }

    /// Returns whether the round has yielded its watermark.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Records the reply of a member to a question sent at `question_sent_at`.
    /// Returns the watermark if this reply completes a majority, and `None` for
    /// every other reply.
    ///
    /// A reply to a question sent before the round is ignored: the member may
    /// have answered it before it confirmed a write that was accepted before the
    /// round.
    pub fn reply(
        &mut self,
        member: MemberKey,
        report: &MemberReport,
        question_sent_at: Instant,
    ) -> Option<GroupWatermark> {
        if self.finished || question_sent_at < self.asked_at {
            return None;
        }
        self.record(member, report.log);
        if self.replies.len() < majority(self.members) {
            return None;
        }
        self.finished = true;
        let position = self.replies.values().copied().max()?;
        Some(GroupWatermark {
            asked_at: self.asked_at,
            position,
        })
    }

    /// Records the log position of a member. A second reply replaces the first
    /// only if it is higher, so that duplicates and reordering cannot lower the
    /// watermark.
    fn record(&mut self, member: MemberKey, log: LogPosition) {
        let known = self.replies.get(member).copied().unwrap_or_default();
        self.replies.insert(member, log.max(known));
        assert!(
            self.replies.len() <= self.members,
            "a round must hold at most one reply per member"
        );
    }
}

/// Watermarks of the past day, oldest first, spaced more widely with age.
///
/// # Invariants
///
/// `asked_at` and `position` both rise strictly, and there are at most 400
/// watermarks. Dropping a watermark can only raise measured ages, so they remain
/// upper limits.
#[derive(Clone, Debug, Default)]
pub struct WatermarkHistory {
    entries: Vec<GroupWatermark>,
}

impl WatermarkHistory {
    /// Creates an empty history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the watermarks, oldest first, for `GroupView::watermarks`.
    pub fn watermarks(&self) -> &[GroupWatermark] {
        &self.entries
    }

    /// Adds a watermark. It is ignored if its round did not start after the round
    /// of the newest watermark.
    ///
    /// Older watermarks at or above the new position are removed: a member that
    /// reaches one of them also reaches the new one, which shows a lower age.
    /// Such watermarks exist when nothing was written, and when a superseded
    /// primary answered an earlier round with a tail that no majority holds.
    pub fn push(&mut self, watermark: GroupWatermark) {
        if self
            .entries
            .last()
            .is_some_and(|newest| newest.asked_at >= watermark.asked_at)
        {
            return;
        }
        let kept = self
            .entries
            .partition_point(|entry| entry.position < watermark.position);
        self.entries.truncate(kept);
        self.entries.push(watermark);
        self.thin(watermark.asked_at);
        debug_assert!(self.is_ordered());
        assert!(
            self.entries.len() <= MAX_WATERMARKS,
            "the watermark history must stay bounded"
        );
    }

    fn thin(&mut self, newest_asked_at: Instant) {
        let too_old = self.entries.partition_point(|entry| {
            newest_asked_at.saturating_duration_since(entry.asked_at) > MAX_WATERMARK_AGE
        });
        self.entries.drain(..too_old);
        let mut kept = 0;
        for index in 0..self.entries.len() {
            let entry = self.entries[index];
            if self.is_redundant(kept, index, newest_asked_at) {
                continue;
            }
            self.entries[kept] = entry;
            kept += 1;
        }
        self.entries.truncate(kept);
    }

    /// Returns whether the watermark at `index` can be dropped because its
    /// neighbours (the last of the `kept` ones and the next one) are close enough
    /// together.
    fn is_redundant(&self, kept: usize, index: usize, newest_asked_at: Instant) -> bool {
        if kept == 0 || index + 1 >= self.entries.len() {
            return false;
        }
        let older = self.entries[kept - 1].asked_at;
        let younger = self.entries[index + 1].asked_at;
        let age = newest_asked_at.saturating_duration_since(younger);
        younger.duration_since(older) <= max_spacing(age)
    }

    fn is_ordered(&self) -> bool {
        self.entries
            .windows(2)
            .all(|pair| pair[0].asked_at < pair[1].asked_at && pair[0].position < pair[1].position)
    }
}

fn max_spacing(age: Duration) -> Duration {
    if age <= FINE_SPACING_AGE {
        return FINE_SPACING;
    }
    age / COARSE_SPACING_DIVISOR
}
