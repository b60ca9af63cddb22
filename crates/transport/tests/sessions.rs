//! Sessions of a PostgreSQL client through the proxy's listener, with stand-in
//! backend servers.

#[path = "support/proxy.rs"]
mod proxy;

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use proxy::{connect, error_of, rows, start, wait_until, TestProxy, PRIMARY};
use standin::backend::BackendSettings;
use standin::cluster::{Cluster, ClusterSettings};
use tokio::time::sleep;
use tokio_postgres::{NoTls, SimpleQueryMessage};

/// Returns settings whose members take this long for each statement.
fn with_service_time(service_time: Duration) -> ClusterSettings {
    ClusterSettings {
        member: BackendSettings {
            service_time,
            ..BackendSettings::default()
        },
        ..ClusterSettings::default()
    }
}

/// Covers the request path end to end: log-in, simple and extended protocol, a
/// transaction, and an error of the database.
#[gtest]
#[tokio::test]
async fn statements_transactions_and_errors_are_answered() {
    let (_cluster, proxy) = start(ClusterSettings::default()).await;
    let mut client = proxy.connect().await;
    client
        .batch_execute("CREATE TABLE birds (id int primary key, name text)")
        .await
        .unwrap();
    let inserted = client
        .execute("INSERT INTO birds VALUES ($1, $2)", &[&1_i32, &"wren"])
        .await
        .unwrap();
    expect_that!(inserted, eq(1));
    let row = client
        .query_one("SELECT name FROM birds WHERE id = $1", &[&1_i32])
        .await
        .unwrap();
    expect_that!(row.get::<_, String>(0), eq("wren"));
    let transaction = client.transaction().await.unwrap();
    transaction
        .execute("INSERT INTO birds VALUES ($1, $2)", &[&2_i32, &"owl"])
        .await
        .unwrap();
    transaction.commit().await.unwrap();
    let error = client
        .execute("INSERT INTO birds VALUES (1, 'wren')", &[])
        .await
        .unwrap_err();
    expect_that!(error_of(&error).0.code(), eq("23505"));
    let names = rows(&client, "SELECT name FROM birds ORDER BY id").await;
    expect_that!(names.unwrap(), elements_are![eq("wren"), eq("owl")]);
    expect_that!(proxy.reads_at("replica"), gt(0));
}

/// A log-in with a wrong password, an unknown user or an unknown group must be
/// refused with its SQLSTATE.
#[gtest]
#[tokio::test]
async fn bad_log_ins_are_refused() {
    struct Case {
        user: &'static str,
        password: &'static str,
        group: &'static str,
        code: &'static str,
    }
    let (_cluster, proxy) = start(ClusterSettings::default()).await;
    for case in [
        Case {
            user: "app",
            password: "wrong",
            group: "group-0",
            code: "28P01",
        },
        Case {
            user: "nobody",
            password: "secret",
            group: "group-0",
            code: "28P01",
        },
        Case {
            user: "app",
            password: "secret",
            group: "group-9",
            code: "3D000",
        },
    ] {
        let mut config = proxy.config();
        config
            .user(case.user)
            .password(case.password)
            .dbname(case.group);
        let error = config.connect(NoTls).await.err().expect("refused");
        expect_that!(
            error_of(&error).0.code(),
            eq(case.code),
            "{} {}",
            case.user,
            case.group
        );
    }
}

