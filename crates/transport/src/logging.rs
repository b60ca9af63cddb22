//! The log: one JSON object per line on standard output.
//!
//! Log lines carry the fields `request`, `session`, `group`, `term` and `code`
//! as key-value pairs of the `log` crate where they are known. A thread of its
//! own writes the lines, so that a slow reader of the output blocks no request.

mod queue;

use log::LevelFilter;
use log4rs::config::{Appender, Config, Root};

pub use queue::dropped_lines;
use queue::QueueAppender;

/// Result of starting the log.
pub type Result<T> = std::result::Result<T, LoggingError>;

/// The log cannot be started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoggingError {
    /// The process has a logger already.
    AlreadyStarted,
}

/// Name of the only appender.
const APPENDER: &str = "stdout";
/// Target of `tarpc`, which logs each call at level info.
const RPC_TARGET: &str = "tarpc";

/// Starts the log of the process.
pub fn start(level: LevelFilter) -> Result<()> {
    let appender = QueueAppender::start();
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, Box::new(appender)))
        .logger(log4rs::config::Logger::builder().build(RPC_TARGET, LevelFilter::Warn))
        .build(Root::builder().appender(APPENDER).build(level))
        .expect("the only appender is defined");
    log4rs::init_config(config).map_err(|_| LoggingError::AlreadyStarted)?;
    Ok(())
}
