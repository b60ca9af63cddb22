//! Pipelines of the extended query protocol, checked frame by frame.

#[path = "support/proxy.rs"]
#[allow(dead_code)]
mod proxy;
#[path = "support/raw.rs"]
mod raw;

use googletest::prelude::*;
use postgres_protocol::message::frontend;
use proxy::{rows, start, GROUP};
use raw::RawCaller;
use standin::backend::BackendSettings;
use standin::cluster::ClusterSettings;

/// Adds frames to a caller's output.
type Compose = fn(&mut RawCaller);

struct Case {
    name: &'static str,
    compose: Compose,
    tags: &'static str,
}

/// Each frame must get its own answer, in order. Replies to Parse frames that the
/// proxy adds must not reach the caller.
#[gtest]
#[tokio::test]
async fn each_frame_of_a_pipeline_is_answered() {
    let (_cluster, proxy) = start(ClusterSettings::default()).await;
    let client = proxy.connect().await;
    client
        .batch_execute("CREATE TABLE t (id int primary key)")
        .await
        .unwrap();
    let mut caller = RawCaller::connect(proxy.address.port(), GROUP).await;
    let cases = [
        Case {
            name: "two reads",
            compose: |caller| {
                caller.statement("SELECT 1");
                caller.statement("SELECT 2");
                frontend::sync(&mut caller.output);
            },
            tags: "12DC12DCZI",
        },
        Case {
            name: "bind of an unnamed statement of an earlier exchange",
            compose: |caller| {
                caller.bind("");
                frontend::execute("", 0, &mut caller.output).unwrap();
                frontend::sync(&mut caller.output);
            },
            tags: "2DCZI",
        },
        Case {
            name: "an error skips to Sync",
            compose: |caller| {
                caller.statement("INSERT INTO t VALUES (1)");
                caller.statement("SELECT nothing FROM nowhere");
                caller.statement("INSERT INTO t VALUES (2)");
                frontend::sync(&mut caller.output);
            },
            tags: "12CEZI",
        },
        Case {
            name: "a transaction in one pipeline",
            compose: |caller| {
                caller.statement("BEGIN");
                caller.statement("INSERT INTO t VALUES (3)");
                caller.statement("COMMIT");
                frontend::sync(&mut caller.output);
            },
            tags: "12C12C12CZI",
        },
        Case {
            name: "unknown statement",
            compose: |caller| {
                caller.bind("nobody");
                frontend::sync(&mut caller.output);
            },
            tags: "EZI",
        },
        Case {
            name: "named statement, twice the same name",
            compose: |caller| {
                frontend::parse("a", "SELECT 7", [], &mut caller.output).unwrap();
                frontend::parse("a", "SELECT 8", [], &mut caller.output).unwrap();
                frontend::sync(&mut caller.output);
            },
            tags: "EZI",
        },
        Case {
            name: "variables and statements",
            compose: |caller| {
                caller.statement("SET cassia.read_class = 'browse'");
                caller.statement("SELECT 1");
                caller.statement("SHOW cassia.read_class");
                frontend::sync(&mut caller.output);
            },
            tags: "12C12DC12DCZI",
        },
        Case {
            name: "refused copy",
            compose: |caller| {
                caller.statement("COPY t FROM STDIN");
                frontend::sync(&mut caller.output);
            },
            tags: "EZI",
        },
        Case {
            name: "Sync alone",
            compose: |caller| frontend::sync(&mut caller.output),
            tags: "ZI",
        },
    ];
    for case in cases {
        (case.compose)(&mut caller);
        let tags = caller.exchange(b'Z').await;
        expect_that!(tags, eq(case.tags), "{}", case.name);
    }
    expect_that!(caller.is_silent().await, eq(true));
    let found = rows(&client, "SELECT id FROM t").await.unwrap();
    expect_that!(found, elements_are![eq("3")]);
}

/// Flush must deliver the answers so far, but must not commit: the pipeline commits
/// at Sync.
#[gtest]
#[tokio::test]
async fn flush_delivers_answers_without_commit() {
    let (_cluster, proxy) = start(ClusterSettings::default()).await;
    let client = proxy.connect().await;
    client
        .batch_execute("CREATE TABLE t (id int primary key)")
        .await
        .unwrap();
    let mut caller = RawCaller::connect(proxy.address.port(), GROUP).await;
    caller.statement("INSERT INTO t VALUES (1)");
    frontend::flush(&mut caller.output);
    expect_that!(caller.exchange(b'C').await, eq("12C"));
    let before = rows(&client, "SELECT count(*) FROM t").await.unwrap();
    expect_that!(before, elements_are![eq("0")]);
    caller.statement("INSERT INTO t VALUES (2)");
    frontend::sync(&mut caller.output);
    expect_that!(caller.exchange(b'Z').await, eq("12CZI"));
    let after = rows(&client, "SELECT count(*) FROM t").await.unwrap();
    expect_that!(after, elements_are![eq("2")]);
    // An error before Flush skips everything up to Sync.
    caller.statement("INSERT INTO t VALUES (1)");
    frontend::flush(&mut caller.output);
    expect_that!(caller.exchange(b'E').await, eq("12E"));
    caller.statement("INSERT INTO t VALUES (9)");
    frontend::sync(&mut caller.output);
    expect_that!(caller.exchange(b'Z').await, eq("ZI"));
    let end = rows(&client, "SELECT count(*) FROM t").await.unwrap();
    expect_that!(end, elements_are![eq("2")]);
    let pools = proxy.context.groups()[0].pools();
    expect_that!(pools.iter().map(|pool| pool.in_use()).sum::<u32>(), eq(0));
}

/// The rest of an answer whose caller disconnected while reading it must not reach
/// the next caller. The member accepts one connection only, so that reusing it would
/// mix the two answers.
#[gtest]
#[tokio::test]
async fn a_partly_read_answer_does_not_reach_the_next_caller() {
    let settings = ClusterSettings {
        members: 1,
        member: BackendSettings {
            connection_limit: 1,
            ..BackendSettings::default()
        },
        ..ClusterSettings::default()
    };
    let (_cluster, proxy) = start(settings).await;
    let client = proxy.connect().await;
    let body = "x".repeat(5_000);
    let values: Vec<String> = (0..60).map(|id| format!("({id}, '{body}')")).collect();
    let insert = format!("INSERT INTO t VALUES {}", values.join(","));
    client
        .batch_execute("CREATE TABLE t (id int, body text)")
        .await
        .unwrap();
    client.batch_execute(&insert).await.unwrap();
    for round in 0..3 {
        let mut caller = RawCaller::connect(proxy.address.port(), GROUP).await;
        frontend::query("SELECT a.body FROM t a, t b", &mut caller.output).unwrap();
        caller.send().await;
        caller.frame().await;
        drop(caller);
        let text = format!("SELECT 'new-{round}'");
        let found = rows(&client, &text).await.unwrap();
        expect_that!(found, elements_are![eq(&format!("new-{round}"))]);
    }
}
