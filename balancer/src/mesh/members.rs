//! A steward's part for members of the platform: their calls, who may make them and how many, and the duty to end a
//! trial. It owns what of a change is checked before the core is asked to keep it. It must never take a change that goes
//! beyond what the newest register gives, let one member's calls wait for another's, or tell a key or its hash.
//!
//! A trial is settled by writing its text as the settled document, and withdrawn by writing its edition down. Both only
//! grow and what is settled beats what is withdrawn, so it does no harm if two stewards end one at once.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::Response;
use hyper::header::HeaderValue;
use ochreshed::Name;
use ochreshed_catalog::configuration::Configuration;
use ochreshed_catalog::internal_rpc::{AppliedEditions, NodeEdition};
use ochreshed_catalog::members::{Member, MemberDocument, MemberRegister};
use ochreshed_catalog::overlay;
use ochreshed_catalog::traffic_reports::{OutcomeCounts, RouteEdition};
use ochreshed_consensus::messages::{CoreRequest, CoreResponse, NamedRegister, RegisterValue};
use ochreshed_traffic::canary::{RequestOutcomes, Verdict, verdict};
use serde_json::json;
use sha2::{Digest, Sha256};
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep};

use super::carry::Flow;
use super::docs::{self, Docs, Own, REGISTER};
use super::entry::{Came, json as answer, say};
use super::steward::{OPERATOR, Office, read_body};
use super::wire::{InternalRequest, InternalResponse};
use crate::link::held;

const KEY: &str = "ochreshed-member-key";
const MINUTE: Duration = Duration::from_secs(60);
const LOOK: Duration = Duration::from_millis(250);
/// A running trial is looked at so many times, and taken back as soon as it clearly fails.
const LOOKS: u32 = 10;
/// Other stewards are waited for so long when nodes are asked for.
const GATHER: Duration = Duration::from_millis(400);
const MOST_NODES: usize = 1_000;

#[derive(Default)]
pub struct Members {
    /// What is safe here, read.
    docs: Mutex<Arc<Docs>>,
    /// By door, as its attendant told.
    carried: Mutex<HashMap<SocketAddr, AppliedEditions>>,
    /// When the core was last asked for the register, for a key that is not known here.
    asked: tokio::sync::Mutex<Option<Instant>>,
    /// Of each member, one change at a time, and when the last ones were.
    turns: Mutex<HashMap<Name, Arc<Turn>>>,
}

#[derive(Default)]
struct Turn {
    one: tokio::sync::Mutex<()>,
    changes: Mutex<VecDeque<Instant>>,
}

impl Turn {
    /// Counts a change; or says after how long there is room for it again.
    fn count(&self, most: u32) -> Result<(), Duration> {
        let now = Instant::now();
        let mut changes = held(&self.changes);
        while changes.front().is_some_and(|at| now.duration_since(*at) >= MINUTE) {
            changes.pop_front();
        }
        match changes.front() {
            Some(first) if changes.len() >= most as usize => Err(MINUTE - now.duration_since(*first)),
            _ => {
                changes.push_back(now);
                Ok(())
            }
        }
    }
}

impl Members {
    pub fn docs(&self) -> Arc<Docs> {
        held(&self.docs).clone()
    }

    /// What nodes told, of those that are there.
    pub fn carry(&self, door: SocketAddr, carried: AppliedEditions) {
        held(&self.carried).insert(door, carried);
    }

    pub fn keep(&self, is_there: impl Fn(SocketAddr) -> bool) {
        held(&self.carried).retain(|door, _| is_there(*door));
    }

    pub fn nodes_of(&self, member: &str) -> Vec<NodeEdition> {
        let carried = held(&self.carried);
        let of = |(door, all): (&SocketAddr, &AppliedEditions)| {
            let edition = all.iter().find(|edition| *edition.member == *member)?;
            Some(NodeEdition { inbound_proxy: *door, version: edition.version, canary: edition.canary })
        };
        carried.iter().filter_map(of).collect()
    }

    fn take(&self, papers: &[NamedRegister]) {
        let mut docs = held(&self.docs);
        let mut taken = (**docs).clone();
        papers.iter().for_each(|paper| {
            taken.take(&paper.name, &paper.value);
        });
        *docs = Arc::new(taken);
    }

