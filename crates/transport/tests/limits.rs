//! Backend servers that accept fewer connections than the document allows.

use googletest::prelude::*;
use standin::backend::BackendSettings;
use standin::cluster::{ClusterSettings, MemberAddress};
use standin::site::{Site, SiteSettings};
use std::time::Duration;

/// Number of connections that each backend server accepts.
const ACCEPTED_CONNECTIONS: usize = 3;
/// Connection limit of each member in the document.
const DOCUMENT_LIMIT: u64 = 20;
const CALLERS: usize = 12;
const STATEMENTS: usize = 5;

/// Guards against two consequences of a connection that a member refuses at its
/// limit: a failed statement, and a member that counts as down.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_refusal_at_the_limit_fails_no_statement() {
    let settings = SiteSettings {
        cluster: ClusterSettings {
            member: BackendSettings {
                slots: 8,
                connection_limit: ACCEPTED_CONNECTIONS,
                service_time: Duration::from_millis(10),
                ..BackendSettings::default()
            },
            ..ClusterSettings::default()
        },
        entry_hosts: 1,
        ..SiteSettings::default()
    };
    let site = Site::start(settings, |document| {
        for member in &mut document.group[0].member {
            member.connection_limit = DOCUMENT_LIMIT;
        }
    });
    let site = site.await.unwrap();
    let client = site.connect(0, "group-0", None).await.unwrap();
    let create = "CREATE TABLE birds (id int primary key)";
    client.batch_execute(create).await.unwrap();
    let mut tasks = Vec::new();
    for caller in 0..CALLERS {
        let client = site.connect(0, "group-0", None).await.unwrap();
        tasks.push(tokio::spawn(async move {
            for number in 0..STATEMENTS {
                let id = caller * STATEMENTS + number;
                let insert = format!("INSERT INTO birds VALUES ({id})");
                client.batch_execute(&insert).await?;
            }
            Ok::<(), tokio_postgres::Error>(())
        }));
    }
    for task in tasks {
        let answer = task.await.unwrap();
        expect_that!(answer.is_ok(), eq(true), "{answer:?}");
    }
    // Waiting for a connection must not count as a failed attempt.
    let metrics = site.daemons[0].as_ref().unwrap().metrics().render();
    let retries: Vec<&str> = metrics
        .lines()
        .filter(|line| line.starts_with("cassia_retries_total") && !line.ends_with(" 0"))
        .collect();
    expect_that!(retries, is_empty());
    let primary = MemberAddress {
        group: 0,
        member: 0,
    };
    let server = site.cluster.server(primary).unwrap();
    expect_that!(server.connection_count(), le(ACCEPTED_CONNECTIONS));
    expect_that!(server.report().promised_term.0, eq(1), "no failover");
}
