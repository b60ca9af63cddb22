//! Runs the soak from the command line, one seed after the other.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use soak::planned::run_planned;
use soak::soak_run::{built_program, run_soak, SoakOptions, SoakReport};

/// Findings of planned work that are printed for a seed.
const SHOWN_FINDINGS: usize = 20;

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
    /// play planned work only: stops, reloads, routes that change and replicas that lag
    #[argh(switch)]
    planned: bool,
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
        let played = match arguments.planned {
            true => run_planned_seed(&arguments, seed).await,
            false => run_seed(&arguments, seed)
                .await
                .map(|report| report.findings.is_empty()),
        };
        match played {
            Ok(true) => {}
            Ok(false) => failed.push(seed),
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

fn options(arguments: &Arguments, seed: u64) -> soak::soak_run::Result<SoakOptions> {
    Ok(SoakOptions {
        program: match &arguments.program {
            Some(program) => program.clone(),
            None => built_program()?,
        },
        folder: arguments.folder.join(format!("seed-{seed}")),
        seed,
        length: Duration::from_secs(arguments.length_s),
        callers: arguments.callers,
    })
}

/// Plays planned work. Returns whether there were no findings.
async fn run_planned_seed(arguments: &Arguments, seed: u64) -> soak::soak_run::Result<bool> {
    let options = options(arguments, seed)?;
    let report = run_planned(&options).await?;
    println!(
        "seed {seed}: {} done, refused {:?}, {} stops, {} reads compared, {}",
        report.done, report.refused, report.stops, report.checked_reads, report.work[0]
    );
    if report.findings.is_empty() {
        return Ok(true);
    }
    println!(
        "{} findings; logs in {}",
        report.findings.len(),
        options.folder.display()
    );
    for work in &report.work {
        println!("  {work}");
    }
    for finding in report.findings.iter().take(SHOWN_FINDINGS) {
        println!("  {finding}");
    }
    Ok(false)
}

async fn run_seed(arguments: &Arguments, seed: u64) -> soak::soak_run::Result<SoakReport> {
    let options = options(arguments, seed)?;
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
