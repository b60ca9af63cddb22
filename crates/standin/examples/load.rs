//! Measures a whole site on loopback: share of reads by replicas, failover gap,
//! latencies and goodput, with baselines and a check of the guarantees.
//!
//! ```sh
//! cargo run --release -p standin --example load -- \
//!     --site fernwake --scenario failover --seconds 5 --seed 1
//! cargo build --release -p cassiad
//! cargo run --release -p standin --example load -- --cost --seconds 5
//! cargo run --release -p standin --example load -- --suite --seconds 3
//! ```
//!
//! It prints a Markdown table and one JSON line for each run, and exits with 1
//! if the check finds a broken guarantee in a run through the proxy.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use standin::load::caller::AccessMode;
use standin::load::cost::CostOrder;
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
    /// run all scenarios and measure the cost of the daemon
    #[argh(switch)]
    suite: bool,
    /// measure the cost of the daemon only
    #[argh(switch)]
    cost: bool,
    /// program of the daemon (default: cassiad of the same build)
    #[argh(option)]
    cassiad: Option<PathBuf>,
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
    if arguments.cost {
        measure_cost(arguments).await?;
        return Ok(true);
    }
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
    if arguments.suite {
        measure_cost(arguments).await?;
    }
    let mut measured = reports
        .iter()
        .filter(|(mode, _)| *mode == AccessMode::Proxy);
    Ok(measured.all(|(_, report)| report.is_good()))
}

async fn measure_cost(arguments: &LoadArguments) -> Result<()> {
    let order = CostOrder {
        cassiad: match &arguments.cassiad {
            Some(path) => path.clone(),
            // Examples lie one directory below the programs.
            None => std::env::current_exe()?
                .with_file_name("..")
                .join("cassiad"),
        },
        duration: Duration::from_secs(arguments.seconds),
        seed: arguments.seed,
    };
    let report = order.run().await?;
    println!(
        "\n{}\n\n{}",
        serde_json::to_string(&report).expect("a report of numbers and texts serialises"),
        report.table()
    );
    Ok(())
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
