//! Tests when the primary of a managed group is replaced, by which member, and
//! which host may replace it.

#[path = "support/managed.rs"]
mod managed_support;

use std::time::{Duration, Instant};

use coordination::managed::change::{
    choose_successor, reason_to_change, CandidateStatus, ChangeReason, SuccessorDecision,
};
use coordination::managed::group::{ContactFailure, ManagedGroup};
use coordination::managed::promotion_lease::{
    self, AcquireDecision, LeaseReading, PromotionLease, LEASE_DURATION,
};
use googletest::prelude::*;
use managed_support::{
    group_of_three, group_row, marker, ms, observe_primary, reading, revision, server,
};
use state::log::{LogPosition, Term};
use state::member::MemberRole;
use state::server_list::{ListedServer, ServerState};

/// Changes a group and returns the instant at which the primary is checked.
type Scenario = fn(&mut ManagedGroup, Instant) -> Instant;

struct ReasonCase {
    name: &'static str,
    scenario: Scenario,
    expected: Option<ChangeReason>,
}

fn list_without_primary() -> Vec<ListedServer> {
    vec![server("b", "dc-2"), server("c", "dc-3")]
}

fn full_list(state: ServerState) -> Vec<ListedServer> {
    let mut primary = server("a", "dc-1");
    primary.state = state;
    vec![primary, server("b", "dc-2"), server("c", "dc-3")]
}

