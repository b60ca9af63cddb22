//! Guards against a result code that the documentation lacks, or lists with
//! another SQLSTATE or run outcome.

use googletest::prelude::*;
use protocol::result_code::{ResultCode, RunOutcome};

const TABLE: &str = include_str!("../../../docs/result-codes.md");

fn outcome_text(outcome: RunOutcome) -> &'static str {
    match outcome {
        RunOutcome::NotRun => "not run",
        RunOutcome::Ran => "ran",
        RunOutcome::Unknown => "unknown",
    }
}

fn table_row(code: ResultCode) -> String {
    format!(
        "| {} | {code:?} | {} | {} |",
        code.number(),
        code.sqlstate(),
        outcome_text(code.outcome())
    )
}

#[gtest]
fn documentation_lists_every_code() {
    let documented: Vec<&str> = TABLE
        .lines()
        .filter(|line| line.starts_with("| ") && line.as_bytes()[2].is_ascii_digit())
        .collect();
    let expected: Vec<String> = ResultCode::ALL.into_iter().map(table_row).collect();
    expect_that!(documented, eq(&expected));
}

#[gtest]
fn message_of_a_refusal_says_that_the_statement_was_not_run() {
    // These refusals occur before the caller sends a statement.
    let before_statement = [ResultCode::UnknownGroup, ResultCode::AuthenticationFailed];
    for code in ResultCode::ALL {
        if code.outcome() != RunOutcome::NotRun || before_statement.contains(&code) {
            continue;
        }
        let says = code.message().contains("not run") || code.message().contains("not commit");
        expect_that!(says, eq(true), "{code:?}: {}", code.message());
    }
}
