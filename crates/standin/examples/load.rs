//! Load-tests a whole site on loopback: measures the share of reads by replicas,
//! the failover gap, latencies and goodput, compares them with baselines and
//! checks the consistency guarantees.
//!
//! ```sh
//! cargo run --release -p standin --example load -- \
//!     --site fernwake --scenario failover --seconds 5 --seed 1
//! cargo build --release -p cassiad
//! cargo run --release -p standin --example load -- --cost --seconds 5
//! cargo run --release -p standin --example load -- --suite --seconds 3
//! ```
//!
//! Prints one JSON line for each run and a Markdown table of all runs. Exits with
//! 1 if a run through the proxy breaks a guarantee or misses the goodput target.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use standin::load::caller::AccessMode;
use standin::load::cost::CostSpec;
use standin::load::faults::LoadScenario;
use standin::load::profile::SiteProfile;
use standin::load::report::RunReport;
use standin::load::run::RunSpec;
use standin::site::Result;

/// Load tests of a whole site.
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
            eprintln!(
                "load: a run through the proxy broke a guarantee or missed the goodput target"
            );
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("load: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Returns whether all runs through the proxy kept the guarantees and met the
/// goodput target.
async fn run(arguments: &LoadArguments) -> Result<bool> {
    if arguments.cost {
        measure_cost(arguments).await?;
        return Ok(true);
    }
    let mut reports = Vec::new();
    for spec in specs(arguments) {
        let report = spec.run().await?;
        println!("{}", report.json_line());
        reports.push((spec.mode, report));
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
    Ok(measured.all(|(_, report)| report.meets_targets()))
}

async fn measure_cost(arguments: &LoadArguments) -> Result<()> {
    let spec = CostSpec {
        cassiad: match &arguments.cassiad {
            Some(path) => path.clone(),
            // Cargo puts examples one directory below the programs.
            None => std::env::current_exe()?
                .with_file_name("..")
                .join("cassiad"),
        },
        duration: Duration::from_secs(arguments.seconds),
        seed: arguments.seed,
    };
    let report = spec.run().await?;
    println!(
        "\n{}\n\n{}",
        serde_json::to_string(&report).expect("a report of numbers and texts serialises"),
        report.table()
    );
    Ok(())
}

fn specs(arguments: &LoadArguments) -> Vec<RunSpec> {
    let sites = match arguments.site {
        Some(site) => vec![site],
        None => SiteProfile::ALL.to_vec(),
    };
    let scenarios = match arguments.suite {
        true => LoadScenario::ALL.to_vec(),
        false => vec![arguments.scenario],
    };
    let mut specs = Vec::new();
    for site in sites {
        for scenario in &scenarios {
            let spec = RunSpec {
                site,
                scenario: *scenario,
                mode: AccessMode::Proxy,
                duration: Duration::from_secs(arguments.seconds),
                seed: arguments.seed,
            };
            specs.extend(spec.with_baselines());
        }
    }
    specs
}