/// Read-your-writes must hold at a second proxy, with and without a session token,
/// while every replica lags.
#[gtest]
#[tokio::test]
async fn a_session_sees_its_writes_at_another_proxy() {
    let cluster = Cluster::start(ClusterSettings::default()).await.unwrap();
    let stalest_class_first = |document: &mut state::document::IntentDocument| {
        // The default read class is the one that allows the longest staleness, so
        // that only the session bound can make a read fresh.
        document.read_class.reverse();
    };
    let first = TestProxy::start(&cluster, stalest_class_first).await;
    let second = TestProxy::start(&cluster, stalest_class_first).await;
    let writer = first.connect().await;
    writer
        .batch_execute("CREATE TABLE t (id int primary key)")
        .await
        .unwrap();
    for member in 1..3 {
        let address = standin::cluster::MemberAddress { group: 0, member };
        cluster
            .server(address)
            .unwrap()
            .set_apply_lag(Duration::from_millis(150));
    }
    for id in 0..10 {
        writer
            .batch_execute(&format!("INSERT INTO t VALUES ({id})"))
            .await
            .unwrap();
        let token = rows(&writer, "SHOW cassia.session_token")
            .await
            .unwrap()
            .remove(0);
        let mut with_token = second.config();
        with_token.options(format!("-c cassia.session_token={token}"));
        for config in [with_token, second.config()] {
            let reader = connect(&config).await;
            let found = rows(&reader, &format!("SELECT id FROM t WHERE id = {id}")).await;
            expect_that!(found.unwrap(), elements_are![eq(&id.to_string())]);
        }
        let own = rows(&writer, &format!("SELECT id FROM t WHERE id = {id}")).await;
        expect_that!(own.unwrap(), elements_are![eq(&id.to_string())]);
    }
}

/// A write whose connection is lost after it was sent must be reported as having an
/// unknown outcome.
#[gtest]
#[tokio::test]
async fn a_lost_write_is_unknown() {
    let (mut cluster, proxy) = start(with_service_time(Duration::from_millis(300))).await;
    let client = Arc::new(proxy.connect().await);
    client
        .batch_execute("CREATE TABLE t (id int)")
        .await
        .unwrap();
    let writer = client.clone();
    let write = tokio::spawn(async move { writer.batch_execute("INSERT INTO t VALUES (1)").await });
    sleep(Duration::from_millis(100)).await;
    cluster.stop_member(PRIMARY);
    let error = write.await.unwrap().unwrap_err();
    let (state, detail) = error_of(&error);
    expect_that!(state.code(), eq("08007"));
    expect_that!(detail, eq("cassia_code=2001"));
}

/// When the primary stops, an open transaction must be reported as lost; other
/// writes must wait for the new primary and then succeed.
#[gtest]
#[tokio::test]
async fn a_failover_ends_transactions_and_pauses_writes() {
    let (mut cluster, proxy) = start(ClusterSettings::default()).await;
    let client = proxy.connect().await;
    let waiting = proxy.connect().await;
    client
        .batch_execute("CREATE TABLE t (id int)")
        .await
        .unwrap();
    client
        .batch_execute("BEGIN; INSERT INTO t VALUES (1)")
        .await
        .unwrap();
    cluster.stop_member(PRIMARY);
    let error = client
        .batch_execute("INSERT INTO t VALUES (2)")
        .await
        .unwrap_err();
    expect_that!(error_of(&error).1, eq("cassia_code=2002"));
    // Until the caller ends the lost transaction, its statements must not run
    // outside a transaction.
    let error = client
        .batch_execute("INSERT INTO t VALUES (3)")
        .await
        .unwrap_err();
    expect_that!(error_of(&error).0.code(), eq("25P02"));
    client.batch_execute("ROLLBACK").await.unwrap();
    waiting
        .batch_execute("INSERT INTO t VALUES (4)")
        .await
        .unwrap();
    client
        .batch_execute("BEGIN; INSERT INTO t VALUES (5); COMMIT")
        .await
        .unwrap();
    let found = rows(&waiting, "SELECT id FROM t ORDER BY id")
        .await
        .unwrap();
    expect_that!(found, elements_are![eq("4"), eq("5")]);
}

/// A write that is sent twice with the same request id must run once, and both
/// attempts must get the same answer.
#[gtest]
#[tokio::test]
async fn a_request_id_runs_once() {
    let (_cluster, proxy) = start(ClusterSettings::default()).await;
    let client = proxy.connect().await;
    client
        .batch_execute("CREATE TABLE t (id int)")
        .await
        .unwrap();
    for _ in 0..2 {
        let messages = client
            .simple_query("/* cassia: request_id=mark-1 */ INSERT INTO t VALUES (1), (2)")
            .await
            .unwrap();
        let counts: Vec<u64> = messages
            .iter()
            .filter_map(|message| match message {
                SimpleQueryMessage::CommandComplete(count) => Some(*count),
                _ => None,
            })
            .collect();
        expect_that!(counts, elements_are![eq(&2)]);
        client
            .batch_execute("SET cassia.request_id = 'set-1'")
            .await
            .unwrap();
        let count = client.execute("INSERT INTO t VALUES ($1)", &[&3_i32]).await;
        expect_that!(count.unwrap(), eq(1));
    }
    let count = rows(&client, "SELECT count(*) FROM t").await.unwrap();
    expect_that!(count, elements_are![eq("3")]);
    // The write consumed the id, so the next write must not conflict with it.
    client
        .batch_execute("INSERT INTO t VALUES (4)")
        .await
        .unwrap();
    let outcome = rows(&client, "SHOW cassia.outcome").await.unwrap();
    expect_that!(outcome, elements_are![eq("committed INSERT 0 1")]);
}

