//! Tests of the statement port of a backend server: types, transactions,
//! SQLSTATEs, the position query, slots and limits.

mod support;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use standin::backend::BackendSettings;
use standin::cluster::{Cluster, ClusterSettings};
use tokio_postgres::{Client, SimpleQueryMessage};

use support::{connect, member, read_names, simple_rows, sqlstate, start_cluster, try_connect};

const POSITION_QUERY: &str = "SELECT role, term, \"offset\" FROM cassia_position";

async fn single_member(settings: BackendSettings) -> Cluster {
    start_cluster(ClusterSettings {
        members: 1,
        member: settings,
        ..ClusterSettings::default()
    })
    .await
}

async fn create_birds_table(cluster: &Cluster) -> Client {
    let client = connect(cluster, member(0)).await;
    client
        .batch_execute("CREATE TABLE birds (id int8 PRIMARY KEY, name text NOT NULL, count int4, rare bool, weight float8)")
        .await
        .unwrap();
    client
}

/// Fails if the extended protocol changes the value or type of a parameter or
/// result.
#[tokio::test]
async fn typed_values_round_trip() {
    let cluster = single_member(BackendSettings::default()).await;
    let client = create_birds_table(&cluster).await;
    let inserted = client
        .query_one(
            "INSERT INTO birds (id, name, count, rare, weight) VALUES ($1, $2, $3, $4, $5) RETURNING id, rare",
            &[&7_i64, &"wren", &3_i32, &true, &0.25_f64],
        )
        .await
        .unwrap();
    assert_that!(inserted.get::<_, i64>(0), eq(7));
    assert_that!(inserted.get::<_, bool>("rare"), eq(true));
    let row = client
        .query_one(
            "SELECT id, name, count, rare, weight, count + 1 AS more, count(*) AS total, $2::int8 AS given \
             FROM birds WHERE id = $1 AND rare = $3",
            &[&7_i64, &9_i64, &true],
        )
        .await
        .unwrap();
    assert_that!(row.get::<_, &str>("name"), eq("wren"));
    assert_that!(row.get::<_, i32>("count"), eq(3));
    assert_that!(row.get::<_, f64>("weight"), eq(0.25));
    assert_that!(row.get::<_, i32>("more"), eq(4));
    assert_that!(row.get::<_, i64>("total"), eq(1));
    assert_that!(row.get::<_, i64>("given"), eq(9));
    let changed = client
        .execute(
            "UPDATE birds SET count = count + $1, weight = $2 WHERE id IN ($3)",
            &[&2_i32, &Option::<f64>::None, &7_i64],
        )
        .await
        .unwrap();
    assert_that!(changed, eq(1));
    let row = client
        .query_one(
            "SELECT max(count), weight IS NULL FROM birds LIMIT $1",
            &[&1_i64],
        )
        .await
        .unwrap();
    assert_that!(row.get::<_, i32>(0), eq(5));
    assert_that!(row.get::<_, bool>(1), eq(true));
}

/// Fails if the simple protocol formats values differently from PostgreSQL.
#[tokio::test]
async fn simple_query_returns_text() {
    let cluster = single_member(BackendSettings::default()).await;
    let client = create_birds_table(&cluster).await;
    client
        .batch_execute("INSERT INTO birds VALUES (1, 'it''s; a wren', 2, true, NULL)")
        .await
        .unwrap();
    let rows = simple_rows(
        &client,
        "/* mark; */ SELECT id, name, rare, weight FROM public.birds -- end",
    )
    .await;
    let text = |value: &str| Some(value.to_owned());
    assert_that!(
        rows,
        elements_are![eq(&vec![text("1"), text("it's; a wren"), text("t"), None])]
    );
}

struct FailureCase {
    statement: &'static str,
    code: &'static str,
}

