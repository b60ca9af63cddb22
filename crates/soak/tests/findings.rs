//! Tests which contradictions between the callers' record and the log become
//! findings.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use soak::findings::{CallerRecord, FindingKind, ReadRecord, WriteOutcome, WriteRecord};

const ITEM: usize = 3;

/// A record, a log and the expected finding. `fill` receives the start of the
/// run; the write with number n is answered n seconds after it.
struct RecordCase {
    name: &'static str,
    fill: fn(&mut CallerRecord, Instant),
    log: &'static [&'static str],
    rolled_back: &'static [&'static str],
    expected: Option<FindingKind>,
}

fn seconds_after(started: Instant, number: u64) -> Instant {
    started + Duration::from_secs(number)
}

fn write(record: &mut CallerRecord, number: u64, outcome: WriteOutcome, first_of_pair: bool) {
    record.writes.push(WriteRecord {
        item: ITEM,
        number,
        outcome,
        is_first_of_pair: first_of_pair,
    });
}

/// Records a write that was accepted `number` seconds after the start.
fn accept(record: &mut CallerRecord, started: Instant, number: u64) {
    let at = seconds_after(started, number);
    write(record, number, WriteOutcome::Accepted { at }, false);
}

fn read(record: &mut CallerRecord, must_see_before: Instant, own_write: Option<u64>, seen: u64) {
    record.reads.push(ReadRecord {
        item: ITEM,
        must_see_before,
        own_write,
        seen,
    });
}

#[gtest]
fn check_finds_contradictions_between_record_and_log() {
    let cases = [
        RecordCase {
            name: "the record agrees with the log",
            fill: |record, started| {
                accept(record, started, 1);
                accept(record, started, 2);
                read(record, seconds_after(started, 3), None, 2);
            },
            log: &["1", "2"],
            rolled_back: &[],
            expected: None,
        },
        RecordCase {
            name: "an accepted write is lost",
            fill: |record, started| accept(record, started, 1),
            log: &[],
            rolled_back: &[],
            expected: Some(FindingKind::LostWrite),
        },
        RecordCase {
            name: "an accepted write is rolled back by a promotion",
            fill: |record, started| accept(record, started, 1),
            log: &[],
            rolled_back: &["1"],
            expected: None,
        },
        RecordCase {
            name: "a write without an answer takes effect twice",
            fill: |record, _| write(record, 1, WriteOutcome::Unknown, false),
            log: &["1", "1"],
            rolled_back: &[],
            expected: Some(FindingKind::DoubledWrite),
        },
        RecordCase {
            name: "a refused write takes effect",
            fill: |record, _| write(record, 1, WriteOutcome::Refused, false),
            log: &["1"],
            rolled_back: &[],
            expected: Some(FindingKind::RefusedWriteKept),
        },
        RecordCase {
            name: "half of a transaction takes effect",
            fill: |record, _| {
                write(record, 1, WriteOutcome::Unknown, true);
                write(record, 2, WriteOutcome::Unknown, false);
            },
            log: &["1"],
            rolled_back: &[],
            expected: Some(FindingKind::TornTransaction),
        },
        RecordCase {
            name: "a read misses a write that was accepted before",
            fill: |record, started| {
                accept(record, started, 1);
                accept(record, started, 2);
                read(record, seconds_after(started, 3), None, 1);
            },
            log: &["1", "2"],
            rolled_back: &[],
            expected: Some(FindingKind::StaleRead),
        },
        RecordCase {
            name: "a read may miss a write that was accepted later",
            fill: |record, started| {
                accept(record, started, 1);
                accept(record, started, 2);
                read(record, seconds_after(started, 2), None, 1);
            },
            log: &["1", "2"],
            rolled_back: &[],
            expected: None,
        },
        RecordCase {
            name: "a session misses its own write",
            fill: |record, started| {
                accept(record, started, 1);
                accept(record, started, 2);
                read(record, started, Some(2), 1);
            },
            log: &["1", "2"],
            rolled_back: &[],
            expected: Some(FindingKind::StaleRead),
        },
        RecordCase {
            name: "a write without an answer takes effect after a higher number",
            fill: |record, started| {
                write(record, 1, WriteOutcome::Unknown, false);
                accept(record, started, 2);
                read(record, seconds_after(started, 3), None, 1);
            },
            log: &["2", "1"],
            rolled_back: &[],
            expected: None,
        },
        RecordCase {
            name: "a read misses the only accepted write",
            fill: |record, started| {
                accept(record, started, 1);
                read(record, seconds_after(started, 2), None, 0);
            },
            log: &["1"],
            rolled_back: &[],
            expected: Some(FindingKind::StaleRead),
        },
    ];
    for case in cases {
        let mut record = CallerRecord::default();
        (case.fill)(&mut record, Instant::now());
        let texts =
            |data: &[&str]| -> Vec<String> { data.iter().map(|one| (*one).to_owned()).collect() };
        record.check(&texts(case.log), &texts(case.rolled_back));
        let found = record.findings.first().map(|finding| finding.kind);
        expect_that!(found, eq(case.expected), "{}", case.name);
    }
}