/// After an outcome query has answered `not_run`, the delayed original write must
/// not run.
#[gtest]
#[tokio::test]
async fn a_blocked_id_never_runs() {
    let (_cluster, proxy) = start(ClusterSettings::default()).await;
    let client = proxy.connect().await;
    client
        .batch_execute("CREATE TABLE t (id int)")
        .await
        .unwrap();
    client
        .batch_execute("SET cassia.request_id = 'late'")
        .await
        .unwrap();
    for _ in 0..2 {
        let outcome = rows(&client, "SHOW cassia.outcome").await.unwrap();
        expect_that!(outcome, elements_are![eq("not_run")]);
    }
    let late = proxy.connect().await;
    let text = "/* cassia: request_id=late */ INSERT INTO t VALUES (1)";
    let error = late.batch_execute(text).await.unwrap_err();
    expect_that!(error_of(&error).1, eq("cassia_code=1011"));
    let count = rows(&late, "SELECT count(*) FROM t").await.unwrap();
    expect_that!(count, elements_are![eq("0")]);
}

/// The request id of a transaction must be recorded with its commit, so that a
/// second transaction with the id is refused.
#[gtest]
#[tokio::test]
async fn a_transaction_records_its_request_id() {
    let (_cluster, proxy) = start(ClusterSettings::default()).await;
    let mut client = proxy.connect().await;
    client
        .batch_execute("CREATE TABLE t (id int)")
        .await
        .unwrap();
    client
        .batch_execute("/* cassia: request_id=first */ INSERT INTO t VALUES (0)")
        .await
        .unwrap();
    client
        .batch_execute("SET cassia.request_id = 'tx-1'")
        .await
        .unwrap();
    let transaction = client.transaction().await.unwrap();
    transaction
        .execute("INSERT INTO t VALUES ($1)", &[&1_i32])
        .await
        .unwrap();
    transaction
        .execute("INSERT INTO t VALUES ($1)", &[&2_i32])
        .await
        .unwrap();
    transaction.commit().await.unwrap();
    let outcome = rows(&client, "SHOW cassia.outcome").await.unwrap();
    expect_that!(outcome, elements_are![eq("committed COMMIT")]);
    client
        .batch_execute("SET cassia.request_id = 'tx-1'")
        .await
        .unwrap();
    let transaction = client.transaction().await.unwrap();
    let error = transaction
        .execute("INSERT INTO t VALUES (3)", &[])
        .await
        .unwrap_err();
    expect_that!(error_of(&error).1, eq("cassia_code=3001"));
    transaction.rollback().await.unwrap();
    let count = rows(&client, "SELECT count(*) FROM t").await.unwrap();
    expect_that!(count, elements_are![eq("3")]);
}

/// The answer to a statement whose caller disconnected must not reach the next
/// caller on the same backend connection.
#[gtest]
#[tokio::test]
async fn an_abandoned_answer_does_not_reach_the_next_caller() {
    let settings = ClusterSettings {
        members: 1,
        member: BackendSettings {
            connection_limit: 1,
            ..BackendSettings::default()
        },
        ..ClusterSettings::default()
    };
    let (_cluster, proxy) = start(settings).await;
    for round in 0..10 {
        let mut config = proxy.config();
        config.application_name("abandons");
        let (abandoned, connection) = config.connect(NoTls).await.unwrap();
        let task = tokio::spawn(connection);
        let statement = tokio::spawn(async move {
            let _ = abandoned.simple_query("SELECT pg_sleep(0.05), 'old'").await;
        });
        sleep(Duration::from_millis(5 * round)).await;
        task.abort();
        statement.abort();
        let client = proxy.connect().await;
        let text = format!("SELECT 'new-{round}'");
        let found = rows(&client, &text).await.unwrap();
        expect_that!(found, elements_are![eq(&format!("new-{round}"))]);
    }
}