/// Fails if an error has another SQLSTATE than in PostgreSQL.
#[tokio::test]
async fn errors_have_the_sqlstate_of_postgresql() {
    const CASES: [FailureCase; 7] = [
        FailureCase {
            statement: "INSERT INTO birds (id, name) VALUES (1, 'owl')",
            code: "23505",
        },
        FailureCase {
            statement: "INSERT INTO birds (id) VALUES (2)",
            code: "23502",
        },
        FailureCase {
            statement: "SELEC 1",
            code: "42601",
        },
        FailureCase {
            statement: "SELECT * FROM missing",
            code: "42P01",
        },
        FailureCase {
            statement: "SELECT missing FROM birds",
            code: "42703",
        },
        FailureCase {
            statement: "CREATE TABLE birds (id int8)",
            code: "42P07",
        },
        FailureCase {
            statement: "SHOW no_such_setting",
            code: "42704",
        },
    ];
    let cluster = single_member(BackendSettings::default()).await;
    let client = create_birds_table(&cluster).await;
    client
        .batch_execute("INSERT INTO birds (id, name) VALUES (1, 'wren')")
        .await
        .unwrap();
    for case in CASES {
        let simple = client.batch_execute(case.statement).await.unwrap_err();
        assert_sqlstate(case.statement, &simple, case.code);
        let extended = client.execute(case.statement, &[]).await.unwrap_err();
        assert_sqlstate(case.statement, &extended, case.code);
    }
    assert_that!(read_names(&cluster, member(0)).await, len(eq(1)));
}

fn assert_sqlstate(statement: &str, error: &tokio_postgres::Error, code: &str) {
    assert_eq!(sqlstate(error), code, "{statement}: {error}");
}

/// Fails if a conflicting INSERT with ON CONFLICT DO NOTHING changes the row or
/// returns one. Such an INSERT could then not record a request id before the
/// request runs.
#[tokio::test]
async fn conflicting_insert_does_nothing() {
    let cluster = single_member(BackendSettings::default()).await;
    let client = create_birds_table(&cluster).await;
    let text = "INSERT INTO birds (id, name) VALUES ($1, $2) ON CONFLICT DO NOTHING RETURNING id";
    let first = client.query(text, &[&1_i64, &"wren"]).await.unwrap();
    let second = client.query(text, &[&1_i64, &"owl"]).await.unwrap();
    assert_that!(first, len(eq(1)));
    assert_that!(second, len(eq(0)));
    assert_that!(
        read_names(&cluster, member(0)).await,
        elements_are![eq("wren")]
    );
}

/// Fails if a reader sees an uncommitted write, or if the transaction of a closed
/// connection is not rolled back.
#[tokio::test]
async fn open_transactions_are_invisible_and_roll_back() {
    let cluster = single_member(BackendSettings::default()).await;
    let reader = create_birds_table(&cluster).await;
    let writer = connect(&cluster, member(0)).await;
    writer
        .batch_execute("BEGIN; INSERT INTO birds (id, name) VALUES (1, 'wren')")
        .await
        .unwrap();
    let own = simple_rows(&writer, "SELECT id FROM birds").await;
    assert_that!(own, len(eq(1)));
    assert_that!(
        simple_rows(&reader, "SELECT id FROM birds").await,
        len(eq(0))
    );
    drop(writer);
    // This write waits for the write lock, which the rollback releases.
    reader
        .batch_execute("INSERT INTO birds (id, name) VALUES (1, 'owl')")
        .await
        .unwrap();
    assert_that!(
        read_names(&cluster, member(0)).await,
        elements_are![eq("owl")]
    );
}

/// Fails if a failed transaction accepts statements or commits.
#[tokio::test]
async fn failed_transaction_refuses_statements() {
    let cluster = single_member(BackendSettings::default()).await;
    let client = create_birds_table(&cluster).await;
    client
        .batch_execute("BEGIN; INSERT INTO birds (id, name) VALUES (1, 'wren')")
        .await
        .unwrap();
    client
        .batch_execute("SELECT * FROM missing")
        .await
        .unwrap_err();
    let refused = client.batch_execute("SELECT 1").await.unwrap_err();
    assert_that!(sqlstate(&refused), eq("25P02"));
    client.batch_execute("COMMIT").await.unwrap();
    assert_that!(read_names(&cluster, member(0)).await, is_empty());
}