    fn turn(&self, member: &Name) -> Arc<Turn> {
        held(&self.turns).entry(member.clone()).or_default().clone()
    }
}

/// Why a call is not answered well.
struct Refused(u16, String, Option<u64>);

impl Refused {
    fn new(status: u16, why: impl Into<String>) -> Refused {
        Refused(status, why.into(), None)
    }

    fn lines(status: u16, lines: impl Iterator<Item = String>) -> Refused {
        Refused::new(status, lines.collect::<Vec<_>>().join("\n"))
    }

    fn told(self) -> Response<Flow> {
        let mut answer = say(self.0, &self.1);
        if let Some(after) = self.2.and_then(|after| HeaderValue::try_from(after.to_string()).ok()) {
            answer.headers_mut().insert("retry-after", after);
        }
        answer
    }
}

type Answer = Result<String, Refused>;

fn unreached() -> Refused {
    Refused::new(503, "more than half of the core is not reached")
}

/// What more than half of the core holds.
struct Newest {
    timetable: Configuration,
    register: MemberRegister,
    own: Own,
    /// As they were sent.
    settled: Option<Arc<RegisterValue>>,
    trial: Option<Arc<RegisterValue>>,
}

/// Whether the key is the one that the register has the hash of. Takes as long for every key of a length.
fn is_key(member: &Member, key: &[u8]) -> bool {
    let given: [u8; 32] = Sha256::digest(key).into();
    let apart = given.iter().zip(member.key_sha256).fold(0, |apart, (one, other)| apart | (one ^ other));
    std::hint::black_box(apart) == 0
}

/// The calls that begin with `member`.
pub async fn call(
    office: Arc<Office>,
    call: &str,
    of: Option<String>,
    came: Came,
    bodies: Arc<Semaphore>,
) -> Response<Flow> {
    let answered = match call {
        "members.read" => read(&office, REGISTER.into()).await,
        "members.replace" => match read_body(came, &bodies, office.clock).await {
            Ok(bytes) => replace_register(&office, bytes).await,
            Err(bad) => return bad,
        },
        call => own(&office, call, of.unwrap_or_default(), came, bodies).await,
    };
    answered.map_or_else(Refused::told, |text| answer(200, text))
}

async fn read(office: &Office, name: Name) -> Answer {
    match office.want(CoreRequest::ReadRegister(name), OPERATOR).await {
        CoreResponse::Register(Some(sheet)) => Ok(String::from_utf8_lossy(&sheet.bytes).into_owned()),
        CoreResponse::Register(None) => Err(Refused::new(404, "none was ever taken")),
        _ => Err(unreached()),
    }
}

async fn replace_register(office: &Office, bytes: Vec<u8>) -> Answer {
    let register = MemberRegister::read(&bytes)
        .map_err(|why| Refused::lines(400, why.iter().map(ToString::to_string)))?;
    keep(office, REGISTER.into(), register.version, bytes).await?;
    Ok("{}".into())
}

/// Has the core keep a paper; it is on more than half of its disks then.
async fn keep(office: &Office, name: Name, version: u64, bytes: Vec<u8>) -> Result<(), Refused> {
    let paper = NamedRegister { name, value: Arc::new(RegisterValue::new(version, bytes)) };
    match office.want(CoreRequest::ReplaceRegister(paper), OPERATOR).await {
        CoreResponse::Accepted => Ok(()),
        CoreResponse::Conflict => Err(Refused::new(409, "another document was taken under this edition")),
        CoreResponse::CapacityExceeded => {
            Err(Refused::new(413, "too long, or the core holds too many documents"))
        }
        _ => Err(Refused::new(503, "not safe on more than half of the core yet: send it again")),
    }
}

