//! Measures the cost of a daemon's control work without callers, for different
//! numbers of members, peers and document changes.
//!
//! ```sh
//! cargo run --release -p standin --example control_cost
//! ```

use std::fs;
use std::time::Duration;

use argh::FromArgs;
use coordination::publish::PublishAction;
use standin::cluster::ClusterSettings;
use standin::site::{Result, Site, SiteError, SiteSettings};
use transport::document_store;
use transport::platform::PlatformClient;
use transport::runtime::DaemonHandle;

/// Time between the start of a site and its measurement, in which the daemons
/// reach a steady state.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Number of members of each group.
const GROUP_MEMBERS: usize = 3;

/// Measures the control cost of one daemon in sites of different sizes.
#[derive(FromArgs)]
struct CostArguments {
    /// seconds of each measurement (default 6)
    #[argh(option, default = "6")]
    seconds: u64,
    /// measure only the cases with this number of groups
    #[argh(option)]
    groups: Option<usize>,
}

/// Parameters of one measured site.
#[derive(Clone, Copy)]
struct CostCase {
    groups: usize,
    entry_hosts: usize,
    changes_per_minute: u32,
}

const fn case(groups: usize, entry_hosts: usize, changes_per_minute: u32) -> CostCase {
    CostCase {
        groups,
        entry_hosts,
        changes_per_minute,
    }
}

/// The measured sites. Each series varies one parameter.
const CASES: [CostCase; 10] = [
    case(1, 4, 0),
    case(3, 4, 0),
    case(6, 4, 0),
    case(12, 4, 0),
    case(25, 4, 0),
    case(3, 2, 0),
    case(3, 8, 0),
    case(3, 16, 0),
    case(3, 4, 30),
    case(3, 4, 60),
];

/// Counters of the first daemon, and of the requests to the platform.
#[derive(Clone, Copy, Default)]
struct CostReading {
    control_bytes: f64,
    control_seconds: f64,
    store_requests: f64,
}

#[tokio::main]
async fn main() -> Result<()> {
    let arguments: CostArguments = argh::from_env();
    println!(
        "load average {}",
        fs::read_to_string("/proc/loadavg")
            .unwrap_or_default()
            .trim()
    );
    println!("| members | peers | changes/min | control B/s | control CPU % | store requests/s, all daemons | memory KiB/daemon |");
    println!("|---|---|---|---|---|---|---|");
    let is_chosen = |case: &CostCase| arguments.groups.is_none_or(|groups| case.groups == groups);
    for case in CASES.into_iter().filter(is_chosen) {
        measure(case, Duration::from_secs(arguments.seconds)).await?;
    }
    Ok(())
}

async fn measure(case: CostCase, duration: Duration) -> Result<()> {
    let settings = SiteSettings {
        cluster: ClusterSettings {
            groups: case.groups,
            members: GROUP_MEMBERS,
            ..ClusterSettings::default()
        },
        entry_hosts: case.entry_hosts,
        ..SiteSettings::default()
    };
    let memory_before = resident_kib();
    let site = Site::start(settings, |_| ()).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let before = read_counters(&site);
    let changes = u64::from(case.changes_per_minute) * duration.as_secs() / 60;
    if changes == 0 {
        tokio::time::sleep(duration).await;
    } else {
        change_documents(&site, changes, duration).await?;
    }
    let after = read_counters(&site);
    // The members run in this process too, so this is an upper bound.
    let memory = (resident_kib() - memory_before) / case.entry_hosts as f64;
    let seconds = duration.as_secs_f64();
    println!(
        "| {} | {} | {} | {:.0} | {:.2} | {:.1} | {:.0} |",
        case.groups * GROUP_MEMBERS,
        case.entry_hosts - 1,
        case.changes_per_minute,
        (after.control_bytes - before.control_bytes) / seconds,
        (after.control_seconds - before.control_seconds) / seconds * 100.0,
        (after.store_requests - before.store_requests) / seconds,
        memory,
    );
    Ok(())
}

/// Publishes `changes` document versions that differ in one limit, evenly
/// spread over `duration`.
async fn change_documents(site: &Site, changes: u64, duration: Duration) -> Result<()> {
    let platform = site.cluster.platform().address();
    let client = PlatformClient::new(platform, Duration::from_secs(1));
    let mut document = site.cluster.document();
    for version in 1..=changes {
        tokio::time::sleep(duration / u32::try_from(changes).unwrap_or(u32::MAX)).await;
        document.limits.queue_length = 1_000 + version;
        let text = document.render();
        let action = document_store::publish(&client, &client, version, &text).await;
        if !matches!(action, PublishAction::Published(_)) {
            return Err(SiteError::Document(format!("{action:?}")));
        }
    }
    Ok(())
}

fn read_counters(site: &Site) -> CostReading {
    let daemon = site.daemons[0].as_ref().expect("the daemon runs");
    CostReading {
        control_bytes: metric(daemon, "cassia_control_bytes_total"),
        control_seconds: metric(daemon, "cassia_control_seconds_total"),
        store_requests: site.cluster.platform().request_count() as f64,
    }
}

fn metric(daemon: &DaemonHandle, name: &str) -> f64 {
    let text = daemon.metrics().render();
    let line = text.lines().find(|line| line.starts_with(name));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok())
        .unwrap_or_default()
}

/// Returns the resident memory of this process in KiB.
fn resident_kib() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok())
        .unwrap_or_default()
}
