//! When a primary of a managed group is replaced, by which member, and by
//! which host.

#[path = "support/managed.rs"]
mod managed_support;

use std::time::{Duration, Instant};

use coordination::managed::change::{
    decide_survey, reason_to_change, ChangeReason, SurveyDecision, SurveyReply,
};
use coordination::managed::duty::{self, DutyDecision, DutyReading, DutyRow, DUTY_DURATION};
use coordination::managed::group::{ManagedGroup, ReachFailure};
use googletest::prelude::*;
use managed_support::{group_of_three, ms, reign, server, settle};
use state::log::{LogPosition, Term};
use state::member::MemberRole;
use state::server_list::{ListedServer, ServerState};

/// What happens to a group before its primary is judged.
type Story = fn(&mut ManagedGroup, Instant) -> Instant;

struct ReasonCase {
    name: &'static str,
    story: Story,
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
fn a_primary_is_replaced_for_a_reason() {
    let cases = [
        ReasonCase {
            name: "a healthy primary stays",
            story: |_, now| now + ms(60_000),
            expected: None,
        },
        ReasonCase {
            name: "one failure is not enough, however old",
            story: |group, now| {
                let key = group.find("a").unwrap();
                group.note_failure(key, ReachFailure::Silent, now);
                now + ms(5_000)
            },
            expected: None,
        },
        ReasonCase {
            name: "refused connections show a dead process",
            story: |group, now| {
                let key = group.find("a").unwrap();
                group.note_failure(key, ReachFailure::Refused, now);
                group.note_failure(key, ReachFailure::Refused, now + ms(100));
                now + ms(300)
            },
            expected: Some(ChangeReason::Unreachable),
        },
        ReasonCase {
            name: "silence needs longer",
            story: |group, now| {
                let key = group.find("a").unwrap();
                group.note_failure(key, ReachFailure::Silent, now);
                group.note_failure(key, ReachFailure::Silent, now + ms(600));
                now + ms(900)
            },
            expected: None,
        },
        ReasonCase {
            name: "silence for long",
            story: |group, now| {
                let key = group.find("a").unwrap();
                group.note_failure(key, ReachFailure::Silent, now);
                group.note_failure(key, ReachFailure::Silent, now + ms(600));
                now + ms(1_300)
            },
            expected: Some(ChangeReason::Unreachable),
        },
        ReasonCase {
            name: "heartbeats show that only this host lost it",
            story: |group, now| {
                let key = group.find("a").unwrap();
                group.note_failure(key, ReachFailure::Silent, now);
                group.note_failure(key, ReachFailure::Silent, now + ms(600));
                let mut list = full_list(ServerState::Ready);
                list[0].heartbeat += 1;
                group.apply_list(&list, None, now + ms(1_000));
                now + ms(1_300)
            },
            expected: None,
        },
        ReasonCase {
            name: "an answer ends the suspicion",
            story: |group, now| {
                let key = group.find("a").unwrap();
                group.note_failure(key, ReachFailure::Silent, now);
                group.note_failure(key, ReachFailure::Silent, now + ms(600));
                group.note_answer(key, None, now + ms(700), now + ms(800));
                now + ms(1_300)
            },
            expected: None,
        },
        ReasonCase {
            name: "about to stop",
            story: |group, now| {
                group.apply_list(&full_list(ServerState::Draining), None, now + ms(3_000));
                now + ms(3_000)
            },
            expected: Some(ChangeReason::Draining),
        },
        ReasonCase {
            name: "removed from the list",
            story: |group, now| {
                group.apply_list(&list_without_primary(), None, now + ms(4_000));
                now + ms(4_000)
            },
            expected: Some(ChangeReason::Gone),
        },
        ReasonCase {
            name: "no one else could take over",
            story: |group, now| {
                group.apply_list(&[server("a", "dc-1")], None, now + ms(4_000));
                group.apply_list(&[], None, now + ms(8_000));
                now + ms(8_000)
            },
            expected: None,
        },
        ReasonCase {
            name: "an announced change that nobody finished",
            story: |group, now| {
                let mut row = reign("a", 1);
                row.change = Some(managed_support::announcement());
                group.observe_row(&row, 9, now + ms(100), now + ms(100));
                now + ms(200)
            },
            expected: Some(ChangeReason::Unfinished),
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut group = group_of_three(now);
        let judged_at = (case.story)(&mut group, now);
        let reason = reason_to_change(&group, judged_at);
        expect_that!(reason, eq(case.expected), "{}", case.name);
    }
}

/// Guards against a change of primary at start: hosts read the group's row
/// before their list had its primary and took it for gone (trouble-2 of
/// fernwake-sightings, two promotions before the first caller).
#[gtest]
fn a_primary_that_is_not_listed_yet_is_not_gone() {
    let now = Instant::now();
    let mut group = ManagedGroup::default();
    group.apply_list(&list_without_primary(), None, now);
    settle(&mut group, "a", 1, now + ms(100));
    expect_that!(reason_to_change(&group, now + ms(200)), none());
    group.apply_list(&list_without_primary(), None, now + ms(1_100));
    expect_that!(reason_to_change(&group, now + ms(1_200)), none());
    group.apply_list(&full_list(ServerState::Ready), None, now + ms(1_500));
    expect_that!(reason_to_change(&group, now + ms(9_000)), none());
}

/// Guards against an overloaded primary that is taken for dead: one statement
/// ran into its deadline while others were answered.
#[gtest]
fn a_slow_statement_is_not_a_silent_member() {
    let now = Instant::now();
    let mut group = group_of_three(now);
    let key = group.find("a").unwrap();
    for round in 0..4 {
        let sent_at = now + ms(round * 500);
        group.note_answer(key, None, sent_at + ms(300), sent_at + ms(400));
        group.note_silence(key, sent_at, sent_at + ms(500));
    }
    expect_that!(group.members[key].reach.failures, eq(0));
    expect_that!(reason_to_change(&group, now + ms(3_000)), none());
}

#[gtest]
fn the_member_that_received_most_takes_over() {
    struct SurveyCase {
        name: &'static str,
        draining: &'static [&'static str],
        replies: &'static [(&'static str, MemberRole, u64, u64)],
        expected: Option<&'static str>,
    }
    const REPLICA: MemberRole = MemberRole::Replica;
    let cases = [
        SurveyCase {
            name: "the longest log",
            draining: &[],
            replies: &[("b", REPLICA, 1, 40), ("c", REPLICA, 1, 41)],
            expected: Some("c"),
        },
        SurveyCase {
            name: "a ready member before one that is about to stop",
            draining: &["c"],
            replies: &[("b", REPLICA, 1, 40), ("c", REPLICA, 1, 41)],
            expected: Some("b"),
        },
        SurveyCase {
            name: "the former primary never",
            draining: &[],
            replies: &[("a", REPLICA, 1, 90), ("b", REPLICA, 1, 1)],
            expected: Some("b"),
        },
        SurveyCase {
            name: "a replica of the present term before a superseded primary",
            draining: &[],
            replies: &[("b", REPLICA, 1, 40), ("c", MemberRole::Primary, 0, 41)],
            expected: Some("b"),
        },
        SurveyCase {
            name: "nobody answered",
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
        let replies: Vec<SurveyReply> = case
            .replies
            .iter()
            .map(|(id, role, term, offset)| SurveyReply {
                member: group.find(id).unwrap(),
                role: *role,
                term: Term(*term),
                received: LogPosition::new(1, *offset),
            })
            .collect();
        let expected = match case.expected {
            Some(id) => SurveyDecision::Promote {
                member: group.find(id).unwrap(),
            },
            None => SurveyDecision::Wait,
        };
        let decision = decide_survey(&group, &replies, group.find("a"));
        expect_that!(decision, eq(expected), "{}", case.name);
    }
}

