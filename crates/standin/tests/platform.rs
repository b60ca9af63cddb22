//! The services of the stand-in platform and its injected faults.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use reqwest::{Client, Response, StatusCode};
use standin::platform::{PlatformFaults, PlatformServer};
use transport::services::{HostEntry, HostState, TableRow, WriteAnswer};

struct PlatformClient {
    client: Client,
    base: String,
}

impl PlatformClient {
    async fn start() -> (PlatformServer, Self) {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let server = PlatformServer::start(address).await.unwrap();
        let base = format!("http://{}", server.address());
        let client = Client::builder()
            .timeout(Duration::from_millis(400))
            .build()
            .unwrap();
        (server, Self { client, base })
    }

    async fn get(&self, path: &str) -> reqwest::Result<Response> {
        self.client.get(format!("{}{path}", self.base)).send().await
    }

    async fn put(&self, path: &str, body: &str) -> reqwest::Result<Response> {
        self.client
            .put(format!("{}{path}", self.base))
            .body(body.to_owned())
            .send()
            .await
    }

    async fn put_json<T: serde::Serialize>(&self, path: &str, body: &T) -> Response {
        self.client
            .put(format!("{}{path}", self.base))
            .json(body)
            .send()
            .await
            .unwrap()
    }
}

fn row(revision: u64, value: &str) -> TableRow {
    TableRow {
        revision,
        value: value.to_owned(),
    }
}

/// Fails when two writers with the same expected revision both succeed.
#[tokio::test]
async fn conditional_write_has_one_winner() {
    let (_server, client) = PlatformClient::start().await;
    let absent: TableRow = client
        .get("/table/lease/g")
        .await
        .unwrap()
        .json()
        .await
        .unwrap();
    assert_that!(absent, eq(&row(0, "")));
    let first = client
        .put("/table/lease/g?expected=0", "one")
        .await
        .unwrap();
    let answer: WriteAnswer = first.json().await.unwrap();
    assert_that!(answer, eq(&WriteAnswer::Written { revision: 1 }));
    let second = client
        .put("/table/lease/g?expected=0", "two")
        .await
        .unwrap();
    let answer: WriteAnswer = second.json().await.unwrap();
    assert_that!(answer, eq(&WriteAnswer::Conflict { row: row(1, "one") }));
    let found: TableRow = client
        .get("/table/lease/g")
        .await
        .unwrap()
        .json()
        .await
        .unwrap();
    assert_that!(found, eq(&row(1, "one")));
}

/// Fails when an object can be overwritten.
#[tokio::test]
async fn objects_are_written_once() {
    let (_server, client) = PlatformClient::start().await;
    let missing = client.get("/object/config/1").await.unwrap();
    assert_that!(missing.status(), eq(StatusCode::NOT_FOUND));
    let cases = [("one", StatusCode::CREATED), ("two", StatusCode::CONFLICT)];
    for (body, status) in cases {
        let answer = client.put("/object/config/1", body).await.unwrap();
        assert_that!(answer.status(), eq(status));
    }
    let body = client.get("/object/config/1").await.unwrap().text().await;
    assert_that!(body.unwrap(), eq("one"));
}

/// Fails when a request whose answer is lost has no effect.
#[tokio::test]
async fn lost_answer_keeps_the_effect() {
    let (server, client) = PlatformClient::start().await;
    let faults = PlatformFaults {
        lose_answers: true,
        ..PlatformFaults::default()
    };
    client.put_json("/fault", &faults).await;
    let start = Instant::now();
    let lost = client.put("/table/config/head?expected=0", "one").await;
    assert_that!(lost.is_err(), eq(true));
    assert_that!(start.elapsed(), lt(Duration::from_millis(300)));
    assert_that!(server.row("config/head"), eq(&row(1, "one")));
    let lost = client.put("/object/config/1", "body").await;
    assert_that!(lost.is_err(), eq(true));
    assert_that!(server.object("config/1"), some(eq("body")));
    server.set_faults(PlatformFaults::default());
    let found = client.get("/table/config/head").await.unwrap();
    assert_that!(found.json::<TableRow>().await.unwrap(), eq(&row(1, "one")));
}

/// Fails when a platform that is down answers requests or executes them.
#[tokio::test]
async fn down_platform_does_not_answer() {
    let (server, client) = PlatformClient::start().await;
    server.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    let error = client
        .put("/table/key?expected=0", "one")
        .await
        .unwrap_err();
    assert_that!(error.is_timeout(), eq(true));
    let restored = client.put_json("/fault", &PlatformFaults::default()).await;
    assert_that!(restored.status(), eq(StatusCode::NO_CONTENT));
    assert_that!(server.row("key").revision, eq(0));
    client.get("/table/key").await.unwrap();
}

/// Fails when the platform answers before the injected delay has passed.
#[tokio::test]
async fn slow_platform_answers_late() {
    let (server, client) = PlatformClient::start().await;
    server.set_faults(PlatformFaults {
        delay_ms: 100,
        ..PlatformFaults::default()
    });
    let start = Instant::now();
    client.get("/hosts").await.unwrap();
    assert_that!(start.elapsed(), ge(Duration::from_millis(100)));
}

/// Fails when a change of the host list is visible before the injected lag has
/// passed, or not after it.
#[tokio::test]
async fn host_list_lags() {
    let (server, client) = PlatformClient::start().await;
    let entry = |state| {
        vec![HostEntry {
            name: "entry-0".to_owned(),
            state,
        }]
    };
    client.put_json("/hosts", &entry(HostState::Live)).await;
    tokio::time::sleep(Duration::from_millis(250)).await;
    server.set_faults(PlatformFaults {
        host_lag_ms: 200,
        ..PlatformFaults::default()
    });
    client.put_json("/hosts", &entry(HostState::Leaving)).await;
    let early: Vec<HostEntry> = client.get("/hosts").await.unwrap().json().await.unwrap();
    assert_that!(early, eq(&entry(HostState::Live)));
    tokio::time::sleep(Duration::from_millis(220)).await;
    let late: Vec<HostEntry> = client.get("/hosts").await.unwrap().json().await.unwrap();
    assert_that!(late, eq(&entry(HostState::Leaving)));
}