/// Fails if a rollback to a savepoint does not keep the earlier writes, or if
/// replicas do not replay the savepoint.
#[tokio::test]
async fn rollback_to_savepoint_keeps_earlier_writes() {
    let cluster = start_cluster(ClusterSettings::default()).await;
    let client = create_birds_table(&cluster).await;
    client
        .batch_execute("BEGIN; INSERT INTO birds (id, name) VALUES (1, 'wren'); SAVEPOINT one")
        .await
        .unwrap();
    client
        .batch_execute("INSERT INTO birds (id, name) VALUES (1, 'owl')")
        .await
        .unwrap_err();
    client
        .batch_execute(
            "ROLLBACK TO SAVEPOINT one; INSERT INTO birds (id, name) VALUES (2, 'kite'); COMMIT",
        )
        .await
        .unwrap();
    let position = cluster.server(member(0)).unwrap().report().log;
    support::wait_until("the replica applies the transaction", || {
        cluster.server(member(1)).unwrap().report().applied == position
    })
    .await;
    for index in 0..2 {
        let names = read_names(&cluster, member(index)).await;
        assert_that!(names, elements_are![eq("wren"), eq("kite")]);
    }
}

/// Fails if a query of several statements keeps the writes of one statement after
/// another one failed.
#[tokio::test]
async fn multi_statement_query_is_one_transaction() {
    let cluster = single_member(BackendSettings::default()).await;
    let client = create_birds_table(&cluster).await;
    client
        .batch_execute(
            "INSERT INTO birds (id, name) VALUES (1, 'wren'); INSERT INTO birds (id, name) VALUES (1, 'owl')",
        )
        .await
        .unwrap_err();
    assert_that!(read_names(&cluster, member(0)).await, is_empty());
}

/// Fails if a replica runs a write or refuses it with another SQLSTATE than 25006.
#[tokio::test]
async fn replica_refuses_writes() {
    let cluster = start_cluster(ClusterSettings::default()).await;
    let client = connect(&cluster, member(1)).await;
    let error = client
        .batch_execute("CREATE TABLE birds (id int8)")
        .await
        .unwrap_err();
    assert_that!(sqlstate(&error), eq("25006"));
    assert_that!(cluster.server(member(1)).unwrap().statement_count(), eq(0));
}

/// Fails if a position query that is pipelined with a COMMIT does not return the
/// role, the term and the offset after the commit.
#[tokio::test]
async fn position_query_includes_the_preceding_commit() {
    let cluster = start_cluster(ClusterSettings::default()).await;
    let client = create_birds_table(&cluster).await;
    client
        .batch_execute("BEGIN; INSERT INTO birds (id, name) VALUES (1, 'wren')")
        .await
        .unwrap();
    let (commit, position) = tokio::join!(
        client.simple_query("COMMIT"),
        client.simple_query(POSITION_QUERY)
    );
    commit.unwrap();
    let fields: Vec<String> = position
        .unwrap()
        .iter()
        .filter_map(|message| match message {
            SimpleQueryMessage::Row(row) => Some(row),
            _ => None,
        })
        .flat_map(|row| (0..row.len()).map(|index| row.get(index).unwrap().to_owned()))
        .collect();
    // Three entries: the bootstrap promotion, CREATE TABLE and the insert.
    assert_that!(fields, elements_are![eq("primary"), eq("1"), eq("3")]);
    support::wait_until("the replica applies the insert", || {
        cluster.server(member(1)).unwrap().report().applied.offset == 3
    })
    .await;
    let replica = connect(&cluster, member(1)).await;
    let row = replica.query_one(POSITION_QUERY, &[]).await.unwrap();
    assert_that!(row.get::<_, &str>(0), eq("replica"));
    assert_that!(row.get::<_, i64>(1), eq(1));
    assert_that!(row.get::<_, i64>("offset"), eq(3));
}

