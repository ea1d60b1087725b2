//! Logs as JSON lines on standard output.

use std::result;

use log::LevelFilter;
use log4rs::append::console;
use log4rs::config;
use log4rs::encode::json;
use quick_error::quick_error;

const APPENDER_NAME: &str = "stdout";

/// Libraries whose messages below a warning are of no use to operators.
const QUIET_LIBRARIES: [&str; 8] = [
    "ntex",
    "ntex_io",
    "ntex_net",
    "ntex_rt",
    "ntex_server",
    "ntex_service",
    "tokio_tungstenite",
    "tungstenite",
];

/// Result of setting logs up.
pub type Result<T> = result::Result<T, LogError>;

quick_error! {
    /// Reason why logs can't be set up.
    #[derive(Debug)]
    pub enum LogError {
        /// The configuration made here is refused.
        Configuration(error: config::runtime::ConfigErrors) {
            from()
            display("logs: {}", error)
        }
        /// The process has a logger already.
        Logger(error: log::SetLoggerError) {
            from()
            display("logs: {}", error)
        }
    }
}

/// Logs from now on, from the level `level` up.
///
/// # Errors
///
/// [`LogError::Logger`] when the process logs already.
pub fn start(level: LevelFilter) -> Result<()> {
    let encoder = json::JsonEncoder::new();
    let appender = console::ConsoleAppender::builder()
        .target(console::Target::Stdout)
        .encoder(Box::new(encoder))
        .build();
    let appender = config::Appender::builder().build(APPENDER_NAME, Box::new(appender));

    let quiet_level = level.min(LevelFilter::Warn);
    let loggers =
        QUIET_LIBRARIES.map(|library| config::Logger::builder().build(library, quiet_level));
    let root = config::Root::builder().appender(APPENDER_NAME).build(level);
    let config = config::Config::builder()
        .appender(appender)
        .loggers(loggers)
        .build(root)?;

    log4rs::init_config(config)?;
    Ok(())
}