#[gtest]
fn a_primary_is_replaced_only_for_a_known_reason() {
    let cases = [
        ReasonCase {
            name: "a healthy primary stays",
            scenario: |_, now| now + ms(60_000),
            expected: None,
        },
        ReasonCase {
            name: "one failure is not enough, however old",
            scenario: |group, now| {
                let key = group.find("a").unwrap();
                group.record_failure(key, ContactFailure::TimedOut, now);
                now + ms(5_000)
            },
            expected: None,
        },
        ReasonCase {
            name: "refused connections show a dead process",
            scenario: |group, now| {
                let key = group.find("a").unwrap();
                group.record_failure(key, ContactFailure::Refused, now);
                group.record_failure(key, ContactFailure::Refused, now + ms(100));
                now + ms(300)
            },
            expected: Some(ChangeReason::Unreachable),
        },
        ReasonCase {
            name: "timeouts count only after a longer time",
            scenario: |group, now| {
                let key = group.find("a").unwrap();
                group.record_failure(key, ContactFailure::TimedOut, now);
                group.record_failure(key, ContactFailure::TimedOut, now + ms(600));
                now + ms(900)
            },
            expected: None,
        },
        ReasonCase {
            name: "timeouts for long enough",
            scenario: |group, now| {
                let key = group.find("a").unwrap();
                group.record_failure(key, ContactFailure::TimedOut, now);
                group.record_failure(key, ContactFailure::TimedOut, now + ms(600));
                now + ms(1_300)
            },
            expected: Some(ChangeReason::Unreachable),
        },
        ReasonCase {
            name: "heartbeats show that the member is unreachable from this host only",
            scenario: |group, now| {
                let key = group.find("a").unwrap();
                group.record_failure(key, ContactFailure::TimedOut, now);
                group.record_failure(key, ContactFailure::TimedOut, now + ms(600));
                let mut list = full_list(ServerState::Ready);
                list[0].heartbeat += 1;
                group.apply_list(&list, None, now + ms(1_000));
                now + ms(1_300)
            },
            expected: None,
        },
        ReasonCase {
            name: "an answer ends the suspicion",
            scenario: |group, now| {
                let key = group.find("a").unwrap();
                group.record_failure(key, ContactFailure::TimedOut, now);
                group.record_failure(key, ContactFailure::TimedOut, now + ms(600));
                group.record_answer(key, None, now + ms(700), now + ms(800));
                now + ms(1_300)
            },
            expected: None,
        },
        ReasonCase {
            name: "the primary is about to stop",
            scenario: |group, now| {
                group.apply_list(&full_list(ServerState::Draining), None, now + ms(3_000));
                now + ms(3_000)
            },
            expected: Some(ChangeReason::Draining),
        },
        ReasonCase {
            name: "the primary was removed from the list",
            scenario: |group, now| {
                group.apply_list(&list_without_primary(), None, now + ms(4_000));
                now + ms(4_000)
            },
            expected: Some(ChangeReason::Gone),
        },
        ReasonCase {
            name: "no other member can take over",
            scenario: |group, now| {
                group.apply_list(&[server("a", "dc-1")], None, now + ms(4_000));
                group.apply_list(&[], None, now + ms(8_000));
                now + ms(8_000)
            },
            expected: None,
        },
        ReasonCase {
            name: "an announced change was not finished",
            scenario: |group, now| {
                let mut row = group_row("a", 1);
                row.change = Some(managed_support::announcement());
                group.observe_row(&reading(&row, revision(9), now + ms(100)), now + ms(100));
                now + ms(200)
            },
            expected: Some(ChangeReason::Unfinished),
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut group = group_of_three(now);
        let checked_at = (case.scenario)(&mut group, now);
        let reason = reason_to_change(&group, checked_at);
        expect_that!(reason, eq(case.expected), "{}", case.name);
    }
}

/// Guards against a change of primary at start: hosts read the group's row before
/// the primary was in their member list, and replaced it as gone. In the run
/// trouble-2 of fernwake-sightings this caused two promotions before the first
/// caller connected.
#[gtest]
fn a_primary_that_is_not_listed_yet_is_not_gone() {
    let now = Instant::now();
    let mut group = ManagedGroup::default();
    group.apply_list(&list_without_primary(), None, now);
    observe_primary(&mut group, "a", 1, now + ms(100));
    expect_that!(reason_to_change(&group, now + ms(200)), none());
    group.apply_list(&list_without_primary(), None, now + ms(1_100));
    expect_that!(reason_to_change(&group, now + ms(1_200)), none());
    group.apply_list(&full_list(ServerState::Ready), None, now + ms(1_500));
    expect_that!(reason_to_change(&group, now + ms(9_000)), none());
}

/// Guards against replacing an overloaded primary as unreachable when one
/// statement times out while others are answered.
#[gtest]
fn a_slow_statement_does_not_make_a_member_unreachable() {
    let now = Instant::now();
    let mut group = group_of_three(now);
    let key = group.find("a").unwrap();
    for round in 0..4 {
        let sent_at = now + ms(round * 500);
        group.record_answer(key, None, sent_at + ms(300), sent_at + ms(400));
        group.record_timeout(key, sent_at, sent_at + ms(500));
    }
    expect_that!(group.members[key].contact.failures, eq(0));
    expect_that!(reason_to_change(&group, now + ms(3_000)), none());
}

#[gtest]
fn the_candidate_with_the_longest_log_takes_over() {
    struct PollCase {
        name: &'static str,
        draining: &'static [&'static str],
        replies: &'static [(&'static str, MemberRole, u64, u64)],
        expected: Option<&'static str>,
    }
    const REPLICA: MemberRole = MemberRole::Replica;
    let cases = [
        PollCase {
            name: "the longest log",
            draining: &[],
            replies: &[("b", REPLICA, 1, 40), ("c", REPLICA, 1, 41)],
            expected: Some("c"),
        },
        PollCase {
            name: "a ready member before one that is about to stop",
            draining: &["c"],
            replies: &[("b", REPLICA, 1, 40), ("c", REPLICA, 1, 41)],
            expected: Some("b"),
        },
        PollCase {
            name: "never the former primary",
            draining: &[],
            replies: &[("a", REPLICA, 1, 90), ("b", REPLICA, 1, 1)],
            expected: Some("b"),
        },
        PollCase {
            name: "a replica of the current term before a superseded primary",
            draining: &[],
            replies: &[("b", REPLICA, 1, 40), ("c", MemberRole::Primary, 0, 41)],
            expected: Some("b"),
        },
        PollCase {
            name: "no member answered",
            draining: &[],
            replies: &[],
            expected: None,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut group = group_of_three(now);
        for id in case.draining {
            let key = group.find(id).unwrap();
            group.members[key].server.state = ServerState::Draining;
        }
        let replies: Vec<CandidateStatus> = case
            .replies
            .iter()
            .map(|(id, role, term, offset)| CandidateStatus {
                member: group.find(id).unwrap(),
                role: *role,
                term: Term(*term),
                received: LogPosition::new(1, *offset),
            })
            .collect();
        let expected = match case.expected {
            Some(id) => SuccessorDecision::Promote {
                member: group.find(id).unwrap(),
            },
            None => SuccessorDecision::NoCandidate,
        };
        let decision = choose_successor(&group, &replies, group.find("a"));
        expect_that!(decision, eq(expected), "{}", case.name);
    }
}