/// A prepared statement must work on every pooled connection, and equal names of
/// different callers must not collide.
#[gtest]
#[tokio::test]
async fn prepared_statements_follow_their_session() {
    let (_cluster, proxy) = start(ClusterSettings::default()).await;
    let mut clients = Vec::new();
    for index in 0..6_i32 {
        let client = proxy.connect().await;
        // The driver uses the same statement name, s0, in every session.
        let text = format!("SELECT $1::int, {index}");
        let statement = client.prepare(&text).await.unwrap();
        clients.push((client, statement, index));
    }
    for round in 0..5_i32 {
        let running = clients.iter().map(|(client, statement, index)| async move {
            let row = client.query_one(statement, &[&round]).await.unwrap();
            (row.get::<_, i32>(0), row.get::<_, i32>(1), *index)
        });
        for (echoed, constant, index) in futures::future::join_all(running).await {
            expect_that!(echoed, eq(round));
            expect_that!(constant, eq(index));
        }
    }
}

/// The state of a database session must persist within the caller's session and
/// must not be visible to later sessions.
#[gtest]
#[tokio::test]
async fn session_state_does_not_leak() {
    let (_cluster, proxy) = start(ClusterSettings::default()).await;
    let client = proxy.connect().await;
    client
        .batch_execute("SET search_path = 'mine'")
        .await
        .unwrap();
    let shown = rows(&client, "SHOW search_path").await.unwrap();
    expect_that!(shown, elements_are![eq("mine")]);
    drop(client);
    let pools = proxy.context.groups()[0].pools();
    expect_that!(
        wait_until(|| pools.iter().all(|pool| pool.in_use() == 0)).await,
        eq(true)
    );
    let other = proxy.connect().await;
    for text in ["BEGIN", "SHOW search_path", "COMMIT"] {
        let shown = rows(&other, text).await.unwrap();
        expect_that!(shown, not(contains(eq("mine"))), "{text}");
    }
}

/// A shutdown must end idle sessions at once and the others after their
/// transaction has ended.
#[gtest]
#[tokio::test]
async fn a_shutdown_drains() {
    let (_cluster, proxy) = start(ClusterSettings::default()).await;
    let busy = proxy.connect().await;
    let idle = proxy.connect().await;
    busy.batch_execute("CREATE TABLE t (id int)").await.unwrap();
    busy.batch_execute("BEGIN; INSERT INTO t VALUES (1)")
        .await
        .unwrap();
    proxy.shut_down();
    expect_that!(wait_until(|| idle.is_closed()).await, eq(true));
    busy.batch_execute("INSERT INTO t VALUES (2)")
        .await
        .unwrap();
    busy.batch_execute("COMMIT").await.unwrap();
    expect_that!(wait_until(|| busy.is_closed()).await, eq(true));
    expect_that!(wait_until(|| proxy.task.is_finished()).await, eq(true));
}

/// A cancel request must end the running statement, and the session must be usable
/// afterwards.
#[gtest]
#[tokio::test]
async fn a_statement_can_be_cancelled() {
    let (_cluster, proxy) = start(ClusterSettings::default()).await;
    let client = proxy.connect().await;
    let token = client.cancel_token();
    let cancel = tokio::spawn(async move {
        sleep(Duration::from_millis(100)).await;
        token.cancel_query(NoTls).await
    });
    let error = rows(&client, "SELECT pg_sleep(5)").await.unwrap_err();
    expect_that!(error_of(&error).0.code(), eq("57014"));
    cancel.await.unwrap().unwrap();
    let after = rows(&client, "SELECT 1").await.unwrap();
    expect_that!(after, elements_are![eq("1")]);
}

