//! Tests what hosts tell each other about the primaries of groups. Load pattern: more
//! than a hundred hosts need the position of every primary several times a second, and
//! while the store is away an answer of every member.

#[path = "support/managed.rs"]
mod managed_support;

use std::time::{Duration, Instant};

use coordination::managed::group::{ContactFailure, ManagedGroup};
use coordination::managed::probe::{needs_round, primary_to_probe, ProbeDuty};
use googletest::prelude::*;
use managed_support::{answer_primary, group_of_three, group_row, ms, observe_primary};
use state::log::LogPosition;
use state::reading::GroupDigest;

/// Converts between instants and a store clock that showed 5 s at `start`, with an
/// error of `error` to the safe side.
fn to_store(start: Instant, error: Duration) -> impl Fn(Instant) -> Option<Duration> {
    move |instant| (ms(5_000) + (instant - start)).checked_sub(error)
}

fn to_instant(start: Instant, error: Duration) -> impl Fn(Duration) -> Option<Instant> {
    move |time| (start + time).checked_sub(ms(5_000) + error)
}

fn digest_of(group: &ManagedGroup, start: Instant) -> GroupDigest {
    let digest = group.digest("birds", to_store(start, ms(3)));
    digest.expect("the group has a primary")
}

/// Guards against a read that misses a commit, or an answer of a superseded primary,
/// because a host uses a digest for longer than its sender would.
#[gtest]
fn a_digest_never_says_more_than_its_sender_knows() {
    let start = Instant::now();
    let mut sender = group_of_three(start);
    answer_primary(&mut sender, 1, 7, start + ms(300));
    let mut receiver = group_of_three(start - ms(900));
    receiver.observe_digest(&digest_of(&sender, start), to_instant(start, ms(4)));
    let sent = sender.primary_view.assured_until().unwrap();
    let received = receiver.primary_view.assured_until().unwrap();
    expect_that!(sent - received, eq(ms(7)));
    expect_that!(receiver.newest_watermark_at(), some(eq(start + ms(293))));
    expect_that!(
        receiver.position_at(start + ms(293)),
        some(eq(LogPosition::new(1, 7)))
    );
    expect_that!(receiver.position_at(start + ms(294)), none());
}

/// Guards against a digest that is believed although it is about another primary, or
/// that takes back what a newer one said.
#[gtest]
fn late_repeated_and_foreign_digests_change_nothing() {
    struct DigestCase {
        name: &'static str,
        change: fn(&mut GroupDigest),
    }
    let cases = [
        DigestCase {
            name: "another primary",
            change: |digest| digest.primary = "b".to_owned(),
        },
        DigestCase {
            name: "an older term",
            change: |digest| digest.term.0 = 1,
        },
        DigestCase {
            name: "a newer term",
            change: |digest| digest.term.0 = 3,
        },
        DigestCase {
            name: "late",
            change: |digest| {
                digest.assured_until = Some(ms(4_000));
                if let Some(watermark) = &mut digest.watermark {
                    watermark.asked_at = ms(3_000);
                }
            },
        },
        DigestCase {
            name: "without knowledge",
            change: |digest| {
                digest.assured_until = None;
                digest.watermark = None;
            },
        },
    ];
    let start = Instant::now();
    for case in cases {
        let mut sender = group_of_three(start);
        observe_primary(&mut sender, "a", 2, start + ms(500));
        answer_primary(&mut sender, 2, 9, start + ms(800));
        let mut digest = digest_of(&sender, start);
        (case.change)(&mut digest);
        let mut receiver = group_of_three(start);
        observe_primary(&mut receiver, "a", 2, start + ms(100));
        answer_primary(&mut receiver, 2, 8, start + ms(200));
        for _ in 0..2 {
            receiver.observe_digest(&digest, to_instant(start, ms(0)));
        }
        let assured_until = receiver.primary_view.assured_until();
        expect_that!(assured_until, some(eq(start + ms(1_100))), "{}", case.name);
        let newest = receiver.newest_watermark_at();
        expect_that!(newest, some(eq(start + ms(200))), "{}", case.name);
    }
    // A group whose row is unknown takes nothing.
    let mut unknown = ManagedGroup::default();
    unknown.observe_digest(
        &digest_of(&group_of_three(start), start),
        to_instant(start, ms(0)),
    );
    expect_that!(unknown.primary_view.assured_until(), none());
}

/// Guards against a digest of a primary whose replacement is under way.
#[gtest]
fn a_group_without_a_primary_has_no_digest() {
    let start = Instant::now();
    let mut group = group_of_three(start);
    group.primary_view.observe_role("a", false);
    let digest = group.digest("birds", to_store(start, ms(0)));
    expect_that!(digest.is_none(), eq(true));
}

/// Guards against status questions from every host, and against hosts that ask nobody
/// because the one that asks for them is late.
#[gtest]
fn served_hosts_ask_only_when_digests_are_late() {
    struct ProbeCase {
        name: &'static str,
        duty: ProbeDuty,
        asks_for_position: Duration,
        asks_for_roles: Duration,
    }
    // The row was read and the primary answered at the start; the assurance ends after
    // 1,000 ms.
    let cases = [
        ProbeCase {
            name: "alone",
            duty: ProbeDuty::Alone,
            asks_for_position: ms(601),
            asks_for_roles: ms(801),
        },
        ProbeCase {
            name: "asks for others",
            duty: ProbeDuty::ForOthers,
            asks_for_position: ms(401),
            asks_for_roles: ms(801),
        },
        ProbeCase {
            name: "served by another host",
            duty: ProbeDuty::Served,
            asks_for_position: ms(1_301),
            asks_for_roles: ms(1_401),
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut group = group_of_three(start);
        answer_primary(&mut group, 1, 7, start);
        let asks_position = |at| primary_to_probe(&group, case.duty, start + at).is_some();
        let asks_roles = |at| needs_round(&group, case.duty, start + at);
        let (position, roles) = (case.asks_for_position, case.asks_for_roles);
        expect_that!(asks_position(position - ms(1)), eq(false), "{}", case.name);
        expect_that!(asks_position(position), eq(true), "{}", case.name);
        expect_that!(asks_roles(roles - ms(1)), eq(false), "{}", case.name);
        expect_that!(asks_roles(roles), eq(true), "{}", case.name);
    }
    // A primary that failed to answer is asked at once, by every host that noticed.
    let start = Instant::now();
    let mut group = group_of_three(start);
    answer_primary(&mut group, 1, 7, start);
    let key = group.primary().unwrap();
    group.record_failure(key, ContactFailure::Refused, start + ms(10));
    let asked = primary_to_probe(&group, ProbeDuty::Served, start + ms(20));
    expect_that!(asked, some(eq(key)));
    expect_that!(group.primary_view.row(), some(eq(&group_row("a", 1))));
}
