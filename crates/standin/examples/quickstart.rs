//! Starts a demonstration site on loopback: a stand-in platform, 3 groups of 3
//! members and 4 entry hosts.
//!
//! ```sh
//! cargo run --release -p standin --example quickstart
//! ```

use std::process::ExitCode;
use std::time::{Duration, Instant};

use argh::FromArgs;
use standin::cluster::{Cluster, ClusterSettings};
use standin::site::{Result, Site, SiteError, SiteSettings};
use tokio_postgres::{Client, SimpleQueryMessage};

/// Index of the group that the self-check uses.
const GROUP: usize = 0;
/// Port for callers at the first entry host.
const FIRST_PORT: u16 = 15432;
/// Longest wait for the answer to the write that is repeated after the primary
/// has stopped.
const RETRY_LIMIT: Duration = Duration::from_secs(20);

/// Starts a demonstration site.
#[derive(FromArgs)]
struct QuickstartArguments {
    /// run a short self-check and exit
    #[argh(switch)]
    check: bool,
    /// port for callers at the first entry host; the others follow (default
    /// 15432, with --check free ports)
    #[argh(option)]
    port: Option<u16>,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: QuickstartArguments = argh::from_env();
    match run(&arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quickstart: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(arguments: &QuickstartArguments) -> Result<()> {
    let default_port = (!arguments.check).then_some(FIRST_PORT);
    let settings = SiteSettings {
        cluster: ClusterSettings {
            groups: 3,
            members: 3,
            ..ClusterSettings::default()
        },
        first_port: arguments.port.or(default_port),
        ..SiteSettings::default()
    };
    let mut site = Site::start(settings, |_| ()).await?;
    let group = Cluster::group_name(GROUP);
    for entry_host in 0..site.daemons.len() {
        println!("caller endpoint: {}", site.caller_url(entry_host, &group));
    }
    if arguments.check {
        return self_check(&mut site, &group).await;
    }
    println!("groups: group-0, group-1, group-2; interrupt to stop");
    tokio::signal::ctrl_c().await?;
    Ok(())
}

/// Writes through one entry host, reads through another, stops the primary,
/// repeats the write with the same request id and checks that it is stored once.
async fn self_check(site: &mut Site, group: &str) -> Result<()> {
    const INSERT: &str = "/* cassia: request_id=check-1 */ \
                          INSERT INTO sightings VALUES (1, 'wren')";
    let writer = site.connect(0, group, None).await?;
    writer
        .batch_execute("CREATE TABLE sightings (id int, bird text)")
        .await?;
    writer.batch_execute(INSERT).await?;
    println!("check: wrote through the first entry host");
    let reader = site.connect(1, group, None).await?;
    expect_count(&reader, "read through the second entry host").await?;
    let primary = site.cluster.primary(GROUP);
    let primary = primary.ok_or_else(|| check_error("the group has no primary"))?;
    site.cluster.stop_member(primary);
    let start = Instant::now();
    println!(
        "check: stopped the primary {}",
        Cluster::member_name(primary)
    );
    let retrying = site.connect(2, group, None).await?;
    let retried = tokio::time::timeout(RETRY_LIMIT, retrying.batch_execute(INSERT)).await;
    retried.map_err(|_| check_error("the repeated write was not answered in time"))??;
    println!(
        "check: repeated the write with the same request id after {} ms",
        start.elapsed().as_millis()
    );
    let reader = site.connect(3, group, None).await?;
    expect_count(
        &reader,
        "counted the write once through the fourth entry host",
    )
    .await?;
    println!("check: passed");
    Ok(())
}

async fn expect_count(client: &Client, what: &str) -> Result<()> {
    let rows = client
        .simple_query("SELECT count(*) FROM sightings")
        .await?;
    let count = rows.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0),
        _ => None,
    });
    if count != Some("1") {
        return Err(check_error(&format!("{what}: found {count:?} rows, not 1")));
    }
    println!("check: {what}");
    Ok(())
}

fn check_error(reason: &str) -> SiteError {
    SiteError::Check(reason.to_owned())
}