async fn own(office: &Arc<Office>, call: &str, of: String, came: Came, bodies: Arc<Semaphore>) -> Answer {
    let verb = call.strip_prefix("member.").unwrap_or_default();
    let changes = ["replace", "undo", "settle", "withdraw"].contains(&verb);
    if !changes && !["read", "plan", "status", "history"].contains(&verb) {
        return Err(Refused::new(404, "no such call here"));
    }
    let key = came.req.headers().get(KEY).map(|key| key.as_bytes().to_vec()).unwrap_or_default();
    let allowed = |member: Option<&Arc<Member>>| match member {
        Some(member) if is_key(member, &key) => Ok(member.clone()),
        _ => Err(Refused::new(401, "this is not the key of a member by that name")),
    };
    // By what is known here, which costs nothing; a change is checked by the newest register once more.
    let mut member = allowed(office.members.docs().register.member(&of));
    if member.is_err() {
        newest_register(office).await?;
        member = allowed(office.members.docs().register.member(&of));
    }
    let member = member?;
    let turn = office.members.turn(&member.name);
    if changes && let Err(after) = turn.count(member.limits.changes_per_minute) {
        let line = format!("more than {} changes in a minute", member.limits.changes_per_minute);
        return Err(Refused(429, line, Some(after.as_secs() + 1)));
    }
    let body = match verb {
        "replace" | "plan" => {
            let bytes = read_body(came, &bodies, office.clock).await;
            let bytes = bytes.map_err(|_| Refused::new(400, "the document did not come whole"))?;
            let doc = MemberDocument::read(&bytes);
            let doc = doc.map_err(|why| Refused::lines(400, why.iter().map(ToString::to_string)))?;
            Some((Arc::new(doc), bytes))
        }
        _ => None,
    };
    let name = &member.name;
    match verb {
        "read" => return read(office, docs::settled(name)).await,
        "history" => return history(office, name).await,
        "status" => return status(office, name).await,
        _ => {}
    }
    let _one = turn.one.lock().await;
    let newest = newest(office, name).await?;
    allowed(newest.register.member(name))?;
    match (verb, body) {
        ("plan", Some((doc, _))) => {
            let mut all = office.members.docs().settled();
            if let Some(settled) = &newest.own.settled {
                all.insert(name.clone(), settled.clone());
            }
            let plan = overlay::plan(&newest.timetable, &newest.register, &all, name, &doc);
            // What others are trimmed of is not this one's to know.
            let trims = plan.current_violations.iter().filter(|trim| trim.member == *name);
            Ok(json!({
                "changes": plan.changes,
                "forbidden": plan.new_violations.iter().map(ToString::to_string).collect::<Vec<_>>(),
                "trims": trims.map(ToString::to_string).collect::<Vec<_>>(),
            })
            .to_string())
        }
        ("replace", Some((doc, bytes))) => replace(office, &newest, name, &doc, bytes).await,
        ("undo", _) if newest.own.running().is_some() => withdraw(office, &newest, name).await,
        ("undo", _) => undo(office, &newest, name).await,
        ("settle", _) => settle(office, &newest, name).await,
        _ => withdraw(office, &newest, name).await,
    }
}

/// Sees to it that the register here is one that was the newest a moment ago. However many ask, the core is asked only
/// so often.
async fn newest_register(office: &Office) -> Result<(), Refused> {
    let mut asked = office.members.asked.lock().await;
    if asked.is_some_and(|at| at.elapsed() < LOOK) {
        return Ok(());
    }
    match office.want(CoreRequest::ReadRegister(REGISTER.into()), OPERATOR).await {
        CoreResponse::Register(sheet) => {
            let paper = sheet.map(|sheet| NamedRegister { name: REGISTER.into(), value: sheet });
            office.members.take(paper.as_slice());
            *asked = Some(Instant::now());
            Ok(())
        }
        _ => Err(unreached()),
    }
}

/// Asks the core for all that a change is checked against.
async fn newest(office: &Office, member: &str) -> Result<Newest, Refused> {
    let paper = |name: Name| office.want(CoreRequest::ReadRegister(name), OPERATOR);
    let all = tokio::join!(
        office.want(CoreRequest::ReadConfiguration, OPERATOR),
        paper(REGISTER.into()),
        paper(docs::settled(member)),
        paper(docs::trial(member)),
        paper(docs::withdrawn(member)),
    );
    let (CoreResponse::Register(timetable), CoreResponse::Register(register)) = (all.0, all.1) else {
        return Err(unreached());
    };
    let (CoreResponse::Register(settled), CoreResponse::Register(trial), CoreResponse::Register(withdrawn)) =
        (all.2, all.3, all.4)
    else {
        return Err(unreached());
    };
    let unread = |_| Refused::new(503, "what the core holds is of a build that differs");
    let Some(timetable) = timetable else { return Err(Refused::new(409, "there is no timetable yet")) };
    let doc = |sheet: &Option<Arc<RegisterValue>>| {
        let read = sheet.as_ref().map(|sheet| MemberDocument::read(&sheet.bytes).map(Arc::new));
        read.transpose().map_err(unread)
    };
    let own =
        Own { settled: doc(&settled)?, trial: doc(&trial)?, withdrawn: withdrawn.map(|sheet| sheet.version) };
    let register = register.map(|sheet| MemberRegister::read(&sheet.bytes)).transpose().map_err(unread)?;
    let timetable = Configuration::read(&timetable.bytes).map_err(unread)?;
    Ok(Newest { timetable, register: register.unwrap_or_default(), own, settled, trial })
}