/// Fails if more statements than there are slots execute at the same time, or if
/// the position query waits for a slot.
#[tokio::test]
async fn slots_limit_concurrent_statements() {
    let cluster = single_member(BackendSettings {
        slots: 2,
        ..BackendSettings::default()
    })
    .await;
    let start = Instant::now();
    let mut sleepers = Vec::new();
    for _ in 0..4 {
        let client = connect(&cluster, member(0)).await;
        sleepers.push(tokio::spawn(async move {
            client
                .query("SELECT pg_sleep($1)", &[&0.3_f64])
                .await
                .unwrap();
        }));
    }
    let client = connect(&cluster, member(0)).await;
    client.query_one(POSITION_QUERY, &[]).await.unwrap();
    assert_that!(start.elapsed(), lt(Duration::from_millis(290)));
    for sleeper in sleepers {
        sleeper.await.unwrap();
    }
    assert_that!(start.elapsed(), ge(Duration::from_millis(600)));
    assert_that!(start.elapsed(), lt(Duration::from_millis(1_100)));
}

/// Fails if writers that wait for the write lock occupy slots. They could occupy
/// all of them, and the holder of the lock could not commit.
#[tokio::test]
async fn waiting_writers_occupy_no_slot() {
    let cluster = single_member(BackendSettings {
        slots: 1,
        ..BackendSettings::default()
    })
    .await;
    let holder = create_birds_table(&cluster).await;
    holder
        .batch_execute("BEGIN; INSERT INTO birds (id, name) VALUES (1, 'wren')")
        .await
        .unwrap();
    let waiting = connect(&cluster, member(0)).await;
    let write = tokio::spawn(async move {
        waiting
            .batch_execute("INSERT INTO birds (id, name) VALUES (2, 'owl')")
            .await
    });
    tokio::time::sleep(Duration::from_millis(50)).await;
    holder
        .batch_execute("INSERT INTO birds (id, name) VALUES (3, 'kite'); COMMIT")
        .await
        .unwrap();
    write.await.unwrap().unwrap();
    assert_that!(read_names(&cluster, member(0)).await, len(eq(3)));
}

/// Fails if a statement does not occupy its slot for the service time.
#[tokio::test]
async fn statement_occupies_its_slot_for_the_service_time() {
    let cluster = single_member(BackendSettings {
        slots: 1,
        service_time: Duration::from_millis(50),
        ..BackendSettings::default()
    })
    .await;
    let first = connect(&cluster, member(0)).await;
    let second = connect(&cluster, member(0)).await;
    let start = Instant::now();
    let (left, right) = tokio::join!(
        first.simple_query("SELECT 1"),
        second.simple_query("SELECT 1")
    );
    left.unwrap();
    right.unwrap();
    assert_that!(start.elapsed(), ge(Duration::from_millis(100)));
}

/// Fails if a connection above the limit is accepted, or if a closed connection
/// still counts towards the limit.
#[tokio::test]
async fn connections_above_the_limit_are_refused() {
    let cluster = single_member(BackendSettings {
        connection_limit: 2,
        ..BackendSettings::default()
    })
    .await;
    let first = connect(&cluster, member(0)).await;
    let _second = connect(&cluster, member(0)).await;
    let error = try_connect(&cluster, member(0)).await.err().unwrap();
    assert_that!(sqlstate(&error), eq("53300"));
    drop(first);
    support::wait_until("the first connection is closed", || {
        cluster.server(member(0)).unwrap().connection_count() == 1
    })
    .await;
    connect(&cluster, member(0)).await;
}

