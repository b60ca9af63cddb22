//! Majority rounds that yield watermarks, and the history of watermarks that
//! measures the age of a member's data.
//!
//! # Why a watermark covers every accepted write
//!
//! A write at (T, offset) is accepted only after a majority reported promised
//! term T and a log at term T that reaches the offset. Any majority that
//! answers a later round shares a member M with that majority, and M's answer
//! was produced after M's confirming report. In between, M's log can lose
//! entries only by following a primary of a higher term, and such a primary
//! holds every accepted entry: the majority that granted its term contains a
//! member that had confirmed the entry before the grant, and the longest log
//! of that majority was promoted. So the last entry of M's log is at or above
//! (T, offset), and so is the highest last entry of the round.
//!
//! The argument uses the terms of log entries only. Hence these replies need
//! no special case:
//!
//! - A superseded primary may show a tail at its old term that was never
//!   accepted. The watermark is then higher than needed. It is still reachable,
//!   because every position of a newer term compares as higher.
//! - In the middle of a promotion no entry of the new term exists yet. Nothing
//!   can be accepted until one does, so the highest entry of the old term
//!   covers everything.
//! - A member that was fenced but not promoted shows a high promised term with
//!   an old log. Its promise adds nothing to the watermark; only its log does.
//! - Once the primary of the highest term has a confirmed entry, a majority
//!   holds an entry of that term, so a round yields a position of that term
//!   even if the other replies come from superseded members.
//!
//! # Why an anchor's age is an upper limit
//!
//! A member whose applied position reaches the watermark's position holds
//! every write accepted before `asked_at`: at the same term because a term has
//! one primary and so one sequence of entries, at a higher term by the argument
//! above. The oldest accepted write that it may lack was accepted at or after
//! `asked_at`, so the age of its data is at most `now - asked_at`.

use std::time::{Duration, Instant};

use slotmap::SecondaryMap;
use state::keys::MemberKey;
use state::log::LogPosition;
use state::member::{majority, MemberReport};

use crate::view::GroupWatermark;

/// Age up to which anchors are kept at [`ANCHOR_FINE_SPACING`].
const ANCHOR_FINE_AGE: Duration = Duration::from_secs(10);
/// Spacing of the young anchors. Rounds may run more often than probes, since
/// new sessions ask for them.
const ANCHOR_FINE_SPACING: Duration = Duration::from_millis(100);
/// Spacing of older anchors as a fraction of their age: thinning raises a
/// measured age by at most one eighth.
const ANCHOR_SPACING_DIVISOR: u32 = 8;
/// Longest age that can be measured; the document allows staleness up to a day.
const ANCHOR_LONGEST_AGE: Duration = Duration::from_secs(86_400 + 86_400 / 8);
/// Largest number of anchors. Any two neighbouring gaps together exceed the
/// spacing, which gives 200 young anchors and 2 * 8 * ln(9720) = 147 older ones.
const ANCHOR_LIMIT: usize = 400;

/// One question to all members of a group.
///
/// # Invariants
///
/// Only replies to questions that were sent at or after `asked_at` are entered.
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
        assert!(members > 0, "a group has at least one member");
        Self {
            asked_at,
            members,
            replies: SecondaryMap::new(),
            finished: false,
        }
    }

    /// Returns the instant at which the round was asked.
    pub fn asked_at(&self) -> Instant {
        self.asked_at
    }

    /// Tells whether the round has yielded its watermark.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Enters the reply of a member to a question sent at `question_sent_at`.
    /// Returns the watermark at the reply that completes a majority, and
    /// nothing for any other reply.
    ///
    /// A reply to an earlier question is ignored, since the member may have
    /// answered it before a write of its own majority was accepted.
    pub fn reply(
        &mut self,
        member: MemberKey,
        report: &MemberReport,
        question_sent_at: Instant,
    ) -> Option<GroupWatermark> {
        if self.finished || question_sent_at < self.asked_at {
            return None;
        }
        self.enter(member, report.log);
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

    /// A second reply of a member replaces the first only if it is higher, so
    /// that duplicates and reordering cannot lower the watermark.
    fn enter(&mut self, member: MemberKey, log: LogPosition) {
        let known = self.replies.get(member).copied().unwrap_or_default();
        self.replies.insert(member, log.max(known));
        assert!(
            self.replies.len() <= self.members,
            "a round has at most one reply per member"
        );
    }
}

/// Watermarks of the past day, oldest first, thinned with age.
///
/// # Invariants
///
/// `asked_at` and `position` both rise strictly, and there are at most
/// 400 anchors. Dropping an anchor only raises measured ages, so
/// thinning keeps them upper limits.
#[derive(Clone, Debug, Default)]
pub struct AnchorHistory {
    anchors: Vec<GroupWatermark>,
}

impl AnchorHistory {
    /// Creates an empty history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the anchors, oldest first, for `GroupView::anchors`.
    pub fn anchors(&self) -> &[GroupWatermark] {
        &self.anchors
    }

    /// Adds a watermark. A round that was asked before the newest anchor is
    /// ignored.
    ///
    /// Older anchors at or above the new position are removed: whoever reaches
    /// one of them reaches the new one too and has a lower age by it. They exist
    /// when nothing was written, and when an earlier round was answered by a
    /// superseded primary with a tail that no majority holds.
    pub fn push(&mut self, watermark: GroupWatermark) {
        if self
            .anchors
            .last()
            .is_some_and(|newest| newest.asked_at >= watermark.asked_at)
        {
            return;
        }
        let kept = self
            .anchors
            .partition_point(|anchor| anchor.position < watermark.position);
        self.anchors.truncate(kept);
        self.anchors.push(watermark);
        self.thin(watermark.asked_at);
        debug_assert!(self.is_ordered());
        assert!(
            self.anchors.len() <= ANCHOR_LIMIT,
            "the anchor history is bounded"
        );
    }

    fn thin(&mut self, newest_asked_at: Instant) {
        let too_old = self.anchors.partition_point(|anchor| {
            newest_asked_at.saturating_duration_since(anchor.asked_at) > ANCHOR_LONGEST_AGE
        });
        self.anchors.drain(..too_old);
        let mut kept = 0;
        for index in 0..self.anchors.len() {
            let anchor = self.anchors[index];
            if self.is_redundant(kept, index, newest_asked_at) {
                continue;
            }
            self.anchors[kept] = anchor;
            kept += 1;
        }
        self.anchors.truncate(kept);
    }

    /// Tells whether the anchor at `index` can go because its neighbours, the
    /// last of the `kept` ones and the next one, are close enough together.
    fn is_redundant(&self, kept: usize, index: usize, newest_asked_at: Instant) -> bool {
        if kept == 0 || index + 1 >= self.anchors.len() {
            return false;
        }
        let older = self.anchors[kept - 1].asked_at;
        let younger = self.anchors[index + 1].asked_at;
        let age = newest_asked_at.saturating_duration_since(younger);
        younger.duration_since(older) <= anchor_spacing(age)
    }

    fn is_ordered(&self) -> bool {
        self.anchors
            .windows(2)
            .all(|pair| pair[0].asked_at < pair[1].asked_at && pair[0].position < pair[1].position)
    }
}

fn anchor_spacing(age: Duration) -> Duration {
    if age <= ANCHOR_FINE_AGE {
        return ANCHOR_FINE_SPACING;
    }
    age / ANCHOR_SPACING_DIVISOR
}
