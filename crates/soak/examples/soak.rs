//! Runs the soak from the command line, one seed after the other.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use soak::soak_run::{built_program, run_soak, SoakOptions, SoakReport};

/// Runs daemons as separate processes under random faults and checks what they
/// promise to callers.
#[derive(FromArgs)]
struct Arguments {
    /// first seed (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds (default: 50)
    #[argh(option, default = "50")]
    runs: u64,
    /// period in which faults begin, in seconds (default: 15)
    #[argh(option, default = "15")]
    length_s: u64,
    /// number of concurrent callers (default: 12)
    #[argh(option, default = "12")]
    callers: usize,
    /// executable of the daemon (default: cassiad of this build)
    #[argh(option)]
    program: Option<PathBuf>,
    /// folder that keeps the settings and logs of runs with findings (default:
    /// cassia-soak in the system's temporary folder)
    #[argh(option, default = "std::env::temp_dir().join(\"cassia-soak\")")]
    folder: PathBuf,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let mut failed = Vec::new();
    for seed in arguments.seed..arguments.seed.saturating_add(arguments.runs) {
        match run_seed(&arguments, seed).await {
            Ok(report) if report.findings.is_empty() => {}
            Ok(_) => failed.push(seed),
            Err(error) => {
                eprintln!("seed {seed}: {error}");
                failed.push(seed);
            }
        }
    }
    println!("{} seeds, failed: {failed:?}", arguments.runs);
    match failed.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

async fn run_seed(arguments: &Arguments, seed: u64) -> soak::soak_run::Result<SoakReport> {
    let options = SoakOptions {
        program: match &arguments.program {
            Some(program) => program.clone(),
            None => built_program()?,
        },
        folder: arguments.folder.join(format!("seed-{seed}")),
        seed,
        length: Duration::from_secs(arguments.length_s),
        callers: arguments.callers,
    };
    let report = run_soak(&options).await?;
    println!(
        "seed {seed}: {} of {} writes accepted, {} reads, {} run by members, \
         {} promotions, longest gap {:?}, \
         recovery {:?}, {} KiB",
        report.writes.1,
        report.writes.0,
        report.reads,
        report.members_ran,
        report.promotions,
        report.longest_gap,
        report.recovery,
        report.peak_memory_kib
    );
    if !report.findings.is_empty() {
        println!("logs in {}", options.folder.display());
        println!("findings: {:?}", report.finding_counts);
        for fault in &report.faults {
            println!("  {fault}");
        }
        for finding in &report.findings {
            println!("  {finding}");
        }
    }
    Ok(report)
}
