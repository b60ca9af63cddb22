//! Steps of recording request ids, and the SQL statements for them.

use coordination::request_record::{
    block_sql, insert_sql, look_up_sql, parse_outcome, record_tag_sql, InsertReply, LookUpReply,
    RecordAction, RecordPurpose, RequestRecord,
};
use googletest::prelude::*;
use state::request::RequestOutcome;

fn committed() -> RequestOutcome {
    let tag = "INSERT 0 1".to_owned();
    RequestOutcome::Committed { tag }
}

/// Guards against running a recorded request again, and against reporting "not
/// run" after a conflict whose outcome could not be read.
#[gtest]
fn each_reply_leads_to_its_action() {
    use RecordAction::*;
    use RecordPurpose::{OutcomeQuery, Write};
    let first = |purpose, reply| RequestRecord::new(purpose).after_insert(reply);
    expect_that!(first(Write, InsertReply::Inserted), eq(&RunWrite));
    expect_that!(first(OutcomeQuery, InsertReply::Inserted), eq(&CommitBlock));
    expect_that!(first(Write, InsertReply::TableMissing), eq(&CreateTable));
    expect_that!(first(Write, InsertReply::RolledBack), eq(&InsertAgain));
    expect_that!(first(Write, InsertReply::Lost), eq(&FailNotRun));
    let conflict = |reply| {
        let mut record = RequestRecord::new(Write);
        assert_eq!(record.after_insert(InsertReply::Conflict), LookUp);
        record.after_look_up(reply)
    };
    let tag = "INSERT 0 1".to_owned();
    let found = conflict(LookUpReply::Found(committed()));
    expect_that!(found, eq(&ConfirmAndReturn { tag }));
    let blocked = conflict(LookUpReply::Found(RequestOutcome::Blocked));
    expect_that!(blocked, eq(&ConfirmAndReportBlocked));
    expect_that!(conflict(LookUpReply::Lost), eq(&FailUnknown));
    expect_that!(conflict(LookUpReply::Unreadable), eq(&FailUnknown));
    expect_that!(conflict(LookUpReply::Absent), eq(&InsertAgain));
}

/// Guards against an endless loop of inserts and rollbacks.
#[gtest]
fn rounds_are_bounded() {
    let mut record = RequestRecord::new(RecordPurpose::Write);
    let actions: Vec<RecordAction> = (0..3)
        .map(|_| record.after_insert(InsertReply::RolledBack))
        .collect();
    expect_that!(actions[1], eq(&RecordAction::InsertAgain));
    expect_that!(actions[2], eq(&RecordAction::FailNotRun));
}

/// Guards against SQL statements that a quote in a tag breaks, and against an
/// unknown state that is read as an outcome.
#[gtest]
fn statements_quote_their_values() {
    let id = "sighting-7".parse().expect("valid id");
    expect_that!(insert_sql(&id), ends_with("('sighting-7', 'committed')"));
    expect_that!(block_sql(&id), ends_with("('sighting-7', 'blocked')"));
    expect_that!(look_up_sql(&id), ends_with("WHERE id = 'sighting-7'"));
    expect_that!(record_tag_sql(&id, "a'b"), contains_substring("'a''b'"));
    expect_that!(
        parse_outcome("committed", "INSERT 0 1"),
        some(eq(&committed()))
    );
    expect_that!(parse_outcome("other", ""), none());
}
