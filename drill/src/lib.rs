//! Drills: many balancer processes on loopback, with injected faults, checked from outside. [`drill_file`] reads a drill,
//! [`runner`] runs it: [`process`] manages the balancer processes, [`server`], [`discovery`] and [`client`] emulate the other
//! parties, and [`link`] relays the traffic between each two. All observations go into one [`event_log`], from which [`audit`]
//! checks the four rules and [`metrics`] computes the metrics; [`report`] renders both.
//!
//! A drill starts and ends its own processes and listens only on loopback, on ports that the system assigns.

pub mod audit;
pub mod client;
pub mod discovery;
pub mod drill_file;
pub mod event_log;
pub mod http;
pub mod link;
pub mod metrics;
pub mod party;
pub mod process;
pub mod report;
pub mod runner;
pub mod server;

use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;

use crate::audit::Attempt;
use crate::drill_file::Drill;
use crate::report::Report;
use crate::runner::{Recording, RunOptions};

/// A completed drill: its report, and the observations behind it.
pub struct DrillResult {
    pub report: Report,
    pub recording: Recording,
    pub attempts: Vec<Attempt>,
}

/// Runs a drill and evaluates it. `stop` and `on_progress` are as for [`runner::run_drill`].
pub fn run(
    file: &str,
    drill: &Drill,
    options: &RunOptions,
    stop: &AtomicBool,
    on_progress: &dyn Fn(f64),
) -> Result<DrillResult, String> {
    let recording = runner::run_drill(drill, options, stop, on_progress)?;
    let attempts = audit::attempts(&recording.entries);
    let verdict = audit::audit(drill, &recording, &attempts);
    let metrics = metrics::compute_metrics(drill, &recording, &attempts, &verdict);
    let report = Report {
        file: file.to_owned(),
        description: drill.description.clone(),
        seed: options.seed,
        cut_short: recording.cut_short,
        metrics,
        verdict,
    };
    Ok(DrillResult { report, recording, attempts })
}

/// The balancer program in the folder of the current executable, or in its parent.
pub fn sibling_binary() -> Option<PathBuf> {
    let own = std::env::current_exe().ok()?;
    // Test executables are one folder deeper.
    let folders = own.ancestors().skip(1).take(2);
    folders.map(|folder| folder.join("ochreshed")).find(|path: &PathBuf| Path::exists(path))
}
