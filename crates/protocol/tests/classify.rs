//! Guards against a write that is classified as a read: it would be routed to a
//! replica, or acknowledged without confirmation.

use googletest::prelude::*;
use protocol::classify::{classify, StatementKind};
use protocol::options::{OptionError, SessionVariable, VariableChange};

struct Case {
    text: &'static str,
    kinds: Vec<StatementKind>,
}

fn check(cases: &[Case]) {
    for case in cases {
        expect_that!(classify(case.text).kinds, eq(&case.kinds), "{}", case.text);
    }
}

fn each(texts: &[&'static str], kind: &StatementKind) -> Vec<Case> {
    let case = |text: &&'static str| Case {
        text,
        kinds: vec![kind.clone()],
    };
    texts.iter().map(case).collect()
}

#[gtest]
fn statements_that_only_read_are_reads() {
    check(&each(
        &[
            "SELECT 1",
            "select count(*), max(a) from t where b in (1, 2) group by c",
            "WITH x AS (SELECT 1) SELECT * FROM x",
            "SELECT coalesce(a, 'insert into t (x)') FROM t -- update",
            "SELECT row_number() OVER (PARTITION BY a ORDER BY b) FROM t",
            "SELECT a::varchar(10), cast(b as numeric(4,2)) FROM t",
            "VALUES (1), (2)",
            "SELECT 1 UNION (SELECT 2)",
            "EXPLAIN SELECT 1",
            "SHOW server_version",
            "SELECT $1::int",
        ],
        &StatementKind::Read,
    ));
}

#[gtest]
fn texts_that_may_write_are_writes() {
    check(&each(
        &[
            "INSERT INTO t VALUES (1)",
            "UPDATE t SET a = 1 RETURNING a",
            "DELETE FROM t",
            "SELECT * FROM t FOR UPDATE",
            "SELECT * FROM (SELECT a FROM t) s WHERE a IN (SELECT b FROM u) FOR SHARE",
            "SELECT nextval('s')",
            "SELECT setval('s', 3)",
            "SELECT pg_catalog.setval('s', 3)",
            "SELECT \"lower\"('x')",
            "SELECT my_function(1)",
            "WITH x AS (INSERT INTO t VALUES (1) RETURNING a) SELECT * FROM x",
            "WITH x AS (SELECT 1), y AS (DELETE FROM t RETURNING a) SELECT * FROM y",
            "SELECT a INTO u FROM t",
            "CALL p()",
            "DO $$ BEGIN PERFORM 1; END $$",
            "EXPLAIN ANALYZE SELECT 1",
            "EXPLAIN (ANALYZE) SELECT 1",
            "CREATE TABLE t (a int)",
            "TRUNCATE t",
            "not sql at all",
            "TABLE t",
            "SELECT 'unterminated",
        ],
        &StatementKind::Write,
    ));
}

#[gtest]
fn statements_on_session_state_are_session_features() {
    check(&each(
        &[
            "SET search_path TO x",
            "SET SESSION statement_timeout = 5",
            "RESET ALL",
            "LISTEN c",
            "CREATE TEMP TABLE t (a int)",
            "CREATE TEMPORARY TABLE t AS SELECT 1",
            "SELECT pg_advisory_lock(1)",
            "SELECT pg_try_advisory_lock(1)",
            "SELECT set_config('a.b', 'c', false)",
            "PREPARE p AS SELECT 1",
            "DISCARD ALL",
            "DECLARE c CURSOR WITH HOLD FOR SELECT 1",
        ],
        &StatementKind::SessionFeature,
    ));
}

#[gtest]
fn transaction_statements_are_distinguished() {
    let begin = |read_only| StatementKind::Begin { read_only };
    check(&each(
        &[
            "BEGIN",
            "START TRANSACTION",
            "BEGIN ISOLATION LEVEL SERIALIZABLE",
        ],
        &begin(false),
    ));
    check(&each(
        &["BEGIN READ ONLY", "START TRANSACTION READ ONLY"],
        &begin(true),
    ));
    check(&each(&["COMMIT", "END"], &StatementKind::Commit));
    check(&each(&["ROLLBACK", "ABORT"], &StatementKind::Rollback));
    check(&each(
        &[
            "SAVEPOINT s",
            "ROLLBACK TO SAVEPOINT s",
            "RELEASE SAVEPOINT s",
            "SET LOCAL a.b = 1",
            "SET TRANSACTION ISOLATION LEVEL SERIALIZABLE",
        ],
        &StatementKind::TransactionControl,
    ));
    check(&each(&["COPY t FROM STDIN"], &StatementKind::CopyIn));
    check(&each(&["COPY t TO STDOUT"], &StatementKind::CopyOut));
}

