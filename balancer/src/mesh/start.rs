//! Start-up shared by all roles of the mesh: logging to standard error and the async runtime.
//!
//! Invariants: logging is initialized once per process; the runtime is single-threaded.

use std::process::ExitCode;

use tracing_subscriber::util::SubscriberInitExt;

/// Logs to standard error from level INFO, each line with its time (RFC 3339), level, module and source location. The
/// mesh's modules use the `log` crate; `try_init` installs the bridge for its records.
pub fn init_logging() {
    let subscriber = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_file(true)
        .with_line_number(true)
        .finish();
    if subscriber.try_init().is_err() {
        eprintln!("ochreshed: logging is already initialized");
    }
}

/// Runs a role to completion on the current thread.
pub fn block_on(role: impl Future<Output = ExitCode>) -> ExitCode {
    match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime.block_on(role),
        Err(error) => {
            eprintln!("ochreshed: the async runtime could not be started: {error}");
            ExitCode::FAILURE
        }
    }
}