fn taken(member: &str, edition: u64, state: &str) -> Answer {
    Ok(json!({"member": member, "edition": format!("r{edition}"), "state": state}).to_string())
}

async fn replace(
    office: &Office,
    newest: &Newest,
    name: &str,
    doc: &MemberDocument,
    bytes: Vec<u8>,
) -> Answer {
    let cuts = overlay::check(&newest.timetable, &newest.register, name, doc);
    if !cuts.is_empty() {
        return Err(Refused::lines(400, cuts.iter().map(ToString::to_string)));
    }
    // Sent again, unchanged, it is taken again.
    let highest = newest.own.highest();
    let another = |sheet: &Option<Arc<RegisterValue>>| {
        sheet.as_ref().is_some_and(|sheet| sheet.version == doc.version && sheet.bytes != bytes)
    };
    let withdrawn = newest.own.withdrawn == Some(doc.version);
    if doc.version < highest || withdrawn || another(&newest.settled) || another(&newest.trial) {
        return Err(Refused::new(409, format!("edition: r{highest} was taken already")));
    }
    let on_trial = doc.canary_share.is_some_and(|share| share < 1.0);
    let (paper, state) =
        if on_trial { (docs::trial(name), "trial") } else { (docs::settled(name), "settled") };
    keep(office, paper, doc.version, bytes).await?;
    taken(name, doc.version, state)
}

async fn settle(office: &Office, newest: &Newest, name: &str) -> Answer {
    let (Some(_), Some(trial)) = (newest.own.running(), &newest.trial) else {
        return Err(Refused::new(409, "no trial runs"));
    };
    keep(office, docs::settled(name), trial.version, trial.bytes.clone()).await?;
    taken(name, trial.version, "settled")
}

async fn withdraw(office: &Office, newest: &Newest, name: &str) -> Answer {
    let Some(trial) = newest.own.running() else { return Err(Refused::new(409, "no trial runs")) };
    let edition = format!("r{}", trial.version).into_bytes();
    keep(office, docs::withdrawn(name), trial.version, edition).await?;
    taken(name, trial.version, "withdrawn")
}

/// The versions of a member's settled document on this steward's disk, the latest first.
async fn versions(office: &Office, name: &str) -> Result<Vec<RegisterValue>, Refused> {
    let Some(dir) = office.settings.load().data_dir.clone() else { return Ok(Vec::new()) };
    let paper = docs::settled(name);
    let read = tokio::task::spawn_blocking(move || ochreshed_storage::history(&dir, &paper)).await;
    read.ok().and_then(Result::ok).ok_or_else(|| Refused::new(503, "the disk can't be read now"))
}

async fn history(office: &Office, name: &str) -> Answer {
    let now = office.members.docs().rank(&docs::settled(name));
    let kept = versions(office, name).await?;
    let versions = kept.iter().map(|sheet| {
        json!({
            "edition": format!("r{}", sheet.version),
            "digest": format!("{:016x}", sheet.digest),
            "bytes": sheet.bytes.len(),
            "in_force": sheet.revision() == now,
        })
    });
    Ok(json!({"versions": versions.collect::<Vec<_>>()}).to_string())
}

