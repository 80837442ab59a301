//! What every role starts with: its logs and its one thread of work. It must never start a second thread for either.

use std::process::ExitCode;

use logforth::append;
use logforth::record::{Level, LevelFilter};

/// Lines for changes of state go to standard error.
pub fn logs() {
    let started = logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch.filter(LevelFilter::MoreSevereEqual(Level::Info)).append(append::Stderr::default())
        })
        .try_apply();
    if started.is_err() {
        eprintln!("ochreshed: logs were set up before");
    }
    log::set_max_level(log::LevelFilter::Info);
}

pub fn block_on(work: impl Future<Output = ExitCode>) -> ExitCode {
    match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime.block_on(work),
        Err(why) => {
            eprintln!("ochreshed: no runtime: {why}");
            ExitCode::FAILURE
        }
    }
}