/// Guards against a second promotion after the first lease holder failed between
/// its promotion order and the write of the successor's row.
#[gtest]
fn a_member_that_leads_already_is_not_replaced() {
    let now = Instant::now();
    let group = group_of_three(now);
    let member = group.find("b").unwrap();
    let replies = [
        CandidateStatus {
            member,
            role: MemberRole::Primary,
            term: Term(2),
            received: LogPosition::new(1, 5),
        },
        CandidateStatus {
            member: group.find("c").unwrap(),
            role: MemberRole::Replica,
            term: Term(2),
            received: LogPosition::new(1, 9),
        },
    ];
    let expected = SuccessorDecision::Leading {
        member,
        term: Term(2),
    };
    expect_that!(
        choose_successor(&group, &replies, group.find("a")),
        eq(expected)
    );
}

fn lease_row(host: &str, incarnation: u64, until_ms: u64) -> PromotionLease {
    PromotionLease {
        host: host.to_owned(),
        incarnation,
        fencing_token: 7,
        until_ms,
    }
}

#[gtest]
fn the_lease_changes_hands_only_after_its_end() {
    struct LeaseCase {
        name: &'static str,
        row: Option<PromotionLease>,
        store_ms: u64,
        token: Option<u64>,
    }
    let cases = [
        LeaseCase {
            name: "the first holder",
            row: None,
            store_ms: 500,
            token: Some(1),
        },
        LeaseCase {
            name: "the holder extends with its token",
            row: Some(lease_row("host-1", 11, 9_000)),
            store_ms: 8_000,
            token: Some(7),
        },
        LeaseCase {
            name: "the lease of another host",
            row: Some(lease_row("host-2", 22, 9_000)),
            store_ms: 8_999,
            token: None,
        },
        LeaseCase {
            name: "calls of the former holder may still be in transit",
            row: Some(lease_row("host-2", 22, 9_000)),
            store_ms: 9_900,
            token: None,
        },
        LeaseCase {
            name: "takeover with a higher token",
            row: Some(lease_row("host-2", 22, 9_000)),
            store_ms: 10_000,
            token: Some(8),
        },
        LeaseCase {
            name: "a restarted process is another holder",
            row: Some(lease_row("host-1", 10, 9_000)),
            store_ms: 8_000,
            token: None,
        },
    ];
    for case in cases {
        let reading = LeaseReading {
            marker: marker(),
            revision: 3,
            store_time: Duration::from_millis(case.store_ms),
            asked_at: Instant::now(),
            row: case.row,
        };
        match (promotion_lease::decide(&reading, "host-1", 11), case.token) {
            (AcquireDecision::Write { row, held }, Some(token)) => {
                expect_that!(row.fencing_token, eq(token), "{}", case.name);
                expect_that!(held.fencing_token, eq(token), "{}", case.name);
            }
            (AcquireDecision::HeldElsewhere { .. }, None) => {}
            (decision, _) => expect_that!(format!("{decision:?}"), eq(""), "{}", case.name),
        }
    }
}

/// Guards against a promotion order from a holder whose lease has ended, for
/// example because the host was suspended.
#[gtest]
fn a_holder_stops_before_another_host_may_take_the_lease() {
    let asked_at = Instant::now();
    let reading = LeaseReading {
        marker: marker(),
        row: None,
        revision: 0,
        store_time: ms(1_000),
        asked_at,
    };
    let AcquireDecision::Write { row, held } = promotion_lease::decide(&reading, "host-1", 11)
    else {
        panic!("a free lease can be taken");
    };
    expect_that!(held.allows_call(asked_at), eq(true));
    expect_that!(held.allows_call(asked_at + LEASE_DURATION), eq(false));
    // Another host reads the row when the store's clock shows the end of the lease.
    let later = LeaseReading {
        marker: marker(),
        row: Some(row.clone()),
        revision: 1,
        store_time: Duration::from_millis(row.until_ms),
        asked_at: asked_at + LEASE_DURATION,
    };
    let taken = matches!(
        promotion_lease::decide(&later, "host-2", 5),
        AcquireDecision::Write { .. }
    );
    expect_that!(taken, eq(false));
}