/// Writes the settled document before the present one again, under the next edition.
async fn undo(office: &Office, newest: &Newest, name: &str) -> Answer {
    let Some(settled) = &newest.own.settled else {
        return Err(Refused::new(409, "nothing was ever settled"));
    };
    let kept = versions(office, name).await?;
    let Some(before) = kept.iter().find(|sheet| sheet.version < settled.version) else {
        return Err(Refused::new(409, "this steward has no earlier document on its disk"));
    };
    let unread = || Refused::new(409, "the earlier document can't be read");
    let mut text: serde_json::Value = serde_json::from_slice(&before.bytes).map_err(|_| unread())?;
    let edition = newest.own.highest().saturating_add(1);
    let fields = text.as_object_mut().ok_or_else(unread)?;
    fields.insert("edition".into(), format!("r{edition}").into());
    fields.remove("trial");
    let bytes = text.to_string().into_bytes();
    let doc = MemberDocument::read(&bytes).map_err(|_| unread())?;
    replace(office, newest, name, &doc, bytes).await
}

async fn status(office: &Office, name: &Name) -> Answer {
    let docs = office.members.docs();
    let own = docs.own.get(name).cloned().unwrap_or_default();
    let edition = |edition: Option<u64>| edition.map(|edition| format!("r{edition}"));
    let timetable = office.stand.load().safe.clone();
    let laid = timetable.and_then(|sheet| Configuration::read(&sheet.bytes).ok()).map(|timetable| {
        let one = docs.settled().into_iter().filter(|(member, _)| member == name).collect();
        overlay::overlay(&timetable, &docs.register, &one)
    });
    let trims =
        laid.map(|laid| laid.violations.iter().map(|trim| trim.violation.to_string()).collect::<Vec<_>>());
    let mut nodes: BTreeMap<SocketAddr, (u64, bool)> = BTreeMap::new();
    let others =
        office.stand.load().stewards.iter().copied().filter(|at| *at != office.at).collect::<Vec<_>>();
    let asks = others.into_iter().map(|at| async move {
        office.callers.to(at).call(InternalRequest::AppliedEditions(name.clone()), GATHER).await
    });
    for reply in futures_util::future::join_all(asks).await {
        if let Ok(InternalResponse::AppliedEditions(told)) = reply {
            nodes.extend(told.into_iter().map(|node| (node.inbound_proxy, (node.version, node.canary))));
        }
    }
    // Another steward may have been told earlier: the higher edition is the later word.
    for NodeEdition { inbound_proxy: door, version: edition, canary: trial } in office.members.nodes_of(name)
    {
        let known = nodes.entry(door).or_insert((edition, trial));
        *known = (*known).max((edition, trial));
    }
    let quiet = office.quiet_doors();
    let nodes = nodes.into_iter().take(MOST_NODES).map(|(door, (edition, trial))| {
        json!({
            "door": door.to_string(),
            "edition": format!("r{edition}"),
            "trial": trial,
            "quiet": quiet.contains(&door),
        })
    });
    Ok(json!({
        "member": &**name,
        "settled": edition(own.settled.as_ref().map(|doc| doc.version)),
        "trial": edition(own.running().map(|doc| doc.version)),
        "withdrawn": edition(own.withdrawn),
        "trims": trims.unwrap_or_default(),
        "nodes": nodes.collect::<Vec<_>>(),
    })
    .to_string())
}

/// What a trial has come to, by its reqs and those of the document beside it. Without reqs there is nothing against it.
fn comes_to(all: &BTreeMap<RouteEdition, OutcomeCounts>, member: &str, edition: u64, over: bool) -> Verdict {
    let of = |on_trial: bool| {
        let counts = |of: &&RouteEdition| {
            *of.member == *member && (of.canary && of.version == edition) == on_trial && of.canary == on_trial
        };
        let fared = all.keys().filter(counts).filter_map(|of| all.get(of));
        fared.fold(RequestOutcomes::default(), |sum, fared| RequestOutcomes {
            succeeded: sum.succeeded + u64::from(fared.succeeded),
            failed: sum.failed + u64::from(fared.failed),
        })
    };
    verdict(of(true), of(false), over)
}