/// Statements that the proxy refuses must not run and must carry their result code.
#[gtest]
#[tokio::test]
async fn refusals_carry_their_result_codes() {
    struct Case {
        text: &'static str,
        detail: &'static str,
    }
    let (_cluster, proxy) = start(ClusterSettings::default()).await;
    let client = proxy.connect().await;
    client
        .batch_execute("CREATE TABLE t (id int)")
        .await
        .unwrap();
    for case in [
        Case { text: "COPY t FROM STDIN", detail: "cassia_code=1010" },
        Case { text: "SET cassia.session_token = 'x'", detail: "cassia_code=1006" },
        Case { text: "SET cassia.session_token = 'other:1:1'", detail: "cassia_code=1006" },
        Case { text: "SET cassia.unknown = 'x'", detail: "cassia_code=1008" },
        Case { text: "SHOW cassia.outcome", detail: "cassia_code=1008" },
        Case { text: "/* cassia: class=none */ SELECT 1", detail: "cassia_code=1008" },
        Case {
            text: "/* cassia: request_id=a */ BEGIN; INSERT INTO t VALUES (1); COMMIT; INSERT INTO t VALUES (2)",
            detail: "",
        },
        Case {
            text: "SET cassia.request_id = 'b'; INSERT INTO t VALUES (1)",
            detail: "cassia_code=1010",
        },
    ] {
        let Err(error) = client.batch_execute(case.text).await else {
            expect_that!(case.detail, eq(""), "{} was not refused", case.text);
            continue;
        };
        expect_that!(error_of(&error).1, eq(case.detail), "{}", case.text);
    }
    expect_that!(
        rows(&client, "SELECT 1").await.unwrap(),
        elements_are![eq("1")]
    );
}

/// Writes beyond a full queue must be refused with QueueFull and must not run.
#[gtest]
#[tokio::test]
async fn a_full_queue_refuses_writes() {
    let settings = ClusterSettings {
        members: 1,
        member: BackendSettings {
            slots: 1,
            service_time: Duration::from_millis(50),
            ..BackendSettings::default()
        },
        ..ClusterSettings::default()
    };
    let cluster = Cluster::start(settings).await.unwrap();
    let proxy = TestProxy::start(&cluster, |document| document.limits.queue_length = 2).await;
    let first = proxy.connect().await;
    first
        .batch_execute("CREATE TABLE t (id int)")
        .await
        .unwrap();
    let mut writes = Vec::new();
    for id in 0..12 {
        let client = proxy.connect().await;
        writes.push(tokio::spawn(async move {
            client
                .batch_execute(&format!("INSERT INTO t VALUES ({id})"))
                .await
        }));
    }
    let mut accepted = 0;
    for write in writes {
        match write.await.unwrap() {
            Ok(()) => accepted += 1,
            Err(error) => expect_that!(error_of(&error).1, eq("cassia_code=1001")),
        }
    }
    let count = rows(&first, "SELECT count(*) FROM t").await.unwrap();
    expect_that!(count, elements_are![eq(&accepted.to_string())]);
    expect_that!(accepted, lt(12));
}

/// An answer that exceeds the buffers must arrive complete, both from a write and
/// from a read.
#[gtest]
#[tokio::test]
async fn a_large_answer_is_streamed() {
    let (_cluster, proxy) = start(ClusterSettings::default()).await;
    let client = proxy.connect().await;
    let text = "x".repeat(5_000);
    let values: Vec<String> = (0..600).map(|id| format!("({id}, '{text}')")).collect();
    client
        .batch_execute("CREATE TABLE t (id int, body text)")
        .await
        .unwrap();
    let insert = format!(
        "INSERT INTO t VALUES {} RETURNING id, body",
        values.join(",")
    );
    let returned = client.query(&insert, &[]).await.unwrap();
    expect_that!(returned.len(), eq(600));
    let found = client.query("SELECT id, body FROM t", &[]).await.unwrap();
    expect_that!(found.len(), eq(600));
    expect_that!(
        found.iter().all(|row| row.get::<_, String>(1) == text),
        eq(true)
    );
}

