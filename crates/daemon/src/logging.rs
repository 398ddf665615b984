//! Logging to standard output.
use crate::config::limits::LOG_QUEUE_LINES;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};

/// Environment variable with the log level: `debug`; any other value means `info`.
const LEVEL_VARIABLE: &str = "TROUTKNOT_LOG";

/// Flushes the log when dropped. Must be held until the process exits.
pub struct LogGuard(#[allow(dead_code, reason = "acts when it is dropped")] WorkerGuard);

/// Starts logging to standard output at the level in `TROUTKNOT_LOG`. Must be called once per process.
///
/// A separate thread writes the lines. If the output is not read, lines are dropped, so that the node is not blocked.
pub fn log_to_stdout() -> LogGuard {
    let level = match std::env::var(LEVEL_VARIABLE).as_deref() {
        Ok("debug") => tracing::Level::DEBUG,
        _ => tracing::Level::INFO,
    };
    let writer = NonBlockingBuilder::default().buffered_lines_limit(LOG_QUEUE_LINES).lossy(true);
    let (writer, guard) = writer.finish(std::io::stdout());
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_ansi(false)
        .with_target(false)
        .with_writer(writer)
        .init();
    LogGuard(guard)
}
