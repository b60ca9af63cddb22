//! Tests which hosts read the store, how often they read, and how the age of a
//! reading from another host is derived.

#[path = "support/managed.rs"]
mod managed_support;

use std::time::{Duration, Instant};

use coordination::managed::reader::{
    ReaderChoice, ReaderFailure, ReadingAge, ReadingSource, RelayedAge, FAN_OUT,
};
use coordination::managed::store_clock::StoreClock;
use googletest::prelude::*;
use managed_support::{announcement, group_of_three, group_row, ms, reading, revision};
use state::reading::LiveHost;

/// Creates live hosts from data centre and name, in the order in which they joined.
fn hosts(entries: &[(&str, &str)]) -> Vec<LiveHost> {
    let host = |(index, (data_centre, name)): (usize, &(&str, &str))| LiveHost {
        name: (*name).to_owned(),
        data_centre: (*data_centre).to_owned(),
        relay_address: ([127, 0, 0, 1], 7_000).into(),
        joined_ms: 100 + index as u64,
    };
    entries.iter().enumerate().map(host).collect()
}

/// Creates the choice of a host whose region has the data centres `a` and `b`.
fn choice_of(own: &str, data_centre: &str, live: &[LiveHost]) -> ReaderChoice {
    let mut choice = ReaderChoice::new(own);
    choice.set_hosts(live, data_centre, &["a".to_owned(), "b".to_owned()]);
    choice
}

fn reader_of(choice: &ReaderChoice, now: Instant) -> Option<&str> {
    choice.reader(now).map(|host| host.name.as_str())
}

/// Guards against more than one reader per region, and against hosts that wait for
/// each other.
#[gtest]
fn hosts_that_joined_first_read_for_the_others() {
    struct ReaderCase {
        name: &'static str,
        own: (&'static str, &'static str),
        expected: Option<&'static str>,
    }
    let live = hosts(&[
        ("a", "edge-9"),
        ("b", "edge-5"),
        ("a", "edge-1"),
        ("b", "edge-2"),
        ("c", "edge-7"),
        ("c", "edge-0"),
    ]);
    let case = |name, own, expected| ReaderCase {
        name,
        own,
        expected,
    };
    let cases = [
        case("first of the region", ("a", "edge-9"), None),
        case("first of its data centre", ("b", "edge-5"), Some("edge-9")),
        case(
            "second of the first data centre",
            ("a", "edge-1"),
            Some("edge-9"),
        ),
        case(
            "second of the other data centre",
            ("b", "edge-2"),
            Some("edge-5"),
        ),
        case("not listed yet", ("b", "edge-8"), Some("edge-5")),
        case(
            "first of a data centre of another region",
            ("c", "edge-7"),
            None,
        ),
        case("second there", ("c", "edge-0"), Some("edge-7")),
    ];
    for case in cases {
        let choice = match case.own.0 {
            "c" => {
                let mut choice = ReaderChoice::new(case.own.1);
                choice.set_hosts(&live, "c", &["c".to_owned()]);
                choice
            }
            data_centre => choice_of(case.own.1, data_centre, &live),
        };
        let now = Instant::now();
        expect_that!(reader_of(&choice, now), eq(case.expected), "{}", case.name);
    }
}

/// Load pattern: hundreds of hosts of one data centre. Each host answers at most
/// `FAN_OUT` others, and every host is reached.
#[gtest]
fn a_large_data_centre_passes_readings_down_a_tree() {
    const COUNT: usize = 467;
    let names: Vec<String> = (0..COUNT).map(|index| format!("edge-{index:03}")).collect();
    let entries: Vec<(&str, &str)> = names.iter().map(|name| ("a", name.as_str())).collect();
    let live = hosts(&entries);
    let now = Instant::now();
    let mut followers = vec![0; COUNT];
    let mut depths = vec![0; COUNT];
    for rank in 1..COUNT {
        let choice = choice_of(&names[rank], "a", &live);
        let reader = reader_of(&choice, now).expect("a host that is not first has a reader");
        let above = names
            .iter()
            .position(|name| name == reader)
            .expect("listed");
        assert_that!(above, lt(rank));
        followers[above] += 1;
        depths[rank] = depths[above] + 1;
    }
    expect_that!(followers.iter().max(), some(eq(&FAN_OUT)));
    expect_that!(depths.iter().max(), some(eq(&2)));
}