/// Keeps what is read of the papers as new as what is safe here, and ends the trials that fall to this steward.
pub async fn duty(office: Arc<Office>) {
    let mut changes = office.watch();
    // Since when, and how often they were looked at.
    let mut began: HashMap<(Name, u64), (Instant, u32)> = HashMap::new();
    loop {
        changes.mark_unchanged();
        let stand = office.stand.load_full();
        let was = office.members.docs();
        if stand.papers.number != was.number() {
            let (stand, office) = (stand.clone(), office.clone());
            let read = tokio::task::spawn_blocking(move || office.members.take(&stand.papers.all));
            // One that can't be read is told of where it is taken.
            let _ = read.await;
        }
        let docs = office.members.docs();
        let running: HashMap<(Name, u64), Duration> = docs
            .own
            .iter()
            .filter_map(|(name, own)| {
                let trial_s = docs.register.member(name)?.limits.canary_duration_s;
                Some(((name.clone(), own.running()?.version), Duration::from_secs(trial_s.into())))
            })
            .collect();
        began.retain(|trial, _| running.contains_key(trial));
        for (trial, lasts) in running {
            let (since, looks) = began.entry(trial.clone()).or_insert_with(|| (Instant::now(), 0));
            let (went, over) = (since.elapsed(), since.elapsed() >= lasts);
            if (over || went >= lasts * (*looks + 1) / LOOKS) && falls_here(&office, &trial.0) {
                *looks = (went.as_secs_f64() / lasts.as_secs_f64() * f64::from(LOOKS)) as u32;
                end(&office, &trial.0, trial.1, over).await;
            }
        }
        tokio::select! {
            _ = changes.changed() => sleep(Duration::from_millis(5)).await,
            () = sleep(LOOK) => {}
        }
    }
}

/// One of the stewards that are there, the same one wherever the same are heard.
fn falls_here(office: &Office, member: &str) -> bool {
    let place = |at: &SocketAddr| xxhash_rust::xxh3::xxh3_64(format!("{member} {at}").as_bytes());
    let stand = office.stand.load();
    stand.settled && stand.stewards.iter().max_by_key(|at| place(at)).is_none_or(|at| *at == office.at)
}

/// Ends a trial if its time is over, or if it clearly fails.
async fn end(office: &Arc<Office>, name: &Name, edition: u64, over: bool) {
    let gathered = office.gather(office.clock.now()).await;
    let comes_to = comes_to(&gathered.reports.outcome_totals(|_| true), name, edition, over);
    if comes_to == Verdict::Continue {
        return;
    }
    let failed = comes_to == Verdict::RollBack;
    let Ok(newest) = newest(office, name).await else { return };
    if newest.own.running().is_none_or(|trial| trial.version != edition) {
        return;
    }
    let cuts = newest
        .trial
        .is_some()
        .then(|| newest.own.running())
        .flatten()
        .map_or(0, |doc| overlay::check(&newest.timetable, &newest.register, name, doc).len());
    let done = if failed || cuts > 0 {
        withdraw(office, &newest, name).await
    } else {
        settle(office, &newest, name).await
    };
    match done {
        Ok(done) => log::info!("trial ended: {done}"),
        Err(why) => log::warn!("trial of {name} not ended: {}", why.1),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test(start_paused = true)]
    async fn so_many_changes_in_a_minute() {
        let turn = Turn::default();
        assert!(turn.count(2).is_ok() && turn.count(2).is_ok());
        tokio::time::advance(Duration::from_secs(20)).await;
        assert_eq!(turn.count(2), Err(Duration::from_secs(40)));
        tokio::time::advance(Duration::from_secs(40)).await;
        assert!(turn.count(2).is_ok());
    }

    #[test]
    fn a_trial_fails_by_its_own_reqs_against_the_others() {
        let of = |member: &str, number, trial| RouteEdition {
            member: member.into(),
            version: number,
            canary: trial,
        };
        let fared = |well, failed| OutcomeCounts { succeeded: well, failed, ..OutcomeCounts::default() };
        let judged = |trial, others| {
            let all = [
                (of("a", 8, true), trial),
                (of("a", 7, false), others),
                (of("a", 6, true), fared(0, 90)),
                (of("b", 8, true), fared(0, 90)),
            ];
            [false, true].map(|over| comes_to(&all.clone().into_iter().collect(), "a", 8, over))
        };
        let goes = [Verdict::Continue, Verdict::Promote];
        assert_eq!(judged(fared(90, 10), fared(300, 3)), [Verdict::RollBack; 2]);
        assert_eq!(judged(fared(90, 10), fared(270, 30)), goes, "no worse than before");
        assert_eq!(judged(fared(1, 1), fared(300, 0)), goes, "too few");
        assert_eq!(judged(fared(0, 0), fared(0, 9)), goes, "nothing came");
    }
}
