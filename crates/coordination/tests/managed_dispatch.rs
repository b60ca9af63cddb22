//! Where the statements of a managed group go, and how certain its primary is.

#[path = "support/managed.rs"]
mod managed_support;

use std::time::Instant;

use coordination::managed::dispatch::{
    choose_primary, choose_read, may_await_primary, HostPlace, PlaceChoice, PlaceLack, ReadNeed,
};
use coordination::managed::group::{ListEvent, ManagedGroup, ReachFailure, RELIST_GRACE};
use coordination::managed::reign::{AssuranceState, RoundReply, ASSURANCE};
use googletest::prelude::*;
use managed_support::{announcement, answer_primary, group_of_three, ms, reign, server, settle};
use state::keys::MemberKey;
use state::log::{LogPosition, Term};
use state::member::MemberRole;
use state::plan::ReadFreshness;
use state::server_list::ServerState;

const BOUNDED: ReadFreshness = ReadFreshness::Bounded {
    max_staleness: ms_const(1_500),
};
const OWN_WRITES: ReadFreshness = ReadFreshness::OwnWrites {
    max_staleness: ms_const(2_500),
};

const fn ms_const(millis: u64) -> std::time::Duration {
    std::time::Duration::from_millis(millis)
}

fn need(freshness: ReadFreshness, began_at: Instant) -> ReadNeed<'static> {
    ReadNeed {
        freshness,
        began_at,
        own_position: None,
        tried: &[],
    }
}