/// Load pattern: the reader of a data centre is lost. All others turn to the same
/// deputy, which alone reads the store, and the lost reader is asked ever less often.
#[gtest]
fn a_lost_reader_has_one_deputy() {
    let live = hosts(&[
        ("a", "edge-1"),
        ("a", "edge-2"),
        ("a", "edge-3"),
        ("a", "edge-4"),
    ]);
    let now = Instant::now();
    let fail = |own: &str, readers: &[&str]| {
        let mut choice = choice_of(own, "a", &live);
        for reader in readers {
            choice.record_failure(reader, ReaderFailure::Late, now);
        }
        reader_of(&choice, now).map(str::to_owned)
    };
    expect_that!(fail("edge-2", &["edge-1"]), none());
    expect_that!(fail("edge-3", &["edge-1"]), some(eq("edge-2")));
    expect_that!(fail("edge-4", &["edge-1"]), some(eq("edge-2")));
    expect_that!(fail("edge-4", &["edge-1", "edge-2"]), some(eq("edge-3")));
    expect_that!(fail("edge-4", &["edge-1", "edge-2", "edge-3"]), none());

    let mut choice = choice_of("edge-2", "a", &live);
    choice.record_failure("edge-1", ReaderFailure::Lost, now);
    expect_that!(reader_of(&choice, now + ms(2_999)), none());
    expect_that!(reader_of(&choice, now + ms(3_000)), some(eq("edge-1")));
    choice.record_failure("edge-1", ReaderFailure::Lost, now + ms(3_850));
    expect_that!(reader_of(&choice, now + ms(9_849)), none());
    expect_that!(reader_of(&choice, now + ms(9_850)), some(eq("edge-1")));
    choice.record_success("edge-1");
    choice.record_failure("edge-1", ReaderFailure::Lost, now + ms(20_000));
    expect_that!(reader_of(&choice, now + ms(23_000)), some(eq("edge-1")));
}

/// Guards against hosts that neither read the store nor have a reader that does,
/// because their lists of live hosts differ, and against a data centre in which every
/// host reads the store while it is away.
#[gtest]
fn a_late_reader_is_stood_in_for_by_a_few_hosts() {
    struct SourceCase {
        name: &'static str,
        hosts: usize,
        waited: Duration,
        age: ReadingAge,
        chance: f64,
        expected: ReadingSource,
    }
    let case = |name, hosts, waited, age, chance, expected| SourceCase {
        name,
        hosts,
        waited,
        age,
        chance,
        expected,
    };
    let cases = [
        case(
            "the reader delivers",
            20,
            ms(5_000),
            ReadingAge::Recent,
            0.0,
            ReadingSource::Reader,
        ),
        case(
            "the reader was just chosen",
            20,
            ms(399),
            ReadingAge::Late,
            0.0,
            ReadingSource::Reader,
        ),
        case(
            "late, drawn",
            20,
            ms(400),
            ReadingAge::Late,
            0.14,
            ReadingSource::Store,
        ),
        case(
            "late, not drawn",
            20,
            ms(400),
            ReadingAge::Late,
            0.15,
            ReadingSource::Skip,
        ),
        case(
            "overdue",
            20,
            ms(100),
            ReadingAge::Overdue,
            0.99,
            ReadingSource::Store,
        ),
        case(
            "late, few hosts",
            3,
            ms(400),
            ReadingAge::Late,
            0.99,
            ReadingSource::Store,
        ),
    ];
    for case in cases {
        let names: Vec<String> = (0..case.hosts)
            .map(|index| format!("edge-{index:02}"))
            .collect();
        let entries: Vec<(&str, &str)> = names.iter().map(|name| ("a", name.as_str())).collect();
        let mut choice = choice_of("edge-01", "a", &hosts(&entries));
        let now = Instant::now();
        choice.record_chosen("edge-00", now);
        let source = choice.source(case.age, case.chance, now + case.waited);
        expect_that!(source, eq(case.expected), "{}", case.name);
    }
    let alone = ReaderChoice::new("edge-1");
    expect_that!(
        alone.source(ReadingAge::Recent, 0.9, Instant::now()),
        eq(ReadingSource::Store)
    );
}

