//! Guards against accepted versions that are lost, reverted or overwritten when
//! operators publish concurrently and responses of the store are lost.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use cassiactl::archive::{DocumentArchive, PublishAnswer};
use googletest::prelude::*;
use protocol::peer::DocumentVersion;
use standin::platform::{PlatformFaults, PlatformServer};
use state::document::IntentDocument;
use transport::platform::PlatformClient;

const FERNWAKE: &str = include_str!("../../../docs/examples/fernwake.toml");
const LOSE_ANSWERS: PlatformFaults = PlatformFaults {
    down: false,
    delay_ms: 0,
    lose_answers: true,
    host_lag_ms: 0,
};

type Archive = DocumentArchive<PlatformClient, PlatformClient>;

async fn start_platform() -> PlatformServer {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    PlatformServer::start(address)
        .await
        .expect("loopback has a free port")
}

fn open_archive(platform: &PlatformServer) -> Archive {
    let client = PlatformClient::new(platform.address(), Duration::from_millis(300));
    DocumentArchive::new(client.clone(), client)
}

/// Returns a document that holds `number` as its queue length, so that tests
/// can tell versions apart.
fn document_with_number(number: u64) -> IntentDocument {
    let mut document = IntentDocument::parse(FERNWAKE).expect("the example is valid");
    document.limits.queue_length = number;
    document
}

async fn publish_next(archive: &Archive, number: u64) -> PublishAnswer {
    let head = archive.load_head().await;
    let base = match head {
        Ok(head) => head.map(|head| head.version).unwrap_or_default(),
        Err(_) => return PublishAnswer::Unavailable,
    };
    archive.publish(&base, &document_with_number(number)).await
}

#[gtest]
#[tokio::test]
async fn every_accepted_version_stays_readable() {
    // More than the number of digests that the head row holds.
    const VERSIONS: u64 = 20;
    let platform = start_platform().await;
    let archive = open_archive(&platform);
    for number in 1..=VERSIONS {
        let answer = publish_next(&archive, number).await;
        expect_that!(answer, eq(&PublishAnswer::Accepted { version: number }));
    }
    for number in 1..=VERSIONS {
        let stored = archive.load(number).await.expect("the store answers");
        let stored = stored.expect("the version was accepted");
        expect_that!(stored.version.version, eq(number));
        expect_that!(stored.document.limits.queue_length, eq(number));
    }
    expect_that!(archive.load(VERSIONS + 1).await, ok(none()));
    expect_that!(archive.load(0).await, ok(none()));
}

#[gtest]
#[tokio::test]
async fn publishing_on_a_stale_base_is_rejected() {
    let platform = start_platform().await;
    let archive = open_archive(&platform);
    let first = archive
        .publish(&DocumentVersion::default(), &document_with_number(1))
        .await;
    expect_that!(first, eq(&PublishAnswer::Accepted { version: 1 }));
    let second = archive
        .publish(&DocumentVersion::default(), &document_with_number(2))
        .await;
    expect_that!(second, eq(&PublishAnswer::Conflict { head: 1 }));
    let head = archive.load_head().await.expect("the store answers");
    expect_that!(
        head.map(|head| head.document),
        some(eq(&document_with_number(1)))
    );
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_operators_keep_every_accepted_version_when_answers_are_lost() {
    const OPERATORS: u64 = 4;
    const ROUNDS: u64 = 24;
    const ROUND_PAUSE: Duration = Duration::from_millis(25);
    let platform = start_platform().await;
    let tasks: Vec<_> = (0..OPERATORS)
        .map(|operator| {
            let archive = open_archive(&platform);
            tokio::spawn(async move {
                let mut accepted = Vec::new();
                for round in 0..ROUNDS {
                    // Spreads the rounds over periods with and without faults.
                    tokio::time::sleep(ROUND_PAUSE).await;
                    let number = operator * 100 + round + 1;
                    let answer = publish_next(&archive, number).await;
                    if let PublishAnswer::Accepted { version } = answer {
                        accepted.push((version, number));
                    }
                }
                accepted
            })
        })
        .collect();
    for _ in 0..6 {
        platform.set_faults(LOSE_ANSWERS);
        tokio::time::sleep(Duration::from_millis(40)).await;
        platform.set_faults(PlatformFaults::default());
        tokio::time::sleep(Duration::from_millis(80)).await;
    }
    let mut accepted = Vec::new();
    for task in tasks {
        accepted.extend(task.await.expect("no operator panics"));
    }
    let archive = open_archive(&platform);
    println!("{} versions were reported as accepted", accepted.len());
    expect_that!(accepted.len(), ge(6));
    for (version, number) in accepted {
        let stored = archive.load(version).await.expect("the store answers");
        let stored = stored.expect("an accepted version is kept");
        expect_that!(stored.document.limits.queue_length, eq(number));
    }
}
