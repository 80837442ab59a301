//! The plain values that a protocol's adapter and the decision module hand each other.

use std::collections::BTreeMap;
use std::sync::Arc;

/// A point in time or a span, in whole nanoseconds.
pub type Nanos = u64;

/// A name or an id, kept as the protocol gave it.
pub type Name = Arc<str>;

/// What an instance is told at its start: names to values.
pub type Facts = BTreeMap<String, Value>;

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Number(f64),
    Span(Nanos),
    Text(Name),
    Flag(bool),
    List(Vec<Facts>),
}

/// How a dispatch, or a probe, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    Done,
    Error,
    Full,
    TimedOut,
    NoConnection,
    Reset,
    Recalled,
    NotSent,
    /// The balancer beside the srv had no room for it: it never came to the srv, and is no send.
    Turned,
}

impl How {
    /// Whether the outcome proves that the srv never ran the req.
    pub fn never_ran(self) -> bool {
        matches!(self, How::Full | How::NoConnection | How::NotSent | How::Turned)
    }
}

/// One dispatch of a req; `how` is empty while it is out.
#[derive(Clone, Debug)]
pub struct Dispatch {
    pub srv: Name,
    pub site: Name,
    pub cell: u64,
    pub at: Nanos,
    pub how: Option<How>,
}

/// A req in hand. The adapter keeps it and lends it; the module writes its dispatches.
#[derive(Clone, Debug)]
pub struct Req {
    pub id: u64,
    pub rule_set: Name,
    pub customer: Name,
    /// The client marked this as a repeat of an earlier try.
    pub again: bool,
    pub taken: Nanos,
    /// When the client stops waiting for this try.
    pub ends: Nanos,
    /// Its last byte is still to come, and `Outcome::Written` tells when it does, on its way to the srv.
    pub coming: bool,
    /// The work it is expected to be, where that is told.
    pub work: Option<Nanos>,
    /// The srv that it would rather go to, where that one is fit.
    pub tie: Option<Name>,
    pub dispatches: Vec<Dispatch>,
}

impl Req {
    /// One that is whole, no repeat, and of which no cost is told.
    pub fn new(id: u64, rule_set: Name, customer: Name, taken: Nanos, ends: Nanos) -> Req {
        let (again, coming, work, tie, dispatches) = (false, false, None, None, Vec::new());
        Req { id, rule_set, customer, again, taken, ends, coming, work, tie, dispatches }
    }

    /// Whether its last dispatch was turned away before it came to a srv.
    pub fn turned(&self) -> bool {
        self.dispatches.last().is_some_and(|dispatch| dispatch.how == Some(How::Turned))
    }

    /// How many doors have turned it away; of one site, where that is named.
    pub fn turns(&self, site: Option<&str>) -> usize {
        let of = |dispatch: &&Dispatch| site.is_none_or(|site| &*dispatch.site == site);
        let turned = |dispatch: &&Dispatch| dispatch.how == Some(How::Turned);
        self.dispatches.iter().filter(turned).filter(of).count()
    }

    /// How many dispatches may have come to a srv.
    pub fn sends(&self) -> usize {
        self.dispatches.iter().filter(|dispatch| dispatch.how != Some(How::Turned)).count()
    }

    /// The first dispatch that is not proved never to have run.
    pub fn may_have_run(&self) -> Option<&Dispatch> {
        self.dispatches.iter().find(|d| !d.how.is_some_and(How::never_ran))
    }
}

/// Where a req goes now.
#[derive(Clone, Debug, PartialEq)]
pub enum Place {
    Send { srv: Name, give_up: Nanos },
    Later { ask_at: Nanos },
    Deny { come_back: Nanos },
    Abort,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Up,
    Draining,
    Gone,
}

/// What the list of srvs says of one of them.
#[derive(Clone, Debug)]
pub struct Listed {
    pub srv: Name,
    pub state: State,
    /// When its process last started; empty: long ago.
    pub came_up: Option<Nanos>,
    pub weight: f64,
    pub site: Name,
    pub cell: u64,
}

/// What has happened. `report` holds the srv's load report, in the order the facts name.
pub enum Outcome<'a> {
    /// A dispatch ended; `closed` when its req has had its final answer.
    Dispatch {
        req: &'a mut Req,
        number: usize,
        how: How,
        took: Nanos,
        closed: bool,
        report: &'a [f64],
    },
    /// The last byte of a req that was still coming is on its way to the srv of this dispatch: only now that begins.
    Written {
        req: &'a Req,
        number: usize,
    },
    Probe {
        srv: &'a str,
        how: How,
        took: Nanos,
        report: &'a [f64],
    },
    /// What another instance has seen of a dispatch of its own, where instances share that: it counts as one of ours at that
    /// srv. Not in the mean of all, since others tell of srvs where something fails; and for the silence of a whole site
    /// once for each srv, since a few gone ones are lost many times. In overload it counts for nothing: srvs are silent for
    /// want of time then.
    Others {
        srv: &'a str,
        rule_set: &'a str,
        how: How,
    },
    /// News of the list: the whole of it, or the changed entries only.
    List {
        whole: bool,
        old: bool,
        entries: &'a [Listed],
    },
    /// A call to the list failed, or the subscription was dropped.
    ListFailed,
    /// The client has gone.
    Left {
        req: &'a mut Req,
    },
}

/// What follows an outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Follow {
    Nothing,
    /// Ask `place` for this req now.
    Place,
    /// Stop waiting for the dispatch of this number.
    Recall(usize),
}

/// What an instance does between reqs.
#[derive(Clone, Debug, PartialEq)]
pub enum Wait {
    Watch,
    List,
    Probe(Name),
    Log(String),
    /// Shut the idle connections to this srv.
    Close(Name),
    /// Stop waiting for a req's dispatch of this number.
    Recall(u64, usize),
    /// Ask `place` for this held req now.
    Place(u64),
    /// Nothing to do before then.
    Until(Nanos),
}

/// A span in seconds.
pub fn seconds(span: Nanos) -> f64 {
    span as f64 / 1e9
}

/// What the facts say under a name, or what stands in for it.
pub fn number(facts: &Facts, name: &str, otherwise: f64) -> f64 {
    if let Some(Value::Number(value)) = facts.get(name) { *value } else { otherwise }
}

pub fn span(facts: &Facts, name: &str, otherwise: Nanos) -> Nanos {
    if let Some(Value::Span(value)) = facts.get(name) { *value } else { otherwise }
}

pub fn text<'a>(facts: &'a Facts, name: &str) -> &'a str {
    if let Some(Value::Text(value)) = facts.get(name) { value } else { "" }
}

pub fn flag(facts: &Facts, name: &str) -> bool {
    matches!(facts.get(name), Some(Value::Flag(true)))
}

pub fn list<'a>(facts: &'a Facts, name: &str) -> &'a [Facts] {
    if let Some(Value::List(items)) = facts.get(name) { items } else { &[] }
}
