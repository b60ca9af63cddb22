//! Tests which entry hosts count as live. Load pattern: hundreds of hosts start, stop
//! and restart, and only the readers of the data centres write to the store.

#[path = "support/managed.rs"]
mod managed_support;

use std::time::{Duration, Instant};

use coordination::managed::presence::{PresenceKeeper, PresenceRow, HOST_LIFETIME};
use googletest::prelude::*;
use managed_support::ms;
use state::reading::HostReport;

fn report(host: &str, incarnation: u64) -> HostReport {
    HostReport {
        host: host.to_owned(),
        data_centre: "a".to_owned(),
        incarnation,
        relay_address: ([127, 0, 0, 1], 7_000).into(),
    }
}

fn names(row: &PresenceRow, store_time: Duration) -> Vec<String> {
    let live = row.live_hosts("a", store_time);
    live.into_iter().map(|host| host.name).collect()
}

fn keeper(host: &str, reports: &[(&str, u64)], now: Instant) -> PresenceKeeper {
    let mut keeper = PresenceKeeper::new(report(host, 1));
    for (other, incarnation) in reports {
        keeper.record_report(report(other, *incarnation), now);
    }
    keeper
}

/// Guards against a host that counts as dead although it reported in time, and
/// against one that counts as live for ever.
#[gtest]
fn a_host_counts_for_its_lifetime_after_its_last_report() {
    let now = Instant::now();
    let reader = keeper("edge-1", &[("edge-2", 1)], now);
    let start = ms(60_000);
    let row = reader.renewed_row(&PresenceRow::default(), start + ms(2_000), now + ms(2_000));
    expect_that!(names(&row, start + ms(2_000)), eq(&["edge-1", "edge-2"]));
    // The reader saw the other host 2 s before itself.
    let last = start + HOST_LIFETIME;
    expect_that!(names(&row, last - ms(1)), eq(&["edge-1", "edge-2"]));
    expect_that!(names(&row, last), eq(&["edge-1"]));
    expect_that!(names(&row, last + ms(2_000)), eq(&[] as &[&str]));
}

/// Guards against two readers of a data centre that remove each other's hosts, for
/// example because a partition separates them: whoever writes last keeps all hosts.
#[gtest]
fn two_readers_merge_what_they_know() {
    let now = Instant::now();
    let first = keeper("edge-1", &[("edge-2", 1), ("edge-3", 1)], now);
    let second = keeper("edge-4", &[("edge-5", 1), ("edge-3", 1)], now);
    let orders = [[&first, &second], [&second, &first]];
    let rows = orders.map(|order| {
        let row = PresenceRow::default();
        let row = order[0].renewed_row(&row, ms(60_000), now);
        let row = order[1].renewed_row(&row, ms(60_000), now);
        expect_that!(names(&row, ms(60_000)).len(), eq(5));
        row
    });
    expect_that!(rows[0], eq(&rows[1]));
}

/// Guards against a restarted host that keeps its old place, and against a report of
/// an earlier process that replaces the newer one.
#[gtest]
fn a_restarted_host_joins_at_the_end() {
    let now = Instant::now();
    let mut reader = keeper("edge-1", &[("edge-0", 1)], now);
    let row = reader.renewed_row(&PresenceRow::default(), ms(60_000), now);
    expect_that!(names(&row, ms(60_000)), eq(&["edge-0", "edge-1"]));
    reader.record_report(report("edge-0", 2), now + ms(5_000));
    let row = reader.renewed_row(&row, ms(65_000), now + ms(5_000));
    expect_that!(names(&row, ms(65_000)), eq(&["edge-1", "edge-0"]));
    // Another reader still has the report of the earlier process.
    let other = keeper("edge-3", &[("edge-0", 1)], now);
    let merged = other.renewed_row(&row, ms(66_000), now + ms(6_000));
    expect_that!(merged.hosts["edge-0"].incarnation, eq(2));
}

/// Guards against a row that says nothing for longer than hosts live, and against
/// hosts that start together and know each other only after the next renewal.
#[gtest]
fn joining_hosts_are_written_soon_and_others_seldom() {
    let now = Instant::now();
    let mut reader = keeper("edge-1", &[], now);
    expect_that!(reader.renewal_due(), none());
    let mut renewed_at = now;
    for interval_ms in [1_200, 1_200, 8_000, 8_000] {
        reader.record_renewal(renewed_at);
        let due = renewed_at + ms(interval_ms);
        expect_that!(reader.renewal_due(), some(eq(due)));
        renewed_at = due;
    }
    reader.record_report(report("edge-2", 1), renewed_at);
    let last = renewed_at - ms(8_000);
    expect_that!(reader.renewal_due(), some(eq(last + ms(1_200))));
    // A repeated report is no new host.
    for _ in 0..3 {
        reader.record_renewal(renewed_at);
        reader.record_report(report("edge-2", 1), renewed_at);
    }
    expect_that!(reader.renewal_due(), some(eq(renewed_at + ms(8_000))));
}

/// Guards against needless writes of an unchanged row, and against missing ones.
#[gtest]
fn a_row_is_written_when_it_changed_or_becomes_old() {
    struct WriteCase {
        name: &'static str,
        reports: &'static [(&'static str, u64)],
        after: Duration,
        expected: bool,
    }
    let case = |name, reports, after, expected| WriteCase {
        name,
        reports,
        after,
        expected,
    };
    let cases = [
        case("nothing changed", &[("edge-2", 1)], ms(1_200), false),
        case(
            "a host joined",
            &[("edge-2", 1), ("edge-3", 1)],
            ms(1_200),
            true,
        ),
        case("a host restarted", &[("edge-2", 2)], ms(1_200), true),
        case("the row becomes old", &[("edge-2", 1)], ms(8_000), true),
    ];
    let now = Instant::now();
    let first = keeper("edge-1", &[("edge-2", 1)], now);
    let row = first.renewed_row(&PresenceRow::default(), ms(60_000), now);
    expect_that!(first.has_to_write(&PresenceRow::default(), &row), eq(true));
    for case in cases {
        let reader = keeper("edge-1", case.reports, now + case.after);
        let store_time = ms(60_000) + case.after;
        let renewed = reader.renewed_row(&row, store_time, now + case.after);
        let written = reader.has_to_write(&row, &renewed);
        expect_that!(written, eq(case.expected), "{}", case.name);
    }
}

/// Guards against hosts of other data centres in the row, and against reports that
/// are passed on for ever.
#[gtest]
fn only_recent_reports_of_the_data_centre_are_passed_on() {
    let now = Instant::now();
    let mut host = keeper("edge-1", &[("edge-2", 1)], now);
    let elsewhere = HostReport {
        data_centre: "b".to_owned(),
        ..report("edge-9", 1)
    };
    host.record_report(elsewhere, now);
    let reported = |at: Instant| -> Vec<String> {
        let reports = host.recent_reports(at);
        reports.into_iter().map(|report| report.host).collect()
    };
    expect_that!(reported(now + ms(3_999)), eq(&["edge-1", "edge-2"]));
    expect_that!(reported(now + ms(4_000)), eq(&["edge-1"]));
}
