//! Helpers of the stand-in tests; this file contains no tests.

#![allow(dead_code)]

use std::time::{Duration, Instant};

use protocol::member_control::MemberControlServiceClient;
use standin::cluster::{Cluster, ClusterSettings, MemberAddress};
use tarpc::tokio_serde::formats::Bincode;
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

/// Longest wait of [`wait_until`].
const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// Returns the address of a member of the first group.
pub fn member(index: usize) -> MemberAddress {
    MemberAddress {
        group: 0,
        member: index,
    }
}

/// Starts a cluster.
pub async fn start_cluster(settings: ClusterSettings) -> Cluster {
    Cluster::start(settings).await.unwrap()
}

/// Opens a connection to a member's statement address.
pub async fn connect(cluster: &Cluster, address: MemberAddress) -> Client {
    try_connect(cluster, address).await.unwrap()
}

/// Tries to open a connection to a member's statement address.
pub async fn try_connect(
    cluster: &Cluster,
    address: MemberAddress,
) -> Result<Client, tokio_postgres::Error> {
    connect_to(cluster.statement_address(address)).await
}

/// Opens a connection to group 0 at an address.
pub async fn connect_to(address: std::net::SocketAddr) -> Result<Client, tokio_postgres::Error> {
    let config = format!(
        "host={} port={} user=app dbname=group-0",
        address.ip(),
        address.port()
    );
    let (client, connection) = tokio_postgres::connect(&config, NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

/// Opens a control connection to a member.
pub async fn control(cluster: &Cluster, address: MemberAddress) -> MemberControlServiceClient {
    let target = cluster.control_address(address);
    let transport = tarpc::serde_transport::tcp::connect(target, Bincode::default)
        .await
        .unwrap();
    MemberControlServiceClient::new(tarpc::client::Config::default(), transport).spawn()
}

/// Returns a context with the default deadline of 10 s.
pub fn tarpc_context() -> tarpc::context::Context {
    tarpc::context::current()
}

/// Waits until `condition` holds. Panics after [`WAIT_LIMIT`]; the message names
/// `event`.
pub async fn wait_until(event: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_LIMIT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting until {event}");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Reads the names in table `birds` in order of their ids.
pub async fn read_names(cluster: &Cluster, address: MemberAddress) -> Vec<String> {
    let client = connect(cluster, address).await;
    let rows = client
        .query("SELECT name FROM birds ORDER BY id", &[])
        .await
        .unwrap();
    rows.iter().map(|row| row.get(0)).collect()
}

/// Returns the SQLSTATE of an error, or an empty string if the server sent none.
pub fn sqlstate(error: &tokio_postgres::Error) -> &str {
    error.code().map_or("", |code| code.code())
}

/// Returns the rows of a simple query as text.
pub async fn simple_rows(client: &Client, text: &str) -> Vec<Vec<Option<String>>> {
    let messages = client.simple_query(text).await.unwrap();
    let mut rows = Vec::new();
    for message in messages {
        if let SimpleQueryMessage::Row(row) = message {
            let fields = (0..row.len()).map(|index| row.get(index).map(str::to_owned));
            rows.push(fields.collect());
        }
    }
    rows
}