/// Guards against a second promotion after the first holder died between its
/// order and the new row.
#[gtest]
fn a_member_that_leads_already_is_not_replaced() {
    let now = Instant::now();
    let group = group_of_three(now);
    let member = group.find("b").unwrap();
    let replies = [
        SurveyReply {
            member,
            role: MemberRole::Primary,
            term: Term(2),
            received: LogPosition::new(1, 5),
        },
        SurveyReply {
            member: group.find("c").unwrap(),
            role: MemberRole::Replica,
            term: Term(2),
            received: LogPosition::new(1, 9),
        },
    ];
    let expected = SurveyDecision::Settle {
        member,
        term: Term(2),
    };
    expect_that!(
        decide_survey(&group, &replies, group.find("a")),
        eq(expected)
    );
}

fn duty_row(host: &str, incarnation: u64, until_ms: u64) -> DutyRow {
    DutyRow {
        host: host.to_owned(),
        incarnation,
        fencing_token: 7,
        until_ms,
    }
}

#[gtest]
fn the_duty_changes_hands_only_after_its_end() {
    struct DutyCase {
        name: &'static str,
        row: Option<DutyRow>,
        store_ms: u64,
        token: Option<u64>,
    }
    let cases = [
        DutyCase {
            name: "the first holder",
            row: None,
            store_ms: 500,
            token: Some(1),
        },
        DutyCase {
            name: "the holder extends with its token",
            row: Some(duty_row("host-1", 11, 9_000)),
            store_ms: 8_000,
            token: Some(7),
        },
        DutyCase {
            name: "the lease of another host",
            row: Some(duty_row("host-2", 22, 9_000)),
            store_ms: 8_999,
            token: None,
        },
        DutyCase {
            name: "calls of the last holder may be on their way",
            row: Some(duty_row("host-2", 22, 9_000)),
            store_ms: 9_900,
            token: None,
        },
        DutyCase {
            name: "takeover with a higher token",
            row: Some(duty_row("host-2", 22, 9_000)),
            store_ms: 10_000,
            token: Some(8),
        },
        DutyCase {
            name: "a restarted process is another holder",
            row: Some(duty_row("host-1", 10, 9_000)),
            store_ms: 8_000,
            token: None,
        },
    ];
    for case in cases {
        let reading = DutyReading {
            revision: 3,
            store_time: Duration::from_millis(case.store_ms),
            asked_at: Instant::now(),
            row: case.row,
        };
        match (duty::decide(&reading, "host-1", 11), case.token) {
            (DutyDecision::Write { row, held }, Some(token)) => {
                expect_that!(row.fencing_token, eq(token), "{}", case.name);
                expect_that!(held.fencing_token, eq(token), "{}", case.name);
            }
            (DutyDecision::HeldElsewhere { .. }, None) => {}
            (decision, _) => expect_that!(format!("{decision:?}"), eq(""), "{}", case.name),
        }
    }
}

/// Guards against a holder that orders a promotion after its lease, for
/// instance because it was suspended in between.
#[gtest]
fn a_holder_stops_before_others_may_begin() {
    let asked_at = Instant::now();
    let reading = DutyReading {
        row: None,
        revision: 0,
        store_time: ms(1_000),
        asked_at,
    };
    let DutyDecision::Write { row, held } = duty::decide(&reading, "host-1", 11) else {
        panic!("a free duty is taken");
    };
    expect_that!(held.allows_call(asked_at), eq(true));
    expect_that!(held.allows_call(asked_at + DUTY_DURATION), eq(false));
    // The next holder asks the store when its clock shows the end of the lease.
    let later = DutyReading {
        row: Some(row.clone()),
        revision: 1,
        store_time: Duration::from_millis(row.until_ms),
        asked_at: asked_at + DUTY_DURATION,
    };
    let taken = matches!(
        duty::decide(&later, "host-2", 5),
        DutyDecision::Write { .. }
    );
    expect_that!(taken, eq(false));
}
