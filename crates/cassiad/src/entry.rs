//! Runs the daemon for managed groups (`--managed`).

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use platform::{LineCodec, SitePlatform};
use state::entry::EntrySettings;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use transport::managed::runtime::EntryHost;

use crate::settings_file;

/// Timeout of one call to the platform's services. Slow responses of the store
/// take 250 ms. A read of the group rows that takes longer than this timeout
/// can no longer confirm the primary.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(800);

/// Streams of the signals that the daemon handles.
struct SignalStreams {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl SignalStreams {
    fn register() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            reload: signal(SignalKind::hangup())?,
        })
    }
}

/// Runs the daemon until SIGTERM, SIGINT or a failure stops it. The runtime has
/// a single thread because a host has at most one core.
#[tokio::main(flavor = "current_thread")]
pub(crate) async fn run(settings: EntrySettings, path: &Path) -> ExitCode {
    match serve(settings, path).await {
        Ok(code) => code,
        Err(reason) => {
            log::error!(reason = reason.as_str(); "the daemon cannot start");
            eprintln!("{reason}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(settings: EntrySettings, path: &Path) -> Result<ExitCode, String> {
    let mut signals = SignalStreams::register().map_err(|error| error.to_string())?;
    let address = settings.readiness_address;
    let readiness_listener = TcpListener::bind(address)
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
    let readiness_server = tokio::spawn(platform::serve_readiness(
        readiness_listener,
        host.readiness(),
    ));
    loop {
        tokio::select! {
            () = host.wait() => return Ok(ExitCode::FAILURE),
            _ = signals.reload.recv() => reload_settings(&host, path),
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
        }
    }
    host.shut_down().await;
    readiness_server.abort();
    Ok(ExitCode::SUCCESS)
}

/// Reloads the settings file. If the file is invalid, logs its problems and
/// keeps the current settings.
fn reload_settings(host: &EntryHost<LineCodec>, path: &Path) {
    match settings_file::load(path, EntrySettings::parse) {
        Ok(settings) => {
            let pending_keys = host.reload(&settings).join(", ");
            if pending_keys.is_empty() {
                log::info!("reload: settings in force");
            } else {
                log::warn!(
                    keys = pending_keys.as_str();
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
