//! Drills: many processes of the program on loopback, faults between them, and rules checked from outside. [`file`] is
//! what a drill is described in, [`play`] plays it: [`process`] has the balancers' processes, [`srv`], [`discovery`] and
//! [`client`] stand in for the rest, [`link`] lies between each two. All that is seen goes into one [`log`]; [`audit`]
//! judges it by the four rules, [`figures`] reckons what it came to, [`report`] shows it.
//!
//! It starts and ends its own processes and listens on loopback alone, at ports that the system picks.

pub mod audit;
pub mod client;
pub mod discovery;
pub mod figures;
pub mod file;
pub mod http;
pub mod link;
pub mod log;
pub mod party;
pub mod play;
pub mod process;
pub mod report;
pub mod srv;

use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;

use crate::audit::Life;
use crate::file::Drill;
use crate::play::{Options, Play};
use crate::report::Report;

/// A drill played and judged, with all that was seen of it.
pub struct Played {
    pub report: Report,
    pub play: Play,
    pub lives: Vec<Life>,
}

/// Plays a drill and judges it.
pub fn run(
    file: &str,
    drill: &Drill,
    options: &Options,
    stop: &AtomicBool,
    progress: &dyn Fn(f64),
) -> Result<Played, String> {
    let play = play::play(drill, options, stop, progress)?;
    let lives = audit::lives(&play.entries);
    let verdict = audit::audit(drill, &play, &lives);
    let figures = figures::figures(drill, &play, &lives, &verdict);
    let (file, about, seed) = (file.to_owned(), drill.about.clone(), options.seed);
    let report = Report { file, about, seed, cut_short: play.cut_short, figures, verdict };
    Ok(Played { report, play, lives })
}

/// The program as it was built beside this one.
pub fn beside() -> Option<PathBuf> {
    let own = std::env::current_exe().ok()?;
    // Tests stand one folder deeper.
    let folders = own.ancestors().skip(1).take(2);
    folders.map(|folder| folder.join("ochreshed")).find(|path: &PathBuf| Path::exists(path))
}
