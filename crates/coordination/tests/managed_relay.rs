//! Tests which host reads the store, how often it reads, and how the age of a
//! reading from another host is derived.

#[path = "support/managed.rs"]
mod managed_support;

use std::time::{Duration, Instant};

use coordination::managed::reader::{ReaderChoice, ReaderHost};
use coordination::managed::store_clock::StoreClock;
use googletest::prelude::*;
use managed_support::{announcement, group_of_three, group_row, ms};

fn hosts(names: &[&str]) -> Vec<ReaderHost<()>> {
    let host = |name: &&str| ReaderHost {
        name: (*name).to_owned(),
        address: (),
    };
    names.iter().map(host).collect()
}

fn reader_of(choice: &ReaderChoice<()>, now: Instant) -> Option<&str> {
    choice.reader(now).map(|host| host.name.as_str())
}

#[gtest]
fn the_host_with_the_lowest_name_reads() {
    let now = Instant::now();
    let mut second = ReaderChoice::new("edge-2");
    expect_that!(reader_of(&second, now), none());
    second.set_hosts(hosts(&["edge-3", "edge-2", "edge-1"]));
    expect_that!(reader_of(&second, now), some(eq("edge-1")));
    let mut first = ReaderChoice::new("edge-1");
    first.set_hosts(hosts(&["edge-3", "edge-2", "edge-1"]));
    expect_that!(reader_of(&first, now), none());
}

#[gtest]
fn a_host_reads_itself_while_its_reader_fails() {
    let now = Instant::now();
    let mut choice = ReaderChoice::new("edge-2");
    choice.set_hosts(hosts(&["edge-1", "edge-2"]));
    choice.record_failure("edge-1", now);
    expect_that!(reader_of(&choice, now + ms(2_900)), none());
    expect_that!(reader_of(&choice, now + ms(3_000)), some(eq("edge-1")));
}

/// Guards against two hosts that ask each other and never the store, because
/// their lists of live hosts differ.
#[gtest]
fn a_host_that_is_asked_reads_itself() {
    let now = Instant::now();
    let mut choice = ReaderChoice::new("edge-2");
    choice.set_hosts(hosts(&["edge-1", "edge-2", "edge-3"]));
    choice.record_asked(now);
    expect_that!(reader_of(&choice, now + ms(1_900)), none());
    expect_that!(reader_of(&choice, now + ms(2_000)), some(eq("edge-1")));
}

/// Guards against an assurance that lasts too long on a host that received the
/// reading from another host: the derived instant must not be after the true one.
#[gtest]
fn a_derived_instant_is_never_late() {
    let start = Instant::now();
    // The store's clock showed 5 s at the host's start.
    let true_instant = |store_ms: u64| start + ms(store_ms) - ms(5_000);
    let mut clock = StoreClock::default();
    expect_that!(clock.instant_of(ms(6_000)), none());
    // Calls that took 300, 20 and 500 ms until the store read its clock.
    for (sent_ms, delay_ms) in [(0, 300), (1_000, 20), (2_000, 500)] {
        clock.record_call(start + ms(sent_ms), ms(5_000 + sent_ms + delay_ms));
        for store_ms in [5_500, 6_000, 9_000] {
            let derived = clock.instant_of(ms(store_ms)).unwrap();
            expect_that!(derived, le(true_instant(store_ms)));
        }
    }
    // The call with the shortest delay counts, also after slower ones.
    let derived = clock.instant_of(ms(9_000)).unwrap();
    expect_that!(true_instant(9_000) - derived, eq(ms(20)));
}

/// Load pattern: each reader read the row ten times a second during every change
/// of primary, even though the successor's row cannot be written before all
/// assurances have ended, and it went on for as long as a change was stuck.
#[gtest]
fn the_row_is_read_often_only_when_a_successor_is_expected() {
    struct IntervalCase {
        name: &'static str,
        changing: bool,
        elapsed: Duration,
        expected: Duration,
    }
    let cases = [
        IntervalCase {
            name: "no change under way",
            changing: false,
            elapsed: ms(60_000),
            expected: ms(600),
        },
        IntervalCase {
            name: "right after the announcement was seen",
            changing: true,
            elapsed: ms(0),
            expected: ms(400),
        },
        IntervalCase {
            name: "the successor's row may have been written",
            changing: true,
            elapsed: ms(500),
            expected: ms(100),
        },
        IntervalCase {
            name: "a change that is stuck",
            changing: true,
            elapsed: ms(3_000),
            expected: ms(600),
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut group = group_of_three(now);
        if case.changing {
            let mut row = group_row("a", 1);
            row.change = Some(announcement());
            group.observe_row(&row, 9, now, now);
        }
        group.primary_view.update_change_times(now);
        let interval = group.primary_view.read_interval(now + case.elapsed);
        expect_that!(interval, eq(case.expected), "{}", case.name);
    }
}