#[gtest]
fn several_statements_are_classified_in_order() {
    check(&[
        Case {
            text: "",
            kinds: vec![],
        },
        Case {
            text: " ; ;",
            kinds: vec![],
        },
        Case {
            text: "SELECT 1; INSERT INTO t VALUES (1)",
            kinds: vec![StatementKind::Read, StatementKind::Write],
        },
        Case {
            text: "BEGIN; DELETE FROM t; COMMIT",
            kinds: vec![
                StatementKind::Begin { read_only: false },
                StatementKind::Write,
                StatementKind::Commit,
            ],
        },
    ]);
}

#[gtest]
fn variables_of_the_proxy_are_recognised() {
    let id = |text: &str| VariableChange::RequestId(text.parse().ok());
    let set = StatementKind::SetVariable;
    check(&[
        Case {
            text: "SET cassia.request_id = 'a-1'",
            kinds: vec![set(id("a-1"))],
        },
        Case {
            text: "set session CASSIA.Request_Id to 'a-1';",
            kinds: vec![set(id("a-1"))],
        },
        Case {
            text: "SET cassia.request_id = ''",
            kinds: vec![set(id(""))],
        },
        Case {
            text: "RESET cassia.request_id",
            kinds: vec![set(id(""))],
        },
        Case {
            text: "SHOW cassia.outcome",
            kinds: vec![StatementKind::ShowVariable(SessionVariable::Outcome)],
        },
        Case {
            text: "SET cassia.request_id = 'a b'",
            kinds: vec![StatementKind::InvalidOption(OptionError::BadRequestId(
                "request id may contain only letters, digits and _ . : -".to_owned(),
            ))],
        },
        Case {
            text: "SET cassia.nothing = 1",
            kinds: vec![StatementKind::InvalidOption(OptionError::UnknownVariable(
                "nothing".to_owned(),
            ))],
        },
        Case {
            text: "SET cassia.outcome = 'x'",
            kinds: vec![StatementKind::InvalidOption(OptionError::ReadOnlyVariable)],
        },
        Case {
            text: "SET cassia.deadline_ms = 0",
            kinds: vec![StatementKind::InvalidOption(OptionError::BadDeadline(
                "0".to_owned(),
            ))],
        },
    ]);
}

struct MarkCase {
    text: &'static str,
    request_id: Option<&'static str>,
    class: Option<&'static str>,
    never_repeat: bool,
}

#[gtest]
fn marks_are_read_from_comments_only() {
    let cases = [
        MarkCase {
            text: "/* cassia: request_id=s:1 class=browse never_repeat */ INSERT INTO t VALUES (1)",
            request_id: Some("s:1"),
            class: Some("browse"),
            never_repeat: true,
        },
        MarkCase {
            text: "SELECT '/* cassia: request_id=x */' /* other: request_id=y */",
            request_id: None,
            class: None,
            never_repeat: false,
        },
        // A text that cannot be tokenised must not lose its request id.
        MarkCase {
            text: "/* cassia: request_id=z */ INSERT INTO t VALUES ('unterminated",
            request_id: Some("z"),
            class: None,
            never_repeat: false,
        },
    ];
    for case in cases {
        let options = classify(case.text).options;
        let id = options.request_id.as_ref().map(|id| id.as_str());
        expect_that!(id, eq(case.request_id), "{}", case.text);
        expect_that!(options.class.as_deref(), eq(case.class), "{}", case.text);
        expect_that!(options.never_repeat, eq(case.never_repeat), "{}", case.text);
    }
}

#[gtest]
fn invalid_marks_are_rejected() {
    for text in [
        "/* cassia: request_id= */ SELECT 1",
        "/* cassia: request_id=a */ /* cassia: request_id=b */ SELECT 1",
        "/* cassia: unknown=1 */ SELECT 1",
        "/* cassia: class= */ SELECT 1",
    ] {
        let kinds = classify(text).kinds;
        expect_that!(
            kinds,
            elements_are![matches_pattern!(StatementKind::InvalidOption(_))],
            "{text}"
        );
    }
}
