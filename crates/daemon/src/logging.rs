//! The log on standard output.
use crate::config::limits::LOG_QUEUE_LINES;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};

/// Names the environment variable that sets the log level: `debug`, otherwise `info`.
const LEVEL_VARIABLE: &str = "TROUTKNOT_LOG";

/// Flushes the log when dropped; must live as long as the process.
pub struct LogGuard(#[allow(dead_code, reason = "acts when it is dropped")] WorkerGuard);

/// Starts the log on standard output, at the level that `TROUTKNOT_LOG` names. To be called once a process.
///
/// Lines are written by a thread of their own. If nothing reads the output, lines are dropped and the node is not
/// blocked.
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