/// A statement that the proxy refuses must fail its transaction, so that a caller
/// that ignores the error cannot commit the rest.
#[gtest]
#[tokio::test]
async fn a_refusal_fails_its_transaction() {
    let (_cluster, proxy) = start(ClusterSettings::default()).await;
    let client = proxy.connect().await;
    client
        .batch_execute("CREATE TABLE t (id int)")
        .await
        .unwrap();
    client
        .batch_execute("BEGIN; INSERT INTO t VALUES (1)")
        .await
        .unwrap();
    let error = client.batch_execute("COPY t FROM STDIN").await.unwrap_err();
    expect_that!(error_of(&error).1, eq("cassia_code=1010"));
    let error = client
        .batch_execute("INSERT INTO t VALUES (2)")
        .await
        .unwrap_err();
    expect_that!(error_of(&error).0.code(), eq("25P02"));
    client.batch_execute("COMMIT").await.unwrap();
    let count = rows(&client, "SELECT count(*) FROM t").await.unwrap();
    expect_that!(count, elements_are![eq("0")]);
}

/// A read on a connection that no longer responds must be retried on another
/// connection, provided that the server answers new connections.
#[gtest]
#[tokio::test]
async fn a_silent_connection_is_replaced() {
    let settings = ClusterSettings {
        use_relays: true,
        ..ClusterSettings::default()
    };
    let (cluster, proxy) = start(settings).await;
    let client = proxy.connect().await;
    client
        .batch_execute("SET cassia.deadline_ms = 1000")
        .await
        .unwrap();
    for _ in 0..5 {
        rows(&client, "SELECT 1").await.unwrap();
    }
    for member in 0..3 {
        let address = standin::cluster::MemberAddress { group: 0, member };
        cluster.relays(address).unwrap().statements.silence();
    }
    let found = rows(&client, "SELECT 2").await.unwrap();
    expect_that!(found, elements_are![eq("2")]);
}

/// Commits at a primary that no replica follows any more must not be acknowledged,
/// although the proxy can still send statements to it.
#[gtest]
#[tokio::test]
async fn a_superseded_primary_acknowledges_nothing() {
    let settings = ClusterSettings {
        use_relays: true,
        ..ClusterSettings::default()
    };
    let (cluster, proxy) = start(settings).await;
    let client = proxy.connect().await;
    client
        .batch_execute("CREATE TABLE t (id int)")
        .await
        .unwrap();
    let open = proxy.connect().await;
    open.batch_execute("BEGIN; INSERT INTO t VALUES (-1)")
        .await
        .unwrap();
    let relays = cluster.relays(PRIMARY).unwrap();
    relays.replication.set_cut(true);
    relays.control.set_cut(true);
    sleep(Duration::from_millis(50)).await;
    let error = open.batch_execute("COMMIT").await.unwrap_err();
    expect_that!(error_of(&error).1, eq("cassia_code=2001"));
    let mut acknowledged = Vec::new();
    for id in 0..10 {
        let text = format!("INSERT INTO t VALUES ({id})");
        match client.batch_execute(&text).await {
            Ok(()) => acknowledged.push(id.to_string()),
            Err(error) => expect_that!(error_of(&error).1, eq("cassia_code=2001")),
        }
    }
    expect_that!(acknowledged.len(), gt(0));
    let found = rows(&client, "SELECT id FROM t ORDER BY id").await.unwrap();
    expect_that!(found, eq(&acknowledged));
}

/// Guards against a purge that deletes request ids within the retention time, or
/// that deletes none.
#[gtest]
#[tokio::test]
async fn a_purge_deletes_only_old_request_ids() {
    let (_cluster, proxy) = start(ClusterSettings::default()).await;
    let client = proxy.connect().await;
    client
        .batch_execute("CREATE TABLE birds (id int primary key, name text)")
        .await
        .unwrap();
    client
        .batch_execute("/* cassia: request_id=new-1 */ INSERT INTO birds VALUES (1, 'wren')")
        .await
        .unwrap();
    let old = "INSERT INTO cassia_requests (id, state, recorded_at) \
               VALUES ('old-1', 'blocked', '2020-01-01 00:00:00')";
    client.batch_execute(old).await.unwrap();
    let retention = std::time::Duration::from_secs(604_800);
    let purge = coordination::request_record::purge_sql(retention);
    let deleted = client.execute(purge.as_str(), &[]).await.unwrap();
    expect_that!(deleted, eq(1));
    let left = rows(&client, "SELECT id FROM cassia_requests").await;
    expect_that!(left.unwrap(), elements_are![eq("new-1")]);
}
