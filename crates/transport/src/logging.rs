//! The log, written to standard output as one JSON object per line.
//!
//! Where they are known, a log line carries the fields `request`, `session`,
//! `group`, `term` and `code` as key-value pairs of the `log` crate. A separate
//! thread writes the lines, so that a slow reader of the output does not block
//! requests.

mod panic;
mod queue;

use log::LevelFilter;
use log4rs::config::{Appender, Config, Root};

pub use panic::panics;
pub use queue::dropped_lines;
use queue::QueueAppender;

/// Result of starting the log.
pub type Result<T> = std::result::Result<T, LoggingError>;

/// Why the log cannot be started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoggingError {
    /// The process already has a logger.
    AlreadyStarted,
}

/// Name of the only appender.
const APPENDER: &str = "stdout";
/// Log target of `tarpc`, which logs each call at level info.
const RPC_TARGET: &str = "tarpc";

/// Starts the log of the process. Lines below `level` are not written. Panics are
/// logged from now on.
pub fn start(level: LevelFilter) -> Result<()> {
    let appender = QueueAppender::start();
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, Box::new(appender)))
        .logger(log4rs::config::Logger::builder().build(RPC_TARGET, LevelFilter::Warn))
        .build(Root::builder().appender(APPENDER).build(level))
        .expect("the only appender is defined");
    log4rs::init_config(config).map_err(|_| LoggingError::AlreadyStarted)?;
    panic::install_hook();
    Ok(())
}