/// Fails if a new connection is accepted without the delay, which would hide the
/// cost of working without a connection pool.
#[tokio::test]
async fn new_connection_is_delayed() {
    let cluster = single_member(BackendSettings {
        connection_delay: Duration::from_millis(80),
        ..BackendSettings::default()
    })
    .await;
    let start = Instant::now();
    connect(&cluster, member(0)).await;
    assert_that!(start.elapsed(), ge(Duration::from_millis(80)));
}

/// Fails if a cancel request does not end a sleeping statement.
#[tokio::test]
async fn cancel_ends_a_statement() {
    let cluster = single_member(BackendSettings::default()).await;
    let client = connect(&cluster, member(0)).await;
    let token = client.cancel_token();
    let sleeping = tokio::spawn(async move { client.simple_query("SELECT pg_sleep(30)").await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    token.cancel_query(tokio_postgres::NoTls).await.unwrap();
    let result = tokio::time::timeout(Duration::from_secs(5), sleeping).await;
    let error = result.unwrap().unwrap().unwrap_err();
    assert_that!(sqlstate(&error), eq("57014"));
}

/// Fails if variables or prepared statements remain after DISCARD ALL, with which
/// connection pools reset a connection.
#[tokio::test]
async fn discard_all_clears_variables_and_statements() {
    let cluster = single_member(BackendSettings::default()).await;
    let client = connect(&cluster, member(0)).await;
    client
        .batch_execute("SET cassia_test.mark = 'two'; SET unknown_setting TO 5; RESET other")
        .await
        .unwrap();
    let shown = simple_rows(&client, "SHOW cassia_test.mark").await;
    assert_that!(shown, elements_are![eq(&vec![Some("two".to_owned())])]);
    let prepared = client.prepare("SELECT 1").await.unwrap();
    client.batch_execute("DISCARD ALL").await.unwrap();
    let error = client.query(&prepared, &[]).await.unwrap_err();
    assert_that!(sqlstate(&error), eq("26000"));
    let error = client
        .batch_execute("SHOW cassia_test.mark")
        .await
        .unwrap_err();
    assert_that!(sqlstate(&error), eq("42704"));
    let process = client
        .query_one("SELECT pg_backend_pid()", &[])
        .await
        .unwrap();
    assert_that!(process.get::<_, i32>(0), gt(0));
}

/// Fails if the current time that a write stores differs between members.
#[tokio::test]
async fn time_of_a_write_is_replayed() {
    let cluster = start_cluster(ClusterSettings::default()).await;
    let client = connect(&cluster, member(0)).await;
    client
        .batch_execute(
            "CREATE TABLE events (id int8, at timestamptz NOT NULL DEFAULT now()); \
             INSERT INTO events VALUES (1, now()), (2, current_timestamp); \
             INSERT INTO events (id) VALUES (3)",
        )
        .await
        .unwrap();
    let position = cluster.server(member(0)).unwrap().report().log;
    support::wait_until("the replica applies the insert", || {
        cluster.server(member(1)).unwrap().report().applied == position
    })
    .await;
    let replica = connect(&cluster, member(1)).await;
    let query = "SELECT at FROM events ORDER BY id";
    let expected = simple_rows(&client, query).await;
    assert_that!(expected, len(eq(3)));
    // A time from SQLite's own CURRENT_TIMESTAMP would have no time zone and no
    // milliseconds.
    for row in &expected {
        assert_that!(row[0], some(ends_with("+00")));
    }
    assert_that!(simple_rows(&replica, query).await, eq(&expected));
    let recent = "SELECT id FROM events WHERE at > now() - interval '7 days' AND at <= now()";
    assert_that!(simple_rows(&client, recent).await, len(eq(3)));
    let old = client
        .execute(
            "DELETE FROM events WHERE at < now() - interval '7 days'",
            &[],
        )
        .await;
    assert_that!(old.unwrap(), eq(0));
}
