//! Tests which contradictions between the callers' record and the log become
//! findings.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use soak::findings::{
    CallerRecord, FindingKind, MemberEvidence, ReadRecord, SentStatement, WriteKey, WriteOutcome,
    WriteRecord,
};
use standin::managed::RanStatement;

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

fn texts(data: &[&str]) -> Vec<String> {
    data.iter().map(|one| (*one).to_owned()).collect()
}

fn seconds_after(started: Instant, number: u64) -> Instant {
    started + Duration::from_secs(number)
}

fn write(record: &mut CallerRecord, number: u64, outcome: WriteOutcome, first_of_pair: bool) {
    record
        .keys
        .insert(number.to_string(), WriteKey { item: ITEM, number });
    record.writes.push(WriteRecord {
        item: ITEM,
        number,
        outcome,
        is_first_of_pair: first_of_pair,
        is_single: !first_of_pair,
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
        record.check(&MemberEvidence {
            log: texts(case.log),
            rolled_back: texts(case.rolled_back),
            ..MemberEvidence::default()
        });
        let found = record.findings.first().map(|finding| finding.kind);
        expect_that!(found, eq(case.expected), "{}", case.name);
    }
}

/// Kind, shape and arguments of a statement.
type StatementParts = (&'static str, Option<&'static str>, &'static str);

/// A statement with id q1 as a caller sent it and as a member ran it.
struct RanCase {
    name: &'static str,
    sent: Option<StatementParts>,
    ran: StatementParts,
    expected: Option<FindingKind>,
}

/// Guards against a soak that does not compare what members ran with what callers
/// sent: cut texts, other shapes and forged statements were no findings.
#[gtest]
fn check_finds_statements_that_nobody_sent() {
    let cases = [
        RanCase {
            name: "the statement that was sent",
            sent: Some(("WRITE", Some("q 2"), "i3 a\nb")),
            ran: ("WRITE", Some("q 2"), "i3 a\nb"),
            expected: None,
        },
        RanCase {
            name: "an id that nobody chose",
            sent: None,
            ran: ("WRITE", None, "i3 a"),
            expected: Some(FindingKind::UnaskedStatement),
        },
        RanCase {
            name: "a text that ends at its line feed",
            sent: Some(("WRITE", None, "i3 a\nb")),
            ran: ("WRITE", None, "i3 a"),
            expected: Some(FindingKind::UnaskedStatement),
        },
        RanCase {
            name: "a text without its last blank",
            sent: Some(("WRITE", None, "i3 a ")),
            ran: ("WRITE", None, "i3 a"),
            expected: Some(FindingKind::UnaskedStatement),
        },
        RanCase {
            name: "another kind",
            sent: Some(("READ", None, "i3")),
            ran: ("WRITE", None, "i3"),
            expected: Some(FindingKind::UnaskedStatement),
        },
        RanCase {
            name: "another shape",
            sent: Some(("WRITE", Some("q 2"), "i3 a")),
            ran: ("WRITE", Some("q"), "i3 a"),
            expected: Some(FindingKind::UnaskedStatement),
        },
        RanCase {
            name: "a prepared statement that ran as a direct one",
            sent: Some(("WRITE", Some("q"), "i3 a")),
            ran: ("WRITE", None, "i3 a"),
            expected: Some(FindingKind::UnaskedStatement),
        },
        RanCase {
            name: "a commit that nobody asked for",
            sent: Some(("READ", None, "i3")),
            ran: ("COMMIT", None, ""),
            expected: Some(FindingKind::UnaskedStatement),
        },
    ];
    for case in cases {
        let mut record = CallerRecord::default();
        if let Some((kind, shape, arguments)) = case.sent {
            let sent = SentStatement {
                kind: kind.to_owned(),
                shape: shape.map(str::to_owned),
                arguments: arguments.to_owned(),
            };
            record.sent.insert("q1".to_owned(), sent);
        }
        let (kind, shape, arguments) = case.ran;
        record.check(&MemberEvidence {
            ran: vec![RanStatement {
                id: "q1".to_owned(),
                kind: kind.to_owned(),
                shape: shape.map(str::to_owned),
                arguments: arguments.to_owned(),
            }],
            ..MemberEvidence::default()
        });
        let found = record.findings.first().map(|finding| finding.kind);
        expect_that!(found, eq(case.expected), "{}", case.name);
    }
}

/// Where the effect of a refused write is found.
struct RefusedCase {
    name: &'static str,
    is_single: bool,
    other_log: &'static [&'static str],
    has_run: bool,
    expected: Option<FindingKind>,
}

/// Guards against a soak that looks for refused writes in the log of the last primary
/// only, which replaces those of superseded ones.
#[gtest]
fn check_finds_refused_writes_beside_the_last_log() {
    let cases = [
        RefusedCase {
            name: "nowhere",
            is_single: true,
            other_log: &[],
            has_run: false,
            expected: None,
        },
        RefusedCase {
            name: "in the log of another member",
            is_single: false,
            other_log: &["1"],
            has_run: false,
            expected: Some(FindingKind::RefusedWriteKept),
        },
        RefusedCase {
            name: "run by a member, outside of a transaction",
            is_single: true,
            other_log: &[],
            has_run: true,
            expected: Some(FindingKind::RefusedWriteKept),
        },
        RefusedCase {
            name: "run by a member, in a transaction without a commit",
            is_single: false,
            other_log: &[],
            has_run: true,
            expected: None,
        },
    ];
    for case in cases {
        let mut record = CallerRecord::default();
        write(&mut record, 1, WriteOutcome::Refused, false);
        record.writes[0].is_single = case.is_single;
        let sent = SentStatement {
            kind: "WRITE".to_owned(),
            shape: None,
            arguments: "i3 1".to_owned(),
        };
        let ran = RanStatement {
            id: "q1".to_owned(),
            kind: sent.kind.clone(),
            shape: None,
            arguments: sent.arguments.clone(),
        };
        record.sent.insert("q1".to_owned(), sent);
        record.check(&MemberEvidence {
            other_logs: vec![texts(case.other_log)],
            ran: if case.has_run { vec![ran] } else { vec![] },
            ..MemberEvidence::default()
        });
        let found = record.findings.first().map(|finding| finding.kind);
        expect_that!(found, eq(case.expected), "{}", case.name);
    }
}
