//! What every role of the mesh starts with: its log on standard error, and the one thread that it works on.
//!
//! Invariants: the log is set up once a process; there is one runtime, of the current thread.

use std::process::ExitCode;

use tracing_subscriber::util::SubscriberInitExt;

/// Sends log lines from the level of information up to standard error, each with its time (RFC 3339), level, module and
/// place in the source. Records of the `log` crate, which the mesh's modules use, come through the bridge that
/// `try_init` installs.
pub fn init_logging() {
    let subscriber = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_file(true)
        .with_line_number(true)
        .finish();
    if subscriber.try_init().is_err() {
        eprintln!("ochreshed: logs were set up before");
    }
}

/// Runs a role to its end on this thread.
pub fn block_on(role: impl Future<Output = ExitCode>) -> ExitCode {
    match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime.block_on(role),
        Err(error) => {
            eprintln!("ochreshed: no runtime: {error}");
            ExitCode::FAILURE
        }
    }
}
