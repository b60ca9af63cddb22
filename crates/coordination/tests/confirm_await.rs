//! The position that a member is asked to await for pending commits.

use std::time::{Duration, Instant};

use coordination::confirm::ConfirmTracker;
use googletest::prelude::*;
use slotmap::SlotMap;
use state::keys::MemberKey;
use state::log::{LogPosition, Term};
use state::member::{MemberReport, MemberRole};

/// A commit directly above what a member has reported was not awaited, so its
/// confirmation waited for the next probe.
#[gtest]
fn a_commit_directly_above_the_reported_log_is_awaited() {
    let mut members: SlotMap<MemberKey, ()> = SlotMap::with_key();
    let keys: Vec<MemberKey> = (0..3).map(|_| members.insert(())).collect();
    let mut tracker = ConfirmTracker::new(keys.iter().copied());
    let reached = LogPosition::new(1, 4);
    for key in &keys {
        let report = MemberReport {
            promised_term: Term(1),
            role: MemberRole::Replica,
            log: reached,
            applied: reached,
            primary_heard: None,
        };
        let _ = tracker.report(*key, &report);
    }
    let deadline = Instant::now() + Duration::from_secs(1);
    let _ = tracker.add(LogPosition::new(1, 5), deadline);
    let _ = tracker.add(LogPosition::new(1, 5), deadline);
    let _ = tracker.add(LogPosition::new(1, 7), deadline);
    for key in keys {
        expect_that!(tracker.next_await(key), some(eq(LogPosition::new(1, 5))));
    }
}
