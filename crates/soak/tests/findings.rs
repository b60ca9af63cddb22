//! Which records of callers break a promise.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use soak::findings::{CallerRecord, FindingKind, ReadRecord, WriteOutcome, WriteRecord};

const ITEM: usize = 3;

/// A run whose writes began at `started` and were answered a second apart.
struct RecordCase {
    name: &'static str,
    story: fn(&mut CallerRecord, Instant),
    log: &'static [&'static str],
    rolled_back: &'static [&'static str],
    expected: Option<FindingKind>,
}

fn second(started: Instant, number: u64) -> Instant {
    started + Duration::from_secs(number)
}

fn write(record: &mut CallerRecord, number: u64, outcome: WriteOutcome, pair: bool) {
    record.writes.push(WriteRecord {
        item: ITEM,
        number,
        outcome,
        is_first_of_pair: pair,
    });
}

/// Accepts a write at the second of its number.
fn accept(record: &mut CallerRecord, started: Instant, number: u64) {
    let at = second(started, number);
    write(record, number, WriteOutcome::Accepted { at }, false);
}

fn read(record: &mut CallerRecord, covers: Instant, own: Option<u64>, seen: u64) {
    record.reads.push(ReadRecord {
        item: ITEM,
        covers,
        own,
        seen,
    });
}

#[gtest]
fn a_record_is_compared_with_the_log() {
    let cases = [
        RecordCase {
            name: "all is well",
            story: |record, started| {
                accept(record, started, 1);
                accept(record, started, 2);
                read(record, second(started, 3), None, 2);
            },
            log: &["1", "2"],
            rolled_back: &[],
            expected: None,
        },
        RecordCase {
            name: "an accepted write is lost",
            story: |record, started| accept(record, started, 1),
            log: &[],
            rolled_back: &[],
            expected: Some(FindingKind::LostWrite),
        },
        RecordCase {
            name: "an accepted write is rolled back by a promotion",
            story: |record, started| accept(record, started, 1),
            log: &[],
            rolled_back: &["1"],
            expected: None,
        },
        RecordCase {
            name: "a write without an answer takes effect twice",
            story: |record, _| write(record, 1, WriteOutcome::Unknown, false),
            log: &["1", "1"],
            rolled_back: &[],
            expected: Some(FindingKind::DoubledWrite),
        },
        RecordCase {
            name: "a refused write takes effect",
            story: |record, _| write(record, 1, WriteOutcome::Refused, false),
            log: &["1"],
            rolled_back: &[],
            expected: Some(FindingKind::RefusedWriteKept),
        },
        RecordCase {
            name: "half of a transaction takes effect",
            story: |record, _| {
                write(record, 1, WriteOutcome::Unknown, true);
                write(record, 2, WriteOutcome::Unknown, false);
            },
            log: &["1"],
            rolled_back: &[],
            expected: Some(FindingKind::TornTransaction),
        },
        RecordCase {
            name: "a read lacks a write that was accepted before",
            story: |record, started| {
                accept(record, started, 1);
                accept(record, started, 2);
                read(record, second(started, 3), None, 1);
            },
            log: &["1", "2"],
            rolled_back: &[],
            expected: Some(FindingKind::StaleRead),
        },
        RecordCase {
            name: "a read may lack a write that was accepted later",
            story: |record, started| {
                accept(record, started, 1);
                accept(record, started, 2);
                read(record, second(started, 2), None, 1);
            },
            log: &["1", "2"],
            rolled_back: &[],
            expected: None,
        },
        RecordCase {
            name: "a session lacks its own write",
            story: |record, started| {
                accept(record, started, 1);
                accept(record, started, 2);
                read(record, started, Some(2), 1);
            },
            log: &["1", "2"],
            rolled_back: &[],
            expected: Some(FindingKind::StaleRead),
        },
        RecordCase {
            name: "a late write of a lower number came last",
            story: |record, started| {
                write(record, 1, WriteOutcome::Unknown, false);
                accept(record, started, 2);
                read(record, second(started, 3), None, 1);
            },
            log: &["2", "1"],
            rolled_back: &[],
            expected: None,
        },
        RecordCase {
            name: "a read of nothing",
            story: |record, started| {
                accept(record, started, 1);
                read(record, second(started, 2), None, 0);
            },
            log: &["1"],
            rolled_back: &[],
            expected: Some(FindingKind::StaleRead),
        },
    ];
    for case in cases {
        let mut record = CallerRecord::default();
        (case.story)(&mut record, Instant::now());
        let texts =
            |data: &[&str]| -> Vec<String> { data.iter().map(|one| (*one).to_owned()).collect() };
        record.judge(&texts(case.log), &texts(case.rolled_back));
        let found = record.findings.first().map(|finding| finding.kind);
        expect_that!(found, eq(case.expected), "{}", case.name);
    }
}
