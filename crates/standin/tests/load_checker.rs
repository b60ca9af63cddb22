//! The consistency check of the load tool.

use googletest::prelude::*;
use standin::load::checker::{CheckCounts, StoredCounts, WriteOutcome, WriteRecord};

struct CheckCase {
    name: &'static str,
    outcome: WriteOutcome,
    copies: u64,
    stale: u64,
    clean: bool,
}

fn check_cases() -> Vec<CheckCase> {
    let case = |name, outcome, copies, stale, clean| CheckCase {
        name,
        outcome,
        copies,
        stale,
        clean,
    };
    vec![
        case("accepted, stored", WriteOutcome::Accepted, 1, 0, true),
        case("accepted, lost", WriteOutcome::Accepted, 0, 0, false),
        case("accepted, doubled", WriteOutcome::Accepted, 2, 0, false),
        case("refused", WriteOutcome::NotRun, 0, 0, true),
        case("refused, ran", WriteOutcome::NotRun, 1, 0, false),
        case("unknown, absent", WriteOutcome::Unknown, 0, 0, true),
        case("unknown, stored", WriteOutcome::Unknown, 1, 0, true),
        case("unknown, doubled", WriteOutcome::Unknown, 2, 0, false),
        case("stale read", WriteOutcome::Accepted, 1, 1, false),
    ]
}

/// Guards against a check that passes although a guarantee was broken.
#[gtest]
fn each_broken_guarantee_is_found() {
    for case in check_cases() {
        let write = WriteRecord {
            writer: 1,
            sequence: 1,
            outcome: case.outcome,
        };
        let mut stored = StoredCounts::new();
        if case.copies > 0 {
            stored.insert((1, 1), case.copies);
        }
        let counts = CheckCounts::compare(&[write], &stored, case.stale);
        expect_that!(counts.is_clean(), eq(case.clean), "{}", case.name);
    }
}

/// Guards against a check that overlooks a stored write which no caller sent.
#[gtest]
fn a_foreign_write_is_found() {
    let stored = StoredCounts::from([((9, 9), 1)]);
    let counts = CheckCounts::compare(&[], &stored, 0);
    expect_that!(counts.foreign, eq(1));
    expect_that!(counts.is_clean(), eq(false));
}