fn place(data_centre: &'static str) -> HostPlace<'static> {
    HostPlace {
        data_centre,
        region: &[],
    }
}

fn member_of(choice: PlaceChoice) -> Option<MemberKey> {
    match choice {
        PlaceChoice::Replica { member, .. } | PlaceChoice::Primary { member, .. } => Some(member),
        PlaceChoice::None(_) => None,
    }
}

#[gtest]
fn a_bounded_read_goes_to_the_replica_of_its_own_data_centre() {
    let now = Instant::now();
    let mut group = group_of_three(now);
    answer_primary(&mut group, 1, 40, now);
    let began_at = now + ms(100);
    let choice = choose_read(&group, &need(BOUNDED, began_at), &place("dc-3"), began_at);
    let expected = PlaceChoice::Replica {
        member: group.find("c").unwrap(),
        since: LogPosition::new(1, 40),
    };
    expect_that!(choice, eq(expected));
}

/// Guards against stale reads: a replica may serve only with a position that
/// covers what was acknowledged before the tolerated age.
#[gtest]
fn a_replica_must_hold_what_the_staleness_asks_for() {
    let start = Instant::now();
    let mut group = group_of_three(start);
    for (after, offset) in [(0, 10), (500, 20), (1_000, 30), (1_500, 40)] {
        settle(&mut group, "a", 1, start + ms(after));
        answer_primary(&mut group, 1, offset, start + ms(after));
    }
    let began_at = start + ms(2_200);
    let choice = choose_read(&group, &need(BOUNDED, began_at), &place("dc-3"), began_at);
    // 1.5 s before the read is 700 ms after the start: the watermark of 1 s
    // covers it, that of 500 ms does not.
    let expected = PlaceChoice::Replica {
        member: group.find("c").unwrap(),
        since: LogPosition::new(1, 30),
    };
    expect_that!(choice, eq(expected));
}

#[gtest]
fn without_a_recent_watermark_no_replica_qualifies() {
    let start = Instant::now();
    let mut group = group_of_three(start);
    answer_primary(&mut group, 1, 10, start);
    let began_at = start + ms(4_000);
    settle(&mut group, "a", 1, began_at);
    let choice = choose_read(&group, &need(BOUNDED, began_at), &place("dc-3"), began_at);
    expect_that!(member_of(choice), eq(group.find("a")));
}

/// Guards against a watermark of a superseded primary: its answers count only
/// as far as it is assured.
#[gtest]
fn the_answer_of_an_unassured_primary_is_no_fresh_watermark() {
    let start = Instant::now();
    let mut group = group_of_three(start);
    let asked_at = start + ms(5_000);
    answer_primary(&mut group, 1, 10, asked_at);
    expect_that!(group.position_at(start + ASSURANCE), some(anything()));
    expect_that!(group.position_at(start + ASSURANCE + ms(1)), none());
}

#[gtest]
fn a_session_reads_its_own_writes() {
    struct OwnCase {
        name: &'static str,
        own: (u64, u64),
        expected: Option<(u64, u64)>,
    }
    let cases = [
        OwnCase {
            name: "its commit is newer than the watermark",
            own: (2, 90),
            expected: Some((2, 90)),
        },
        OwnCase {
            name: "the watermark covers its commit",
            own: (2, 30),
            expected: Some((2, 50)),
        },
        OwnCase {
            name: "a commit of a lost reign is covered by the present one",
            own: (1, 999),
            expected: Some((2, 50)),
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut group = group_of_three(start);
        answer_primary(&mut group, 1, 40, start);
        let changed_at = start + ms(100);
        settle(&mut group, "b", 2, changed_at);
        answer_primary(&mut group, 2, 50, changed_at + ms(50));
        let began_at = start + ms(3_000);
        let read = ReadNeed {
            own_position: Some(LogPosition::new(case.own.0, case.own.1)),
            ..need(OWN_WRITES, changed_at + ms(2_550))
        };
        let choice = choose_read(&group, &read, &place("dc-3"), began_at);
        let since = match choice {
            PlaceChoice::Replica { since, .. } => Some((since.term.0, since.offset)),
            _ => None,
        };
        expect_that!(since, eq(case.expected), "{}", case.name);
    }
}

/// Guards against reads of a replica that lost the session's commit or does
/// not show yet that it kept it: before the first answer of a new reign only
/// the primary qualifies.
#[gtest]
fn a_commit_of_a_lost_reign_waits_for_the_present_one() {
    let start = Instant::now();
    let mut group = group_of_three(start);
    answer_primary(&mut group, 1, 40, start);
    settle(&mut group, "b", 2, start + ms(100));
    let read = ReadNeed {
        own_position: Some(LogPosition::new(1, 39)),
        ..need(OWN_WRITES, start + ms(200))
    };
    let choice = choose_read(&group, &read, &place("dc-3"), start + ms(200));
    expect_that!(member_of(choice), eq(group.find("b")));
}

#[gtest]
fn a_current_read_goes_to_an_assured_primary_only() {
    let now = Instant::now();
    let group = group_of_three(now);
    let began_at = now + ms(500);
    let choice = choose_read(
        &group,
        &need(ReadFreshness::Current, began_at),
        &place("dc-3"),
        began_at,
    );
    let expected = PlaceChoice::Primary {
        member: group.find("a").unwrap(),
        assured_at: Some(began_at),
    };
    expect_that!(choice, eq(expected));
    let late = now + ASSURANCE + ms(2_000);
    let choice = choose_read(
        &group,
        &need(ReadFreshness::Current, late),
        &place("dc-3"),
        late,
    );
    expect_that!(choice, eq(PlaceChoice::None(PlaceLack::NotAssured)));
}

#[gtest]
fn no_work_goes_to_a_primary_whose_change_is_announced() {
    let now = Instant::now();
    let mut group = group_of_three(now);
    let mut row = reign("a", 1);
    row.change = Some(announcement());
    group.observe_row(&row, 5, now + ms(100), now + ms(110));
    let choice = choose_primary(&group, None, &[], now + ms(120));
    expect_that!(choice, eq(PlaceChoice::None(PlaceLack::NoPrimary)));
}

/// Load pattern: one replica has more work in flight than its slots. Reads go
/// to the other one although it is further away.
#[gtest]
fn a_loaded_replica_loses_reads_to_a_remote_one() {
    let now = Instant::now();
    let mut group = group_of_three(now);
    answer_primary(&mut group, 1, 40, now);
    let near = group.find("c").unwrap();
    group.members[near].in_flight = 12;
    let choice = choose_read(&group, &need(BOUNDED, now), &place("dc-3"), now);
    expect_that!(member_of(choice), eq(group.find("b")));
}

/// Load pattern: one replica answers ten times slower than its kin.
#[gtest]
fn a_slow_replica_loses_reads() {
    let now = Instant::now();
    let mut group = group_of_three(now);
    answer_primary(&mut group, 1, 40, now);
    let near = group.find("c").unwrap();
    for _ in 0..30 {
        group.note_latency(near, ms(300));
    }
    let choice = choose_read(&group, &need(BOUNDED, now), &place("dc-3"), now);
    expect_that!(member_of(choice), eq(group.find("b")));
}

#[gtest]
fn a_failing_replica_is_avoided_and_tried_again() {
    let now = Instant::now();
    let mut group = group_of_three(now);
    answer_primary(&mut group, 1, 40, now);
    let near = group.find("c").unwrap();
    group.note_failure(near, ReachFailure::Refused, now);
    let choice = choose_read(&group, &need(BOUNDED, now), &place("dc-3"), now);
    expect_that!(member_of(choice), eq(group.find("b")));
    let later = now + ms(500);
    let choice = choose_read(&group, &need(BOUNDED, later), &place("dc-3"), later);
    expect_that!(member_of(choice), eq(Some(near)));
}

/// Load pattern: a replica far behind refuses positions. It is not asked again
/// for each read, and is used as soon as it has caught up.
#[gtest]
fn a_lagging_replica_is_left_alone_until_it_caught_up() {
    let now = Instant::now();
    let mut group = group_of_three(now);
    answer_primary(&mut group, 1, 40, now);
    let near = group.find("c").unwrap();
    group.note_lag(near, LogPosition::new(1, 40), now);
    let choice = choose_read(&group, &need(BOUNDED, now), &place("dc-3"), now);
    expect_that!(member_of(choice), eq(group.find("b")));
    group.note_answer(near, Some(LogPosition::new(1, 41)), now, now + ms(5));
    let choice = choose_read(&group, &need(BOUNDED, now), &place("dc-3"), now);
    expect_that!(member_of(choice), eq(Some(near)));
}

#[gtest]
fn a_draining_replica_gets_no_reads() {
    let now = Instant::now();
    let mut group = group_of_three(now);
    answer_primary(&mut group, 1, 40, now);
    let near = group.find("c").unwrap();
    group.members[near].server.state = ServerState::Draining;
    let choice = choose_read(&group, &need(BOUNDED, now), &place("dc-3"), now);
    expect_that!(member_of(choice), eq(group.find("b")));
}

#[gtest]
fn members_keep_a_primary_assured_while_the_store_is_away() {
    struct RoundCase {
        name: &'static str,
        answers: [Option<(MemberRole, Term)>; 2],
        assured: bool,
    }
    let follows = Some((MemberRole::Replica, Term(1)));
    let cases = [
        RoundCase {
            name: "all others follow",
            answers: [follows, follows],
            assured: true,
        },
        RoundCase {
            name: "one did not answer: it may lead",
            answers: [follows, None],
            assured: false,
        },
        RoundCase {
            name: "one leads a later term",
            answers: [follows, Some((MemberRole::Primary, Term(2)))],
            assured: false,
        },
        RoundCase {
            name: "one knows of a later term",
            answers: [follows, Some((MemberRole::Replica, Term(2)))],
            assured: false,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut group = group_of_three(start);
        let asked_at = start + ms(5_000);
        let replies = [
            RoundReply {
                member: "b",
                answer: case.answers[0],
            },
            RoundReply {
                member: "c",
                answer: case.answers[1],
            },
        ];
        group
            .reign
            .observe_round(&replies, asked_at, asked_at + ms(20));
        expect_that!(
            group.reign.is_assured(asked_at),
            eq(case.assured),
            "{}",
            case.name
        );
        let after = asked_at + ms(1);
        expect_that!(group.reign.is_assured(after), eq(false), "{}", case.name);
    }
}

/// Guards against the use of a successor while another host may still read at
/// its predecessor.
#[gtest]
fn a_successor_that_members_showed_is_used_after_all_assurances() {
    let start = Instant::now();
    let mut group = group_of_three(start);
    let leads = [
        RoundReply {
            member: "b",
            answer: Some((MemberRole::Primary, Term(2))),
        },
        RoundReply {
            member: "c",
            answer: Some((MemberRole::Replica, Term(2))),
        },
    ];
    let seen_at = start + ms(5_000);
    group.reign.observe_round(&leads, seen_at, seen_at);
    expect_that!(group.primary(), none());
    expect_that!(group.adopt_successor(seen_at + ASSURANCE), none());
    expect_that!(
        group.adopt_successor(seen_at + ASSURANCE + ms(500)),
        some(anything())
    );
    expect_that!(group.primary(), eq(group.find("b")));
    // The row of the former reign comes late.
    settle(&mut group, "a", 1, seen_at + ms(3_000));
    expect_that!(group.primary(), eq(group.find("b")));
}

#[gtest]
fn an_older_read_of_the_row_changes_nothing() {
    let now = Instant::now();
    let mut group = group_of_three(now);
    settle(&mut group, "b", 2, now + ms(100));
    group.observe_row(&reign("a", 1), 1, now + ms(200), now + ms(210));
    expect_that!(group.primary(), eq(group.find("b")));
}

#[gtest]
fn members_have_time_to_come_back_after_an_outage_of_the_store() {
    let now = Instant::now();
    let mut group = group_of_three(now);
    let returned_at = now + ms(10_000);
    let listed = [server("a", "dc-1"), server("b", "dc-2")];
    let events = group.apply_list(&listed, Some(returned_at), returned_at + ms(100));
    expect_that!(events, len(eq(0)));
    let late = returned_at + RELIST_GRACE;
    let events = group.apply_list(&listed, Some(returned_at), late);
    expect_that!(events, eq(&[ListEvent::Removed("c".to_owned())]));
}

#[gtest]
fn a_member_that_is_not_listed_leaves_at_once_unless_it_answers() {
    let now = Instant::now();
    let mut group = group_of_three(now);
    let answering = group.find("b").unwrap();
    group.note_answer(answering, None, now + ms(900), now + ms(950));
    let listed = [server("a", "dc-1")];
    let events = group.apply_list(&listed, None, now + ms(1_000));
    expect_that!(events, eq(&[ListEvent::Removed("c".to_owned())]));
    let events = group.apply_list(&listed, None, now + ms(4_000));
    expect_that!(events, eq(&[ListEvent::Removed("b".to_owned())]));
}

/// Guards against positions and connections of a former process that are used
/// for its successor under the same identity.
#[gtest]
fn a_member_that_started_again_is_another_member() {
    let now = Instant::now();
    let mut group = group_of_three(now);
    let former = group.find("b").unwrap();
    let mut list = [
        server("a", "dc-1"),
        server("b", "dc-2"),
        server("c", "dc-3"),
    ];
    list[1].started_ms = 2;
    let events = group.apply_list(&list, None, now + ms(1_000));
    expect_that!(events, eq(&[ListEvent::Restarted("b".to_owned())]));
    expect_that!(group.members.contains_key(former), eq(false));
    expect_that!(group.find("b"), some(anything()));
}

#[gtest]
fn an_empty_group_refuses_at_once() {
    let now = Instant::now();
    let group = ManagedGroup::default();
    let choice = choose_read(&group, &need(BOUNDED, now), &place("dc-1"), now);
    expect_that!(choice, eq(PlaceChoice::None(PlaceLack::NoPrimary)));
}

/// Load pattern: a primary is about to stop. Writes go on there until it steps
/// down, so that the pause is that of the promotion alone.
#[gtest]
fn an_orderly_change_keeps_the_primary_until_it_steps_down() {
    let now = Instant::now();
    let mut group = group_of_three(now);
    let mut row = reign("a", 1);
    row.change = Some(announcement());
    row.change.as_mut().unwrap().orderly = true;
    group.observe_row(&row, 5, now + ms(400), now + ms(410));
    let serves = |group: &ManagedGroup, at| member_of(choose_primary(group, None, &[], at));
    expect_that!(serves(&group, now + ms(500)), eq(group.find("a")));
    // The announcement has ended the assurances; none is added.
    expect_that!(serves(&group, now + ASSURANCE + ms(1)), none());
    group.reign.observe_role("a", false);
    expect_that!(serves(&group, now + ms(500)), none());
    expect_that!(group.reign.is_changing(), eq(true));
}

/// Guards against a primary that refuses writes without a change under way: it
/// is replaced, and used again if it turns out to lead.
#[gtest]
fn a_primary_that_says_it_does_not_lead_gets_no_work() {
    let now = Instant::now();
    let mut group = group_of_three(now);
    group.reign.observe_role("b", false);
    expect_that!(group.primary(), eq(group.find("a")));
    group.reign.observe_role("a", false);
    expect_that!(group.primary(), none());
    group.reign.observe_role("a", true);
    expect_that!(group.primary(), eq(group.find("a")));
}

/// Load pattern: every write of a group waits for a primary that is being
/// replaced. Those whose deadline comes first are refused at once, so that
/// their callers can come back, and do not crowd the successor's queue.
#[gtest]
fn a_write_waits_only_for_a_primary_that_can_come_in_time() {
    struct WaitCase {
        name: &'static str,
        looked_after: u64,
        deadline_after: u64,
        waits: bool,
    }
    let cases = [
        WaitCase {
            name: "the deadline comes before the end of the change",
            looked_after: 100,
            deadline_after: 1_100,
            waits: false,
        },
        WaitCase {
            name: "the change ends before the deadline",
            looked_after: 900,
            deadline_after: 1_900,
            waits: true,
        },
        WaitCase {
            name: "the change takes longer than it should",
            looked_after: 2_000,
            deadline_after: 3_000,
            waits: false,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut group = group_of_three(start);
        let waits = may_await_primary(&group, start, start);
        expect_that!(waits, eq(true), "a primary takes work");
        let mut row = reign("a", 1);
        row.change = Some(announcement());
        group.observe_row(&row, 5, start, start);
        group.reign.observe_lack(start);
        group.reign.observe_lack(start + ms(50));
        let now = start + ms(case.looked_after);
        let deadline = start + ms(case.deadline_after);
        let waits = may_await_primary(&group, deadline, now);
        expect_that!(waits, eq(case.waits), "{}", case.name);
        group.observe_row(&reign("b", 2), 6, start + ms(1_500), start + ms(1_500));
        group.reign.observe_lack(start + ms(1_500));
        expect_that!(group.reign.lacking_since(), none());
    }
}

/// Guards against a write of a former primary that is acknowledged on the
/// assurance of its successor: it may have been committed after the promotion
/// (hunt on primary-cut-thrice, seed 196646806371, rule ONE).
#[gtest]
fn an_assurance_of_a_successor_does_not_count_for_its_predecessor() {
    let start = Instant::now();
    let mut group = group_of_three(start);
    let answered_at = start + ASSURANCE + ms(500);
    let state = |group: &ManagedGroup| group.reign.assurance_of(Term(1), answered_at);
    expect_that!(state(&group), eq(AssuranceState::Pending));
    settle(&mut group, "b", 2, answered_at + ms(300));
    expect_that!(group.reign.is_assured(answered_at), eq(true));
    expect_that!(state(&group), eq(AssuranceState::Lost));
}
