//! Sessions through the real listener with a PostgreSQL client.

#[path = "support/proxy.rs"]
mod proxy;

use googletest::prelude::*;
use proxy::{error_of, rows, start};
use standin::cluster::ClusterSettings;

/// Guards the whole path: log-in, simple and extended statements, a
/// transaction and an error.
#[gtest]
#[tokio::test]
async fn a_client_gets_right_answers() {
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
}
