//! Logging as JSON lines to standard output.

mod lines;

use std::result;

use log::LevelFilter;
use log4rs::append;
use log4rs::append::console;
use log4rs::config;
use log4rs::encode::json;
use quick_error::quick_error;

pub use lines::LineQueue;

const APPENDER_NAME: &str = "stdout";

/// Libraries whose messages below `warn` are of no use to operators and are dropped.
const WARNING_ONLY_LIBRARIES: [&str; 8] = [
    "ntex",
    "ntex_io",
    "ntex_net",
    "ntex_rt",
    "ntex_server",
    "ntex_service",
    "tokio_tungstenite",
    "tungstenite",
];

/// Result of setting up logging.
pub type Result<T> = result::Result<T, LogError>;

quick_error! {
    /// Reason why logging could not be set up.
    #[derive(Debug)]
    pub enum LogError {
        /// The logging library rejects the configuration, which is built in this module.
        Configuration(error: config::runtime::ConfigErrors) {
            from()
            display("can't set up logging: {}", error)
        }
        /// The process already has a logger.
        Logger(error: log::SetLoggerError) {
            from()
            display("can't set up logging: {}", error)
        }
    }
}

/// Installs the logger of the process, which writes lines at or above `level`.
///
/// # Errors
///
/// Returns [`LogError::Logger`] if the process already has a logger.
pub fn start(level: LevelFilter) -> Result<()> {
    let encoder = json::JsonEncoder::new();
    let appender = console::ConsoleAppender::builder()
        .target(console::Target::Stdout)
        .encoder(Box::new(encoder))
        .build();
    install(level, Box::new(appender))
}

/// Installs the logger of a process that never blocks on its log: it queues lines at or above
/// `level`.
///
/// # Errors
///
/// Returns [`LogError::Logger`] if the process already has a logger.
pub fn start_queued(level: LevelFilter, queue: LineQueue) -> Result<()> {
    install(level, Box::new(lines::QueueAppender::new(queue)))
}

fn install(level: LevelFilter, appender: Box<dyn append::Append>) -> Result<()> {
    let appender = config::Appender::builder().build(APPENDER_NAME, appender);
    let library_level = level.min(LevelFilter::Warn);
    let loggers = WARNING_ONLY_LIBRARIES
        .map(|library| config::Logger::builder().build(library, library_level));
    let root = config::Root::builder().appender(APPENDER_NAME).build(level);
    let config = config::Config::builder()
        .appender(appender)
        .loggers(loggers)
        .build(root)?;

    log4rs::init_config(config)?;
    Ok(())
}