/// Load pattern: a partition separates most hosts of a data centre from the others and
/// from the store. Guards against a host on the other side that asks one unreachable
/// host after another, while it could read the store: a route that the operators had
/// removed was in use for longer than 6 s.
#[gtest]
fn a_host_that_loses_several_readers_reads_itself() {
    struct LossCase {
        name: &'static str,
        failures: &'static [(&'static str, ReaderFailure)],
        expected: ReadingSource,
    }
    let case = |name, failures, expected| LossCase {
        name,
        failures,
        expected,
    };
    const LOST: ReaderFailure = ReaderFailure::Lost;
    const LATE: ReaderFailure = ReaderFailure::Late;
    let names: Vec<String> = (0..20).map(|index| format!("edge-{index:02}")).collect();
    let entries: Vec<(&str, &str)> = names.iter().map(|name| ("a", name.as_str())).collect();
    let cases: [LossCase; 3] = [
        case("one lost", &[("edge-00", LOST)], ReadingSource::Reader),
        case(
            "two lost",
            &[("edge-00", LOST), ("edge-01", LOST)],
            ReadingSource::Store,
        ),
        case(
            "one lost, one without readings",
            &[("edge-00", LATE), ("edge-01", LOST)],
            ReadingSource::Reader,
        ),
    ];
    for case in cases {
        let mut choice = choice_of("edge-13", "a", &hosts(&entries));
        let now = Instant::now();
        for (reader, failure) in case.failures {
            choice.record_failure(reader, *failure, now);
        }
        let reader = reader_of(&choice, now).unwrap().to_owned();
        choice.record_chosen(&reader, now);
        let source = choice.source(ReadingAge::Late, 0.99, now + ms(100));
        expect_that!(source, eq(case.expected), "{}", case.name);
        // The lost readers count until they answer again.
        let recent = choice.source(ReadingAge::Recent, 0.99, now + ms(100));
        expect_that!(recent, eq(ReadingSource::Reader), "{}", case.name);
    }
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
    // Calls that took 300, 20 and 500 ms until the store read its clock, and 10 ms
    // until the answer arrived.
    for (sent_ms, delay_ms) in [(0, 300), (1_000, 20), (2_000, 500)] {
        let answered_at = start + ms(sent_ms + delay_ms + 10);
        clock.record_call(
            start + ms(sent_ms),
            ms(5_000 + sent_ms + delay_ms),
            answered_at,
        );
        for store_ms in [5_500, 6_000, 9_000] {
            let derived = clock.instant_of(ms(store_ms)).unwrap();
            expect_that!(derived, le(true_instant(store_ms)));
            let instant = true_instant(store_ms);
            expect_that!(clock.latest_time_at(instant), some(ge(ms(store_ms))));
            expect_that!(clock.earliest_time_at(instant), some(le(ms(store_ms))));
        }
    }
    // The call with the shortest delay counts, also after slower ones.
    let derived = clock.instant_of(ms(9_000)).unwrap();
    expect_that!(true_instant(9_000) - derived, eq(ms(20)));
    expect_that!(
        clock.earliest_time_at(true_instant(9_000)),
        some(eq(ms(8_990)))
    );
}

/// Guards against an assurance that lasts too long on a host that never calls the
/// store: a chain of hosts passes bounds of the store's clock on.
#[gtest]
fn a_relayed_bound_is_never_late() {
    let start = Instant::now();
    let true_instant = |store_ms: u64| start + ms(store_ms) - ms(5_000);
    let mut reader = StoreClock::default();
    reader.record_call(start, ms(5_030), start + ms(40));
    // The follower asks at 100 ms; the request arrives at the reader at 107 ms.
    let bound = reader.latest_time_at(start + ms(107)).unwrap();
    let mut follower = StoreClock::default();
    let low = reader.earliest_time_at(start + ms(109));
    follower.record_relayed(start + ms(100), bound, start + ms(115), low);
    let derived = follower.instant_of(ms(6_000)).unwrap();
    expect_that!(true_instant(6_000) - derived, eq(ms(37)));
    // The reader's lower bound is 10 ms too low, and the answer took 6 ms.
    let earliest = follower.earliest_time_at(true_instant(6_000));
    expect_that!(earliest, some(eq(ms(5_984))));
}

/// Guards against clocks that drift apart: after hours, a host whose clock is slower
/// than the store's must still derive no instant that is too late.
#[gtest]
fn an_old_bound_is_dropped() {
    let start = Instant::now();
    let mut clock = StoreClock::default();
    // The store's clock gains 200 ms an hour on the host's.
    let store_time = |after: Duration| ms(5_000) + after.mul_f64(1.0 + 0.2 / 3_600.0);
    for second in (0..=3_600).step_by(10) {
        let after = Duration::from_secs(second);
        let asked_at = start + after;
        clock.record_call(asked_at, store_time(after + ms(5)), asked_at + ms(10));
        let derived = clock.instant_of(store_time(after)).unwrap();
        expect_that!(derived, le(asked_at + ms(7)), "after {second} s");
    }
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
            group.observe_row(&reading(&row, revision(9), now), now);
        }
        group.primary_view.update_change_times(now);
        let interval = group.primary_view.read_interval(now + case.elapsed);
        expect_that!(interval, eq(case.expected), "{}", case.name);
    }
}

/// Guards against a route that stays in use for seconds after its change: readers behind
/// a partition repeat their last reading to each host that turns to them, which took it
/// for a recent one and did not read the store. Replayed: hunt-2add-3 of the large site.
#[gtest]
fn a_reading_that_another_reader_repeats_is_not_recent() {
    let start = Instant::now();
    let max_age = ms(3_000);
    let mut relayed = RelayedAge::default();
    expect_that!(relayed.age(start, max_age, start), eq(ReadingAge::Late));
    let read_at = start + ms(1_000);
    relayed.record(read_at);
    expect_that!(
        relayed.age(start, max_age, read_at + ms(2_000)),
        eq(ReadingAge::Recent)
    );
    for repeated_after in [800, 1_600, 2_400, 3_200] {
        relayed.record(read_at);
        let age = relayed.age(start, max_age, read_at + ms(repeated_after));
        expect_that!(age == ReadingAge::Recent, eq(repeated_after < 3_000));
    }
    expect_that!(
        relayed.age(start, max_age, read_at + ms(4_500)),
        eq(ReadingAge::Overdue)
    );
    relayed.record(read_at - ms(500));
    expect_that!(
        relayed.age(start, max_age, read_at + ms(2_900)),
        eq(ReadingAge::Recent)
    );
}
