//! Choice of the position that the monitor awaits at a member.

use std::time::{Duration, Instant};

use coordination::confirm::ConfirmTracker;
use googletest::prelude::*;
use slotmap::SlotMap;
use state::keys::MemberKey;
use state::log::{LogPosition, Term};
use state::member::{MemberReport, MemberRole};

struct AwaitCase {
    name: &'static str,
    reported: u64,
    pending: &'static [u64],
    expected: Option<u64>,
}

/// Guards against a commit that no `await_position` call covers, so that its
/// confirmation waits for the next probe. This happened to each commit directly
/// after the position that a member had reported.
#[gtest]
fn the_lowest_unreported_commit_is_awaited() {
    let cases = [
        AwaitCase {
            name: "the commit after the reported position",
            reported: 4,
            pending: &[5],
            expected: Some(5),
        },
        AwaitCase {
            name: "a later commit",
            reported: 4,
            pending: &[9, 7],
            expected: Some(7),
        },
        AwaitCase {
            name: "a commit at the reported position",
            reported: 4,
            pending: &[4, 5],
            expected: Some(5),
        },
        AwaitCase {
            name: "several commits of which two share a position",
            reported: 4,
            pending: &[5, 5, 7],
            expected: Some(5),
        },
        AwaitCase {
            name: "nothing above the reported position",
            reported: 4,
            pending: &[4],
            expected: None,
        },
    ];
    for case in cases {
        let mut keys: SlotMap<MemberKey, ()> = SlotMap::with_key();
        let members: Vec<MemberKey> = (0..3).map(|_| keys.insert(())).collect();
        let mut tracker = ConfirmTracker::new(members.clone());
        let log = LogPosition::new(1, case.reported);
        let report = MemberReport {
            promised_term: Term(1),
            role: MemberRole::Replica,
            log,
            applied: log,
            primary_heartbeat_age: None,
        };
        tracker.report(members[1], &report);
        let deadline = Instant::now() + Duration::from_secs(5);
        for offset in case.pending {
            tracker.add(LogPosition::new(1, *offset), deadline);
        }
        let expected = case.expected.map(|offset| LogPosition::new(1, offset));
        expect_that!(
            tracker.next_await(members[1]),
            eq(expected),
            "{}",
            case.name
        );
    }
}
