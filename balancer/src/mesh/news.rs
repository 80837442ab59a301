//! News to an attendant: it asks its watchers with the versions it has, and takes what they answer. Each ask is also its
//! heartbeat. It owns which stewards are asked and what is taken from them; it must never go back to an older version.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ochreshed_mesh::list::{Mark, watchers};
use tokio::time::{Instant, sleep};

use super::attendant::Branch;
use super::parcels::Rank;
use super::report::Telling;
use super::wire::{Ask, NewsAsk, NewsReply, Reply};

/// An ask is answered after so long though there is no news, and given up so much later.
const HOLD: Duration = Duration::from_millis(500);
const LATE: Duration = Duration::from_millis(600);
const PAUSE: Duration = Duration::from_millis(80);
/// A configuration that has not come by then is fetched from another steward.
const FETCH: Duration = Duration::from_millis(900);
/// A steward that gave no reply is passed over for so long.
const ASIDE: Duration = Duration::from_millis(1_500);

/// What one steward told last.
struct Heard {
    mark: Mark,
    quiet: (u64, HashSet<SocketAddr>),
    row: (u64, u64),
    aside: Option<Instant>,
    report: Telling,
}

/// Asks one of the watchers, for good: the one whose turn is `which` among those that reply.
pub async fn ask(branch: Arc<Branch>, which: usize, many: usize) {
    let mut heard: HashMap<SocketAddr, Heard> = HashMap::new();
    loop {
        let stewards = branch.stewards.all();
        let ring = watchers(branch.door_at(), &stewards, stewards.len());
        let now = Instant::now();
        heard.retain(|at, _| stewards.contains(at));
        let aside =
            |at: &SocketAddr| heard.get(at).and_then(|heard| heard.aside).is_some_and(|until| until > now);
        // Each asker has its own part of the ring first, so that no two ask the same while all reply.
        let mine = ring.iter().skip(which).step_by(many).chain(ring.iter());
        let soonest = ring.iter().min_by_key(|at| heard.get(at).and_then(|heard| heard.aside));
        let Some(steward) = mine.clone().find(|at| !aside(at)).or(soonest).copied() else {
            sleep(PAUSE).await;
            continue;
        };
        let known = heard.entry(steward).or_insert(Heard {
            mark: Mark::default(),
            quiet: (0, HashSet::new()),
            row: (0, 0),
            aside: None,
            report: Telling::default(),
        });
        let window = branch.settings.load().bounds.retry_window;
        let report = (which == 0).then(|| known.report.news(window, || branch.report())).flatten();
        let row = branch.door.row();
        let rank = row.rank();
        let news = NewsAsk {
            row: (known.row != rank).then_some(row),
            door: Some(branch.door_at()),
            mark: known.mark,
            sheet: branch.sheet_rank(),
            quiet: known.quiet.0,
            hold_ms: HOLD.as_millis() as u32,
            steward: false,
            members: report.as_ref().map(|report| report.members.clone()).unwrap_or_default(),
            report,
            gather: false,
        };
        let caller = branch.callers.to(steward);
        let changed = branch.door.changed.notified();
        let reply = tokio::select! {
            reply = caller.call(Ask::News(news), HOLD + LATE) => reply,
            () = changed => continue,
        };
        match reply {
            Ok(Reply::News(reply)) => {
                // One that is cut off from more than half of the core may not know the newest: others are asked first.
                let aside = if branch.timetable.load().is_some() { ASIDE } else { PAUSE };
                known.aside = (!reply.settled).then(|| Instant::now() + aside);
                branch.heard_core(reply.settled);
                // One that has forgotten us is told anew.
                known.row = if reply.life.is_some() { rank } else { (0, 0) };
                known.report.answered(reply.life.is_some());
                known.mark = reply.mark;
                if let Some((number, quiet)) = &reply.quiet {
                    known.quiet = (*number, quiet.iter().copied().collect());
                }
                take(&branch, (which, steward), *reply, known.quiet.1.clone());
            }
            _ => {
                // One that has nothing yet asks everybody until it has, one after the other.
                let all = PAUSE * (stewards.len() as u32 + 1);
                let aside = if branch.timetable.load().is_some() { ASIDE } else { all };
                known.aside = Some(Instant::now() + aside);
                // It may have forgotten us.
                known.row = (0, 0);
                known.report.answered(false);
                branch.silent(which);
                sleep(PAUSE).await;
            }
        }
    }
}

fn take(
    branch: &Arc<Branch>,
    (which, steward): (usize, SocketAddr),
    reply: NewsReply,
    quiet: HashSet<SocketAddr>,
) {
    if let Some(life) = reply.life {
        branch.door.outlive(life);
    }
    if let Some(rank) = reply.sheet.filter(|rank| branch.to_fetch(*rank)) {
        tokio::spawn(fetch(branch.clone(), steward, rank));
    }
    for (door, id, _) in &reply.drains {
        if *door == branch.door_at() {
            branch.door.close(id);
        }
    }
    if !reply.stewards.is_empty() {
        branch.know_stewards(reply.stewards);
    }
    branch.take_rows(which, reply.rows, quiet);
}

/// Gets a configuration from the steward that told of it: what differs from the one that is here, and whole where that
/// does not open. If it fails, the next news tells of it again.
async fn fetch(branch: Arc<Branch>, steward: SocketAddr, rank: Rank) {
    let here = branch.sheet();
    for from in [here.as_deref(), None] {
        let have = from.map_or((0, 0), |from| from.rank());
        let reply = branch.callers.to(steward).call(Ask::Sheet(have), FETCH).await;
        let Ok(Reply::Sheet(Some(parcel))) = reply else { break };
        match parcel.open(from) {
            Ok(sheet) => {
                branch.take_sheet(sheet);
                break;
            }
            Err(why) => log::warn!("timetable r{}: what differs {why}", rank.0),
        }
    }
    branch.fetched(rank);
}
