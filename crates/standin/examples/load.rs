//! Measures a whole site on loopback: share of reads by replicas, failover gap,
//! latencies and goodput, with baselines and a check of the guarantees.
//!
//! ```sh
//! cargo run --release -p standin --example load -- \
//!     --site fernwake --scenario failover --seconds 5 --seed 1
//! cargo run --release -p standin --example load -- --suite --seconds 4
//! ```
//!
//! It prints a Markdown table and one JSON line for each run, and exits with 1
//! if the check finds a broken guarantee in a run through the proxy.

use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use standin::load::caller::AccessMode;
use standin::load::faults::LoadScenario;
use standin::load::profile::SiteProfile;
use standin::load::report::RunReport;
use standin::load::run::RunOrder;
use standin::site::Result;

/// Load on a whole site.
#[derive(Debug, FromArgs)]
struct LoadArguments {
    /// site: fernwake or kibanda (default: both)
    #[argh(option)]
    site: Option<SiteProfile>,
    /// scenario (default: steady)
    #[argh(option, default = "LoadScenario::Steady")]
    scenario: LoadScenario,
    /// run all scenarios
    #[argh(switch)]
    suite: bool,
    /// duration of each run in seconds (default 5)
    #[argh(option, default = "5")]
    seconds: u64,
    /// seed of the random choices (default 1)
    #[argh(option, default = "1")]
    seed: u64,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: LoadArguments = argh::from_env();
    match run(&arguments).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("load: the check failed");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("load: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Returns whether all guarantees were kept.
async fn run(arguments: &LoadArguments) -> Result<bool> {
    let mut reports = Vec::new();
    for order in orders(arguments) {
        let report = order.run().await?;
        println!("{}", report.json_line());
        reports.push((order.mode, report));
    }
    println!("\n{}", RunReport::TABLE_HEADER);
    for (_, report) in &reports {
        println!("{}", report.table_row());
    }
    let mut measured = reports
        .iter()
        .filter(|(mode, _)| *mode == AccessMode::Proxy);
    Ok(measured.all(|(_, report)| report.is_good()))
}

fn orders(arguments: &LoadArguments) -> Vec<RunOrder> {
    let sites = match arguments.site {
        Some(site) => vec![site],
        None => SiteProfile::ALL.to_vec(),
    };
    let scenarios = match arguments.suite {
        true => LoadScenario::ALL.to_vec(),
        false => vec![arguments.scenario],
    };
    let mut orders = Vec::new();
    for site in sites {
        for scenario in &scenarios {
            let order = RunOrder {
                site,
                scenario: *scenario,
                mode: AccessMode::Proxy,
                duration: Duration::from_secs(arguments.seconds),
                seed: arguments.seed,
            };
            orders.extend(order.with_baselines());
        }
    }
    orders
}
