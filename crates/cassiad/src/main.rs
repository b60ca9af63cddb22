//! The proxy daemon.
//!
//! Borders: reads the settings file, starts one daemon of `transport` and turns
//! signals into its shutdown.

mod entry;
mod settings_file;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use argh::FromArgs;
use log::LevelFilter;
use state::check::CheckProblem;
use state::entry::EntrySettings;
use state::settings::DaemonSettings;
use tokio::signal::unix::{signal, Signal, SignalKind};
use transport::{logging, runtime};

/// Database proxy with session consistency.
#[derive(FromArgs)]
struct Arguments {
    /// settings file (TOML)
    #[argh(option)]
    settings: PathBuf,
    /// serve managed groups: their members register themselves with the
    /// platform, which also promotes them
    #[argh(switch)]
    managed: bool,
    /// check the settings file and exit
    #[argh(switch)]
    check: bool,
    /// log level: off, error, warn, info, debug or trace (default: info)
    #[argh(option, default = "LevelFilter::Info")]
    log_level: LevelFilter,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match arguments.managed {
        true => start(&arguments, EntrySettings::parse, entry::run),
        false => start(&arguments, DaemonSettings::parse, |settings, _| {
            run(settings)
        }),
    }
}

/// Reads the settings, starts the log and runs a daemon.
fn start<T>(
    arguments: &Arguments,
    parse: impl FnOnce(&str) -> Result<T, Vec<CheckProblem>>,
    run: impl FnOnce(T, &Path) -> ExitCode,
) -> ExitCode {
    let settings = match settings_file::load(&arguments.settings, parse) {
        Ok(settings) => settings,
        Err(problems) => {
            for problem in problems {
                eprintln!("{problem}");
            }
            return ExitCode::FAILURE;
        }
    };
    if arguments.check {
        println!("{}: ok", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = logging::start(arguments.log_level) {
        eprintln!("the log cannot be started: {error:?}");
        return ExitCode::FAILURE;
    }
    run(settings, &arguments.settings)
}

#[tokio::main]
async fn run(settings: DaemonSettings) -> ExitCode {
    let signals = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    );
    let (Ok(mut terminate), Ok(mut interrupt)) = signals else {
        log::error!("signals cannot be received");
        return ExitCode::FAILURE;
    };
    let mut daemon = match runtime::start(settings).await {
        Ok(daemon) => daemon,
        Err(error) => {
            log::error!("{error}");
            return ExitCode::FAILURE;
        }
    };
    tokio::select! {
        () = daemon.wait() => return ExitCode::FAILURE,
        () = next_signal(&mut terminate, &mut interrupt) => {}
    }
    daemon.begin_shutdown();
    tokio::select! {
        () = daemon.wait() => ExitCode::SUCCESS,
        () = next_signal(&mut terminate, &mut interrupt) => {
            log::warn!("second signal: exiting without waiting for callers");
            ExitCode::FAILURE
        }
    }
}

async fn next_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
