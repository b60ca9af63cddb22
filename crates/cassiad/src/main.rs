//! The proxy daemon.
//!
//! Reads the settings file, starts one of the two daemons of `transport` and
//! shuts it down on SIGTERM or SIGINT. All other work is done in `transport`.

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
    /// serve managed groups, whose members register with the platform and are
    /// promoted by it
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
        true => load_and_run(&arguments, EntrySettings::parse, entry::run),
        false => load_and_run(&arguments, DaemonSettings::parse, |settings, _| {
            run_daemon(settings)
        }),
    }
}

/// Loads the settings, starts logging and calls `run`. With `--check`, stops
/// after the settings are loaded.
fn load_and_run<T>(
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
        eprintln!("cannot start logging: {error:?}");
        return ExitCode::FAILURE;
    }
    let code = run(settings, &arguments.settings);
    // The last lines say why the process ends.
    log::logger().flush();
    code
}

/// Runs the daemon for groups that the intent document lists. The first SIGTERM
/// or SIGINT starts a graceful shutdown, the second ends the process at once.
#[tokio::main]
async fn run_daemon(settings: DaemonSettings) -> ExitCode {
    let signals = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    );
    let (Ok(mut terminate), Ok(mut interrupt)) = signals else {
        log::error!("cannot register handlers for SIGTERM and SIGINT");
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
        () = stop_signal(&mut terminate, &mut interrupt) => {}
    }
    daemon.begin_shutdown();
    tokio::select! {
        () = daemon.wait() => ExitCode::SUCCESS,
        () = stop_signal(&mut terminate, &mut interrupt) => {
            log::warn!("second signal: exiting without waiting for callers");
            ExitCode::FAILURE
        }
    }
}

async fn stop_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
