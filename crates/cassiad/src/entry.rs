//! A daemon in front of managed groups.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use platform::{LineCodec, SitePlatform};
use state::entry::EntrySettings;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use transport::managed::runtime::EntryHost;

use crate::settings_file;

/// Timeout of one call of the platform's services. Slow answers of the store
/// take 250 ms; a read of the groups' rows that takes longer than this cannot
/// assure a primary any more.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(800);

/// The signals of a daemon.
struct DaemonSignals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl DaemonSignals {
    fn listen() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            reload: signal(SignalKind::hangup())?,
        })
    }
}

/// Runs the daemon until a signal ends it. One thread serves everything: a host
/// has at most one core.
#[tokio::main(flavor = "current_thread")]
pub(crate) async fn run(settings: EntrySettings, path: &Path) -> ExitCode {
    match serve(settings, path).await {
        Ok(code) => code,
        Err(reason) => {
            log::error!(reason = reason.as_str(); "cannot start");
            eprintln!("{reason}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(settings: EntrySettings, path: &Path) -> Result<ExitCode, String> {
    let mut signals = DaemonSignals::listen().map_err(|error| error.to_string())?;
    let address = settings.readiness_address;
    let probes = TcpListener::bind(address)
        .await
        .map_err(|error| format!("cannot listen on {address}: {error}"))?;
    log::info!(
        host = settings.host.as_str(),
        data_centre = settings.data_centre.as_str(),
        version = env!("CARGO_PKG_VERSION");
        "starting"
    );
    let store = settings.store.address;
    let platform = SitePlatform::new(store, settings.promotion_address, PLATFORM_TIMEOUT);
    let mut host = EntryHost::<LineCodec>::start(settings, platform)
        .await
        .map_err(|error| error.to_string())?;
    let probed = tokio::spawn(platform::serve_readiness(probes, host.readiness()));
    loop {
        tokio::select! {
            () = host.wait() => return Ok(ExitCode::FAILURE),
            _ = signals.reload.recv() => reload(&host, path),
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
        }
    }
    host.shut_down().await;
    probed.abort();
    Ok(ExitCode::SUCCESS)
}

/// Reads the settings file again. A bad file is reported and changes nothing.
fn reload(host: &EntryHost<LineCodec>, path: &Path) {
    match settings_file::load(path, EntrySettings::parse) {
        Ok(read) => {
            let waiting = host.reload(&read).join(", ");
            if waiting.is_empty() {
                log::info!("reload: settings in force");
            } else {
                log::warn!(
                    keys = waiting.as_str();
                    "reload: some changed settings are in force from the next start"
                );
            }
        }
        Err(problems) => {
            let reason = problems.join("; ");
            log::error!(reason = reason.as_str(); "reload: settings rejected; nothing changed");
        }
    }
}
